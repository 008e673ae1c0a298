package cicadaseam

import (
	"context"
	"net"
	"time"
)

// Network opens connections to other processes. Tests replace it with an in-memory
// implementation.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (PacketConn, error)
}

// PacketConn sends and receives datagrams, which may be lost.
type PacketConn interface {
	Send(addr string, data []byte) error
	// Receive reads the next datagram into buf and returns its length. It returns an error
	// once the connection is closed.
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
	// ReadySince is when this node first saw the candidate ready.
	ReadySince time.Time
	// Slots is the number of requests that the candidate's backend server runs at once.
	Slots int
}

// Picker selects a target for each call and learns from the results. A Picker is a pure state
// machine that reads no clock.
type Picker interface {
	// Pick returns the index of the selected candidate, or -1 if none is eligible. Candidates
	// in tried, by id, are avoided.
	Pick(now time.Time, candidates []Candidate, tried map[string]bool) int
	// Started records that a call was sent to a candidate.
	Started(now time.Time, id string)
	// Ended records the result of a call to a candidate.
	Ended(now time.Time, id string, result PickResult)
}

// PickResult is what a Picker learns from one call.
type PickResult struct {
	Latency time.Duration
	Failed  bool
	Refused bool // the target answered that it did not run the call
	Load    Load
}
