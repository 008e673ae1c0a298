package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

const (
	// relaysPerChange is the number of nodes of each zone that pass on a heartbeat which
	// reports a change, because a datagram may be lost. Any other heartbeat gets one.
	relaysPerChange = 2
	// maxBatch bounds a datagram with several heartbeats, in bytes; it is below the usual
	// limit of a network.
	maxBatch = 1200
	// maxPending bounds the heartbeats that wait to be passed on.
	maxPending = 1024
)

// isRelayed reports whether an address gets the periodic heartbeats of this node through
// a relay. The lock is held.
func (f *Fleet) isRelayed(e *entry) bool {
	if e.zone == f.zone || e.zone == "" || f.zoneSizes[e.zone] <= directZoneNodes {
		return false
	}
	return e.peer == nil || e.peer.Heartbeat.Relays
}

// takesBatches reports whether an address gets the heartbeats that this node passes on. The
// lock is held.
func (f *Fleet) takesBatches(e *entry) bool {
	return e.zone == f.zone && e.peer != nil && e.peer.Heartbeat.Relays
}

// relays returns the nodes that pass on the next heartbeat within each zone, or within the
// only one. Nodes that are alive are preferred. The lock is held.
func (f *Fleet) relays(now time.Time, zone string, urgent bool) []string {
	timeout := f.silenceTimeout()
	alive, others := map[string][]string{}, map[string][]string{}
	for a, e := range f.entries {
		if zone != allZones && e.zone != zone || !f.isRelayed(e) {
			continue
		}
		if e.peer != nil && now.Sub(e.peer.LastHeard) <= timeout && !e.peer.Heartbeat.Leaving {
			alive[e.zone] = append(alive[e.zone], a)
		} else {
			others[e.zone] = append(others[e.zone], a)
		}
	}
	number := 1
	if urgent {
		number = relaysPerChange
	}
	var out []string
	for z := range f.zoneSizes {
		candidates := alive[z]
		if len(candidates) == 0 {
			candidates = others[z]
		}
		out = append(out, f.rotate(candidates, number)...)
	}
	return out
}

// rotate returns up to number of the candidates, others for each heartbeat and for each
// sender, so that each of them passes on about as many heartbeats as the others. The lock
// is held.
func (f *Fleet) rotate(candidates []string, number int) []string {
	slices.Sort(candidates)
	var out []string
	first := xxhash.Sum64String(f.self) + f.sequence
	for i := range min(number, len(candidates)) {
		out = append(out, candidates[(first+uint64(i))%uint64(len(candidates))])
	}
	return out
}

// unwrap returns the heartbeats in a datagram, in FormatFull or FormatCompact, keeps those
// that are to be passed on, and answers queries.
func (f *Fleet) unwrap(data []byte) [][]byte {
	if len(data) < 2 {
		return [][]byte{data}
	}
	switch data[0] {
	case FormatBatch:
		var messages [][]byte
		if err := pack.Unmarshal(data[1:], &messages); err != nil {
			f.counts.Dropped.Add(1)
			return nil
		}
		return messages
	case FormatRelay, FormatRelayNow:
		f.keepForZone(data[1:], data[0] == FormatRelayNow)
		return [][]byte{data[1:]}
	case FormatQuery:
		f.answerQuery(data[1:])
		return nil
	}
	return [][]byte{data}
}

// keepForZone keeps a heartbeat until it is passed on within this zone. Anything else is
// not passed on, so that no message is relayed twice.
func (f *Fleet) keepForZone(message []byte, urgent bool) {
	if message[0] != FormatFull && message[0] != FormatCompact {
		return
	}
	f.mu.Lock()
	if len(f.pending) >= maxPending {
		f.pending = f.pending[1:]
	}
	f.pending = append(f.pending, slices.Clone(message))
	f.mu.Unlock()
	if urgent {
		trigger(f.relayDue)
	}
}

// passOn sends the heartbeats that were kept to the nodes of this zone.
func (f *Fleet) passOn(now time.Time) {
	f.mu.Lock()
	pending := f.pending
	f.pending = nil
	timeout := f.silenceTimeout()
	var to []string
	for a, e := range f.entries {
		if f.takesBatches(e) && now.Sub(e.lastSeen()) <= timeout {
			to = append(to, a)
		}
	}
	f.mu.Unlock()
	datagrams, err := batches(pending)
	if err != nil {
		f.logger.Error("heartbeats not encoded", logging.Error(err))
		return
	}
	for _, addr := range to {
		f.transmit(addr, datagrams...)
	}
}

// batches returns the fewest datagrams that hold heartbeats in their order. A heartbeat
// that is alone in its datagram is not wrapped.
func batches(messages [][]byte) ([][]byte, error) {
	var out [][]byte
	for len(messages) > 0 {
		n, size := 1, len(messages[0])
		for n < len(messages) && size+len(messages[n]) <= maxBatch {
			size += len(messages[n])
			n++
		}
		datagram := messages[0]
		if n > 1 {
			body, err := pack.Marshal(messages[:n])
			if err != nil {
				return nil, err
			}
			datagram = append([]byte{FormatBatch}, body...)
		}
		out = append(out, datagram)
		messages = messages[n:]
	}
	return out, nil
}

// outgoing holds the datagrams of one heartbeat.
type outgoing struct {
	full, compact           []byte
	fullBatch, compactBatch [][]byte // with the heartbeats that are passed on
}

func newOutgoing(hb Heartbeat, pending [][]byte) (*outgoing, error) {
	o := &outgoing{}
	var err error
	if o.full, err = encode(hb, true); err != nil {
		return nil, err
	}
	if o.compact, err = encode(hb, false); err != nil {
		return nil, err
	}
	if o.fullBatch, err = batches(append([][]byte{o.full}, pending...)); err != nil {
		return nil, err
	}
	o.compactBatch, err = batches(append([][]byte{o.compact}, pending...))
	return o, err
}

// datagrams returns what a recipient gets.
func (o *outgoing) datagrams(r recipient) [][]byte {
	switch {
	case r.batch && r.full:
		return o.fullBatch
	case r.batch:
		return o.compactBatch
	case r.full:
		return [][]byte{o.full}
	}
	return [][]byte{o.compact}
}

// relayed returns what a relay gets.
func (o *outgoing) relayed(full, urgent bool) []byte {
	format := byte(FormatRelay)
	if urgent {
		format = FormatRelayNow
	}
	if full {
		return append([]byte{format}, o.full...)
	}
	return append([]byte{format}, o.compact...)
}
