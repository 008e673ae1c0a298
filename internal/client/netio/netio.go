// Package netio implements cicadaseam.Network over TCP and UDP of the host. Addresses are
// IP addresses with a port.
//
// # Usage
//
//	network := netio.New()
//	conn, err := network.Dial(ctx, "10.0.0.7:7000")
package netio

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
)

// Network implements cicadaseam.Network.
type Network struct {
	dialer net.Dialer
}

var _ cicadaseam.Network = (*Network)(nil)

// New returns the network of this host.
func New() *Network {
	return &Network{dialer: *NewDialer(0)}
}

// Dial implements cicadaseam.Network.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, "tcp", addr)
}

// Listen implements cicadaseam.Network.
func (n *Network) Listen(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// ListenPacket implements cicadaseam.Network.
func (n *Network) ListenPacket(addr string) (cicadaseam.PacketConn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve UDP address %s", addr)
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, err
	}
	return newPacketConn(conn), nil
}

// packetConn caches resolved addresses, since a node keeps sending to the same few
// hundred.
type packetConn struct {
	conn   *net.UDPConn
	lookUp func(addr string) (*net.UDPAddr, error)

	mu      sync.Mutex
	addrs   map[string]*net.UDPAddr
	pending map[string]bool // names that are being looked up
}

func newPacketConn(conn *net.UDPConn) *packetConn {
	lookUp := func(addr string) (*net.UDPAddr, error) { return net.ResolveUDPAddr("udp", addr) }
	return &packetConn{conn: conn, lookUp: lookUp, addrs: map[string]*net.UDPAddr{}, pending: map[string]bool{}}
}

const (
	// maxAddrs bounds the cached addresses. When it is reached, the cache is emptied.
	maxAddrs = 4096
	// maxLookups bounds the names that are looked up at the same time.
	maxLookups = 8
)

// errLookup is returned for a name whose address is not known yet.
var errLookup = errors.New("the name is being looked up")

// resolve returns the UDP address of an IP address, or of a name that has been looked up. It does not
// wait for name servers: the caller sends to other addresses too.
func (p *packetConn) resolve(addr string) (*net.UDPAddr, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.addrs[addr]; a != nil {
		return a, nil
	}
	if ip, err := netip.ParseAddrPort(addr); err == nil {
		a := net.UDPAddrFromAddrPort(ip)
		p.cache(addr, a)
		return a, nil
	}
	if len(p.pending) < maxLookups && !p.pending[addr] {
		p.pending[addr] = true
		go p.cacheName(addr)
	}
	return nil, errLookup
}

// cache adds an address to the cache. The lock is held.
func (p *packetConn) cache(addr string, a *net.UDPAddr) {
	if len(p.addrs) >= maxAddrs {
		p.addrs = map[string]*net.UDPAddr{}
	}
	p.addrs[addr] = a
}

// cacheName looks up a name. A later call of resolve repeats a lookup that failed.
func (p *packetConn) cacheName(addr string) {
	a, err := p.lookUp(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, addr)
	if err == nil {
		p.cache(addr, a)
	}
}

// Send implements cicadaseam.PacketConn.
func (p *packetConn) Send(addr string, data []byte) error {
	to, err := p.resolve(addr)
	if err != nil {
		return err
	}
	_, err = p.conn.WriteToUDP(data, to)
	return err
}

// Receive implements cicadaseam.PacketConn. It ignores errors other than net.ErrClosed,
// since a socket also reports errors of datagrams that were sent earlier.
func (p *packetConn) Receive(buf []byte) (int, error) {
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if err == nil || errors.Is(err, net.ErrClosed) {
			return n, err
		}
	}
}

// LocalAddr implements cicadaseam.PacketConn.
func (p *packetConn) LocalAddr() string { return p.conn.LocalAddr().String() }

// Close implements cicadaseam.PacketConn.
func (p *packetConn) Close() error { return p.conn.Close() }
