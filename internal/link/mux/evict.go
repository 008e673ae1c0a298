package mux

import "time"

const (
	// defaultMaxConns is the number of connections of a server: a node has up to two from each peer.
	defaultMaxConns = 2048
	// maxSilent bounds the connections whose first frame has not arrived, and helloTimeout how long
	// that may take.
	maxSilent    = 128
	helloTimeout = 5 * time.Second
)

// greeted records that the first frame of a connection has arrived: it is one of a peer.
func (s *Server) greeted(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silent, c)
}

// evictFor closes a connection if there are too many for a new one: the oldest one whose first frame
// has not arrived, or else the one on which nothing has arrived for the longest time. The lock is held.
func (s *Server) evictFor(now time.Time) {
	if len(s.silent) >= maxSilent || len(s.conns) >= s.maxConns && len(s.silent) > 0 {
		s.evict(s.oldestSilent(now))
		return
	}
	if len(s.conns) >= s.maxConns {
		s.evict(s.leastUsed())
	}
}

func (s *Server) oldestSilent(now time.Time) (oldest *serverConn) {
	since := now
	for c, t := range s.silent {
		if oldest == nil || t.Before(since) {
			oldest, since = c, t
		}
	}
	return oldest
}

func (s *Server) leastUsed() (least *serverConn) {
	for c := range s.conns {
		if least == nil || c.lastRead.Load() < least.lastRead.Load() {
			least = c
		}
	}
	return least
}

// evict closes a connection, whose goroutines then end. The lock is held.
func (s *Server) evict(c *serverConn) {
	_ = c.netConn.Close() // it is given up
	delete(s.conns, c)
	delete(s.silent, c)
}
