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
	good := Attempt{Number: 1, MaxRetries: 2, FirstEntry: true, Idempotent: true, Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonLinkLost, Remaining: time.Second, OtherTargets: true}
	cases := []struct {
		name   string
		change func(*Attempt)
		again  bool
	}{
		{"idempotent, lost", func(*Attempt) {}, true},
		{"not the first entry", func(a *Attempt) { a.FirstEntry = false }, false},
		{"not idempotent and may have run", func(a *Attempt) { a.Idempotent = false }, false},
		{"not idempotent and ran", func(a *Attempt) { a.Idempotent, a.Outcome, a.Failed = false, cicadaseam.OutcomeRan, true }, false},
		{"not idempotent and not run", func(a *Attempt) { a.Idempotent, a.Outcome = false, cicadaseam.OutcomeNotRun }, true},
		{"failed by a backend server", func(a *Attempt) { a.Outcome, a.Failed = cicadaseam.OutcomeRan, true }, true},
		{"attempts used up", func(a *Attempt) { a.Number = 3 }, false},
		{"no time left", func(a *Attempt) { a.Remaining = time.Millisecond }, false},
		{"no other target", func(a *Attempt) { a.OtherTargets = false }, false},
		{"quarantined", func(a *Attempt) { a.Outcome, a.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonQuarantine }, false},
		{"crashed the backend server alone", func(a *Attempt) { a.Reason = cicadaseam.ReasonBackendCrashed }, false},
		{"shed at the source", func(a *Attempt) { a.Outcome, a.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonShed }, false},
	}
	for _, tc := range cases {
		a := good
		tc.change(&a)
		delay, again := newBudget(1).Decide(a)
		require.Equal(t, tc.again, again, tc.name)
		require.Less(t, delay, a.Remaining+maxDelay, tc.name)
	}
}

func TestBudgetIsAShareOfSuccess(t *testing.T) {
	b := newBudget(1)
	a := Attempt{Number: 1, MaxRetries: 2, FirstEntry: true, Idempotent: true, Reason: cicadaseam.ReasonLinkLost, Remaining: time.Second, OtherTargets: true}
	retries := 0
	for range 1000 {
		b.Succeeded(0.1)
		if _, again := b.Decide(a); again {
			retries++
		}
	}
	require.InDelta(t, 100, retries, initialTokens+1)
	for i := range 1000 { // a detour around a target that leaves or comes costs no token
		free := a
		free.Outcome, free.Reason = cicadaseam.OutcomeNotRun, cicadaseam.ReasonDraining
		if i%2 == 0 {
			free.Reason = cicadaseam.ReasonNotReady
		}
		_, again := b.Decide(free)
		require.True(t, again)
	}
}

// chain is a call through many services, each with its own entry and budget.
// The last one fails half of its calls.
type chain struct {
	budgets []*Budget
	rng     *rand.Rand
	last    int
}

func (c *chain) call(depth int) bool {
	if depth == len(c.budgets) {
		c.last++
		return c.rng.Float64() >= 0.5
	}
	for number := 1; ; number++ {
		ok := c.call(depth + 1)
		if ok {
			c.budgets[depth].Succeeded(0.1)
			return true
		}
		_, again := c.budgets[depth].Decide(Attempt{
			Number: number, MaxRetries: 2, FirstEntry: depth == 0, Idempotent: true,
			Outcome: cicadaseam.OutcomeRan, Failed: true, Remaining: time.Second, OtherTargets: true,
		})
		if !again {
			return false
		}
	}
}

func TestDepthDoesNotMultiplyRetries(t *testing.T) {
	const depth, calls = 28, 10000
	c := &chain{rng: rand.New(rand.NewPCG(2, 2))}
	for i := range depth {
		c.budgets = append(c.budgets, newBudget(uint64(i)))
	}
	for range calls {
		c.call(0)
	}
	t.Logf("depth %d, half of the last hop's calls fail: %d calls reach it for %d made (%.3f)", depth, c.last, calls, float64(c.last)/calls)
	require.LessOrEqual(t, float64(c.last), 1.2*calls)
}
