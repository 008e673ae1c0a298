package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// A call that lay on a link for longer than its caller waits is not run: the time on
// the way is known from the stamps, though the clocks of the nodes differ.
func TestCallThatLayOnTheLinkForTooLongIsNotRun(t *testing.T) {
	n := newTestNode(t)
	ran := make(chan string, 1)
	backend := backendThatTells(t, ran)
	n.target.Announce(time.Now(), cicadaseam.Instance{ID: "i-1", Service: "s", Addr: backend, Slots: 2})
	const offset = 20 * time.Minute // of the sender's clock
	run := func(id string, lay time.Duration) *cicadaseam.MeshAnswer {
		payload, err := method.Encode(&cicadaseam.MeshCall{
			ID: id, Method: "GET", Host: "h", RequestURI: "/", Service: "s", Idempotent: true,
			Timeout: 500 * time.Millisecond, MaxWait: 400 * time.Millisecond, LatencyBudget: 400 * time.Millisecond, LatencyObjective: 100 * time.Millisecond,
			SenderID: 7, SentAt: transit.Now() + offset - lay,
		})
		require.NoError(t, err)
		data, err := n.serveLink(context.Background(), method.MeshCall, payload)
		require.NoError(t, err)
		answer := &cicadaseam.MeshAnswer{}
		require.NoError(t, method.Decode(data, answer))
		return answer
	}
	require.Equal(t, cicadaseam.OutcomeRan, run("a", 0).Outcome)
	require.Equal(t, "a", <-ran)
	late := run("b", 600*time.Millisecond)
	require.Equal(t, cicadaseam.OutcomeNotRun, late.Outcome)
	require.Equal(t, cicadaseam.ReasonDeadline, late.Reason)
	require.False(t, late.ReachedBackend)
	require.Equal(t, cicadaseam.OutcomeRan, run("c", 200*time.Millisecond).Outcome)
	require.Equal(t, "c", <-ran, "nothing but the late call is left out")
}

// backendThatTells starts a backend server that tells the ids of what it runs.
func backendThatTells(t *testing.T, ran chan<- string) string {
	headers := cicadaseam.DefaultMeshHeaders()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran <- r.Header.Get(headers.RequestID)
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Seal, "s")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
