package target

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// announceResult classifies an announcement.
type announceResult uint8

const (
	// announceStale means that the announcement is older than what is known, or comes
	// from an instance that departed or was replaced.
	announceStale announceResult = iota
	// announceRenewed means that the current instance announced itself again.
	announceRenewed
	// announceNew means that the announcing instance becomes the current one.
	announceNew
)

const (
	// maxInstances bounds the number of instances that are remembered with their announcements, and
	// maxPast that of the other departed ones. An entry of these takes about 100 bytes.
	maxInstances = 64
	maxPast      = 1 << 16
	// switchBackSilence is how long the current instance must have been silent before
	// another instance that is already known may become the current one.
	switchBackSilence = 3 * time.Second
)

// record is what is known about one instance.
type record struct {
	latest    cicadaseam.Instance // its latest announcement
	lastHeard time.Time
	departed  bool
}

// newRecord returns the record of a start that announces itself for the first time.
func newRecord(now time.Time, instance cicadaseam.Instance) *record {
	return &record{latest: instance, lastHeard: now, departed: instance.State == cicadaseam.BackendDraining}
}

// instanceTracker orders the announcements of the instances at one address. It is a
// state machine without a clock or lock of its own.
type instanceTracker struct {
	instances map[string]*record // by instance ID
	// past holds, by ID, the start times of departed instances without a record: 0 if one is not known.
	past map[string]int64
}

func newTracker() instanceTracker {
	return instanceTracker{instances: map[string]*record{}, past: map[string]int64{}}
}

// announce records an announcement and classifies it. current is the ID of the
// instance in use.
func (t *instanceTracker) announce(now time.Time, current string, instance cicadaseam.Instance) announceResult {
	r := t.instances[instance.ID]
	if r == nil {
		return t.announceFirst(now, current, instance)
	}
	if restarted := instance.StartUnixMilli > r.latest.StartUnixMilli && r.latest.StartUnixMilli > 0; restarted {
		// The instance was started again under the same ID and has lost its state.
		t.instances[instance.ID] = newRecord(now, instance)
		return announceNew
	}
	if !instance.Newer(&r.latest) || r.departed && instance.State == cicadaseam.BackendReady {
		return announceStale
	}
	r.latest = instance
	r.lastHeard = now
	r.departed = r.departed || instance.State == cicadaseam.BackendDraining
	if instance.ID == current {
		return announceRenewed
	}
	if c := t.instances[current]; c != nil && now.Sub(c.lastHeard) < switchBackSilence {
		return announceStale
	}
	return announceNew
}

// announceFirst handles the first announcement of an instance ID. If the instance started
// before the one in use, the announcement was delayed, and is stale.
func (t *instanceTracker) announceFirst(now time.Time, current string, instance cicadaseam.Instance) announceResult {
	t.evictOldest(current)
	r := newRecord(now, instance)
	t.instances[instance.ID] = r
	if t.isPast(&instance) {
		r.departed = true
		return announceStale
	}
	c := t.instances[current]
	if c != nil && current != instance.ID && instance.StartUnixMilli > 0 && c.latest.StartUnixMilli > instance.StartUnixMilli {
		return announceStale
	}
	return announceNew
}

// markDeparted records that an instance departed, even if it never announced itself. It reports
// false if another start under the same ID has announced itself since.
func (t *instanceTracker) markDeparted(now time.Time, d cicadaseam.Departure) bool {
	r := t.instances[d.ID]
	if r == nil {
		t.evictOldest("")
		r = &record{latest: cicadaseam.Instance{ID: d.ID, StartUnixMilli: d.StartUnixMilli}, lastHeard: now}
		t.instances[d.ID] = r
	}
	if d.StartUnixMilli > 0 && d.StartUnixMilli < r.latest.StartUnixMilli {
		return false
	}
	if d.StartUnixMilli > r.latest.StartUnixMilli {
		// A later start than the latest that announced itself here. Its announcements may still arrive.
		r.latest = cicadaseam.Instance{ID: d.ID, StartUnixMilli: d.StartUnixMilli}
	}
	r.departed = true
	return true
}

// isPast reports whether a start of an instance departed that had no record.
func (t *instanceTracker) isPast(instance *cicadaseam.Instance) bool {
	start, departed := t.past[instance.ID]
	return departed && (start == 0 || instance.StartUnixMilli <= start)
}

// addPast remembers a departed instance without a record.
func (t *instanceTracker) addPast(d cicadaseam.Departure) {
	start, known := t.past[d.ID]
	if known || len(t.past) < maxPast {
		t.past[d.ID] = max(start, d.StartUnixMilli)
	}
}

// departure returns the departure of an instance ID, and false if its latest start has not
// departed.
func (t *instanceTracker) departure(id string) (cicadaseam.Departure, bool) {
	r := t.instances[id]
	if r == nil || !r.departed {
		return cicadaseam.Departure{}, false
	}
	return cicadaseam.Departure{ID: id, StartUnixMilli: r.latest.StartUnixMilli}, true
}

func (t *instanceTracker) departures() []cicadaseam.Departure {
	var out []cicadaseam.Departure
	for id := range t.instances {
		if d, departed := t.departure(id); departed {
			out = append(out, d)
		}
	}
	return out
}

// evictOldest makes room for one more instance: when the tracker is full, it forgets
// the announcements of the instance, other than current, whose last one is the oldest. It still knows
// whether that departed.
func (t *instanceTracker) evictOldest(current string) {
	if len(t.instances) < maxInstances {
		return
	}
	oldest := ""
	for id, r := range t.instances {
		if id != current && (oldest == "" || r.lastHeard.Before(t.instances[oldest].lastHeard)) {
			oldest = id
		}
	}
	if d, departed := t.departure(oldest); departed {
		t.addPast(d)
	}
	delete(t.instances, oldest)
}
