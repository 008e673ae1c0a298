package sidecar

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// A call that was held up on a link for longer than its timeout is not run. The target
// computes the time in transit from the send times, although the clocks of the two nodes
// differ by minutes.
func TestCallThatLayOnTheLinkForTooLongIsNotRun(t *testing.T) {
	n := newTestNode(t)
	n.joined.Store(true)
	ran := make(chan string, 1)
	backend := startRecordingBackend(t, ran)
	n.target.Announce(time.Now(), cicadaseam.Instance{ID: "i-1", Service: "s", Addr: backend, Slots: 2})
	const clockOffset = 20 * time.Minute // of the sender's clock
	run := func(id string, delay time.Duration) *cicadaseam.MeshAnswer {
		payload, err := method.Encode(&cicadaseam.MeshCall{
			ID: id, Method: "GET", Host: "h", RequestURI: "/", Service: "s", Idempotent: true,
			Timeout: 500 * time.Millisecond, MaxWait: 400 * time.Millisecond, LatencyBudget: 400 * time.Millisecond, LatencyObjective: 100 * time.Millisecond,
			SenderID: 7, SentAt: transit.Now() + clockOffset - delay,
		})
		require.NoError(t, err)
		parts, err := n.handleLinkRequest(context.Background(), method.MeshCall, payload)
		require.NoError(t, err)
		answer := &cicadaseam.MeshAnswer{}
		require.NoError(t, method.Decode(bytes.Join(parts, nil), answer))
		return answer
	}
	require.Equal(t, cicadaseam.OutcomeRan, run("a", 0).Outcome)
	require.Equal(t, "a", <-ran)
	late := run("b", 600*time.Millisecond)
	require.Equal(t, cicadaseam.OutcomeNotRun, late.Outcome)
	require.Equal(t, cicadaseam.ReasonDeadline, late.Reason)
	require.False(t, late.ReachedBackend)
	require.Equal(t, cicadaseam.OutcomeRan, run("c", 200*time.Millisecond).Outcome)
	require.Equal(t, "c", <-ran, "only the late call is not run")
}

// startRecordingBackend starts a backend server that sends the IDs of the requests that it
// runs to ran, and returns its address.
func startRecordingBackend(t *testing.T, ran chan<- string) string {
	headers := cicadaseam.DefaultMeshHeaders()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran <- r.Header.Get(headers.RequestID)
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Seal, "s")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Peers whose links hang must not delay the start of a node: it is not ready before.
func TestPeersThatDoNotAnswerDelayTheStartOnlyForAMoment(t *testing.T) {
	n := newTestNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.bulkPool.Run(ctx)
	for range 2 * departedQueryPeers {
		l, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the kernel only
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		n.fleet.HandleHeartbeat(time.Now(), fleet.Heartbeat{Node: l.Addr().String(), Addr: l.Addr().String(), Zone: "z", Epoch: 1, Sequence: 1})
	}
	require.Len(t, n.fleet.Peers(), 2*departedQueryPeers)
	began := time.Now()
	n.awaitDeparted(ctx)
	require.Less(t, time.Since(began), 4*awaitDepartedTime)
}
