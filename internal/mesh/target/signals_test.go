package target

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func TestRateLimitFollowsTheNewestAnswer(t *testing.T) {
	type answer struct {
		sent, arrived time.Duration
		perSecond     float64
	}
	tests := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"named", []answer{{0, 1, 5}}, 5},
		{"lowered by any answer", []answer{{0, 2, 5}, {1, 3, 2}}, 2},
		{"overtaken answer without a limit", []answer{{0, 3, 5}, {1, 4, 0}}, 5},
		{"overtaken answer with a higher limit", []answer{{0, 3, 5}, {1, 4, 9}}, 5},
		{"raised", []answer{{0, 3, 5}, {4, 5, 9}}, 9},
		{"ended", []answer{{0, 3, 5}, {4, 5, 0}}, 0},
		{"named again since the request was sent", []answer{{0, 3, 5}, {3, 6, 5}, {4, 7, 0}}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l rateLimit
			for _, a := range tt.answers {
				l.update(epoch.Add(a.arrived), epoch.Add(a.sent), a.perSecond)
			}
			require.Equal(t, tt.want, l.perSecond)
		})
	}
}

func TestRateLimitHeaderIsParsed(t *testing.T) {
	for v, want := range map[string]float64{"": 0, "11.2": 11.2, "1": 1, "0": minRateLimit, "0.01": minRateLimit} {
		got, err := parseRateLimit(v)
		require.NoError(t, err, v)
		require.Equal(t, want, got, v)
	}
	for _, v := range []string{"-1", "NaN", "+Inf", "many", "5 per second", "1e999"} {
		_, err := parseRateLimit(v)
		require.Error(t, err, v)
	}
}

// A node that restarts does not know the rate limit of its backend server until an answer names
// it. What it sends before counts, and must be less than what any limit allows as a burst.
func TestRestartedNodeDoesNotFloodABackendServerOfUnknownRate(t *testing.T) {
	const slots, requests, allowed = 20, 12, 5
	s := newFakeServer(t)
	target := New(headers)
	x := ready("a", 1, 0)
	x.Addr, x.Slots = s.addr, slots
	target.Announce(time.Now(), x)
	answers := make(chan *cicadaseam.MeshAnswer, requests)
	for range requests {
		go func() { answers <- target.Run(context.Background(), request("q")) }()
	}
	require.Eventually(t, func() bool { load := target.Load(time.Now()); return load.InFlight+load.Queued == requests }, 2*time.Second, time.Millisecond)
	x.Sequence++
	target.Announce(time.Now(), x)
	time.Sleep(50 * time.Millisecond)
	require.Less(t, s.maxRunning.Load(), int64(allowed))
	close(s.release)
	for range requests {
		require.Equal(t, cicadaseam.OutcomeRan, (<-answers).Outcome)
	}
}
