package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const limit = 64 << 20

// now is the time of all requests in tests in which no time passes.
var now = time.Unix(1000, 0)

// Guards against large bodies that together take more than the memory of a process, and against
// one that keeps out the small bodies, or is never served itself.
func TestLargeBodiesAreBoundedTogether(t *testing.T) {
	b := New(limit)
	var first, second, small Reservation
	require.True(t, b.Resize(&small, 4000, now))
	require.True(t, b.Resize(&first, 60<<20, now), "the only large one")
	require.False(t, b.Resize(&second, 60<<20, now))
	require.False(t, b.Resize(&second, SmallBody+1, now))
	require.True(t, b.Resize(&second, SmallBody, now))
	b.Release(&first)
	require.True(t, b.Resize(&second, 60<<20, now), "a body may grow")
	require.False(t, b.Resize(&first, SmallBody+1, now))
	b.Release(&second)
	require.True(t, b.Resize(&first, 16<<20, now))
	require.True(t, b.Resize(&second, 16<<20, now))
	b.Release(&first)
	b.Release(&second)
	b.Release(&second)
	require.Equal(t, int64(4000), b.Used())
}

// Guards against reservations that leak or that exceed what is promised, in any order of calls.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(limit)
		reservations := make([]Reservation, 8)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := &reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "body")]
			if rapid.Bool().Draw(t, "release") {
				b.Release(r)
			} else {
				b.Resize(r, int64(rapid.IntRange(0, limit).Draw(t, "size")), now)
			}
			var used, large, bodies int64
			for i := range reservations {
				used += reservations[i].Size()
				if reservations[i].Size() > SmallBody {
					large += reservations[i].Size()
					bodies++
				}
			}
			require.Equal(t, used, b.Used())
			require.True(t, large <= limit/2 || bodies == 1)
		}
	})
}

// arriving returns a reservation of a size that is arriving since a time, and how it was revoked.
func arriving(t *testing.T, b *Budget, size int64, since time.Time) (r *Reservation, revoked *[]bool) {
	r, revoked = &Reservation{}, &[]bool{}
	b.Arriving(r, since, func(stalled bool) { *revoked = append(*revoked, stalled) })
	require.True(t, b.Resize(r, size, since))
	return r, revoked
}

// Guards against requests that stop in the middle and keep out the others for as long as they stay.
func TestStalledRequestsGiveWay(t *testing.T) {
	b := New(1 << 20)
	var stalled []*[]bool
	for range 6 {
		_, revoked := arriving(t, b, 100<<10, now)
		stalled = append(stalled, revoked)
	}
	var newcomer Reservation
	later := now.Add(stallTime)
	require.False(t, b.Resize(&newcomer, 100<<10, later), "they may still arrive, and are as large")
	later = later.Add(time.Millisecond)
	require.True(t, b.Resize(&newcomer, 100<<10, later))
	revoked := 0
	for _, r := range stalled {
		revoked += len(*r)
		for _, isStalled := range *r {
			require.True(t, isStalled)
		}
	}
	require.Equal(t, 1, revoked, "no more than needed")
	require.Equal(t, int64(1), b.Revoked())
	require.Equal(t, int64(600<<10), b.Used())
}

// Guards against callers that send a few bytes now and then to count as alive.
func TestTricklingRequestsAreStalled(t *testing.T) {
	b := New(1 << 20)
	slow, slowRevoked := arriving(t, b, 500<<10, now)
	fast, fastRevoked := arriving(t, b, 100<<10, now)
	at := now
	for range 100 {
		at = at.Add(stallTime / 50)
		require.True(t, b.Progress(slow, 1, at))
		require.True(t, b.Progress(fast, minProgress/10, at))
	}
	var newcomer Reservation
	require.True(t, b.Resize(&newcomer, 300<<10, at))
	require.Equal(t, []bool{true}, *slowRevoked)
	require.Empty(t, *fastRevoked)
	require.False(t, b.Progress(slow, 1, at))
	require.False(t, b.Arrived(slow))
	require.False(t, b.Resize(slow, 1, at), "it stays revoked")
	require.True(t, b.Arrived(fast))
}

// Guards against large requests that arrive fast and keep out smaller ones, and against requests that
// lose their memory after they have arrived: they may be running.
func TestLargerRequestsGiveWayWhileTheyArrive(t *testing.T) {
	b := New(1 << 20)
	larger, revoked := arriving(t, b, 400<<10, now)
	running, _ := arriving(t, b, 200<<10, now)
	require.True(t, b.Arrived(running))
	var newcomer Reservation
	require.False(t, b.Resize(&newcomer, 500<<10, now), "it needs more than the one that may give way")
	require.True(t, b.Resize(&newcomer, 300<<10, now))
	require.Equal(t, []bool{false}, *revoked)
	var next Reservation
	require.False(t, b.Resize(&next, 150<<10, now.Add(time.Hour)), "those that have arrived stay")
	require.Zero(t, larger.Size())
	b.Release(larger)
	b.Release(running)
	b.Release(&newcomer)
	require.Zero(t, b.Used())
}

// Guards against larger requests that wait for a slow server and leave no room for ordinary ones.
func TestRoomRemainsForOrdinaryRequests(t *testing.T) {
	b := New(40 << 20)
	fill := func(size int64) (n int) {
		for b.Resize(new(Reservation), size, now) {
			n++
		}
		return n
	}
	fill(SmallBody)
	fill(mediumBody)
	const connections = 1000
	require.GreaterOrEqual(t, fill(ordinaryBody), connections)
	var large Reservation
	require.True(t, b.Resize(&large, 16<<20, now))
}

// Guards against memory that is reserved for a request that was revoked, in any order of calls.
func TestRevokedRequestsHoldNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(limit)
		reservations := make([]Reservation, 8)
		at := now
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			r := &reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "request")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b.Release(r)
			case 1:
				if r.Size() == 0 && !r.revoked {
					b.Arriving(r, at, func(bool) {})
				}
			case 2:
				b.Progress(r, 10_000, at)
			case 3:
				arrived := b.arriving[r]
				require.Equal(t, !r.revoked, b.Arrived(r) || !arrived && !r.revoked)
			default:
				b.Resize(r, int64(rapid.IntRange(0, limit).Draw(t, "size")), at)
			}
			var used int64
			for i := range reservations {
				used += reservations[i].Size()
				require.False(t, reservations[i].revoked && (reservations[i].Size() > 0 || b.arriving[&reservations[i]]))
			}
			require.Equal(t, used, b.Used())
		}
	})
}
