package target

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// Guards against a request that was queued before a backend server left and reaches it when it may
// be gone. It is refused at once if it cannot be served there, so that it can run elsewhere.
func TestQueuedRequestsDoNotReachAServerThatMayBeGone(t *testing.T) {
	const drainTime, queued = 300 * time.Millisecond, 4
	for name, leave := range map[string]func(target *Target, x cicadaseam.Instance){
		"draining": func(target *Target, x cicadaseam.Instance) {
			x.State, x.Sequence = cicadaseam.BackendDraining, 2
			target.Announce(time.Now(), x)
		},
		"withdrawn": func(target *Target, x cicadaseam.Instance) { target.Withdraw(time.Now(), x.ID) },
		"departed, from a peer": func(target *Target, x cicadaseam.Instance) {
			target.MarkDeparted(time.Now(), []cicadaseam.Departure{{ID: x.ID}})
		},
		"says so in an answer": func(target *Target, _ cicadaseam.Instance) {
			target.mu.Lock()
			defer target.mu.Unlock()
			target.recordLeaving(time.Now(), target.server, "q")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t)
			target := New(headers, WithDrainTime(drainTime))
			x := ready("a", 1, 0)
			x.Addr = s.addr
			target.Announce(time.Now(), x)
			running := make(chan *cicadaseam.MeshAnswer, 2)
			waiting := make(chan *cicadaseam.MeshAnswer, queued)
			for range 2 {
				go func() { running <- target.Run(context.Background(), request("q")) }()
			}
			require.Eventually(t, func() bool { return s.running.Load() == 2 }, 2*time.Second, time.Millisecond)
			for range queued {
				go func() { waiting <- target.Run(context.Background(), request("q")) }()
			}
			require.Eventually(t, func() bool { return target.Load(time.Now()).Queued == queued }, 2*time.Second, time.Millisecond)
			leave(target, x)
			left := time.Now()
			for range queued {
				answer := <-waiting
				require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
				require.Equal(t, cicadaseam.ReasonDraining, answer.Reason)
			}
			require.Less(t, time.Since(left), drainTime+100*time.Millisecond)
			close(s.release)
			for range 2 {
				require.Equal(t, cicadaseam.OutcomeRan, (<-running).Outcome, "what runs is not cut off")
			}
			require.Equal(t, int64(2), target.Sent())
		})
	}
}

// Guards against a graceful stop that turns away what could have been served.
func TestQueuedRequestsThatCanEndInTimeAreServed(t *testing.T) {
	s := newFakeServer(t)
	target := New(headers, WithDrainTime(10*time.Second))
	x := ready("a", 1, 0)
	x.Addr = s.addr
	target.Announce(time.Now(), x)
	answers := make(chan *cicadaseam.MeshAnswer, 4)
	for range cap(answers) {
		go func() { answers <- target.Run(context.Background(), request("q")) }()
	}
	require.Eventually(t, func() bool { return target.Load(time.Now()).Queued == 2 }, 2*time.Second, time.Millisecond)
	x.State, x.Sequence = cicadaseam.BackendDraining, 2
	target.Announce(time.Now(), x)
	close(s.release)
	for range cap(answers) {
		require.Equal(t, cicadaseam.OutcomeRan, (<-answers).Outcome)
	}
}

// Guards against a request that has its slot and is sent to a server that may be gone, after it has
// waited for a connection.
func TestRequestIsNotSentAfterTheServerMayBeGone(t *testing.T) {
	s := newFakeServer(t)
	close(s.release)
	target := newTarget(s)
	target.mu.Lock()
	target.server.endsAt = time.Now()
	target.mu.Unlock()
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonDraining, answer.Reason)
	require.Zero(t, target.Sent())
}

// Guards against requests of other nodes that start so late in the stop of this node that they are cut
// off with its process, and against a stop that turns away what can be served.
func TestNodeThatStopsRunsOnlyWhatCanEnd(t *testing.T) {
	s := newFakeServer(t)
	target := newTarget(s)
	running := make(chan *cicadaseam.MeshAnswer, 4)
	waiting := make(chan *cicadaseam.MeshAnswer, 1)
	for range 2 {
		go func() { running <- target.Run(context.Background(), request("q")) }()
	}
	require.Eventually(t, func() bool { return s.running.Load() == 2 }, 2*time.Second, time.Millisecond)
	go func() { waiting <- target.Run(context.Background(), request("q")) }()
	require.Eventually(t, func() bool { return target.Load(time.Now()).Queued == 1 }, 2*time.Second, time.Millisecond)
	target.StopBy(time.Now(), time.Now().Add(50*time.Millisecond))
	require.Equal(t, cicadaseam.ReasonDraining, (<-waiting).Reason)
	close(s.release)
	for range 2 {
		require.Equal(t, cicadaseam.OutcomeRan, (<-running).Outcome)
	}
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.ReasonDraining, answer.Reason)

	other := newTarget(s)
	other.StopBy(time.Now(), time.Now().Add(5*time.Second))
	require.Equal(t, cicadaseam.OutcomeRan, other.Run(context.Background(), request("q")).Outcome)
}
