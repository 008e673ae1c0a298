package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

var testBudget = RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// newOldBudget returns a budget that has earned its part of the slack at epoch.
func newOldBudget(config RetryBudgetConfig) *RetryBudget {
	return NewRetryBudget(epoch.Add(-time.Minute), config)
}

func TestBudgetOfTheFleet(t *testing.T) {
	const nodes = 13
	total := 0
	for n := range nodes {
		b := newOldBudget(testBudget)
		now := epoch
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.RecordRequest(now, "desk")
			if n < nodes/3 && b.TryAcquire(now, "desk", nodes, true) { // for a third of the nodes all requests fail
				total++
			}
		}
	}
	require.LessOrEqual(t, float64(total), 0.2*1000*nodes+60)
	require.Greater(t, total, 200)
}

func TestBudgetSlides(t *testing.T) {
	b := newOldBudget(RetryBudgetConfig{Ratio: 0, Slack: 10, Window: 10 * time.Second})
	taken := 0
	for b.TryAcquire(epoch, "desk", 1, false) {
		taken++
	}
	require.Equal(t, 8, taken, "the share of requests that are not nested")
	for b.TryAcquire(epoch, "desk", 1, true) {
		taken++
	}
	require.Equal(t, 10, taken)
	require.False(t, b.TryAcquire(epoch.Add(10*time.Second), "desk", 1, true))
	later := epoch.Add((windowBuckets + arrivalBuckets) * time.Second)
	require.True(t, b.TryAcquire(later, "desk", 1, true))
	b.Refund(later, "desk")
	for range 10 {
		require.True(t, b.TryAcquire(later, "desk", 1, true))
	}
	require.False(t, b.TryAcquire(later, "desk", 1, true))
}

// A refund of an old retry must not change the counts of the time since.
func TestLateRefundKeepsLaterCounts(t *testing.T) {
	b := newOldBudget(RetryBudgetConfig{Ratio: 0, Slack: 1, Window: 10 * time.Second})
	require.True(t, b.TryAcquire(epoch, "desk", 1, true))
	later := epoch.Add(ringBuckets * time.Second)
	require.True(t, b.TryAcquire(later, "desk", 1, true))
	b.Refund(epoch, "desk")
	require.False(t, b.TryAcquire(later, "desk", 1, true))
}

// A process that replaces another one may not use the same part of the slack again at once.
func TestNewProcessEarnsItsSlack(t *testing.T) {
	b := NewRetryBudget(epoch, RetryBudgetConfig{Ratio: 0, Slack: 10, Window: 10 * time.Second})
	require.False(t, b.TryAcquire(epoch, "desk", 1, true))
	taken := 0
	for b.TryAcquire(epoch.Add(5*time.Second), "desk", 1, true) {
		taken++
	}
	require.Equal(t, 5, taken)
}

// budgetFleet simulates a fleet whose requests for the service intake each cause nested
// calls to the service records. Some of the runs of both fail.
type budgetFleet struct {
	rng            *rand.Rand
	budgets        []*RetryBudget
	nestedPerRun   int
	failing        float64
	requests       map[string][]time.Duration
	retries        map[string][]time.Duration
	refusedRetries int
}

func newBudgetFleet(nodes, nestedPerRun int, failing float64) *budgetFleet {
	f := &budgetFleet{rng: rand.New(rand.NewPCG(uint64(nodes), uint64(nestedPerRun))), nestedPerRun: nestedPerRun, failing: failing, requests: map[string][]time.Duration{}, retries: map[string][]time.Duration{}}
	for range nodes {
		f.budgets = append(f.budgets, newOldBudget(testBudget))
	}
	return f
}

// serve makes up to two attempts of a request at a time, and reports whether one succeeded.
func (f *budgetFleet) serve(at time.Duration, service string, nestedInRetry bool) bool {
	budget, now := f.budgets[f.rng.IntN(len(f.budgets))], epoch.Add(at)
	nested := service == "records"
	if !nestedInRetry {
		budget.RecordRequest(now, service)
		f.requests[service] = append(f.requests[service], at)
	}
	for attempt := range 2 {
		isRetry := nestedInRetry || attempt > 0
		if isRetry && !budget.TryAcquire(now, service, len(f.budgets), nested) {
			f.refusedRetries++
			return false
		}
		if isRetry {
			f.retries[service] = append(f.retries[service], at)
		}
		ok := f.rng.Float64() >= f.failing
		for i := 0; ok && !nested && i < f.nestedPerRun; i++ {
			ok = f.serve(at, "records", isRetry)
		}
		if ok {
			return true
		}
	}
	return false
}

// countIn returns how many sorted times lie after from, up to to.
func countIn(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}

// requestsFor returns the requests that allow the retries of the window until end: those of
// that window, of the one before it, or of the one half a window before it.
func (f *budgetFleet) requestsFor(service string, end time.Duration) int {
	window, most := testBudget.Window, 0
	for _, last := range []time.Duration{end, end - window/2, end - window} {
		most = max(most, countIn(f.requests[service], last-window, last))
	}
	return most
}

// In no window do the retries of the fleet exceed its budget, however large the fleet is
// and however many of the requests are nested, nested calls of retried runs included, and
// also when the load falls or rises.
func TestBudgetHoldsWithNestedCalls(t *testing.T) {
	const length = 40 * time.Second
	steady := func(time.Duration) bool { return true }
	falling := func(at time.Duration) bool { return at < length/2 || at/(5*time.Millisecond)%3 == 0 }
	rising := func(at time.Duration) bool { return at >= length/2 || at/(5*time.Millisecond)%3 == 0 }
	waves := func(at time.Duration) bool { return at/(3*time.Second)%2 == 0 }
	for _, tt := range []struct {
		name                string
		nodes, nestedPerRun int
		failing             float64
		load                func(at time.Duration) bool
	}{
		{"8 nodes", 8, 1, 0.4, steady}, {"3 calls a run", 8, 3, 0.4, steady}, {"82 nodes", 82, 2, 0.6, steady},
		{"194 nodes", 194, 3, 0.4, steady}, {"720 nodes", 720, 1, 0.9, steady},
		{"falling", 8, 2, 0.6, falling}, {"rising", 8, 2, 0.6, rising}, {"waves", 8, 2, 0.6, waves},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newBudgetFleet(tt.nodes, tt.nestedPerRun, 0)
			for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
				if at > length/4 {
					f.failing = tt.failing
				}
				if tt.load(at) {
					f.serve(at, "intake", false)
					f.serve(at, "records", false)
				}
			}
			window := testBudget.Window
			for service, retries := range f.retries {
				for end := window; end <= length; end += window / 20 {
					allowed := testBudget.Ratio*float64(f.requestsFor(service, end)) + testBudget.Slack
					require.LessOrEqual(t, float64(countIn(retries, end-window, end)), allowed, "%s until %v", service, end)
				}
				require.NotEmpty(t, retries)
			}
			require.Positive(t, f.refusedRetries, "the load tests the budget")
		})
	}
}

// retriedOuterRun is the local target of a node whose backend server runs a retry.
type retriedOuterRun struct {
	noLocal
	refusedCallsOf *[]string
}

func (r retriedOuterRun) RecordRefusedCall(id string) {
	*r.refusedCallsOf = append(*r.refusedCallsOf, id)
}

func (retriedOuterRun) Running(id string) (running, isRetry bool) { return id == "q1", id == "q1" }

// The calls of a run that is a retry are retries too, and draw on the budget even at
// their first attempt.
func TestCallsOfRetriedRunAreRetries(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("a", ran)
	var sent []bool
	var refusedCallsOf []string
	m.answers["a"] = func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
		sent = append(sent, call.Retry)
		return &ran
	}
	config := RetryBudgetConfig{Ratio: 0, Slack: 2, Window: 10 * time.Second}
	d := New("self", "north", "portal", m, m, retriedOuterRun{refusedCallsOf: &refusedCallsOf}, m, rand.New(rand.NewPCG(1, 1)), WithRetryBudget(NewRetryBudget(time.Now().Add(-time.Minute), config)))
	serve := func(id string) int {
		r := &Request{Method: "POST", Host: "a.example", Path: "/x/1", RequestURI: "/x/1", Header: http.Header{}, Arrived: time.Now()}
		r.Header.Set(d.Headers.RequestID, id)
		return d.Serve(context.Background(), r).Status
	}
	require.Equal(t, http.StatusOK, serve("q1.1"))
	require.Equal(t, http.StatusServiceUnavailable, serve("q1.2"), "half of a slack of 2 is this node's")
	require.Equal(t, http.StatusOK, serve("q2"))
	require.Equal(t, []bool{true, false}, sent)
	require.Equal(t, []string{"q1"}, refusedCallsOf)
	requests := 0.0
	for _, b := range d.budget.services["desk"] {
		requests += b.requests
	}
	require.Equal(t, 1.0, requests, "a call of a retried run is no request of its own")
}

// A retry that the budget refuses does not count as sent to a target.
func TestRefusedRetryIsNotInFlight(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("a", failure)
	m.add("b", ran)
	d := New("self", "north", "portal", m, m, noLocal{}, m, rand.New(rand.NewPCG(1, 1)), WithRetryBudget(newOldBudget(RetryBudgetConfig{Window: time.Second})))
	r := &Request{Method: "GET", Host: "a.example", Path: "/x/1", RequestURI: "/x/1", Header: http.Header{}, Arrived: time.Now()}
	require.Equal(t, failure.Status, d.Serve(context.Background(), r).Status)
	for addr, target := range d.selector.targets {
		require.Zero(t, target.inFlight, addr)
	}
}
