// Package guard keeps requests that crash backend servers away from all of them.
//
// # Model
//
// A Guard is the quarantine of one node, with the marks that it still has to tell.
// Marks travel on beats, each a few times, since a beat may be lost.
//
// # Usage
//
//	g := guard.New()
//	g.Crashed(now, "i-7f3a91c2", fingerprints)
//	wait, refused := g.Refused(now, fingerprint)
//	marks := g.Marks() // for the next beat
package guard

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
)

const (
	// period is how long a request is refused the first time.
	period = 20 * time.Second
	// transmits is how often a mark is told by each node.
	transmits = 3
	// marksPerBeat bounds the marks of one beat.
	marksPerBeat = 16
)

// Guard is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	q       *quarantine.Quarantine
	pending []pending
}

type pending struct {
	mark cicadaseam.CrashMark
	left int
}

// New returns a guard without marks.
func New() *Guard { return &Guard{q: quarantine.New(quarantine.WithPeriod(period))} }

// Crashed marks the requests that ran at a crash. crash names it.
func (g *Guard) RecordCrash(now time.Time, crash string, fingerprints []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue(g.q.RecordCrash(now, crash, fingerprints))
}

// Take takes the marks of another node.
func (g *Guard) MergeMarks(now time.Time, marks []cicadaseam.CrashMark) {
	if len(marks) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue(g.q.MergeMarks(now, marks))
}

// Succeeded takes the marks off a request that ran well.
func (g *Guard) RecordSuccess(now time.Time, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.q.HasMarks() {
		g.queue(g.q.RecordSuccess(now, fingerprint))
	}
}

// Refused reports whether a request is refused, and for how long.
func (g *Guard) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.q.HasMarks() {
		return 0, false
	}
	return g.q.Refused(now, fingerprint)
}

// Marks returns the marks that travel on the next beat.
func (g *Guard) NextMarks() []cicadaseam.CrashMark {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := min(len(g.pending), marksPerBeat)
	if n == 0 {
		return nil
	}
	out := make([]cicadaseam.CrashMark, n)
	rest := append([]pending(nil), g.pending[n:]...)
	for i, p := range g.pending[:n] {
		out[i] = p.mark
		if p.left--; p.left > 0 {
			rest = append(rest, p)
		}
	}
	g.pending = rest
	return out
}

// queue notes marks to tell. The lock is held.
func (g *Guard) queue(marks []cicadaseam.CrashMark) {
	for _, m := range marks {
		g.pending = append(g.pending, pending{mark: m, left: transmits})
	}
}
