package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1000, 0)

// A request that crashed two backend servers is refused at every node that received
// its marks. A request that was only running at the same time is served again after it
// has succeeded.
func TestRequestThatCrashesIsRefusedEverywhere(t *testing.T) {
	const culprit, bystander = 1, 2
	a, b := New(), New()
	a.RecordCrash(epoch, "i-1", []uint64{culprit, bystander})
	b.MergeMarks(epoch, a.NextMarks())
	_, refused := b.Refused(epoch, culprit)
	require.False(t, refused)
	b.RecordSuccess(epoch, bystander)
	b.RecordCrash(epoch.Add(time.Second), "i-2", []uint64{culprit, bystander})
	for _, g := range []*Guard{a, b} {
		g.MergeMarks(epoch.Add(time.Second), b.NextMarks())
		wait, refused := g.Refused(epoch.Add(time.Second), culprit)
		require.True(t, refused)
		require.Equal(t, quarantinePeriod, wait)
		_, refused = g.Refused(epoch.Add(time.Second), bystander)
		require.False(t, refused)
	}
	_, refused = a.Refused(epoch.Add(time.Second+quarantinePeriod), culprit)
	require.False(t, refused) // a refusal expires
}

func TestMarksAreSentSeveralTimes(t *testing.T) {
	g := New()
	require.Empty(t, g.NextMarks())
	g.RecordCrash(epoch, "i-1", []uint64{1})
	for range transmissionsPerMark {
		require.Len(t, g.NextMarks(), 1)
	}
	require.Empty(t, g.NextMarks())
}
