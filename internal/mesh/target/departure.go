package target

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// Withdraw marks the latest start under an ID as departed: it gets no new request.
func (t *Target) Withdraw(now time.Time, id string) {
	t.markDeparted(now, cicadaseam.Departure{ID: id})
}

func (t *Target) markDeparted(now time.Time, d cicadaseam.Departure) {
	id := d.ID
	t.mu.Lock()
	changed := t.tracker.markDeparted(now, d) && t.server != nil && t.server.instance.ID == id && !t.server.draining
	if changed {
		t.server.drain(now, t.drainTime)
	}
	t.mu.Unlock()
	if changed {
		t.logger.Info("backend server withdrawn", zap.String("instance", id))
		t.onChange()
	}
}

// Departure returns the departure of the latest start under an ID, and false if that has not
// departed.
func (t *Target) Departure(id string) (cicadaseam.Departure, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.departure(id)
}

// Departed returns the departures that are still remembered.
func (t *Target) Departed() []cicadaseam.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.departures()
}

// MarkDeparted marks instances as departed that did so before this process started. Those that started
// last are among Departed.
func (t *Target) MarkDeparted(now time.Time, list []cicadaseam.Departure) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b cicadaseam.Departure) int { return cmp.Compare(b.StartUnixMilli, a.StartUnixMilli) })
	latest := min(len(list), maxInstances/2)
	t.AddPast(now, list[latest:])
	for _, d := range list[:latest] {
		t.markDeparted(now, d)
	}
}

// AddPast records departures of instances that may have been at another node. They count if one of
// these instances announces itself here, and are not among Departed.
func (t *Target) AddPast(now time.Time, list []cicadaseam.Departure) {
	for _, d := range list {
		if !t.addPast(d) {
			t.markDeparted(now, d)
		}
	}
}

// addPast records a departure, and returns false if its instance has announced itself.
func (t *Target) addPast(d cicadaseam.Departure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tracker.instances[d.ID] != nil {
		return false
	}
	t.tracker.addPast(d)
	return true
}
