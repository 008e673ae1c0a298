package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxWritesInFlight bounds the writes that are in flight in one direction of a connection.
const maxWritesInFlight = 4096

// conn is one end of a connection.
type conn struct {
	net.Conn
	network    *Network
	hosts      hostPair
	blackholed *atomic.Bool

	// latency is the time until a write arrives at the other end. inFlight holds the writes that
	// have not arrived; it is nil if latency is 0.
	latency   time.Duration
	inFlight  chan delayedWrite
	closed    chan struct{}
	closeOnce sync.Once
}

// delayedWrite is a write that arrives at the other end at deliverAt.
type delayedWrite struct {
	deliverAt time.Time
	data      []byte
}

func newConn(n *Network, end net.Conn, hosts hostPair, blackholed *atomic.Bool, latency time.Duration) *conn {
	c := &conn{Conn: end, network: n, hosts: hosts, blackholed: blackholed, latency: latency, closed: make(chan struct{})}
	if latency > 0 {
		c.inFlight = make(chan delayedWrite, maxWritesInFlight)
		go c.deliver()
	}
	return c
}

// Write implements net.Conn. A write on a blackholed connection is dropped without an error.
func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	if c.inFlight == nil {
		return c.Conn.Write(b)
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.inFlight <- delayedWrite{deliverAt: time.Now().Add(c.latency), data: append([]byte(nil), b...)}:
		return len(b), nil
	}
}

// deliver passes the writes in flight to the other end, in order. After Close it passes on those
// that are left and then closes the connection.
func (c *conn) deliver() {
	defer c.Conn.Close()
	for {
		select {
		case w := <-c.inFlight:
			c.deliverWrite(w)
		case <-c.closed:
			for len(c.inFlight) > 0 {
				c.deliverWrite(<-c.inFlight)
			}
			return
		}
	}
}

func (c *conn) deliverWrite(w delayedWrite) {
	if wait := time.Until(w.deliverAt); wait > 0 {
		time.Sleep(wait)
	}
	if !c.blackholed.Load() {
		_, _ = c.Conn.Write(w.data) // lost if the other end is closed
	}
}

// Close implements net.Conn. The other end sees the close even if the connection is blackholed.
// If the connection has latency, it sees the close after the writes in flight.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if c.inFlight == nil {
		return c.Conn.Close()
	}
	c.closeOnce.Do(func() {
		// The deadline ends reads at this end, and writes that the other end does not read.
		_ = c.Conn.SetDeadline(time.Now().Add(c.latency))
		close(c.closed)
	})
	return nil
}
