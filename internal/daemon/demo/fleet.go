package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
)

// member is a node and its backend server.
type member struct {
	node    *node.Node
	backend *backend.Server
	service string
	cancel  context.CancelFunc
	done    chan error // result of the run of the node
}

// fleet holds all nodes of a deployment, which run in this process.
type fleet struct {
	members []*member
}

const (
	// anyPort makes a listener choose a free port on loopback.
	anyPort = "127.0.0.1:0"
	// readyTimeout bounds the wait until all nodes are ready and have discovered all backend servers.
	readyTimeout = 15 * time.Second
)

// startFleet starts the backend servers of a deployment, each with a node beside it.
func startFleet(d Deployment, log cicadaseam.Log, logger *zap.Logger, serviceTime time.Duration) (*fleet, error) {
	f := &fleet{}
	i := 0
	for _, s := range d.Services {
		for range s.Servers {
			m, err := startMember(d, s, i, log, logger, serviceTime)
			if err != nil {
				f.stop()
				return nil, err
			}
			f.members = append(f.members, m)
			i++
		}
	}
	return f, nil
}

// startMember starts the i-th backend server of a deployment and its node.
func startMember(d Deployment, s Service, i int, log cicadaseam.Log, logger *zap.Logger, serviceTime time.Duration) (*member, error) {
	name := fmt.Sprintf("%s-%d", s.Name, i)
	var settings node.Settings
	if err := node.Defaults(&settings); err != nil {
		return nil, err
	}
	settings.Name = name
	settings.Locality = d.locality(i)
	settings.CallAddr, settings.LinkAddr = anyPort, anyPort
	settings.BackendAddr, settings.OperatorAddr = anyPort, anyPort
	n, err := node.New(settings, log, node.WithLogger(logger), node.WithSeed(uint64(i)+1))
	if err != nil {
		return nil, errors.Wrapf(err, "start node %s", name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{node: n, service: s.Name, cancel: cancel, done: make(chan error, 1)}
	go func() { m.done <- n.Run(ctx) }()
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a backend server")
	}
	m.backend = backend.New(s.Name, backend.WithName(name), backend.WithSlots(s.Slots),
		backend.WithConnections(s.Connections), backend.WithServiceTime(serviceTime))
	m.backend.Start(l, "http://"+n.Addrs().Backend)
	return m, nil
}

// waitReady waits until every node is ready for calls and has discovered all backend servers.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.members {
		select {
		case <-m.node.Ready():
		case <-ctx.Done():
			return errors.Newf("node of %s did not become ready", m.backend)
		}
	}
	for {
		if f.allBackendsKnown() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.New("the nodes did not discover all backend servers in time")
		}
	}
}

// allBackendsKnown reports whether every node sees all backend servers ready.
func (f *fleet) allBackendsKnown() bool {
	for _, m := range f.members {
		if m.node.ReadyBackends() < len(f.members) {
			return false
		}
	}
	return true
}

// waitForVersion waits until every node has applied a version or a later one.
func (f *fleet) waitForVersion(ctx context.Context, version cicadaseam.Offset) error {
	for _, m := range f.members {
		for {
			// Get the channel before the check, so that no change in between is missed.
			changed := m.node.Store().Changed()
			if m.node.Store().Table().Version >= version {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return errors.Newf("node %s is at version %d, not %d", m.backend, m.node.Store().Table().Version, version)
			}
		}
	}
	return nil
}

// controlBytes returns the bytes of control traffic of all nodes so far.
func (f *fleet) controlBytes() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.node.Metrics().Value("control.bytes")
	}
	return total
}

// runCounts returns how often each token or idempotency key ran at all backend servers together.
func (f *fleet) runCounts() map[string]int64 {
	counts := map[string]int64{}
	for _, m := range f.members {
		for token, n := range m.backend.AllRuns() {
			counts[token] += n
		}
	}
	return counts
}

// stop drains all nodes at once, then stops each backend server. It returns the first error that
// a node returned.
func (f *fleet) stop() error {
	for _, m := range f.members {
		m.cancel()
	}
	var first error
	var wg sync.WaitGroup
	for _, m := range f.members {
		if err := <-m.done; err != nil && first == nil {
			first = err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.backend.Kill()
		}()
	}
	wg.Wait()
	return first
}
