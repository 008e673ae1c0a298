package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

var epoch = time.Unix(1000, 0)

const poison = 7 // a fingerprint

func TestTwoCrashesRefuseAFingerprintForAPeriod(t *testing.T) {
	q := New(WithPeriod(time.Minute))
	q.RecordCrash(epoch, "a/1", []uint64{poison})
	_, refused := q.Refused(epoch, poison)
	require.False(t, refused, "one crash")
	q.RecordCrash(epoch, "a/1", []uint64{poison})
	_, refused = q.Refused(epoch, poison)
	require.False(t, refused, "the same crash again")
	q.RecordCrash(epoch, "b/1", []uint64{poison})
	wait, refused := q.Refused(epoch.Add(time.Second), poison)
	require.True(t, refused)
	require.Equal(t, 59*time.Second, wait)
	_, refused = q.Refused(epoch.Add(time.Minute), poison)
	require.False(t, refused, "the refusal ends by itself")
	q.RecordCrash(epoch.Add(61*time.Second), "c/1", []uint64{poison})
	wait, refused = q.Refused(epoch.Add(61*time.Second), poison)
	require.True(t, refused, "one more crash on probation")
	require.Equal(t, 2*time.Minute, wait)
}

// Guards against a request that comes more rarely than once in a period and so is never refused.
func TestRareRequestIsRefusedToo(t *testing.T) {
	const period, memory, between = 20 * time.Second, 2 * time.Minute, 25 * time.Second
	q := New(WithPeriod(period), WithMemory(memory))
	runs := 0
	for i := range 12 {
		at := epoch.Add(time.Duration(i) * between)
		if _, refused := q.Refused(at, poison); !refused {
			runs++
			q.RecordCrash(at, "a/"+strconv.Itoa(i), []uint64{poison})
		}
	}
	require.LessOrEqual(t, runs, 3+2, "of 12 arrivals in 275 s: at 0, 25, 50, 100 and 200 s, after refusals of 20, 40 and 80 s")
	q.Refused(epoch.Add(time.Hour), poison)
	require.False(t, q.HasMarks(), "the marks are forgotten")
}

// A request that succeeds was not the cause. A late copy of its mark does not count.
func TestSuccessClearsMarksForGood(t *testing.T) {
	q, other := New(), New()
	marks := q.RecordCrash(epoch, "a/1", []uint64{poison})
	require.Len(t, other.MergeMarks(epoch, marks), 1)
	cleared := q.RecordSuccess(epoch, poison)
	require.Len(t, other.MergeMarks(epoch, cleared), 1)
	require.Empty(t, other.MergeMarks(epoch, marks))
	other.RecordCrash(epoch, "b/1", []uint64{poison})
	_, refused := other.Refused(epoch, poison)
	require.False(t, refused)
}

// However many crashes there are, the memory that they take is bounded, and the newest
// ones are kept.
func TestMarksAndClearedMarksAreBounded(t *testing.T) {
	q := New()
	for i := range MaxEntries + 10 {
		at := epoch.Add(time.Duration(i) * time.Microsecond)
		q.merge(at, cicadaseam.CrashMark{Fingerprint: uint64(i), CrashID: strconv.Itoa(i), Cleared: true})
		q.merge(at, cicadaseam.CrashMark{Fingerprint: uint64(i), CrashID: "x"})
	}
	require.Len(t, q.cleared, MaxEntries)
	require.Len(t, q.entries, MaxEntries)
	require.Contains(t, q.cleared, markKey{MaxEntries + 9, strconv.Itoa(MaxEntries + 9)})
}

// Guards against a process that forgets at its start what other nodes know, or that takes over less
// than it knows itself.
func TestSuspicionsOfAnotherNodeAreTakenOver(t *testing.T) {
	const period, memory = 20 * time.Second, 2 * time.Minute
	newQuarantine := func() *Quarantine { return New(WithPeriod(period), WithMemory(memory)) }
	other := newQuarantine()
	other.RecordCrash(epoch, "a/1", []uint64{poison, 8})
	other.RecordCrash(epoch, "b/1", []uint64{poison})
	for _, test := range []struct {
		name    string
		at      time.Duration // when it is taken over
		refused time.Duration // by then
		next    time.Duration // refused after one more crash
	}{
		{"refused", 5 * time.Second, 15 * time.Second, period},
		{"on probation", 30 * time.Second, 0, 2 * period},
	} {
		t.Run(test.name, func(t *testing.T) {
			q, at := newQuarantine(), epoch.Add(test.at)
			q.MergeSuspicions(at, other.Suspicions(at))
			q.MergeSuspicions(at, q.Suspicions(at))
			wait, _ := q.Refused(at, poison)
			require.Equal(t, test.refused, wait)
			require.Empty(t, q.MergeMarks(at, []cicadaseam.CrashMark{{Fingerprint: 8, CrashID: "a/1"}}), "a late copy")
			q.RecordCrash(at, "c/1", []uint64{poison, 8})
			wait, _ = q.Refused(at, poison)
			require.Equal(t, test.next, wait)
			_, refused := q.Refused(at, 8)
			require.True(t, refused, "the crash of before counts")
		})
	}
	q := newQuarantine()
	q.RecordCrash(epoch, "a/1", []uint64{poison})
	q.RecordSuccess(epoch, poison)
	q.MergeSuspicions(epoch, []cicadaseam.Suspicion{{Fingerprint: poison, CrashIDs: []string{"a/1"}, Period: period, Remaining: memory}})
	require.False(t, q.HasMarks(), "it has succeeded since")
}
