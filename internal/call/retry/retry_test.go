package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func newBudget(seed uint64) *Budget { return NewBudget(rand.New(rand.NewPCG(seed, seed))) }

func TestDecide(t *testing.T) {
	base := Attempt{Number: 1, MaxRetries: 2, FirstHop: true, Idempotent: true, Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonLinkLost, Remaining: time.Second, HasUntriedTarget: true}
	cases := []struct {
		name   string
		change func(*Attempt)
		retry  bool
	}{
		{"idempotent, lost", func(*Attempt) {}, true},
		{"not the first hop", func(a *Attempt) { a.FirstHop = false }, false},
		{"not idempotent and may have run", func(a *Attempt) { a.Idempotent = false }, false},
		{"not idempotent and ran", func(a *Attempt) { a.Idempotent, a.Outcome, a.Failed = false, cicadaseam.OutcomeRan, true }, false},
		{"not idempotent and not run", func(a *Attempt) { a.Idempotent, a.Outcome = false, cicadaseam.OutcomeNotRun }, true},
		{"failed by a backend server", func(a *Attempt) { a.Outcome, a.Failed = cicadaseam.OutcomeRan, true }, true},
		{"no retries left", func(a *Attempt) { a.Number = 3 }, false},
		{"no time left", func(a *Attempt) { a.Remaining = time.Millisecond }, false},
		{"no other target", func(a *Attempt) { a.HasUntriedTarget = false }, false},
		{"quarantined", func(a *Attempt) { a.Outcome, a.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonQuarantine }, false},
		{"the only request in flight when the backend server crashed", func(a *Attempt) { a.Reason = cicadaseam.ReasonBackendCrashed }, false},
		{"shed at the source", func(a *Attempt) { a.Outcome, a.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonShed }, false},
	}
	for _, tc := range cases {
		a := base
		tc.change(&a)
		delay, again := newBudget(1).Decide(a)
		require.Equal(t, tc.retry, again, tc.name)
		require.Less(t, delay, a.Remaining+maxBackoff, tc.name)
	}
}

func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	b := newBudget(1)
	a := Attempt{Number: 1, MaxRetries: 2, FirstHop: true, Idempotent: true, Reason: cicadaseam.ReasonLinkLost, Remaining: time.Second, HasUntriedTarget: true}
	retries := 0
	for range 1000 {
		b.RecordSuccess(0.1)
		if _, again := b.Decide(a); again {
			retries++
		}
	}
	require.InDelta(t, 100, retries, initialTokens+1)
	for i := range 1000 { // a retry after a target that is draining or not ready needs no token
		attempt := a
		attempt.Outcome, attempt.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonDraining
		if i%2 == 0 {
			attempt.Reason = cicadaseam.ReasonNotReady
		}
		_, again := b.Decide(attempt)
		require.True(t, again)
	}
}

// callChain is a call that passes through many services, each with an entry node and
// a retry budget of its own. The last service fails half of its calls.
type callChain struct {
	budgets      []*Budget
	rng          *rand.Rand
	lastHopCalls int
}

func (c *callChain) callFrom(depth int) bool {
	if depth == len(c.budgets) {
		c.lastHopCalls++
		return c.rng.Float64() >= 0.5
	}
	for number := 1; ; number++ {
		ok := c.callFrom(depth + 1)
		if ok {
			c.budgets[depth].RecordSuccess(0.1)
			return true
		}
		_, again := c.budgets[depth].Decide(Attempt{
			Number: number, MaxRetries: 2, FirstHop: depth == 0, Idempotent: true,
			Outcome: cicadaseam.OutcomeRan, Failed: true, Remaining: time.Second, HasUntriedTarget: true,
		})
		if !again {
			return false
		}
	}
}

// If every hop retried, failures of the last service would multiply its calls by the
// attempts of each hop before it.
func TestDepthDoesNotMultiplyRetries(t *testing.T) {
	const depth, calls = 28, 10000
	c := &callChain{rng: rand.New(rand.NewPCG(2, 2))}
	for i := range depth {
		c.budgets = append(c.budgets, newBudget(uint64(i)))
	}
	for range calls {
		c.callFrom(0)
	}
	t.Logf("depth %d, half of the last hop's calls fail: %d calls reach it for %d made (%.3f)", depth, c.lastHopCalls, calls, float64(c.lastHopCalls)/calls)
	require.LessOrEqual(t, float64(c.lastHopCalls), 1.2*calls)
}
