package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against requests that start so late that the backend server may exit before they end, and
// against some that are refused though they could be served: two slots with runs of 100 ms serve four
// of the six that wait, in the 300 ms that are left.
func TestRequestsThatCannotEndBeforeTheServerExitsAreRefused(t *testing.T) {
	q := New(2)
	var running, waiting []*Request
	for range 2 {
		running = append(running, newRequest(1, time.Second, time.Second))
		admit(t, q, running[len(running)-1], Started)
	}
	for i := range 6 {
		req := newRequest(1, time.Second+time.Duration(i)*time.Millisecond, 10*time.Second)
		waiting = append(waiting, req)
		admit(t, q, req, Queued)
	}
	q.EndBy(epoch, epoch.Add(300*time.Millisecond))
	for i, req := range waiting {
		_, refused := outcome(req)
		require.Equal(t, i >= 3, refused, "request %d", i)
	}
	require.Equal(t, 3, q.Waiting())
	q.Release(epoch.Add(100*time.Millisecond), 0)
	start, decided := outcome(waiting[0])
	require.True(t, decided && start)
	q.Advance(epoch.Add(151 * time.Millisecond)) // 1.5 runs before the end
	for _, req := range waiting[1:3] {
		start, decided = outcome(req)
		require.True(t, decided && !start)
	}
}

// Guards against a request that starts with less than its expected run time left, whatever else waits.
func TestNothingStartsThatIsNotExpectedToEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := New(slots)
		var waiting []*Request
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			req := newRequest(rapid.IntRange(0, RankLate+3).Draw(t, "rank"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline"))*time.Millisecond, time.Hour)
			req.ExpectedRunTime = time.Duration(rapid.IntRange(1, 2000).Draw(t, "run")) * time.Millisecond
			req.Customer = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer")
			if d, _ := q.Admit(epoch, req); d == Queued {
				waiting = append(waiting, req)
			}
		}
		end := epoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond)
		q.EndBy(epoch, end)
		for now := epoch; q.Waiting() > 0; now = now.Add(10 * time.Millisecond) {
			q.Advance(now)
			if q.Running() > 0 {
				q.Release(now, 0)
			}
			for _, req := range waiting {
				if start, decided := outcome(req); decided && start {
					require.False(t, now.Add(req.ExpectedRunTime).After(end))
				}
			}
		}
	})
}

// Guards against a request that starts when the node is about to cancel it, and against an ending that
// replaces one that leaves less time: the node stops after its backend server may exit.
func TestRequestsNeedMoreTimeBeforeANodeStops(t *testing.T) {
	for _, c := range []struct {
		exit, stop time.Duration
		want       Decision
	}{
		{time.Hour, 290 * time.Millisecond, Refused},
		{time.Hour, 310 * time.Millisecond, Started},
		{140 * time.Millisecond, time.Hour, Refused},
		{160 * time.Millisecond, time.Hour, Started},
	} {
		q := New(1)
		q.EndBy(epoch, epoch.Add(c.exit))
		q.StopBy(epoch, epoch.Add(c.stop))
		admit(t, q, newRequest(0, time.Second, time.Second), c.want)
	}
}
