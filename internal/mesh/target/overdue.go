package target

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// overdueFactor is the multiple of its expected run time after which a run is overdue. Of runs
	// with exponentially distributed times, 5% are overdue, but rarely several at once.
	overdueFactor = 3
	// minOverdueTime is the least time after which a run is overdue. Scheduling and garbage
	// collection cause shorter delays.
	minOverdueTime = 50 * time.Millisecond
	// minOverdue is the number of overdue runs from which a server counts as stalled.
	minOverdue = 2
	// promptRuns is the number of runs in a row that end before they are overdue after which a stall
	// has ended. Most running requests may still be overdue then: where a few requests take very
	// long, most of those that run at a time are of these.
	promptRuns = 3
	// lostRetention is how long runs that timed out or were cancelled when overdue are counted. A
	// server that gets no requests because it is avoided counts as recovered then.
	lostRetention = 2 * time.Second
	// maxLost bounds the number of such runs.
	maxLost = 64
)

// activeRun is a run that has not ended.
type activeRun struct {
	startedAt time.Time
	overdueAt time.Time     // zero if the expected run time is not known
	objective time.Duration // latency objective
	paused    time.Duration // of the run time, the part that a stall took
}

// activeRuns detects stalls of an instance: several runs are overdue, most of all, and none has
// ended for as long. A stall ends when most runs are not overdue, or several end in time. Single slow requests among
// others that end are no stall.
type activeRuns struct {
	runs     map[*cicadaseam.MeshCall]activeRun
	endedAt  time.Time   // when a run last ended with an answer
	lost     []activeRun // overdue runs that were given up since then
	lostAt   time.Time
	stalling bool
	quiet    bool // stalling, and no run has ended for as long as several took to become overdue
	prompt   int  // runs in a row that ended in time
}

// begin records the start of a run.
func (a *activeRuns) begin(now time.Time, call *cicadaseam.MeshCall, expected time.Duration) {
	if a.runs == nil {
		a.runs = map[*cicadaseam.MeshCall]activeRun{}
	}
	r := activeRun{startedAt: now, objective: call.LatencyObjective}
	if expected > 0 {
		r.overdueAt = now.Add(max(overdueFactor*expected, minOverdueTime))
	}
	a.runs[call] = r
}

// end records the end of a run, with an answer of the server or without. It returns the part of
// the run time that a stall took, which says nothing about runs after it.
func (a *activeRuns) end(now time.Time, call *cicadaseam.MeshCall, answered bool) (paused time.Duration) {
	if answered {
		a.recordPause(now)
	}
	r, ok := a.runs[call]
	if !ok {
		return 0
	}
	delete(a.runs, call)
	switch {
	case answered:
		a.endedAt = now
		a.lost = nil
		a.prompt++
		if r.isOverdue(now) {
			a.prompt = 0
		}
	case r.isOverdue(now) && len(a.lost) < maxLost:
		a.lost = append(a.lost, r)
		a.lostAt = now
	}
	return r.paused
}

// recordPause ends the time in which no run ended during a stall.
func (a *activeRuns) recordPause(now time.Time) {
	if a.stall(now); !a.quiet {
		return
	}
	for call, r := range a.runs {
		r.paused += min(now.Sub(a.endedAt), now.Sub(r.startedAt))
		a.runs[call] = r
	}
}

func (r *activeRun) isOverdue(now time.Time) bool {
	return !r.overdueAt.IsZero() && now.After(r.overdueAt)
}

// stall reports whether the instance is stalled, and the mean time that its overdue runs have
// taken, as a share of their latency objective.
func (a *activeRuns) stall(now time.Time) (latencyShare float64, stalled bool) {
	if now.Sub(a.lostAt) > lostRetention {
		a.lost = nil
	}
	total, overdue, quiet := len(a.runs)+len(a.lost), 0, 0
	sum := 0.0
	count := func(r *activeRun) {
		if !r.isOverdue(now) {
			return
		}
		overdue++
		if now.Sub(a.endedAt) > r.overdueAt.Sub(r.startedAt) {
			quiet++
		}
		if r.objective > 0 {
			sum += float64(now.Sub(r.startedAt)) / float64(r.objective)
		}
	}
	for _, r := range a.runs {
		count(&r)
	}
	for i := range a.lost {
		count(&a.lost[i])
	}
	most := overdue >= minOverdue && 2*overdue >= total
	a.quiet = most && quiet >= minOverdue
	a.stalling = a.quiet || most && a.stalling && a.prompt < promptRuns
	if !a.stalling {
		return 0, false
	}
	return sum / float64(overdue), true
}
