package cicadaseam

import "time"

// MemberState is what a node believes about another one.
type MemberState uint8

// The states of a member.
const (
	MemberAlive MemberState = iota
	// MemberSuspect has missed a probe and may refute it.
	MemberSuspect
	// MemberUnreachable went silent together with most of its availability
	// zone. It is kept, so that the two sides meet again without a storm.
	MemberUnreachable
	// MemberDead did not refute a suspicion in time.
	MemberDead
	// MemberLeft said goodbye.
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

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
		}
	}
	return nil
}

// BackendState is whether a backend server takes work.
type BackendState uint8

// The states of a backend server.
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

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *BackendState) UnmarshalText(text []byte) error {
	for _, state := range []BackendState{BackendNone, BackendReady, BackendDraining} {
		if state.String() == string(text) {
			*s = state
		}
	}
	return nil
}

// Backend is what a backend server announced to its node.
type Backend struct {
	Service     string       `msgpack:"s" json:"service"`
	Slots       int          `msgpack:"n" json:"slots"`
	Connections int          `msgpack:"c" json:"connections"`
	State       BackendState `msgpack:"t" json:"state"`
}

// Member is a node as others see it. ID is new with each start of a process;
// the incarnation is raised by the member alone.
type Member struct {
	ID          string      `msgpack:"i" json:"id"`
	Name        string      `msgpack:"n" json:"name"`
	Addr        string      `msgpack:"a" json:"addr"`
	Locality    Locality    `msgpack:"p" json:"place"`
	Incarnation uint64      `msgpack:"c" json:"incarnation"`
	State       MemberState `msgpack:"s" json:"state"`
	Backend     Backend     `msgpack:"b" json:"backend"`
}

// Head is the highest configuration position that a node knows of, and how old
// that knowledge is: the time since a reader last had an answer of the log.
type ConfigStatus struct {
	Latest Offset        `msgpack:"p"`
	Age    time.Duration `msgpack:"a"`
	// Applied is the position that the sender itself has applied, and Digest
	// the rolling digest there.
	Applied Offset `msgpack:"v"`
	Digest  uint64 `msgpack:"d"`
}

// Mark blames a fingerprint for a crash of a backend server, or clears it.
type CrashMark struct {
	Fingerprint uint64 `msgpack:"f"`
	// Crash names the crash: the node and the count of its crashes.
	CrashID string `msgpack:"c"`
	// Cleared is set when the fingerprint ran well after the crash.
	Cleared bool `msgpack:"k"`
}
