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
	return &packetConn{conn: conn, addrs: map[string]*net.UDPAddr{}}, nil
}

// packetConn caches resolved addresses, since a node keeps sending to the same few
// hundred.
type packetConn struct {
	conn  *net.UDPConn
	mu    sync.Mutex
	addrs map[string]*net.UDPAddr
}

// maxAddrs bounds the cached addresses. When it is reached, the cache is emptied.
const maxAddrs = 4096

func (p *packetConn) resolve(addr string) (*net.UDPAddr, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.addrs[addr]; a != nil {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if len(p.addrs) >= maxAddrs {
		p.addrs = map[string]*net.UDPAddr{}
	}
	p.addrs[addr] = a
	return a, nil
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
