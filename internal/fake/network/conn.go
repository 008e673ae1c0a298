package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// underWay bounds the writes that one direction of a connection carries.
const underWay = 4096

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	hosts   pair
	silent  *atomic.Bool

	// latency is the time to the other end; lag holds what is under way.
	latency time.Duration
	lag     chan parcel
	gone    chan struct{}
	once    sync.Once
}

// parcel is a write that arrives later.
type parcel struct {
	due  time.Time
	data []byte
}

func newConn(n *Network, end net.Conn, hosts pair, silent *atomic.Bool, latency time.Duration) *conn {
	c := &conn{Conn: end, network: n, hosts: hosts, silent: silent, latency: latency, gone: make(chan struct{})}
	if latency > 0 {
		c.lag = make(chan parcel, underWay)
		go c.deliver()
	}
	return c
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.lag == nil {
		return c.Conn.Write(b)
	}
	select {
	case <-c.gone:
		return 0, net.ErrClosed
	case c.lag <- parcel{due: time.Now().Add(c.latency), data: append([]byte(nil), b...)}:
		return len(b), nil
	}
}

// deliver hands over what is under way, in order, and closes after the last.
func (c *conn) deliver() {
	defer c.Conn.Close()
	for {
		select {
		case p := <-c.lag:
			c.arrive(p)
		case <-c.gone:
			for len(c.lag) > 0 {
				c.arrive(<-c.lag)
			}
			return
		}
	}
}

func (c *conn) arrive(p parcel) {
	if wait := time.Until(p.due); wait > 0 {
		time.Sleep(wait)
	}
	if !c.silent.Load() {
		_, _ = c.Conn.Write(p.data) // lost when the other end is closed
	}
}

// Close implements net.Conn. The other end of a silent connection does not
// learn of it; with latency it learns after what is under way.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if c.lag == nil {
		return c.Conn.Close()
	}
	c.once.Do(func() {
		_ = c.Conn.SetDeadline(time.Now().Add(c.latency)) // ends reads here, and writes that nobody reads
		close(c.gone)
	})
	return nil
}
