package cicadaseam

import (
	"fmt"
	"time"
)

// MemberState is the state of a member in another node's view.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota
	// MemberSuspect did not answer a probe and may still refute the suspicion.
	MemberSuspect
	// MemberUnreachable became silent together with most of its availability zone. It stays in
	// the view, so that the two sides of a partition merge without a burst of traffic when the
	// partition heals.
	MemberUnreachable
	// MemberDead did not refute the suspicion in time.
	MemberDead
	// MemberLeft announced that it leaves.
	MemberLeft
)

var memberStateNames = []string{"alive", "suspect", "unreachable", "dead", "left"}

// String returns the lower-case name of the state.
func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// StateError reports a name that is no state of a member or of a backend server.
type StateError struct{ Of, Name string }

// Error implements error.
func (e *StateError) Error() string { return fmt.Sprintf("%q is no state of a %s", e.Name, e.Of) }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is a *StateError.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
			return nil
		}
	}
	return &StateError{Of: "member", Name: string(text)}
}

// BackendState is whether a backend server accepts requests.
type BackendState uint8

// States of a backend server.
const (
	BackendNone BackendState = iota
	BackendReady
	BackendDraining
)

// String returns the lower-case name of the state.
func (s BackendState) String() string {
	switch s {
	case BackendReady:
		return "ready"
	case BackendDraining:
		return "draining"
	default:
		return "none"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s BackendState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is a *StateError.
func (s *BackendState) UnmarshalText(text []byte) error {
	for _, state := range []BackendState{BackendNone, BackendReady, BackendDraining} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return &StateError{Of: "backend server", Name: string(text)}
}

// Backend is a backend server as announced to its node.
type Backend struct {
	Service string `msgpack:"s" json:"service"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `msgpack:"n" json:"slots"`
	// Connections bounds the connections of its node to the backend server.
	Connections int          `msgpack:"c" json:"connections"`
	State       BackendState `msgpack:"t" json:"state"`
}

// Member is a node as others see it. ID is new with each start of a process. Only the member
// itself increments its incarnation.
type Member struct {
	ID          string      `msgpack:"i" json:"id"`
	Name        string      `msgpack:"n" json:"name"`
	Addr        string      `msgpack:"a" json:"addr"`
	Locality    Locality    `msgpack:"p" json:"place"`
	Incarnation uint64      `msgpack:"c" json:"incarnation"`
	State       MemberState `msgpack:"s" json:"state"`
	Backend     Backend     `msgpack:"b" json:"backend"`
}

// ConfigStatus is the state of the configuration stream that a node sends to other nodes.
type ConfigStatus struct {
	// Latest is the highest offset of the stream that the node has learned of.
	Latest Offset `msgpack:"p"`
	// Age is the time since the last response of the log to any reader that the node has learned of.
	Age time.Duration `msgpack:"a"`
	// Applied is the offset of the last record that the node itself has applied, and Digest
	// the rolling digest of the stream up to that record.
	Applied Offset `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// CrashMark marks a request fingerprint as suspected of a crash of a backend server, or
// removes such a mark.
type CrashMark struct {
	Fingerprint uint64 `msgpack:"f"`
	// CrashID identifies the crash by the process of the node and the number of crashes that the
	// process has seen. Other processes only compare it.
	CrashID string `msgpack:"c"`
	// Cleared removes the mark: a request with the fingerprint has succeeded since the crash.
	Cleared bool `msgpack:"k"`
}

// Suspicion is what a node knows of a request that may crash backend servers. Nodes that have just
// started get those of other nodes.
type Suspicion struct {
	Fingerprint uint64
	CrashIDs    []string // as in CrashMark
	// Refused is set while the request is refused, and Probation after a refusal, when one more crash
	// gets it refused again.
	Refused   bool
	Probation bool
	// Period is the length of the latest refusal, or of the first one, and Remaining how much longer
	// the present state lasts.
	Period    time.Duration
	Remaining time.Duration
}
