package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/examples"
	"github.com/cicadaseam/cicadaseam/internal/call/entry"
	"github.com/cicadaseam/cicadaseam/internal/config/changefile"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
	"github.com/cicadaseam/cicadaseam/internal/fake/network"
)

// host is a node and its backend server on one host of the in-memory network.
type host struct {
	ip       string
	locality cicadaseam.Locality
	service  string
	node     *node.Node
	backend  *backend.Server
	stop     context.CancelFunc
	done     chan error // receives the result of node.Run
	killed   bool
}

// fleet is a set of hosts on an in-memory network, in virtual time.
type fleet struct {
	t *testing.T
	// mu guards host.node and host.killed in tests that use nodes while hosts restart.
	mu           sync.Mutex
	net          *network.Network
	log          *logstore.Store
	hosts        []*host
	client       *http.Client
	opts         []node.Option
	tuneSettings func(*node.Settings)
	// cleanup holds functions that are called when the test ends.
	cleanup []func()
}

// reply is the answer that a caller received, or the error instead of it.
type reply struct {
	status  int
	outcome string
	reason  string
	header  http.Header
	body    string
	err     error
}

var (
	services = []string{"status-portal", "claims-desk", "flight-records"}
	zones    = []string{"atl-north", "atl-south", "atl-east", "atl-west"}
)

// withFleet runs a test on n hosts that have loaded the example tree. Host i has a
// backend server of service i%3 and is in zone (i/3)%4.
func withFleet(t *testing.T, n int, seed uint64, test func(f *fleet), tune ...func(*node.Settings)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: network.New(seed), log: logstore.New(logstore.WithSeed(seed))}
		f.client = f.clientFrom("192.0.2.1")
		for _, tuned := range tune {
			f.tuneSettings = tuned
		}
		defer f.close()
		for i := range n {
			f.add(i, seed)
		}
		f.publishTree()
		f.waitSettled()
		test(f)
	})
}

// clientFrom returns an HTTP client that dials from a host.
func (f *fleet) clientFrom(ip string) *http.Client {
	h := f.net.Host(ip)
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 32,
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return h.Dial(ctx, addr) },
	}}
}

func (f *fleet) add(i int, seed uint64) {
	h := &host{
		ip:       fmt.Sprintf("10.0.0.%d", i+1),
		locality: cicadaseam.Locality{Region: "us-southeast", Deployment: "georgia-east", Zone: zones[(i/3)%len(zones)]},
		service:  services[i%len(services)],
	}
	f.hosts = append(f.hosts, h)
	f.start(h, seed+uint64(i))
}

// start starts the node and the backend server of a host. The seed is that of the node.
func (f *fleet) start(h *host, seed uint64) {
	var s node.Settings
	require.NoError(f.t, node.Defaults(&s))
	s.Name, s.Locality = h.ip, h.locality
	s.CallAddr, s.LinkAddr = h.ip+":8080", h.ip+":7000"
	s.BackendAddr, s.OperatorAddr = h.ip+":8081", h.ip+":8082"
	if f.tuneSettings != nil {
		f.tuneSettings(&s)
	}
	hostNet := f.net.Host(h.ip)
	opts := append([]node.Option{node.WithNetwork(hostNet), node.WithSeed(seed), node.WithBackendDialer(hostNet.Dial)}, f.opts...)
	n, err := node.New(s, f.log, opts...)
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	h.node, h.stop, h.killed = n, stop, false
	f.mu.Unlock()
	h.done = make(chan error, 1)
	go func() { h.done <- n.Run(ctx) }()
	f.startBackend(h)
}

func (f *fleet) startBackend(h *host) {
	l, err := f.net.Host(h.ip).Listen(h.ip + ":9000")
	require.NoError(f.t, err)
	h.backend = backend.New(h.service, backend.WithName(h.ip), backend.WithClient(f.clientFrom(h.ip)))
	h.backend.Start(l, "http://"+h.ip+":8081")
}

// liveNode returns the node of a host, or nil if the host was killed.
func (f *fleet) liveNode(h *host) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.killed {
		return nil
	}
	return h.node
}

// kill stops a host abruptly: its node, its backend server and its connections.
func (f *fleet) kill(h *host) {
	f.mu.Lock()
	h.killed = true
	f.mu.Unlock()
	f.net.Kill(h.ip)
	h.backend.Kill()
	h.stop()
	<-h.done
}

func (f *fleet) publishTree() {
	data, err := examples.Files.ReadFile("peachtree.ini")
	require.NoError(f.t, err)
	file, err := changefile.Parse("peachtree.ini", data)
	require.NoError(f.t, err)
	file.Change.ID = uuid.NewString()
	d, err := f.hosts[0].node.Publisher().Publish(context.Background(), file.Change)
	require.NoError(f.t, err)
	require.Equal(f.t, cicadaseam.VerdictAccepted, d.Verdict)
}

// waitSettled waits until every live node is ready and knows the backend servers of all
// live nodes.
func (f *fleet) waitSettled() {
	f.t.Helper()
	live := 0
	for _, h := range f.hosts {
		if !h.killed {
			live++
		}
	}
	unsettled := ""
	settled := f.eventually(30*time.Second, func() bool {
		for _, h := range f.hosts {
			if !h.killed && (!isReady(h.node) || h.node.ReadyBackends() != live) {
				unsettled = fmt.Sprintf("%s: ready %t, knows %d of %d: %v", h.ip, isReady(h.node), h.node.ReadyBackends(), live, h.node.PeerStates())
				return false
			}
		}
		return true
	})
	require.True(f.t, settled, "the fleet did not settle: %s", unsettled)
}

func isReady(n *node.Node) bool {
	select {
	case <-n.Ready():
		return true
	default:
		return false
	}
}

// eventually polls a condition in virtual time until it holds or the limit has passed. It
// reports whether it holds.
func (f *fleet) eventually(limit time.Duration, condition func() bool) bool {
	const step = 20 * time.Millisecond
	for range limit / step {
		if condition() {
			return true
		}
		time.Sleep(step)
	}
	return condition()
}

// call makes one call through the node of a host. The class selects the credential.
func (f *fleet) call(h *host, method, path, class string, headers ...string) reply {
	return f.callBody(h, method, path, class, "", headers...)
}

func (f *fleet) callBody(h *host, method, path, class, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+h.ip+":8080"+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+class+"-token")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, outcome: resp.Header.Get(entry.HeaderOutcome), reason: resp.Header.Get(entry.HeaderReason),
		header: resp.Header, body: string(data), err: err,
	}
}

// publishDeadline publishes a change of a deadline through the node of a host.
func (f *fleet) publishDeadline(h *host, value string) cicadaseam.Decision {
	_, version := h.node.Store().Tree()
	d, err := h.node.Publisher().Publish(context.Background(), cicadaseam.Change{
		ID: uuid.NewString(), Base: version,
		Edits: []cicadaseam.Edit{{Path: "scope:georgia-east/*/claims-desk", Key: "deadline", Value: value}},
	})
	require.NoError(f.t, err)
	return d
}

// runs returns how many requests with a token or key the backend servers have run in
// total.
func (f *fleet) runs(token string) int64 {
	total := int64(0)
	for _, h := range f.hosts {
		total += h.backend.Runs(token)
	}
	return total
}

// atVersion reports whether every live node has reached a version.
func (f *fleet) atVersion(v cicadaseam.Offset) bool {
	for _, h := range f.hosts {
		if !h.killed && h.node.Store().Table().Version < v {
			return false
		}
	}
	return true
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.killed {
			continue
		}
		h.backend.Kill()
		h.stop()
	}
	for _, h := range f.hosts {
		if !h.killed {
			<-h.done
		}
	}
	f.client.CloseIdleConnections()
	for _, done := range f.cleanup {
		done()
	}
	for _, h := range f.hosts {
		f.net.Kill(h.ip)
	}
	f.net.Kill("192.0.2.1")
	time.Sleep(time.Second) // lets the data in transit arrive
}

// newKey returns a UUIDv7 with the virtual time. The library cannot be used for it: its
// times only ever increase within the process, but each test starts at the same virtual
// time.
func newKey(*testing.T) string {
	id := uuid.New()
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

func decodeEcho(t *testing.T, body string) backend.Echo {
	var e backend.Echo
	require.NoError(t, json.Unmarshal([]byte(body), &e), body)
	return e
}
