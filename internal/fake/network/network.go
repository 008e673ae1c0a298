// Package network is a network in memory with its faults.
//
// # Model
//
// Each host has its own view of the network, so that faults can lie between
// two hosts. Connections are pipes. A cut between two hosts swallows all that
// they send each other, on open connections too, and lets no new connection
// open. Silence swallows only what is on the connections that are open at that
// moment: new ones work. Datagrams are lost with a share. Everything works in
// virtual time.
//
// # Usage
//
//	n := network.New(seed)
//	l, err := n.Host("10.0.0.1").Listen("10.0.0.1:7000")
//	conn, err := n.Host("10.0.0.2").Dial(ctx, "10.0.0.1:7000")
//	n.Cut("10.0.0.1", "10.0.0.2")
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

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]*listener
	packets   map[string]*packetConn
	conns     map[*conn]bool
	cuts      map[pair]bool
	loss      float64
	latency   LatencyFunc
}

// Latency is the time that bytes take from one host to another.
type LatencyFunc func(from, to string) time.Duration

// pair is two hosts in order.
type pair struct{ a, b string }

func newPair(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{
		rng:       rand.New(rand.NewPCG(seed, seed)),
		listeners: map[string]*listener{},
		packets:   map[string]*packetConn{},
		conns:     map[*conn]bool{},
		cuts:      map[pair]bool{},
		latency:   func(_, _ string) time.Duration { return 0 },
	}
}

// SetLoss sets the share of datagrams that are lost.
func (n *Network) SetPacketLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// SetLatency sets the time that datagrams take, and the bytes on connections
// that are opened from now on. Connections carry any number of writes at once.
func (n *Network) SetLatency(l LatencyFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = l
}

func (n *Network) latencyOf(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency(from, to)
}

// Cut parts two hosts.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[newPair(a, b)] = true
	for c := range n.conns {
		if c.hosts == newPair(a, b) {
			c.silent.Store(true)
		}
	}
}

// Heal joins two hosts again. Connections that were open at the cut stay
// silent.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, newPair(a, b))
}

// HealAll joins all hosts.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[pair]bool{}
}

// Silence makes the open connections between two hosts swallow all bytes for
// good. New connections work.
func (n *Network) BlackholeConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.hosts == newPair(a, b) {
			c.silent.Store(true)
		}
	}
}

// Kill closes everything of a host at once, as when its machine dies.
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
		_ = c.Close() // it is dead either way
	}
}

// Host returns the network as one host has it.
func (n *Network) Host(host string) *Host { return &Host{network: n, host: host} }

// Host is the network as one host has it.
type Host struct {
	network *Network
	host    string
}

var _ cicadaseam.Network = (*Host)(nil)

// Dial implements cicadaseam.Network.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	cut := h.network.cuts[newPair(h.host, to)]
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errors.Newf("dial %s: no answer", addr)
	}
	if l == nil {
		return nil, errors.Newf("dial %s: connection refused", addr)
	}
	return l.open(ctx, h.host)
}

// Listen implements cicadaseam.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, errors.Newf("listen %s: address in use", addr)
	}
	l := &listener{network: h.network, host: h.host, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
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
	const queue = 1024
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
	network  *Network
	host     string
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) open(ctx context.Context, from string) (net.Conn, error) {
	a, b := net.Pipe()
	silent := &atomic.Bool{}
	hosts := newPair(from, l.host)
	there, back := l.network.latencyOf(from, l.host), l.network.latencyOf(l.host, from)
	if there+back > 0 && !wait.Sleep(ctx, there+back) { // opening takes a round trip
		return nil, ctx.Err()
	}
	near := newConn(l.network, a, hosts, silent, there)
	far := newConn(l.network, b, hosts, silent, back)
	select {
	case l.accepted <- far:
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
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
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
	network *Network
	host    string
	addr    string
	queue   chan []byte
	closed  chan struct{}
	once    sync.Once
}

// Send implements cicadaseam.PacketConn.
func (p *packetConn) Send(addr string, data []byte) error {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	target := p.network.packets[addr]
	lost := p.network.rng.Float64() < p.network.loss
	if target == nil || lost || p.network.cuts[newPair(p.host, to)] {
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

// deliver drops the datagram when the receiver is full, as a socket does.
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
	p.once.Do(func() {
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packets, p.addr)
		close(p.closed)
	})
	return nil
}
