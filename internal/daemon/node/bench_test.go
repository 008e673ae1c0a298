package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/examples"
	"github.com/cicadaseam/cicadaseam/internal/config/changefile"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// pair is an entry node and a target node on loopback TCP, with one backend server, which
// belongs to the target node.
type pair struct {
	entry, target *node.Node
	backend       *backend.Server
}

func startPair(tb testing.TB) pair {
	log := logstore.New()
	start := func(zone string) *node.Node {
		var s node.Settings
		require.NoError(tb, node.Defaults(&s))
		s.Name, s.Locality = zone, cicadaseam.Locality{Region: "us-southeast", Deployment: "georgia-east", Zone: zone}
		s.CallAddr, s.LinkAddr, s.BackendAddr, s.OperatorAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		n, err := node.New(s, log)
		require.NoError(tb, err)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		tb.Cleanup(func() { stop(); <-done })
		return n
	}
	p := pair{entry: start("atl-north"), target: start("atl-south")}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	p.backend = backend.New("status-portal", backend.WithSlots(500), backend.WithConnections(500), backend.WithServiceTime(0))
	p.backend.Start(l, "http://"+p.target.Addrs().Backend)
	tb.Cleanup(p.backend.Kill)
	data, err := examples.Files.ReadFile("peachtree.ini")
	require.NoError(tb, err)
	f, err := changefile.Parse("peachtree.ini", data)
	require.NoError(tb, err)
	f.Change.ID = "tree"
	_, err = p.entry.Publisher().Publish(context.Background(), f.Change)
	require.NoError(tb, err)
	<-p.entry.Ready()
	<-p.target.Ready()
	for p.entry.ReadyBackends() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return p
}

func get(tb testing.TB, client *http.Client, url string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(tb, err)
	req.Header.Set("Authorization", "Bearer passenger-token")
	resp, err := client.Do(req)
	require.NoError(tb, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(tb, err)
	require.NoError(tb, resp.Body.Close())
	require.Equal(tb, http.StatusOK, resp.StatusCode)
}

// BenchmarkCall compares a call through the entry node and the target node with a direct
// call to the backend server.
func BenchmarkCall(b *testing.B) {
	p := startPair(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for name, url := range map[string]string{
		"direct":  "http://" + p.backend.Addr() + "/status/claim",
		"through": "http://" + p.entry.Addrs().Calls + "/status/claim",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(b, client, url)
			}
		})
	}
}

// The mesh may add 0.71 ms to a call at the 99th percentile. At most a tenth of that may be
// spent on memory allocation, at 100 ns per allocation. The memory that 320 calls a second
// allocate at the entry and the target must let the garbage collector run at most once a
// second within the 64 MB that a node may use.
func TestAllocationsOfACall(t *testing.T) {
	const (
		calls          = 2000
		addedLatency   = 710 * time.Microsecond
		allocationTime = 100 * time.Nanosecond
		callsPerSecond = 320
		memoryLimit    = 64 << 20 // bytes
		maxAllocations = int64(addedLatency / 10 / allocationTime)
		maxBytes       = memoryLimit / callsPerSecond
	)
	p := startPair(t)
	client := &http.Client{Transport: &http.Transport{}}
	through := measureAllocations(t, calls, client, "http://"+p.entry.Addrs().Calls+"/status/claim")
	direct := measureAllocations(t, calls, client, "http://"+p.backend.Addr()+"/status/claim")
	t.Logf("a call: %d allocations, %d bytes; direct: %d, %d", through.count, through.bytes, direct.count, direct.bytes)
	require.Less(t, through.count-direct.count, maxAllocations)
	require.Less(t, through.bytes-direct.bytes, int64(maxBytes))
}

type allocationStats struct{ count, bytes int64 }

// measureAllocations returns what one call allocates in this process, which contains the
// caller, the nodes and the backend server.
func measureAllocations(tb testing.TB, calls int64, client *http.Client, url string) allocationStats {
	get(tb, client, url) // opens the connections
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		get(tb, client, url)
	}
	runtime.ReadMemStats(&after)
	return allocationStats{int64(after.Mallocs-before.Mallocs) / calls, int64(after.TotalAlloc-before.TotalAlloc) / calls}
}
