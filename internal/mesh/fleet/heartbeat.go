package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// The first byte of a datagram. FormatFull and FormatCompact are followed by a heartbeat.
// FormatRelay and FormatRelayNow are followed by a heartbeat in one of these formats that
// the receiver passes on within its zone, with its own next heartbeat or at once.
// FormatBatch is followed by a list of heartbeats in these formats, and FormatQuery by a
// query.
const (
	FormatFull     = 0x39
	FormatCompact  = 0x3a
	FormatRelay    = 0x3b
	FormatRelayNow = 0x3c
	FormatBatch    = 0x3d
	FormatQuery    = 0x3e
)

const (
	// meanSize is the usual mean size of the heartbeats of a node, most of which are compact,
	// in bytes.
	meanSize = 32
	// datagramOverhead is the size of the IP and UDP headers of a datagram, in bytes.
	datagramOverhead = 28
)

// Heartbeat is the state that a node sends to the other nodes.
type Heartbeat struct {
	Node string
	Addr string
	Zone string
	// Epoch distinguishes a process from the next one at the same address.
	Epoch    int64
	Sequence uint64
	// Revision is the number of the configuration in force, and Written where the source has
	// it, as of the last full heartbeat.
	Revision uint64
	Written  cicadaseam.Position
	// SourceEpoch is the newest epoch of the store that the node knows.
	SourceEpoch uint64
	// Leaving is set by a node that is about to exit.
	Leaving bool
	// SourceUnavailable is set while the configuration source does not answer the node.
	SourceUnavailable bool
	// SourceSlow is set while whole configurations reach the node slowly.
	SourceSlow bool
	// Service and Instance are those of the backend server beside the node.
	Service  string
	Instance string
	// Serving is set while the backend server accepts requests.
	Serving bool
	Load    cicadaseam.MeshLoad
	// Departed are the instances of the node's backend server that announced
	// that they are draining, or were withdrawn. Other nodes remember them for the next
	// process at this address.
	Departed []cicadaseam.Departure
	// Marks are requests that crashed backend servers.
	Marks []cicadaseam.CrashMark
	// SentAt is the sender's monotonic clock, as of transit.Now, when the heartbeat was
	// made. Compact heartbeats have none.
	SentAt time.Duration
	// Relays is set by a node that passes on heartbeats of other zones. Processes of
	// earlier releases do not, and get every heartbeat directly.
	Relays bool
	// Known is set if the sender had a heartbeat of the receiver already.
	Known bool
	// Rollout is nil while there is no rollout order. It and Build are parts of the extension.
	Rollout *rollout.Report `msgpack:"-"`
	// Build is the commit of the sender's program, or empty if that is not known.
	Build string `msgpack:"-"`
}

// compactHeartbeat is sent while the state of a node has not changed since its last full
// heartbeat.
type compactHeartbeat struct {
	SenderID uint64 // identifies the process by its address and epoch
	Sequence uint64
	Revision uint64
	Load     cicadaseam.MeshLoad
}

// needsFull decides whether the next heartbeat to a zone or to all nodes is a full one,
// and records it. The lock is held.
func (f *Fleet) needsFull(zone string, hb Heartbeat) bool {
	if zone != allZones {
		return true
	}
	f.sinceFull++
	changed := stateOf(hb) != f.lastFull || hb.rolloutSequence() != f.lastRollout
	if !changed && f.sinceFull < fullEvery && len(hb.Marks) == 0 {
		return false
	}
	f.lastFull, f.lastRollout = stateOf(hb), hb.rolloutSequence()
	f.sinceFull = 0
	if changed {
		f.sinceFull = fullEvery - 2 // the next but one is full again, since this heartbeat may be lost
	}
	return true
}

func encode(hb Heartbeat, full bool) ([]byte, error) {
	if full {
		body, err := pack.Marshal(&hb)
		if err == nil {
			body, err = appendExtension(body, &hb)
		}
		return append([]byte{FormatFull}, body...), err
	}
	body, err := pack.Marshal(&compactHeartbeat{SenderID: transit.SenderID(hb.Addr, hb.Epoch), Sequence: hb.Sequence, Revision: hb.Revision, Load: hb.Load})
	return append([]byte{FormatCompact}, body...), err
}

// decode returns the heartbeat in a message. A compact one is completed from the last
// full one of the same process. If that process is unknown, the heartbeat is refused, and
// another node is asked for a full one.
func (f *Fleet) decode(data []byte) (Heartbeat, bool) {
	var hb Heartbeat
	if len(data) < 2 {
		return hb, false
	}
	switch data[0] {
	case FormatFull:
		err := decodeFull(data[1:], &hb)
		return hb, err == nil && hb.Addr != "" && hb.Node != ""
	case FormatCompact:
		var c compactHeartbeat
		if err := pack.Unmarshal(data[1:], &c); err != nil {
			return hb, false
		}
		return f.expand(c)
	}
	return hb, false
}

// expand completes a compact heartbeat from the last heartbeat of the same process.
func (f *Fleet) expand(c compactHeartbeat) (Heartbeat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.senders[c.SenderID]
	if e == nil {
		f.recordUnknown(c.SenderID)
		return Heartbeat{}, false
	}
	hb := e.peer.Heartbeat
	hb.Sequence, hb.Revision, hb.Load = c.Sequence, c.Revision, c.Load
	hb.Marks, hb.Departed, hb.SentAt, hb.Known = nil, nil, 0, false
	return hb, true
}

// peerState is the part of a heartbeat whose change is worth a full heartbeat.
type peerState struct {
	service, instance                               string
	serving, leaving, sourceUnavailable, sourceSlow bool
	sourceEpoch, revisionEpoch                      uint64
}

func stateOf(hb Heartbeat) peerState {
	return peerState{hb.Service, hb.Instance, hb.Serving, hb.Leaving, hb.SourceUnavailable, hb.SourceSlow, hb.SourceEpoch, hb.Written.Epoch}
}
