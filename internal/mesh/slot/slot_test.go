package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
)

var epoch = time.Unix(1000, 0)

func newRequest(rank int, deadline, maxWait time.Duration) *Request {
	return &Request{Rank: rank, Deadline: epoch.Add(deadline), MaxWait: maxWait, ExpectedRunTime: 100 * time.Millisecond, Admitted: make(chan bool, 1)}
}

// outcome returns whether a queued request was started, if that is decided.
func outcome(req *Request) (start, decided bool) {
	select {
	case start = <-req.Admitted:
		return start, true
	default:
		return false, false
	}
}

func admit(t *testing.T, q *Queue, req *Request, want Decision) {
	t.Helper()
	decision, _ := q.Admit(epoch, req)
	require.Equal(t, want, decision)
}

func TestNoMoreRequestsRunThanSlots(t *testing.T) {
	q := New(2)
	admit(t, q, newRequest(0, time.Second, time.Second), Started)
	admit(t, q, newRequest(0, time.Second, time.Second), Started)
	waiting := newRequest(0, time.Second, time.Second)
	admit(t, q, waiting, Queued)
	require.Equal(t, 2, q.Running())
	q.Release(epoch, 10*time.Millisecond)
	start, decided := outcome(waiting)
	require.True(t, decided && start)
	require.Equal(t, 2, q.Running())
}

// A request whose estimated wait exceeds its MaxWait is refused on arrival, not when
// its wait has ended.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	q := New(1)
	admit(t, q, newRequest(0, time.Second, time.Second), Started)
	admit(t, q, newRequest(0, time.Second, time.Second), Queued)
	decision, wait := q.Admit(epoch, newRequest(0, time.Second, 150*time.Millisecond))
	require.Equal(t, Refused, decision)
	require.Equal(t, 200*time.Millisecond, wait) // one request runs and one is queued
}

// Requests start in order of rank and, within a rank, of deadline. So a call with a short
// latency objective, as backend servers make them, starts before new requests of its rank
// that wait already. Late requests start last.
func TestOrderIsByRankAndThenByDeadline(t *testing.T) {
	q := New(1)
	admit(t, q, newRequest(1, time.Second, time.Second), Started)
	late := newRequest(RankLate, 0, time.Second)
	later := newRequest(1, 400*time.Millisecond, time.Second)
	earlier := newRequest(1, 100*time.Millisecond, time.Second)
	nested := newRequest(0, time.Second, time.Second)
	for _, req := range []*Request{late, later, earlier, nested} {
		admit(t, q, req, Queued)
	}
	for _, req := range []*Request{nested, earlier, later, late} {
		q.Release(epoch, 0)
		start, decided := outcome(req)
		require.True(t, decided && start)
	}
}

// The estimate counts only the requests with a higher rank or an earlier deadline, so
// a late request waits behind all requests that can still be on time, however long it
// has waited already.
func TestWaitCountsOnlyWhatIsAhead(t *testing.T) {
	q := New(1)
	admit(t, q, newRequest(1, time.Second, time.Second), Started)
	admit(t, q, newRequest(1, time.Second, time.Second), Queued)
	_, wait := q.Admit(epoch, newRequest(1, 100*time.Millisecond, time.Second))
	require.Equal(t, 100*time.Millisecond, wait)
	// The running request has used 0.1 s of the 2 s over which the use of a class is averaged.
	leftByOthers := 1 - 0.1/2
	require.InDelta(t, 0.3/leftByOthers, q.EstimateWait(epoch, RankLate).Seconds(), 1e-6)
}

func TestExpireRefusesAfterMaxWait(t *testing.T) {
	q := New(1)
	admit(t, q, newRequest(0, time.Second, time.Second), Started)
	req := newRequest(0, time.Second, 110*time.Millisecond)
	admit(t, q, req, Queued)
	q.Advance(epoch.Add(110 * time.Millisecond))
	_, decided := outcome(req)
	require.False(t, decided)
	q.Advance(epoch.Add(111 * time.Millisecond))
	start, decided := outcome(req)
	require.True(t, decided)
	require.False(t, start)
	require.False(t, q.Cancel(req))
}

func TestMoreSlotsStartQueuedRequests(t *testing.T) {
	q := New(1)
	admit(t, q, newRequest(0, time.Second, time.Second), Started)
	req := newRequest(0, time.Second, time.Second)
	admit(t, q, req, Queued)
	q.SetLimit(epoch, 2)
	start, _ := outcome(req)
	require.True(t, start)
}

// After any sequence of operations, no more requests run than there are slots, the
// queued work is the sum over the waiting requests, and each queued request receives
// its result exactly once.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := epoch
		q := New(rapid.IntRange(1, 4).Draw(rt, "slots"))
		var queued []*Request
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				req := newRequest(rapid.IntRange(0, RankLate).Draw(rt, "rank"), time.Duration(rapid.IntRange(0, 900).Draw(rt, "due"))*time.Millisecond,
					time.Duration(rapid.IntRange(0, 500).Draw(rt, "wait"))*time.Millisecond)
				req.Customer = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(rt, "customer")
				if decision, _ := q.Admit(now, req); decision == Queued {
					queued = append(queued, req)
				}
			case 2:
				if q.Running() > 0 {
					q.Release(now, 100*time.Millisecond)
				}
			case 3:
				q.Advance(now)
			case 4:
				if len(queued) > 0 && q.Cancel(queued[0]) {
					queued = queued[1:]
				}
			}
			if q.Running() > q.Limit() {
				rt.Fatalf("%d requests run in %d slots", q.Running(), q.Limit())
			}
			if q.Waiting() > 0 && q.Running() < q.Limit() {
				rt.Fatalf("%d requests wait although %d of %d slots are free", q.Waiting(), q.Limit()-q.Running(), q.Limit())
			}
			if want := time.Duration(q.Waiting()) * 100 * time.Millisecond; totalQueuedWork(q) != want {
				rt.Fatalf("queued work is %s, want %s", totalQueuedWork(q), want)
			}
		}
		decided := 0
		for _, req := range queued {
			if _, ok := outcome(req); ok {
				decided++
			}
		}
		if decided+q.Waiting() != len(queued) {
			rt.Fatalf("%d decided and %d waiting of %d queued requests", decided, q.Waiting(), len(queued))
		}
	})
}

func totalQueuedWork(q *Queue) time.Duration {
	sum := time.Duration(0)
	for _, d := range q.queuedWork {
		sum += d
	}
	return sum
}

// Whatever the load and the limits, the starts in any time stay within the highest rate limit
// of that time and one burst.
func TestStartsStayWithinTheRateLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(8)
		perSecond := rapid.Float64Range(0.5, 40).Draw(rt, "per second")
		q.SetRate(epoch, perSecond)
		var starts []time.Duration
		var waiting []*Request
		for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			q.Advance(now)
			for len(waiting) > 0 {
				start, decided := outcome(waiting[0])
				if !decided {
					break
				}
				waiting = waiting[1:]
				if start {
					starts = append(starts, at)
				}
			}
			for range rapid.IntRange(0, 2).Draw(rt, "arrivals") {
				req := newRequest(0, at+time.Second, time.Second)
				switch decision, _ := q.Admit(now, req); decision {
				case Started:
					starts = append(starts, at)
				case Queued:
					waiting = append(waiting, req)
				}
			}
			for q.Running() > 0 && rapid.Bool().Draw(rt, "release") {
				q.Release(now, 10*time.Millisecond)
			}
		}
		burst := 2 + perSecond*ratelimit.BurstTime.Seconds()
		for i := range starts {
			for j := i; j < len(starts); j++ {
				if got, span := float64(j-i+1), (starts[j] - starts[i]).Seconds(); got > perSecond*span+burst+1e-6 {
					rt.Fatalf("%v starts in %v s at %v a second", got, span, perSecond)
				}
			}
		}
	})
}

// A request that would wait for the rate limit longer than it may is refused at once, although
// slots are free; the end of the limit starts those that wait.
func TestRateLimitBoundsTheWait(t *testing.T) {
	q := New(4)
	q.SetRate(epoch, 2)
	waiting := newRequest(1, time.Second, 600*time.Millisecond)
	admit(t, q, waiting, Queued)
	decision, wait := q.Admit(epoch, newRequest(1, 2*time.Second, 600*time.Millisecond))
	require.Equal(t, Refused, decision)
	require.Equal(t, time.Second, wait)
	require.Equal(t, time.Second, q.RateLimit(epoch).Wait)
	q.Advance(epoch.Add(490 * time.Millisecond))
	_, decided := outcome(waiting)
	require.False(t, decided)
	q.SetRate(epoch.Add(495*time.Millisecond), 0)
	start, _ := outcome(waiting)
	require.True(t, start)
	require.Nil(t, q.RateLimit(epoch))
}
