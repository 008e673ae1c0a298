package cicadaseam

import (
	"context"
	"net"
	"time"
)

// Network is the way to other processes. Tests replace it by connections in
// memory.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (PacketConn, error)
}

// PacketConn sends and receives datagrams, which may be lost.
type PacketConn interface {
	Send(addr string, data []byte) error
	// Receive fills buf with the next datagram; it returns an error once the
	// connection is closed.
	Receive(buf []byte) (n int, err error)
	LocalAddr() string
	Close() error
}

// Candidate is a target that a Picker may choose.
type Candidate struct {
	ID   string
	Zone string
	// Region is the region of the zone.
	Region string
	// Since is when this node first saw the candidate ready.
	ReadySince time.Time
	Slots      int
}

// Picker chooses a target and learns from what came of it. A Picker is a plain
// state machine: it reads no clock.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 when none may be
	// chosen. Candidates in tried are avoided.
	Pick(now time.Time, candidates []Candidate, tried map[string]bool) int
	// Started notes that a call was sent to the candidate.
	Started(now time.Time, id string)
	// Ended notes what came of it.
	Ended(now time.Time, id string, result PickResult)
}

// PickResult is what a Picker learns from one call.
type PickResult struct {
	Latency time.Duration
	Failed  bool
	Refused bool
	Load    Load
}
