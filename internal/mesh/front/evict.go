package front

import (
	"time"
)

// stallTime is how long a request may take to arrive before its connection is the first one to be
// closed for a new one.
const stallTime = 2 * time.Second

// connState is the state of a connection that decides whether it gives way to a new one.
type connState struct {
	inFlight  int  // requests that are not answered
	receiving bool // a part of a request has arrived
	used      bool // it has carried a request
	since     time.Time
}

// Precedence of connections that give way, the first one first. Callers that crowd a server leave
// requests unfinished or send nothing; an ordinary caller keeps a connection after a reply.
const (
	rankStalled   = iota // a request does not arrive
	rankUnused           // nothing has arrived
	rankIdle             // kept for the next request
	rankReceiving        // a request is arriving
	rankProtected        // its requests are in progress
)

func (s connState) rank(now time.Time) int {
	switch {
	case s.inFlight > 0:
		return rankProtected
	case s.receiving && now.Sub(s.since) > stallTime:
		return rankStalled
	case s.receiving:
		return rankReceiving
	case s.used:
		return rankIdle
	}
	return rankUnused
}

// givesWayBefore reports whether a connection is closed before another one. Those of the same rank are
// closed in the order of their age.
func (s connState) givesWayBefore(o connState, now time.Time) bool {
	rank, other := s.rank(now), o.rank(now)
	return rank < other || rank == other && s.since.Before(o.since)
}

// state returns the state of the connection. ok is false if it is closing already.
func (c *conn) state() (s connState, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = connState{inFlight: c.inFlight, receiving: c.receiving, used: c.used, since: c.lastReply}
	if c.receiving {
		s.since = c.receivingSince
	}
	return s, !c.closing && !c.isInterrupted()
}

// evictFor makes room for a new connection if there are too many. It reports whether there is room.
// The lock is held.
func (s *Server) evictFor(now time.Time) bool {
	for len(s.conns)-s.evicting >= s.maxConns {
		victim, state := s.firstToEvict(now)
		if victim == nil {
			return false
		}
		if state.receiving && s.evicting+1 < maxEvicting {
			victim.interrupt() // its caller gets a reply
		} else if !victim.closeUnlessBusy() {
			continue // a request has just arrived on it
		}
		victim.evicted = true
		s.evicting++
		s.evictions.Add(1)
	}
	return true
}

// firstToEvict returns the connection that gives way first, with its state, or nil if none does. The
// lock is held.
func (s *Server) firstToEvict(now time.Time) (victim *conn, state connState) {
	for c := range s.conns {
		if x, ok := c.state(); ok && !c.evicted && x.rank(now) < rankProtected && (victim == nil || x.givesWayBefore(state, now)) {
			victim, state = c, x
		}
	}
	return victim, state
}

// closeUnlessBusy closes the connection and returns true, unless a request is in progress on it.
func (c *conn) closeUnlessBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 {
		return false
	}
	c.closing = true
	_ = c.nc.Close() // no request of it is in progress
	return true
}
