package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/decision"
)

// allZones stands for the nodes of every zone.
const allZones = ""

// Tell sends a beat to all nodes soon, because the own state changed.
func (f *Fleet) Tell() { f.TellZone(allZones) }

// TellZone sends a beat to the nodes of a zone soon.
func (f *Fleet) TellZone(zone string) {
	select {
	case f.soon <- zone:
	default: // enough beats are due
	}
}

// send sends a beat to every address of a zone.
func (f *Fleet) send(now time.Time, zone string) {
	beat := f.sample(now)
	f.mu.Lock()
	f.sequence++
	beat.Sequence = f.sequence
	whole := f.isWhole(zone, beat)
	addrs := f.due(now, zone)
	f.mu.Unlock()
	data, err := encode(beat, whole)
	if err != nil {
		f.logger.Error("beat not encoded", decision.Error(err))
		return
	}
	for _, a := range addrs {
		f.counts.Sent.Add(1)
		_ = f.conn.Send(a, data) // a lost beat is followed by others
	}
}

// due returns the addresses that get a beat now; silent ones get a part.
func (f *Fleet) due(now time.Time, zone string) []string {
	addrs := make([]string, 0, len(f.entries))
	silence := f.silence()
	for a, e := range f.entries {
		if zone != allZones && (e.peer == nil || e.peer.Beat.Zone != zone) {
			continue
		}
		if now.Sub(e.heard()) > 2*silence {
			e.skipped++
			if e.skipped%silentShare != 0 {
				continue
			}
		}
		addrs = append(addrs, a)
	}
	return addrs
}
