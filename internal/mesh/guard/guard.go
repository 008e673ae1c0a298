// Package guard keeps requests that crash backend servers away from all of them: the
// nodes share which requests were running at a crash, and each refuses those that are
// quarantined.
//
// # Model
//
// A Guard combines the quarantine of one node with the crash marks that the node still
// has to send to the others. Marks are sent with heartbeats. Each mark is sent several
// times, because a heartbeat may be lost. A process that starts asks a few nodes for all that they
// know.
//
// # Usage
//
//	g := guard.New()
//	g.RecordCrash(now, "i-7f3a91c2", fingerprints)
//	wait, refused := g.Refused(now, fingerprint)
//	marks := g.NextMarks() // for the next heartbeat
package guard

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
)

const (
	// quarantinePeriod is how long a request is refused the first time that it is
	// quarantined.
	quarantinePeriod = 20 * time.Second
	// markMemory is how long a request is remembered that was running at a crash, or was refused. Such
	// a request may come rarely.
	markMemory = 2 * time.Minute
	// transmissionsPerMark is the number of heartbeats in which each node sends a mark.
	transmissionsPerMark = 3
	// maxMarksPerHeartbeat bounds the marks of one heartbeat.
	maxMarksPerHeartbeat = 16
)

// Guard is the quarantine of one node and its queue of marks to send. It is safe for
// concurrent use.
type Guard struct {
	mu         sync.Mutex
	quarantine *quarantine.Quarantine
	pending    []pendingMark
}

// pendingMark is a mark that is still to be sent.
type pendingMark struct {
	mark      cicadaseam.CrashMark
	remaining int // transmissions
}

// New returns a guard without marks.
func New() *Guard {
	return &Guard{quarantine: quarantine.New(quarantine.WithPeriod(quarantinePeriod), quarantine.WithMemory(markMemory))}
}

// RecordCrash marks the requests that were running at a crash. crashID identifies the
// crash.
func (g *Guard) RecordCrash(now time.Time, crashID string, fingerprints []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.enqueue(g.quarantine.RecordCrash(now, crashID, fingerprints))
}

// MergeMarks adds the marks of another node. Those that are new here are sent on.
func (g *Guard) MergeMarks(now time.Time, marks []cicadaseam.CrashMark) {
	if len(marks) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.enqueue(g.quarantine.MergeMarks(now, marks))
}

// Suspicions returns what this node knows of requests that may crash backend servers.
func (g *Guard) Suspicions(now time.Time) []cicadaseam.Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Suspicions(now)
}

// MergeSuspicions adds what another node knows. A node asks for it when it starts.
func (g *Guard) MergeSuspicions(now time.Time, list []cicadaseam.Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.MergeSuspicions(now, list)
}

// RecordSuccess removes the marks of a request that succeeded, unless it is refused at
// present, and queues the removal for the other nodes.
func (g *Guard) RecordSuccess(now time.Time, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.HasMarks() {
		g.enqueue(g.quarantine.RecordSuccess(now, fingerprint))
	}
}

// Refused reports whether a request is refused, and for how much longer.
func (g *Guard) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.quarantine.HasMarks() {
		return 0, false
	}
	return g.quarantine.Refused(now, fingerprint)
}

// NextMarks returns the marks for the next heartbeat and counts them as sent.
func (g *Guard) NextMarks() []cicadaseam.CrashMark {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := min(len(g.pending), maxMarksPerHeartbeat)
	if n == 0 {
		return nil
	}
	out := make([]cicadaseam.CrashMark, n)
	rest := append([]pendingMark(nil), g.pending[n:]...)
	for i, p := range g.pending[:n] {
		out[i] = p.mark
		if p.remaining--; p.remaining > 0 {
			rest = append(rest, p)
		}
	}
	g.pending = rest
	return out
}

// enqueue adds marks to send. The lock is held.
func (g *Guard) enqueue(marks []cicadaseam.CrashMark) {
	for _, m := range marks {
		g.pending = append(g.pending, pendingMark{mark: m, remaining: transmissionsPerMark})
	}
}
