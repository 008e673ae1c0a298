package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
)

// allZones stands for the nodes of every zone.
const allZones = ""

// Tell sends a beat to all nodes soon, because the own state changed.
func (f *Fleet) NotifyAll() { f.NotifyZone(allZones) }

// TellZone sends a beat to the nodes of a zone soon.
func (f *Fleet) NotifyZone(zone string) {
	select {
	case f.soon <- zone:
	default: // enough beats are due
	}
}

// greetSoon lets the nodes that were met be greeted.
func (f *Fleet) greetSoon() {
	select {
	case f.greeting <- struct{}{}:
	default: // a greeting is due, and greets all
	}
}

// send sends a beat to every address of a zone.
func (f *Fleet) send(now time.Time, zone string) {
	beat := f.sample(now)
	f.mu.Lock()
	f.sequence++
	beat.Sequence = f.sequence
	whole := f.isWhole(zone, beat)
	wholeTo, shortTo := f.due(now, zone, whole)
	f.mu.Unlock()
	f.transmit(beat, true, wholeTo)
	f.transmit(beat, false, shortTo)
}

// greet sends a whole beat to the nodes that were met since the last greeting.
func (f *Fleet) greet(now time.Time) {
	beat := f.sample(now)
	f.mu.Lock()
	f.sequence++
	beat.Sequence = f.sequence
	var to []string
	for a, e := range f.entries {
		if e.owed == greetings {
			e.owed--
			to = append(to, a)
		}
	}
	f.mu.Unlock()
	f.transmit(beat, true, to)
}

func (f *Fleet) transmit(beat Heartbeat, whole bool, to []string) {
	if len(to) == 0 {
		return
	}
	data, err := encode(beat, whole)
	if err != nil {
		f.logger.Error("beat not encoded", logging.Error(err))
		return
	}
	for _, a := range to {
		f.counts.Sent.Add(1)
		_ = f.conn.Send(a, data) // a lost beat is followed by others
	}
}

// due returns the addresses that get a whole beat now and those that get a short one.
// Silent ones get a part. The lock is held.
func (f *Fleet) due(now time.Time, zone string, whole bool) (wholeTo, shortTo []string) {
	silence := f.silence()
	for a, e := range f.entries {
		if zone != allZones && (e.peer == nil || e.peer.Heartbeat.Zone != zone) {
			continue
		}
		if now.Sub(e.heard()) > 2*silence {
			e.skipped++
			if e.skipped%silentShare != 0 {
				continue
			}
		}
		if whole || e.owed > 0 {
			e.owed = max(e.owed-1, 0)
			wholeTo = append(wholeTo, a)
			continue
		}
		shortTo = append(shortTo, a)
	}
	return wholeTo, shortTo
}
