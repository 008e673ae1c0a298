package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

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

// An answer without a seal may come from something between the node and the backend server.
func TestOnlyASealedAnswerEndsTheRateLimit(t *testing.T) {
	for _, tt := range []struct {
		name, limit, seal string
		status            int
		want              float64
	}{
		{"named, sealed", "3", "s", http.StatusOK, 3},
		{"named by a rejection", "3", "", http.StatusServiceUnavailable, 3},
		{"none, sealed", "", "s", http.StatusOK, 0},
		{"none, rejected without a seal", "", "", http.StatusServiceUnavailable, 7},
		{"higher without a seal", "9", "", http.StatusServiceUnavailable, 7},
	} {
		t.Run(tt.name, func(t *testing.T) {
			limit, seal, status := "7", "s", http.StatusOK
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
				if seal != "" {
					w.Header().Set(headers.Seal, seal)
				}
				if limit != "" {
					w.Header().Set(headers.RateLimit, limit)
				}
				w.WriteHeader(status)
			}))
			t.Cleanup(h.Close)
			target := newTarget(&fakeServer{addr: h.Listener.Addr().String()})
			target.Run(context.Background(), request("q"))
			require.Equal(t, 7.0, target.RateLimit())
			limit, seal, status = tt.limit, tt.seal, tt.status
			target.Run(context.Background(), request("q"))
			require.Equal(t, tt.want, target.RateLimit())
		})
	}
}
