// Package network is an in-memory network with fault injection, for tests.
//
// # Model
//
// Each host uses the network through a Host, so that faults can affect any two hosts.
// Connections are pipes. A partition between two hosts drops all that they send each other, also
// on open connections, and prevents new connections. BlackholeConns drops only what is sent on
// the connections that are open when it is called; new ones work. A set share of datagrams is
// lost. The network works in the virtual time of testing/synctest.
//
// # Usage
//
//	n := network.New(seed)
//	l, err := n.Host("10.0.0.1").Listen("10.0.0.1:7000")
//	conn, err := n.Host("10.0.0.2").Dial(ctx, "10.0.0.1:7000")
//	n.Partition("10.0.0.1", "10.0.0.2")
package network

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	rng        *rand.Rand
	listeners  map[string]*listener
	packets    map[string]*packetConn
	conns      map[*conn]bool
	partitions map[hostPair]bool
	packetLoss float64
	latency    LatencyFunc
}

// LatencyFunc returns the time that data takes from one host to another.
type LatencyFunc func(from, to string) time.Duration

// hostPair identifies two hosts. a is not greater than b, so that the pair has one form.
type hostPair struct{ a, b string }

func newHostPair(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		listeners:  map[string]*listener{},
		packets:    map[string]*packetConn{},
		conns:      map[*conn]bool{},
		partitions: map[hostPair]bool{},
		latency:    func(_, _ string) time.Duration { return 0 },
	}
}

// SetPacketLoss sets the share of datagrams that are lost, from 0 to 1.
func (n *Network) SetPacketLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packetLoss = share
}

// SetLatency sets the latency of datagrams and of connections that are opened from now on. A
// write does not wait for earlier writes to arrive, unless maxWritesInFlight of them are in
// flight.
func (n *Network) SetLatency(l LatencyFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = l
}

func (n *Network) latencyBetween(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency(from, to)
}

// Partition separates two hosts, as the package comment says.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[newHostPair(a, b)] = true
	for c := range n.conns {
		if c.hosts == newHostPair(a, b) {
			c.blackholed.Store(true)
		}
	}
}

// Heal ends the partition between two hosts. Connections that were open when it began stay
// blackholed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, newHostPair(a, b))
}

// HealAll ends all partitions.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = map[hostPair]bool{}
}

// BlackholeConns makes the open connections between two hosts drop everything that is written to
// them, permanently. New connections work.
func (n *Network) BlackholeConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.hosts == newHostPair(a, b) {
			c.blackholed.Store(true)
		}
	}
}

// Kill closes all listeners, connections and packet connections of a host at once, as when its
// machine fails.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var closers []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host == host {
			closers = append(closers, l)
		}
	}
	for c := range n.conns {
		if c.hosts.a == host || c.hosts.b == host {
			closers = append(closers, c)
		}
	}
	for _, p := range n.packets {
		if p.host == host {
			closers = append(closers, p)
		}
	}
	n.mu.Unlock()
	for _, c := range closers {
		_ = c.Close() // a failed machine reports no errors
	}
}

// Host returns the view that a host has of the network.
func (n *Network) Host(host string) *Host { return &Host{network: n, host: host} }

// Host is the view that one host has of the network.
type Host struct {
	network *Network
	host    string
}

var _ cicadaseam.Network = (*Host)(nil)

// Dial implements cicadaseam.Network. A dial across a partition fails when its context is done.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	partitioned := h.network.partitions[newHostPair(h.host, to)]
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, errors.Newf("dial %s: no answer", addr)
	}
	if l == nil {
		return nil, errors.Newf("dial %s: connection refused", addr)
	}
	return l.connect(ctx, h.host)
}

// Listen implements cicadaseam.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, errors.Newf("listen %s: address in use", addr)
	}
	l := &listener{network: h.network, host: h.host, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[addr] = l
	return l, nil
}

// ListenPacket implements cicadaseam.Network.
func (h *Host) ListenPacket(addr string) (cicadaseam.PacketConn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.packets[addr] != nil {
		return nil, errors.Newf("listen %s: address in use", addr)
	}
	const queue = 1024 // datagrams; further ones are dropped
	p := &packetConn{network: h.network, host: h.host, addr: addr, queue: make(chan []byte, queue), closed: make(chan struct{})}
	h.network.packets[addr] = p
	return p, nil
}

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type listener struct {
	network   *Network
	host      string
	addr      string
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) connect(ctx context.Context, from string) (net.Conn, error) {
	a, b := net.Pipe()
	blackholed := &atomic.Bool{}
	hosts := newHostPair(from, l.host)
	outbound, inbound := l.network.latencyBetween(from, l.host), l.network.latencyBetween(l.host, from)
	// Opening a connection takes one round trip.
	if outbound+inbound > 0 && !wait.Sleep(ctx, outbound+inbound) {
		return nil, ctx.Err()
	}
	near := newConn(l.network, a, hosts, blackholed, outbound)
	far := newConn(l.network, b, hosts, blackholed, inbound)
	select {
	case l.incoming <- far:
	case <-l.closed:
		return nil, errors.Newf("dial %s: connection refused", l.addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.network.conns[near] = true
	l.network.conns[far] = true
	return near, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.addr)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type packetConn struct {
	network   *Network
	host      string
	addr      string
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

// Send implements cicadaseam.PacketConn. A lost datagram is not an error.
func (p *packetConn) Send(addr string, data []byte) error {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	target := p.network.packets[addr]
	lost := p.network.rng.Float64() < p.network.packetLoss
	if target == nil || lost || p.network.partitions[newHostPair(p.host, to)] {
		return nil
	}
	copied := append([]byte(nil), data...)
	if latency := p.network.latency(p.host, to); latency > 0 {
		time.AfterFunc(latency, func() { target.deliver(copied) })
		return nil
	}
	target.deliver(copied)
	return nil
}

// deliver queues a datagram for the receiver, or drops it if the queue is full, as a socket does.
func (p *packetConn) deliver(data []byte) {
	select {
	case p.queue <- data:
	default:
	}
}

// Receive implements cicadaseam.PacketConn.
func (p *packetConn) Receive(buf []byte) (int, error) {
	select {
	case data := <-p.queue:
		return copy(buf, data), nil
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

// LocalAddr implements cicadaseam.PacketConn.
func (p *packetConn) LocalAddr() string { return p.addr }

// Close implements cicadaseam.PacketConn.
func (p *packetConn) Close() error {
	p.closeOnce.Do(func() {
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packets, p.addr)
		close(p.closed)
	})
	return nil
}
