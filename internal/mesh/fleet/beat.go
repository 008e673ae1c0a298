package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// Format and FormatShort are the first byte of a datagram with a whole and with a
// short beat.
const (
	FormatFull    = 0x33
	FormatCompact = 0x34
)

// Beat is what a node tells about itself.
type Heartbeat struct {
	Node string
	Addr string
	Zone string
	// Epoch tells one process from the next one at the same address.
	Epoch    int64
	Sequence uint64
	// Revision is the number of the configuration in force.
	Revision uint64
	// Leaving is set by a node that is about to end.
	Leaving bool
	// Blind is set while the configuration source does not answer the node.
	SourceUnavailable bool
	// Slow is set while whole configurations come slowly to the node.
	SourceSlow bool
	Service    string
	Instance   string
	// Serving is set while the backend server takes requests.
	Serving bool
	Load    cicadaseam.MeshLoad
	// Left are the instances beside the node that said that they leave. Other nodes
	// remember them for the process that starts there next.
	Departed []string
	// Marks are requests that crashed backend servers.
	Marks []cicadaseam.CrashMark
	// Stamp is the time of the steady clock of the node. Short beats have none.
	Stamp time.Duration
}

// short is a beat of a node whose state is as its last whole one told.
type short struct {
	Sender   uint64 // stands for the address and the epoch
	Sequence uint64
	Revision uint64
	Load     cicadaseam.MeshLoad
}

// isWhole decides whether a beat is whole. The lock is held.
func (f *Fleet) isWhole(zone string, b Heartbeat) bool {
	if zone != allZones {
		return true
	}
	f.sinceAll++
	changed := shape(b) != f.told
	if !changed && f.sinceAll < wholeEach && len(b.Marks) == 0 {
		return false
	}
	f.told = shape(b)
	f.sinceAll = 0
	if changed {
		f.sinceAll = wholeEach - 2 // one more follows soon, since one may be lost
	}
	return true
}

func encode(b Heartbeat, whole bool) ([]byte, error) {
	if whole {
		body, err := pack.Marshal(&b)
		return append([]byte{FormatFull}, body...), err
	}
	body, err := pack.Marshal(&short{Sender: transit.SenderID(b.Addr, b.Epoch), Sequence: b.Sequence, Revision: b.Revision, Load: b.Load})
	return append([]byte{FormatCompact}, body...), err
}

// decode returns the beat in a datagram. A short one is completed by the last whole
// one of the same process; without that it says nothing.
func (f *Fleet) decode(data []byte) (Heartbeat, bool) {
	var b Heartbeat
	if len(data) < 2 {
		return b, false
	}
	switch data[0] {
	case FormatFull:
		err := pack.Unmarshal(data[1:], &b)
		return b, err == nil && b.Addr != "" && b.Node != ""
	case FormatCompact:
		var s short
		if err := pack.Unmarshal(data[1:], &s); err != nil {
			return b, false
		}
		return f.complete(s)
	}
	return b, false
}

func (f *Fleet) complete(s short) (Heartbeat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.senders[s.Sender]
	if e == nil {
		return Heartbeat{}, false
	}
	b := e.peer.Heartbeat
	b.Sequence, b.Revision, b.Load = s.Sequence, s.Revision, s.Load
	b.Marks, b.Departed, b.Stamp = nil, nil, 0
	return b, true
}

// shape is what matters of a beat beside its load.
type shapeOf struct {
	service, instance             string
	serving, leaving, blind, slow bool
}

func shape(b Heartbeat) shapeOf {
	return shapeOf{b.Service, b.Instance, b.Serving, b.Leaving, b.SourceUnavailable, b.SourceSlow}
}
