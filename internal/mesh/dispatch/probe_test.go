package dispatch

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// Guards against probes that are in vain, and against those that keep requests from a better target:
// one that answers failures at once always has free slots.
func TestProbedTargets(t *testing.T) {
	const objective = 300 * time.Millisecond
	now := epoch.Add(time.Minute)
	idle := cicadaseam.MeshLoad{Slots: 4, LatencyPermille: 300}
	full := cicadaseam.MeshLoad{Slots: 4, InFlight: 4, Queued: 2, LatencyPermille: 300}
	failing := cicadaseam.MeshLoad{Slots: 4, LatencyPermille: 300, FailurePermille: 800}
	slow := cicadaseam.MeshLoad{Slots: 4, LatencyPermille: 900}
	tests := []struct {
		name  string
		own   cicadaseam.MeshLoad // of the target in the own zone
		age   time.Duration       // of its report
		other cicadaseam.MeshLoad // of the target in another zone
		want  bool
	}{
		{"free", idle, 0, idle, true},
		{"full, as reported just now", full, 0, idle, false},
		{"full, as reported long ago", full, time.Second, idle, true},
		{"full in both zones", full, 0, full, false},
		{"failing", failing, 0, idle, false},
		{"slow", slow, 0, idle, false},
		{"slow in both zones", slow, 0, slow, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSelector("north", rand.New(rand.NewPCG(1, 1)))
			candidates := []Candidate{
				{Addr: "own", Zone: "north", Instance: "a", Load: tt.own, LoadAt: now.Add(-tt.age)},
				{Addr: "other", Zone: "south", Instance: "b", Load: tt.other, LoadAt: now},
			}
			req := Requirements{Route: "r", LatencyObjective: objective, LatencyBudget: objective, Timeout: 4 * objective, Probe: true}
			selected, ok := s.Select(now, req, candidates, nil)
			require.Equal(t, tt.want, ok)
			if ok {
				require.Equal(t, "own", selected.Candidate.Addr)
			}
		})
	}
}

// Guards against retries that cost retry budget for each target that has no free slot.
func TestRetriesDoNotProbe(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("a", lost)
	m.add("b", full)
	require.Equal(t, http.StatusBadGateway, m.serve(t, nil).Status)
	require.Equal(t, []string{"a", "b"}, m.sentTo)
	require.Empty(t, m.probed)
}

// Guards against a request that is refused because the targets that were probed had no free slot,
// although one of them would have let it wait.
func TestRequestWaitsWhereItWasProbed(t *testing.T) {
	m := newFakeMesh(t, false)
	m.add("a", full)
	m.add("b", full)
	m.answers["a"] = func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
		if call.MaxWait > 0 {
			return &ran
		}
		return &full
	}
	require.Equal(t, http.StatusOK, m.serve(t, nil).Status)
	require.ElementsMatch(t, []string{"a", "b"}, m.probed)
	require.Equal(t, []string{"a"}, m.sentTo)
}
