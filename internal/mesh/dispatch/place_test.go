package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

var (
	epoch = time.Unix(1000, 0)
	need  = Need{Route: "status", Objective: 300 * time.Millisecond, Left: 300 * time.Millisecond}
)

func newPlacer() *Placer { return NewPlacer("north", rand.New(rand.NewPCG(1, 2))) }

func candidate(addr, zone string, load cicadaseam.MeshLoad) Candidate {
	if load.Slots == 0 {
		load.Slots = 10
	}
	return Candidate{Addr: addr, Zone: zone, Load: load, Heard: epoch}
}

func pick(t *testing.T, p *Placer, c ...Candidate) string {
	t.Helper()
	choice, ok := p.Pick(epoch.Add(time.Millisecond), need, c, map[string]bool{})
	require.True(t, ok)
	return choice.Candidate.Addr
}

func TestChoiceOfATarget(t *testing.T) {
	tests := []struct {
		name      string
		near, far cicadaseam.MeshLoad
		want      string
	}{
		{"own zone when both are idle", cicadaseam.MeshLoad{}, cicadaseam.MeshLoad{}, "near"},
		{"own zone while it is slower and on time", cicadaseam.MeshLoad{LatencyPermille: 400}, cicadaseam.MeshLoad{LatencyPermille: 150}, "near"},
		{"another zone when the own one would be late", cicadaseam.MeshLoad{LatencyPermille: 1000}, cicadaseam.MeshLoad{LatencyPermille: 300}, "far"},
		{"another zone when the wait is too long", cicadaseam.MeshLoad{LatencyPermille: 330, InFlight: 10, Queued: 14}, cicadaseam.MeshLoad{LatencyPermille: 330}, "far"},
		{"own zone when the wait is short", cicadaseam.MeshLoad{LatencyPermille: 200, InFlight: 10, Queued: 2}, cicadaseam.MeshLoad{LatencyPermille: 200}, "near"},
		{"another zone when the own one fails", cicadaseam.MeshLoad{FailurePermille: 300}, cicadaseam.MeshLoad{}, "far"},
		{"the quicker of two that are late", cicadaseam.MeshLoad{LatencyPermille: 3000}, cicadaseam.MeshLoad{LatencyPermille: 2000}, "far"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			p := newPlacer()
			p.Size(need.Route, 1500)
			require.Equal(t, x.want, pick(t, p, candidate("near", "north", x.near), candidate("far", "south", x.far)))
		})
	}
}

// Large answers make another zone dear, so that it is chosen later.
func TestLargeAnswersStayInTheZoneForLonger(t *testing.T) {
	near := candidate("near", "north", cicadaseam.MeshLoad{LatencyPermille: 600})
	far := candidate("far", "south", cicadaseam.MeshLoad{LatencyPermille: 200})
	p := newPlacer()
	require.Equal(t, "far", pick(t, p, near, far))
	p.Size(need.Route, 8<<10)
	require.Equal(t, "near", pick(t, p, near, far))
}

func TestRequestsSentSinceTheNewsCount(t *testing.T) {
	p := newPlacer()
	counts := map[string]int{}
	near, far := candidate("near", "north", cicadaseam.MeshLoad{LatencyPermille: 330}), candidate("far", "south", cicadaseam.MeshLoad{LatencyPermille: 330})
	pick(t, p, near, far)
	p.Ended(epoch, "near", 0, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, Load: near.Load})
	p.Ended(epoch, "far", 0, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, Load: far.Load})
	for range 40 {
		counts[pick(t, p, near, far)]++
	}
	require.Greater(t, counts["far"], 8)
	require.GreaterOrEqual(t, counts["near"], 16)
}

func TestTargetBehindAFailedLinkIsAvoided(t *testing.T) {
	p := newPlacer()
	near, far := candidate("near", "north", cicadaseam.MeshLoad{}), candidate("far", "south", cicadaseam.MeshLoad{})
	require.Equal(t, "near", pick(t, p, near, far))
	p.Ended(epoch, "near", 0, &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonLinkLost})
	require.Equal(t, "far", pick(t, p, near, far))
	choice, ok := p.Pick(epoch.Add(avoidFirst), need, []Candidate{near, far}, map[string]bool{})
	require.True(t, ok)
	require.Equal(t, "near", choice.Candidate.Addr)
}

func TestBudgetOfTheFleet(t *testing.T) {
	const nodes = 13
	allow := RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	total := 0
	for n := range nodes {
		b := NewRetryBudget(epoch, allow)
		now := epoch
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.Request(now, "desk")
			if n < nodes/3 && b.Take(now, "desk", nodes) { // a third sees nothing but failures
				total++
			}
			_ = i
		}
	}
	require.LessOrEqual(t, float64(total), 0.2*1000*nodes+60)
	require.Greater(t, total, 200)
}

func TestBudgetSlides(t *testing.T) {
	b := NewRetryBudget(epoch, RetryBudgetConfig{Ratio: 0, Slack: 10, Window: 10 * time.Second})
	taken := 0
	for b.Take(epoch, "desk", 1) {
		taken++
	}
	require.Equal(t, 4, taken) // its part of ten
	require.False(t, b.Take(epoch.Add(9*time.Second), "desk", 1))
	require.True(t, b.Take(epoch.Add(11*time.Second), "desk", 1))
	b.Return(epoch.Add(11*time.Second), "desk")
	for range 4 {
		require.True(t, b.Take(epoch.Add(11*time.Second), "desk", 1))
	}
	require.False(t, b.Take(epoch.Add(11*time.Second), "desk", 1))
}

func TestCallersThatReturnAreKnownByTheirDeadline(t *testing.T) {
	h := newHabits()
	require.Zero(t, h.spent("status", 2*time.Second))
	require.Equal(t, 700*time.Millisecond, h.spent("status", 1300*time.Millisecond))
	require.Zero(t, h.spent("history", 1300*time.Millisecond))
}

func TestAllowedWait(t *testing.T) {
	route := &cicadaseam.MeshRoute{LatencyObjective: 400 * time.Millisecond}
	tests := []struct {
		name string
		left time.Duration
		want time.Duration
		late bool
	}{
		{"fresh", 400 * time.Millisecond, 260 * time.Millisecond, false},
		{"half used", 200 * time.Millisecond, 80 * time.Millisecond, false},
		{"too late to be on time", 100 * time.Millisecond, 100 * time.Millisecond, true},
		{"over", -time.Second, 100 * time.Millisecond, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			need := (&exchange{route: route, onTime: epoch.Add(x.left)}).need(epoch)
			wait, late := need.wait(100 * time.Millisecond)
			require.Equal(t, x.want, wait)
			require.Equal(t, x.late, late)
		})
	}
}

// A backend server that is not chosen is tried now and then by each node of its zone,
// so that a new or a recovered one is noticed.
func TestNewBackendServersAreTried(t *testing.T) {
	p := newPlacer()
	repeatable := need
	repeatable.Idempotent = true
	quick := candidate("quick", "north", cicadaseam.MeshLoad{LatencyPermille: 100})
	fresh := candidate("fresh", "north", cicadaseam.MeshLoad{LatencyPermille: 2800})
	counts := map[string]int{}
	for i := range 70 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		quick.Heard, fresh.Heard = now, now
		choice, ok := p.Pick(now, repeatable, []Candidate{quick, fresh}, map[string]bool{})
		require.True(t, ok)
		counts[choice.Candidate.Addr]++
	}
	require.Equal(t, map[string]int{"quick": 68, "fresh": 2}, counts)
}

// While a first request to a target is not answered, others go elsewhere: it may be
// gone without a word.
func TestUnprovenTargetGetsOneRequest(t *testing.T) {
	p := newPlacer()
	near, far := candidate("near", "north", cicadaseam.MeshLoad{}), candidate("far", "south", cicadaseam.MeshLoad{})
	require.Equal(t, "near", pick(t, p, near, far))
	require.Equal(t, "far", pick(t, p, near, far))
	p.Ended(epoch, "near", 0, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan})
	require.Equal(t, "near", pick(t, p, near, far))
	require.Equal(t, "near", pick(t, p, near, far))
}

// A node that is about to end still helps when the others are full.
func TestLeavingNodeIsTheLastChoice(t *testing.T) {
	p := newPlacer()
	leaving := candidate("leaving", "north", cicadaseam.MeshLoad{LatencyPermille: 330})
	leaving.Leaving = true
	require.Equal(t, "other", pick(t, p, leaving, candidate("other", "south", cicadaseam.MeshLoad{LatencyPermille: 330})))
	require.Equal(t, "leaving", pick(t, newPlacer(), leaving, candidate("other", "south", cicadaseam.MeshLoad{LatencyPermille: 330, InFlight: 10, Queued: 20})))
}

// A target that answers late though its backend server is quick, since its machine is
// short of processor time or its link is full, is left for one that is reached sooner,
// and tried again a while later.
func TestTargetThatIsSlowToReachIsLeftOut(t *testing.T) {
	near, far := candidate("near", "north", cicadaseam.MeshLoad{LatencyPermille: 330}), candidate("far", "south", cicadaseam.MeshLoad{LatencyPermille: 330})
	answer := func(ran, queued time.Duration) *cicadaseam.MeshAnswer {
		return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, BackendTime: ran, QueueTime: queued, Load: near.Load}
	}
	tests := []struct {
		name   string
		took   time.Duration
		answer *cicadaseam.MeshAnswer
		want   string
	}{
		{"quick", 110 * time.Millisecond, answer(100*time.Millisecond, 0), "near"},
		{"long at the backend server", 600 * time.Millisecond, answer(590*time.Millisecond, 0), "near"},
		{"long in the queue", 600 * time.Millisecond, answer(100*time.Millisecond, 490*time.Millisecond), "near"},
		{"long on the way", 900 * time.Millisecond, answer(100*time.Millisecond, 0), "far"},
		{"no answer in time", 1500 * time.Millisecond, &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonDeadline, ReachedBackend: true}, "far"},
		{"cancelled", 1500 * time.Millisecond, &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonCanceled, ReachedBackend: true}, "near"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			p := newPlacer()
			require.Equal(t, "near", pick(t, p, near, far))
			p.Ended(epoch, "near", x.took, x.answer)
			require.Equal(t, x.want, pick(t, p, near, far))
			choice, ok := p.Pick(epoch.Add(5*time.Second), need, []Candidate{near, far}, map[string]bool{})
			require.True(t, ok)
			require.Equal(t, "near", choice.Candidate.Addr, "it is tried again")
		})
	}
}

// After two targets had no room, only those are asked that are expected to have some:
// the others would cost both nodes work and the request its time.
func TestFullTargetsAreNotAskedInVain(t *testing.T) {
	full := candidate("full", "north", cicadaseam.MeshLoad{LatencyPermille: 330, InFlight: 10, Queued: 40})
	fuller := candidate("fuller", "north", cicadaseam.MeshLoad{LatencyPermille: 330, InFlight: 10, Queued: 80})
	free := candidate("free", "south", cicadaseam.MeshLoad{LatencyPermille: 330, InFlight: 4})
	asked := func(refusals int, nested bool, after time.Duration, c ...Candidate) string {
		n := need
		n.Rest, n.Nested, n.Refusals = time.Minute, nested, refusals
		choice, ok := newPlacer().Pick(epoch.Add(after), n, c, map[string]bool{})
		if !ok {
			return ""
		}
		return choice.Candidate.Addr
	}
	require.Equal(t, "full", asked(1, false, 0, full, fuller))
	require.Empty(t, asked(2, false, 0, full, fuller))
	require.Equal(t, "free", asked(2, false, 0, full, fuller, free))
	require.NotEmpty(t, asked(2, false, 2*time.Second, full, fuller), "old news say nothing")
	n := need
	n.Refusals = 2
	choice, ok := newPlacer().Pick(epoch, n, []Candidate{full, fuller}, map[string]bool{})
	require.False(t, ok)
	require.Equal(t, 2, choice.Passed, "the log tells how many were passed over")
	require.NotEmpty(t, asked(2, true, 0, full, fuller), "a nested call may wait")
}
