package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func item(rank int, due, wait time.Duration) *Request {
	return &Request{Rank: rank, Deadline: epoch.Add(due), MaxWait: wait, ExpectedRunTime: 100 * time.Millisecond, Admitted: make(chan bool, 1)}
}

// outcome returns what a queued item was told, if anything.
func outcome(x *Request) (start, told bool) {
	select {
	case start = <-x.Admitted:
		return start, true
	default:
		return false, false
	}
}

func offer(t *testing.T, q *Queue, x *Request, want Decision) {
	t.Helper()
	v, _ := q.Admit(epoch, x)
	require.Equal(t, want, v)
}

func TestRunsNoMoreThanItsSlots(t *testing.T) {
	q := New(2)
	offer(t, q, item(0, time.Second, time.Second), Started)
	offer(t, q, item(0, time.Second, time.Second), Started)
	waiting := item(0, time.Second, time.Second)
	offer(t, q, waiting, Queued)
	require.Equal(t, 2, q.Running())
	q.Release(epoch, 10*time.Millisecond)
	start, told := outcome(waiting)
	require.True(t, told && start)
	require.Equal(t, 2, q.Running())
}

// A request that would wait for longer than it may is refused when it comes, not
// when its time is over.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	q := New(1)
	offer(t, q, item(0, time.Second, time.Second), Started)
	offer(t, q, item(0, time.Second, time.Second), Queued)
	v, wait := q.Admit(epoch, item(0, time.Second, 150*time.Millisecond))
	require.Equal(t, Refused, v)
	require.Equal(t, 200*time.Millisecond, wait) // one that runs and one that waits
}

// The calls that a backend server makes have short objectives, so that they are due
// before the new requests that wait; late requests take what is left.
func TestOrderIsByRankAndThenByDue(t *testing.T) {
	q := New(1)
	offer(t, q, item(1, time.Second, time.Second), Started)
	late := item(RankLate, 0, time.Second)
	fresh := item(1, 400*time.Millisecond, time.Second)
	nested := item(1, 100*time.Millisecond, time.Second)
	urgent := item(0, time.Second, time.Second)
	for _, x := range []*Request{late, fresh, nested, urgent} {
		offer(t, q, x, Queued)
	}
	for _, x := range []*Request{urgent, nested, fresh, late} {
		q.Release(epoch, 0)
		start, told := outcome(x)
		require.True(t, told && start)
	}
}

// A late request waits behind all that is on time, however long it has waited.
func TestWaitCountsOnlyWhatIsAhead(t *testing.T) {
	q := New(1)
	offer(t, q, item(1, time.Second, time.Second), Started)
	offer(t, q, item(1, time.Second, time.Second), Queued)
	_, wait := q.Admit(epoch, item(1, 100*time.Millisecond, time.Second))
	require.Equal(t, 100*time.Millisecond, wait)
	require.Equal(t, 300*time.Millisecond, q.EstimateWait(RankLate))
}

func TestWaitEnds(t *testing.T) {
	q := New(1)
	offer(t, q, item(0, time.Second, time.Second), Started)
	x := item(0, time.Second, 110*time.Millisecond)
	offer(t, q, x, Queued)
	q.Expire(epoch.Add(110 * time.Millisecond))
	_, told := outcome(x)
	require.False(t, told)
	q.Expire(epoch.Add(111 * time.Millisecond))
	start, told := outcome(x)
	require.True(t, told)
	require.False(t, start)
	require.False(t, q.Cancel(x))
}

func TestMoreSlotsStartWhatWaits(t *testing.T) {
	q := New(1)
	offer(t, q, item(0, time.Second, time.Second), Started)
	x := item(0, time.Second, time.Second)
	offer(t, q, x, Queued)
	q.SetLimit(epoch, 2)
	start, _ := outcome(x)
	require.True(t, start)
}

// Whatever happens, no more requests run than there are slots, the work that waits
// adds up, and each queued request is told once.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := epoch
		q := New(rapid.IntRange(1, 4).Draw(rt, "slots"))
		var queued []*Request
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				x := item(rapid.IntRange(0, RankLate).Draw(rt, "rank"), time.Duration(rapid.IntRange(0, 900).Draw(rt, "due"))*time.Millisecond,
					time.Duration(rapid.IntRange(0, 500).Draw(rt, "wait"))*time.Millisecond)
				if v, _ := q.Admit(now, x); v == Queued {
					queued = append(queued, x)
				}
			case 2:
				if q.Running() > 0 {
					q.Release(now, 100*time.Millisecond)
				}
			case 3:
				q.Expire(now)
			case 4:
				if len(queued) > 0 && q.Cancel(queued[0]) {
					queued = queued[1:]
				}
			}
			if q.Running() > q.Limit() {
				rt.Fatalf("%d run in %d slots", q.Running(), q.Limit())
			}
			if want := time.Duration(q.Waiting()) * 100 * time.Millisecond; total(q) != want {
				rt.Fatalf("work %s waits, want %s", total(q), want)
			}
		}
		told := 0
		for _, x := range queued {
			if _, ok := outcome(x); ok {
				told++
			}
		}
		if told+q.Waiting() != len(queued) {
			rt.Fatalf("%d told and %d waiting of %d", told, q.Waiting(), len(queued))
		}
	})
}

func total(q *Queue) time.Duration {
	sum := time.Duration(0)
	for _, d := range q.ahead {
		sum += d
	}
	return sum
}
