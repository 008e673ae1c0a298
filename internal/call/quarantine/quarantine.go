// Package quarantine keeps requests that crash backend servers away from them.
//
// # Model
//
// A crash of a backend server marks the fingerprint of each request that it
// was running. Marks are told to all nodes at once. A fingerprint marked by
// two crashes is refused for a period. A request that runs well loses its
// marks, so that one that was only in flight at the same time is served again;
// a fingerprint that is still marked when its period ends is on probation: one
// more crash refuses it again, for twice as long.
//
// # Invariants
//
//   - A refusal ends by itself.
//   - One crash counts once, however often its mark arrives.
//
// # Usage
//
//	marks := q.Crash(now, crash, fingerprints) // tell all nodes
//	fresh := q.Take(now, marks)                // heard from others
//	wait, refused := q.Refused(now, fingerprint)
//	marks = q.Succeeded(now, fingerprint)
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Limits.
const (
	DefaultPeriod = time.Minute
	maxPeriod     = 10 * time.Minute
	crashesNeeded = 2
	// MaxEntries bounds the marked fingerprints. Past it, the one that ends
	// first is dropped.
	MaxEntries = 4096
)

type entry struct {
	crashes map[string]bool
	// expires is when the entry is dropped; it is refused until then if it has
	// enough crashes.
	expires   time.Time
	refused   bool
	probation bool
	period    time.Duration
}

// Quarantine is a plain state machine and is not safe for concurrent use.
type Quarantine struct {
	period  time.Duration
	entries map[uint64]*entry
	// cleared remembers cleared marks, so that a late copy does not count.
	cleared map[mark]time.Time
}

type mark struct {
	fingerprint uint64
	crash       string
}

// Option changes a new Quarantine.
type Option func(*Quarantine)

// WithPeriod sets how long a fingerprint is refused the first time.
func WithPeriod(d time.Duration) Option { return func(q *Quarantine) { q.period = d } }

// New returns a quarantine without marks.
func New(opts ...Option) *Quarantine {
	q := &Quarantine{period: DefaultPeriod, entries: map[uint64]*entry{}, cleared: map[mark]time.Time{}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetPeriod changes the period for crashes from now on.
func (q *Quarantine) SetPeriod(d time.Duration) { q.period = d }

// Fingerprint identifies a request by what its backend server would see.
func Fingerprint(service, method, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{service, method, target} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// Crash marks the fingerprints in flight at a crash and returns the marks to
// tell.
func (q *Quarantine) RecordCrash(now time.Time, crash string, fingerprints []uint64) []cicadaseam.CrashMark {
	marks := make([]cicadaseam.CrashMark, 0, len(fingerprints))
	for _, f := range fingerprints {
		marks = append(marks, cicadaseam.CrashMark{Fingerprint: f, CrashID: crash})
	}
	return q.MergeMarks(now, marks)
}

// Take notes marks and returns those that were new.
func (q *Quarantine) MergeMarks(now time.Time, marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	q.expire(now)
	var fresh []cicadaseam.CrashMark
	for _, m := range marks {
		if q.take(now, m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

func (q *Quarantine) take(now time.Time, m cicadaseam.CrashMark) bool {
	key := mark{m.Fingerprint, m.CrashID}
	if _, known := q.cleared[key]; known {
		return false
	}
	if m.Cleared {
		q.cleared[key] = now.Add(maxPeriod)
		q.clear(m)
		return true
	}
	e := q.entries[m.Fingerprint]
	if e == nil {
		q.makeRoom()
		e = &entry{crashes: map[string]bool{}, period: q.period}
		q.entries[m.Fingerprint] = e
	}
	if e.crashes[m.CrashID] {
		return false
	}
	e.crashes[m.CrashID] = true
	q.judge(now, e)
	return true
}

// judge sets the end of an entry after a new crash.
func (q *Quarantine) judge(now time.Time, e *entry) {
	enough := len(e.crashes) >= crashesNeeded
	if e.probation && !e.refused {
		e.period = min(2*e.period, maxPeriod)
		enough = true
	}
	e.refused = e.refused || enough
	e.expires = now.Add(e.period)
}

func (q *Quarantine) clear(m cicadaseam.CrashMark) {
	e := q.entries[m.Fingerprint]
	if e == nil {
		return
	}
	delete(e.crashes, m.CrashID)
	if len(e.crashes) == 0 {
		delete(q.entries, m.Fingerprint)
	}
}

// Marked reports whether any fingerprint is marked at all. It lets the call
// path skip the rest.
func (q *Quarantine) HasMarks() bool { return len(q.entries) > 0 }

// Refused reports whether a fingerprint is refused, and for how long.
func (q *Quarantine) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	q.expire(now)
	e := q.entries[fingerprint]
	if e == nil || !e.refused {
		return 0, false
	}
	return e.expires.Sub(now), true
}

// Succeeded takes the marks off a fingerprint that ran well and returns the
// clearings to tell.
func (q *Quarantine) RecordSuccess(now time.Time, fingerprint uint64) []cicadaseam.CrashMark {
	e := q.entries[fingerprint]
	if e == nil || e.refused {
		return nil
	}
	var marks []cicadaseam.CrashMark
	for crash := range e.crashes {
		marks = append(marks, cicadaseam.CrashMark{Fingerprint: fingerprint, CrashID: crash, Cleared: true})
	}
	delete(q.entries, fingerprint)
	return q.MergeMarks(now, marks)
}

// expire ends refusals and probations. A refused entry goes on probation for
// as long again.
func (q *Quarantine) expire(now time.Time) {
	for f, e := range q.entries {
		if now.Before(e.expires) {
			continue
		}
		if !e.refused {
			delete(q.entries, f)
			continue
		}
		e.refused = false
		e.probation = true
		e.expires = e.expires.Add(e.period)
		if !now.Before(e.expires) {
			delete(q.entries, f)
		}
	}
	for key, end := range q.cleared {
		if !now.Before(end) {
			delete(q.cleared, key)
		}
	}
}

func (q *Quarantine) makeRoom() {
	if len(q.entries) < MaxEntries {
		return
	}
	var first uint64
	var end time.Time
	for f, e := range q.entries {
		if end.IsZero() || e.expires.Before(end) {
			first, end = f, e.expires
		}
	}
	delete(q.entries, first)
}
