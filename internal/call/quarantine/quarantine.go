// Package quarantine stops requests that crash backend servers from being run again.
//
// # Model
//
// A crash of a backend server marks the fingerprint of each request that it was
// running. The marks are sent to all nodes at once. A fingerprint that two crashes
// mark is refused for a period, if the second comes before the mark of the first is forgotten. A
// request that succeeds loses its marks, so that a request that merely was in flight at a crash is
// not refused for that crash. When a refusal ends and the fingerprint is still marked, it is on
// probation: one more crash refuses it again, for twice as long. Marks and probations last a period
// or, if that is longer, the memory: a request may come again more rarely than once in a period.
//
// # Invariants
//
//   - A refusal ends by itself.
//   - A crash counts once, however often its mark arrives.
//
// # Usage
//
//	marks := q.RecordCrash(now, crashID, fingerprints) // send these to all nodes
//	added := q.MergeMarks(now, marks)                  // received from another node
//	wait, refused := q.Refused(now, fingerprint)
//	marks = q.RecordSuccess(now, fingerprint) // send these to all nodes
//	q.MergeSuspicions(now, other.Suspicions(now)) // in a process that has just started
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Limits of the refusal and of the memory that the marks take.
const (
	// DefaultPeriod is how long a fingerprint is refused the first time.
	DefaultPeriod = time.Minute
	// maxPeriod bounds the period, which doubles with each refusal in a row.
	maxPeriod = 10 * time.Minute
	// crashesToRefuse is the number of crashes that get a fingerprint refused.
	crashesToRefuse = 2
	// MaxEntries bounds the number of marked fingerprints, and that of cleared marks. When
	// it is reached, the one that expires first makes room for a new one.
	MaxEntries = 4096
)

// entry holds the marks of one fingerprint.
type entry struct {
	crashes map[string]bool // by crash ID
	// expires is when a refusal turns into probation, or else when the entry is
	// removed.
	expires   time.Time
	refused   bool
	probation bool
	period    time.Duration
}

// Quarantine holds the marks that one node has received or made. It is a plain state machine
// that reads no clock, and is not safe for concurrent use.
type Quarantine struct {
	period  time.Duration
	memory  time.Duration
	entries map[uint64]*entry // by fingerprint
	// cleared holds the time at which to forget each cleared mark. Until then a
	// late copy of the mark does not count.
	cleared map[markKey]time.Time
	// nextExpiry is when the first entry or cleared mark expires, or earlier.
	nextExpiry time.Time
}

// markKey identifies a mark.
type markKey struct {
	fingerprint uint64
	crashID     string
}

// Option configures a new Quarantine.
type Option func(*Quarantine)

// WithPeriod sets how long a fingerprint is refused the first time.
func WithPeriod(d time.Duration) Option { return func(q *Quarantine) { q.period = d } }

// WithMemory sets the least time for which a mark counts, and for which a probation lasts.
func WithMemory(d time.Duration) Option { return func(q *Quarantine) { q.memory = d } }

// New returns a Quarantine without marks.
func New(opts ...Option) *Quarantine {
	q := &Quarantine{period: DefaultPeriod, entries: map[uint64]*entry{}, cleared: map[markKey]time.Time{}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetPeriod changes the period of fingerprints that are marked from now on.
func (q *Quarantine) SetPeriod(d time.Duration) { q.period = d }

// Fingerprint identifies a request by what its backend server would see of it,
// except the headers.
func Fingerprint(service, method, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{service, method, target} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// RecordCrash marks the fingerprints of the requests that were in flight at a crash.
// It returns the marks to send to the other nodes.
func (q *Quarantine) RecordCrash(now time.Time, crashID string, fingerprints []uint64) []cicadaseam.CrashMark {
	marks := make([]cicadaseam.CrashMark, 0, len(fingerprints))
	for _, f := range fingerprints {
		marks = append(marks, cicadaseam.CrashMark{Fingerprint: f, CrashID: crashID})
	}
	return q.MergeMarks(now, marks)
}

// MergeMarks merges marks, as received from another node, and returns those that
// were new.
func (q *Quarantine) MergeMarks(now time.Time, marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	q.expire(now)
	var added []cicadaseam.CrashMark
	for _, m := range marks {
		if q.merge(now, m) {
			added = append(added, m)
		}
	}
	return added
}

// merge merges one mark and reports whether it was new.
func (q *Quarantine) merge(now time.Time, m cicadaseam.CrashMark) bool {
	key := markKey{m.Fingerprint, m.CrashID}
	if _, known := q.cleared[key]; known {
		return false
	}
	if m.Cleared {
		q.evictClearedIfFull()
		q.cleared[key] = now.Add(maxPeriod)
		q.noteExpiry(q.cleared[key])
		q.removeCrash(m)
		return true
	}
	e := q.entries[m.Fingerprint]
	if e == nil {
		q.evictIfFull()
		e = &entry{crashes: map[string]bool{}, period: q.period}
		q.entries[m.Fingerprint] = e
	}
	if e.crashes[m.CrashID] {
		return false
	}
	e.crashes[m.CrashID] = true
	q.updateAfterCrash(now, e)
	return true
}

// updateAfterCrash decides after a new crash whether an entry is refused, and until
// when.
func (q *Quarantine) updateAfterCrash(now time.Time, e *entry) {
	refuse := len(e.crashes) >= crashesToRefuse
	if e.probation && !e.refused {
		e.period = min(2*e.period, maxPeriod)
		refuse = true
	}
	e.refused = e.refused || refuse
	e.expires = now.Add(q.duration(e))
	q.noteExpiry(e.expires)
}

// duration returns how long an entry keeps its state: refused, on probation or only marked.
func (q *Quarantine) duration(e *entry) time.Duration {
	if e.refused {
		return e.period
	}
	return max(e.period, q.memory)
}

// noteExpiry records when an entry or a cleared mark expires.
func (q *Quarantine) noteExpiry(at time.Time) {
	if q.nextExpiry.IsZero() || at.Before(q.nextExpiry) {
		q.nextExpiry = at
	}
}

// removeCrash removes the crash of a cleared mark from its entry, and removes the
// entry if no crash is left.
func (q *Quarantine) removeCrash(m cicadaseam.CrashMark) {
	e := q.entries[m.Fingerprint]
	if e == nil {
		return
	}
	delete(e.crashes, m.CrashID)
	if len(e.crashes) == 0 {
		delete(q.entries, m.Fingerprint)
	}
}

// HasMarks reports whether any fingerprint is marked, so that calls can skip the
// other checks when none is.
func (q *Quarantine) HasMarks() bool { return len(q.entries) > 0 }

// Refused reports whether a fingerprint is refused, and for how much longer.
func (q *Quarantine) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	q.expire(now)
	e := q.entries[fingerprint]
	if e == nil || !e.refused {
		return 0, false
	}
	return e.expires.Sub(now), true
}

// RecordSuccess removes the marks of a fingerprint whose request succeeded, unless
// it is refused. It returns the cleared marks to send to the other nodes.
func (q *Quarantine) RecordSuccess(now time.Time, fingerprint uint64) []cicadaseam.CrashMark {
	e := q.entries[fingerprint]
	if e == nil || e.refused {
		return nil
	}
	var marks []cicadaseam.CrashMark
	for crashID := range e.crashes {
		marks = append(marks, cicadaseam.CrashMark{Fingerprint: fingerprint, CrashID: crashID, Cleared: true})
	}
	delete(q.entries, fingerprint)
	return q.MergeMarks(now, marks)
}

// expire ends refusals and probations that are over. A refusal turns into a probation.
func (q *Quarantine) expire(now time.Time) {
	if now.Before(q.nextExpiry) {
		return
	}
	q.nextExpiry = time.Time{}
	for f, e := range q.entries {
		if !now.Before(e.expires) {
			q.endState(e)
		}
		if !now.Before(e.expires) {
			delete(q.entries, f)
			continue
		}
		q.noteExpiry(e.expires)
	}
	for key, expires := range q.cleared {
		if !now.Before(expires) {
			delete(q.cleared, key)
			continue
		}
		q.noteExpiry(expires)
	}
}

// endState turns a refusal whose time is over into a probation. Any other entry is over with it.
func (q *Quarantine) endState(e *entry) {
	if !e.refused {
		return
	}
	e.refused = false
	e.probation = true
	e.expires = e.expires.Add(q.duration(e))
}

// evictIfFull makes room for a new entry.
func (q *Quarantine) evictIfFull() {
	if len(q.entries) < MaxEntries {
		return
	}
	var evicted uint64
	var expires time.Time
	for f, e := range q.entries {
		if expires.IsZero() || e.expires.Before(expires) {
			evicted, expires = f, e.expires
		}
	}
	delete(q.entries, evicted)
}

// evictClearedIfFull makes room for a new cleared mark.
func (q *Quarantine) evictClearedIfFull() {
	if len(q.cleared) < MaxEntries {
		return
	}
	var evicted markKey
	var expires time.Time
	for key, at := range q.cleared {
		if expires.IsZero() || at.Before(expires) {
			evicted, expires = key, at
		}
	}
	delete(q.cleared, evicted)
}
