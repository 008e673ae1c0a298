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
	select {
	case f.initialDue <- struct{}{}:
	default: // one is pending, and covers all discovered nodes
	}
}

// send sends a heartbeat to every address of a zone, or to all.
func (f *Fleet) send(now time.Time, zone string) {
	hb := f.sample(now)
	f.mu.Lock()
	f.sequence++
	hb.Sequence = f.sequence
	full := f.needsFull(zone, hb)
	fullTo, compactTo := f.recipients(now, zone, full)
	f.mu.Unlock()
	f.transmit(hb, true, fullTo)
	f.transmit(hb, false, compactTo)
}

// sendInitial sends a full heartbeat to the nodes that were discovered and have got
// none yet.
func (f *Fleet) sendInitial(now time.Time) {
	hb := f.sample(now)
	f.mu.Lock()
	f.sequence++
	hb.Sequence = f.sequence
	var to []string
	for a, e := range f.entries {
		if e.fullDue == initialFull {
			e.fullDue--
			to = append(to, a)
		}
	}
	f.mu.Unlock()
	f.transmit(hb, true, to)
}

func (f *Fleet) transmit(hb Heartbeat, full bool, to []string) {
	if len(to) == 0 {
		return
	}
	data, err := encode(hb, full)
	if err != nil {
		f.logger.Error("heartbeat not encoded", logging.Error(err))
		return
	}
	for _, a := range to {
		f.counts.Sent.Add(1)
		_ = f.conn.Send(a, data) // a lost heartbeat is followed by others
	}
}

// recipients returns the addresses of a zone that get a full heartbeat now and those
// that get a compact one. An address that has been silent for two silence timeouts gets
// only one of every silentSendEvery heartbeats. The lock is held.
func (f *Fleet) recipients(now time.Time, zone string, full bool) (fullTo, compactTo []string) {
	timeout := f.silenceTimeout()
	for a, e := range f.entries {
		if zone != allZones && (e.peer == nil || e.peer.Heartbeat.Zone != zone) {
			continue
		}
		if now.Sub(e.lastSeen()) > 2*timeout {
			e.silentRounds++
			if e.silentRounds%silentSendEvery != 0 {
				continue
			}
		}
		if full || e.fullDue > 0 {
			e.fullDue = max(e.fullDue-1, 0)
			fullTo = append(fullTo, a)
			continue
		}
		compactTo = append(compactTo, a)
	}
	return fullTo, compactTo
}
