package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
)

// allZones stands for the nodes of every zone.
const allZones = ""

// NotifyAll makes Run send a heartbeat to all nodes without waiting for the period,
// because the state of this node changed.
func (f *Fleet) NotifyAll() { f.NotifyZone(allZones) }

// NotifyZone makes Run send a heartbeat to the nodes of a zone without waiting for the
// period.
func (f *Fleet) NotifyZone(zone string) {
	select {
	case f.notify <- zone:
	default: // enough heartbeats are pending
	}
}

// triggerInitial makes Run send the first full heartbeat to the nodes that were
// discovered.
func (f *Fleet) triggerInitial() {
	trigger(f.initialDue) // one that is pending covers all discovered nodes
}

// trigger fills a channel that holds one value, unless it is full.
func trigger(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// nextHeartbeat returns the next heartbeat of this node. Only Run calls it.
func (f *Fleet) nextHeartbeat(now time.Time) Heartbeat {
	hb := f.sample(now)
	hb.Relays = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	hb.Sequence = f.sequence
	return hb
}

// send sends a heartbeat to the nodes of a zone, or of all, directly or through relays.
// urgent is set if the relays are to pass it on at once.
func (f *Fleet) send(now time.Time, zone string, urgent bool) {
	hb := f.nextHeartbeat(now)
	f.mu.Lock()
	full := f.needsFull(zone, hb)
	to := f.recipients(now, zone, full)
	relays := f.relays(now, zone, urgent)
	var pending [][]byte
	if zone == allZones {
		pending, f.pending = f.pending, nil
	}
	queried, q := f.nextQuery(now)
	f.mu.Unlock()
	f.sendQuery(queried, q)
	out, err := newOutgoing(hb, pending)
	if err != nil {
		f.logger.Error("heartbeat not encoded", logging.Error(err))
		return
	}
	for _, r := range to {
		f.transmit(r.addr, out.datagrams(r)...)
	}
	for _, addr := range relays {
		f.transmit(addr, out.relayed(full, urgent))
	}
}

// sendInitial sends a full heartbeat to the nodes that were discovered and have got
// none yet. Nodes of which only the address is known get it from relays, if their zone has
// any.
func (f *Fleet) sendInitial(now time.Time) {
	hb := f.nextHeartbeat(now)
	f.mu.Lock()
	var known, unknown []string
	for a, e := range f.entries {
		if e.fullDue != initialFull {
			continue
		}
		e.fullDue--
		switch {
		case e.peer != nil:
			known = append(known, a)
		case !f.isRelayed(e):
			unknown = append(unknown, a)
		}
	}
	f.mu.Unlock()
	f.sendFull(hb, unknown)
	hb.Known = true
	f.sendFull(hb, known)
}

// sendFull sends a full heartbeat to addresses.
func (f *Fleet) sendFull(hb Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	data, err := encode(hb, true)
	if err != nil {
		f.logger.Error("heartbeat not encoded", logging.Error(err))
		return
	}
	for _, addr := range to {
		f.transmit(addr, data)
	}
}

func (f *Fleet) transmit(addr string, datagrams ...[]byte) {
	for _, data := range datagrams {
		f.counts.Sent.Add(1)
		_ = f.conn.Send(addr, data) // a lost heartbeat is followed by others
	}
}

// recipient is an address that gets a heartbeat directly.
type recipient struct {
	addr  string
	full  bool
	batch bool // also gets the heartbeats that are passed on
}

// recipients returns the addresses of a zone, or of all, that get a heartbeat directly
// now. full is set if all of them get a full one. A silent address gets a full one in any
// case, because a process that restarted there may know nobody whom it could ask. After
// two silence timeouts it gets only one of every silentSendEvery heartbeats. The lock is
// held.
func (f *Fleet) recipients(now time.Time, zone string, full bool) []recipient {
	var out []recipient
	timeout := f.silenceTimeout()
	for a, e := range f.entries {
		if zone != allZones && e.zone != zone || f.isRelayed(e) {
			continue
		}
		silence := now.Sub(e.lastSeen())
		if silence > 2*timeout {
			e.silentRounds++
			if e.silentRounds%silentSendEvery != 0 {
				continue
			}
		}
		out = append(out, recipient{addr: a, full: full || e.fullDue > 0 || silence > timeout, batch: f.takesBatches(e)})
		e.fullDue = max(e.fullDue-1, 0)
	}
	return out
}
