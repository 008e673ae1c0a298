package epoch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const nodes = 10

func newTracker() *Tracker {
	return New(func() float64 { return 0.999 })
}

func isDue(t *Tracker) bool {
	_, due := t.Due(nodes)
	return due
}

func TestRecordsAreDueOnceInANewEpoch(t *testing.T) {
	x := newTracker()
	x.Observe(start, 3, "store")
	require.False(t, isDue(x), "nothing was written yet")
	x.Written(start, 3, true)
	x.Observe(start, 3, "store")
	x.Observe(start, 2, "store")
	require.False(t, isDue(x))
	require.Equal(t, int64(1), x.Counts().Older)
	x.Observe(start, 5, "node-7")
	require.Equal(t, &Change{Epoch: 5, Before: 3, From: "node-7"}, x.TakeChange())
	due, ok := x.Due(nodes)
	require.True(t, ok)
	require.LessOrEqual(t, due.Sub(start), nodes*writeInterval)
	x.Written(due, 5, false)
	require.True(t, isDue(x), "a write of some records")
	x.Failed(due)
	require.True(t, isDue(x))
	x.Written(due, 5, true)
	require.False(t, isDue(x))
}

// An acknowledgement that arrives late was given by the store that is gone.
func TestWriteAcknowledgedInAnOlderEpochIsRepeated(t *testing.T) {
	x := newTracker()
	x.Written(start, 1, true)
	x.Observe(start, 2, "node-7")
	x.Written(start, 1, true)
	require.True(t, isDue(x))
	x.Written(start, 2, true)
	require.False(t, isDue(x))
	x.Observe(start, 1<<60, "a wrong number")
	for range maxStaleWrites {
		x.Written(start, 2, true)
		require.True(t, isDue(x))
	}
	x.Written(start, 2, true)
	require.False(t, isDue(x))
}

// A store that named no epoch when the records were written may have been restored since.
func TestFirstKnownEpochAfterAWriteMakesRecordsDue(t *testing.T) {
	x := newTracker()
	x.Written(start, 0, true)
	x.Observe(start, 1, "store")
	require.True(t, isDue(x))
}

// After a restore, all nodes that are told write within the time that the store needs for
// them, and no more often than it bears.
func TestWritesAfterARestoreAreSpread(t *testing.T) {
	const writesPerSecond = 400 // of the smallest store
	for _, nodes := range []int{30, 100, 720} {
		rng := rand.New(rand.NewPCG(1, uint64(nodes)))
		var writes []time.Duration
		for range nodes {
			x := New(rng.Float64)
			x.Written(start, 1, true)
			told := time.Duration(rng.Int64N(int64(500 * time.Millisecond))) // by the next heartbeat
			x.Observe(start.Add(told), 2, "node")
			due, ok := x.Due(nodes)
			require.True(t, ok)
			writes = append(writes, due.Sub(start))
		}
		slices.Sort(writes)
		worst := writes[nodes-1]
		t.Logf("%d nodes: written again after %v at the median, %v at worst", nodes, writes[nodes/2], worst)
		require.LessOrEqual(t, worst, 500*time.Millisecond+time.Duration(nodes)*writeInterval)
		for i := range writes {
			j, _ := slices.BinarySearch(writes, writes[i]+time.Second)
			require.LessOrEqual(t, j-i, writesPerSecond)
		}
	}
}
