package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// maxReported bounds the orders in a report.
	maxReported = 16
	// evidencePeriod bounds how often changed evidence makes a report worth a full heartbeat.
	evidencePeriod = 250 * time.Millisecond
)

// Following returns the order whose evidence the backend server of a service is to count, and
// whether it is of the target version. The key is 0 if there is none.
func (t *Tracker) Following(service, version string) (key uint32, isTarget bool) {
	o := t.orders[service]
	if o == nil || o.state() != cicadaseam.RolloutRunning {
		return 0, false
	}
	return o.key, version == o.Version
}

// Report returns what the other nodes are told, or nil without an order. counts are those of
// the recorder for the order with a key.
func (t *Tracker) Report(now time.Duration, version string, counts Counts, forKey uint32) *Report {
	if len(t.orders) == 0 {
		return nil
	}
	if n := counts.total().Responses; n != t.evidenceSize && now-t.evidenceAt >= t.reportPeriod() {
		t.evidenceSize, t.evidenceAt = n, now
		t.sequence++
	}
	r := &Report{Sequence: t.sequence, Version: version, Evidence: counts, EvidenceFor: forKey, Drained: t.drained, StoreFailed: t.storeFailed}
	for _, o := range t.reported() {
		r.Orders = append(r.Orders, o.report(now))
	}
	return r
}

// reportPeriod returns how often changed evidence is sent. It leaves time within a short limit.
func (t *Tracker) reportPeriod() time.Duration {
	const reportsPerLimit = 20
	return min(evidencePeriod, t.settings.Limit/reportsPerLimit)
}

// reported returns the orders in a report: the running ones first, and then the latest.
func (t *Tracker) reported() []*order {
	orders := slices.Collect(maps.Values(t.orders))
	slices.SortFunc(orders, func(a, b *order) int {
		if x, y := a.final().IsFinal(), b.final().IsFinal(); x != y {
			if y {
				return -1
			}
			return 1
		}
		return int(b.learnedAt - a.learnedAt)
	})
	return orders[:min(len(orders), maxReported)]
}

// Urgent makes the next report one that the other nodes are to get at once.
func (t *Tracker) Urgent() { t.sequence++ }

// updateDigest raises the sequence if something changed that the other nodes are to learn at
// once, and reports whether it did.
func (t *Tracker) updateDigest() bool {
	d := xxhash.New()
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		o := t.orders[service]
		flags := []byte{boolByte(o.bad), boolByte(o.done), boolByte(o.step == StepShift), o.posted, byte(o.postedEpoch)}
		_, _ = d.WriteString(service)                                                                // a hash accepts every write
		_, _ = d.Write(append(flags, byte(o.key), byte(o.key>>8), byte(o.key>>16), byte(o.key>>24))) // as above
	}
	_, _ = d.Write([]byte{boolByte(t.drained), boolByte(t.storeFailed)}) // as above
	digest := d.Sum64()
	if len(t.orders) == 0 || digest == t.digest {
		return false
	}
	t.digest = digest
	t.sequence++
	return true
}

func boolByte(x bool) byte {
	if x {
		return 1
	}
	return 0
}
