package quarantine

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Suspicions returns all entries, for a node that has just started.
func (q *Quarantine) Suspicions(now time.Time) []cicadaseam.Suspicion {
	q.expire(now)
	out := make([]cicadaseam.Suspicion, 0, len(q.entries))
	for f, e := range q.entries {
		s := cicadaseam.Suspicion{Fingerprint: f, Refused: e.refused, Probation: e.probation, Period: e.period, Remaining: e.expires.Sub(now)}
		for id := range e.crashes {
			s.CrashIDs = append(s.CrashIDs, id)
		}
		out = append(out, s)
	}
	return out
}

// MergeSuspicions merges the entries of another node. Of two states of a fingerprint the stricter one
// holds, and of two equal ones that which lasts longer.
func (q *Quarantine) MergeSuspicions(now time.Time, list []cicadaseam.Suspicion) {
	q.expire(now)
	for i := range list {
		q.mergeSuspicion(now, &list[i])
	}
}

func (q *Quarantine) mergeSuspicion(now time.Time, s *cicadaseam.Suspicion) {
	var crashIDs []string
	for _, id := range s.CrashIDs {
		if _, cleared := q.cleared[markKey{s.Fingerprint, id}]; !cleared {
			crashIDs = append(crashIDs, id)
		}
	}
	if len(crashIDs) == 0 || s.Remaining <= 0 {
		return
	}
	e := q.entries[s.Fingerprint]
	if e == nil {
		q.evictIfFull()
		e = &entry{crashes: map[string]bool{}, period: q.period}
		q.entries[s.Fingerprint] = e
	}
	for _, id := range crashIDs {
		e.crashes[id] = true
	}
	e.merge(&entry{refused: s.Refused, probation: s.Probation, period: min(s.Period, maxPeriod), expires: now.Add(min(s.Remaining, maxPeriod))})
	q.noteExpiry(e.expires)
}

// merge takes over the state of another entry if that is stricter or lasts longer.
func (e *entry) merge(o *entry) {
	stricter, laxer := o.strictness() > e.strictness(), o.strictness() < e.strictness()
	if stricter || !laxer && o.expires.After(e.expires) {
		e.refused, e.expires = o.refused, o.expires
	}
	e.probation = e.probation || o.probation
	e.period = max(e.period, o.period)
}

// strictness orders the states of entries: marked, on probation, refused.
func (e *entry) strictness() int {
	switch {
	case e.refused:
		return 2
	case e.probation:
		return 1
	}
	return 0
}
