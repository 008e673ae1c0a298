package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// counted returns counts of one route: responses, failures, and the run time of each.
func counted(responses, failures int64, runTime time.Duration) Counts {
	r := NewRecorder()
	r.Follow("i", "", 1, false)
	for i := range responses {
		r.Record(time.Duration(i)*time.Second, Response{Instance: "i", Route: "a", Failed: i < failures, RunTime: runTime})
	}
	c, _ := r.Counts()
	return c
}

// Guards against a verdict on too little evidence, on a single server among several, and against
// one that misses a bad version.
func TestJudge(t *testing.T) {
	const usual = 50 * time.Millisecond
	healthy, failing := counted(20, 0, usual), counted(20, 8, usual)
	slow := counted(20, 0, 8*usual)
	tests := []struct {
		name          string
		servers       []Counts
		inUse         int
		old           Counts
		failing, slow bool
	}{
		{"no evidence", nil, 5, counted(100, 0, usual), false, false},
		{"two failures are not enough", []Counts{counted(10, 2, usual)}, 1, counted(100, 0, usual), false, false},
		{"a single server that fails", []Counts{failing}, 1, counted(100, 0, usual), true, false},
		{"the evidence of other servers is awaited", []Counts{failing}, 3, counted(100, 0, usual), false, false},
		{"many failures are not awaited", []Counts{counted(40, 30, usual)}, 3, counted(100, 0, usual), true, false},
		{"one of three fails", []Counts{failing, healthy, healthy}, 3, counted(100, 0, usual), false, false},
		{"two of three fail", []Counts{failing, failing, healthy}, 3, counted(100, 0, usual), true, false},
		{"the old version fails as well", []Counts{failing, failing, failing}, 3, counted(100, 40, usual), false, false},
		{"one of three is slow", []Counts{slow, healthy, healthy}, 3, counted(100, 0, usual), false, false},
		{"all are slow", []Counts{slow, slow, slow}, 3, counted(100, 0, usual), false, true},
		{"1.5 times slower", []Counts{counted(50, 0, 75*time.Millisecond)}, 1, counted(100, 0, usual), false, false},
		{"nothing to compare the run time with", []Counts{slow}, 1, Counts{}, false, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			e := Evidence{New: map[string]Counts{}, Old: x.old, Servers: x.inUse}
			for i, c := range x.servers {
				e.New[string(rune('a'+i))] = c
			}
			v := Judge(e)
			require.Equal(t, x.failing, v.Failing, v.Reason)
			require.Equal(t, x.slow, v.Slow, v.Reason)
		})
	}
}

// Guards against evidence that does not show the version: a crash that breaks all connections at
// once, the announced warm-up, another instance.
func TestRecorderCountsWhatShowsTheVersion(t *testing.T) {
	r := NewRecorder()
	r.Record(0, Response{Instance: "i", Route: "a"}) // nothing is followed yet
	r.Follow("i", "", 7, true)
	for range 8 {
		r.Record(time.Second, Response{Instance: "i", Route: "a", Failed: true, Lost: true})
	}
	r.Record(time.Second, Response{Instance: "other", Route: "a"})
	r.Record(time.Second, Response{Instance: "i", Route: "a", Failed: true, Lost: true, TimedOut: true, WarmUp: true, RunTime: time.Second})
	r.Record(time.Second, Response{Instance: "i", Route: "a", WarmUp: true, RunTime: time.Second})
	c, forKey := r.Counts()
	require.Equal(t, uint32(7), forKey)
	require.Equal(t, Counts{"a": {Responses: 2, Failures: 1}}, c)
	for i := range 2 * maxRoutes {
		r.Record(time.Minute, Response{Instance: "i", Route: string(rune('A' + i))})
	}
	c, _ = r.Counts()
	require.Len(t, c, maxRoutes)
	require.Equal(t, int64(2+2*maxRoutes), c.total().Responses)
}

// Guards against a bad version whose failures count for the old one, because its server started again
// under the ID that it had.
func TestRestartUnderAnIDWithAnotherVersionIsCountedForThatVersion(t *testing.T) {
	const responses = 10
	r := NewRecorder()
	o := newOrder(0, newTestOrder("v2", time.Minute, 0, 1))
	for i, version := range []string{"v1", "v2"} {
		r.Follow("i", version, o.key, version == "v2")
		for range responses {
			r.Record(time.Second, Response{Instance: "i", Version: version, Route: "a", Failed: version == "v2"})
		}
		r.Record(time.Second, Response{Instance: "i", Version: "v1", Route: "a"}) // of the earlier start, late
		c, _ := r.Counts()
		o.addEvidence(time.Duration(i)*time.Second, seriesKey{"i", 1, version}, c)
	}
	e := o.collect(1, false)
	require.Equal(t, Counts{"a": {Responses: responses, Failures: responses}}, e.New["i"])
	require.Equal(t, Counts{"a": {Responses: responses + 1}}, e.Old)
}

func newTestOrder(version string, d time.Duration, epoch uint64, offset cicadaseam.Offset) cicadaseam.RolloutOrder {
	return cicadaseam.RolloutOrder{Service: "desk", Version: version, Duration: d, Written: cicadaseam.Position{Epoch: epoch, Offset: offset}}
}

// Guards against an order that an older record replaces, or that a restored store starts again,
// and against a later order that is not followed.
func TestOrdersSupersede(t *testing.T) {
	const d = 10 * time.Second
	tests := []struct {
		name   string
		orders []cicadaseam.RolloutOrder
		want   string
		age    time.Duration // 1 s after each order but the first
	}{
		{"later", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 3), newTestOrder("v3", d, 1, 4)}, "v3", 0},
		{"late", []cicadaseam.RolloutOrder{newTestOrder("v3", d, 1, 4), newTestOrder("v2", d, 1, 3)}, "v3", time.Second},
		{"same contents after a restore", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 9), newTestOrder("v2", d, 2, 5)}, "v2", time.Second},
		{"superseded one after a restore", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 3), newTestOrder("v3", d, 1, 4), newTestOrder("v2", d, 2, 3)}, "v3", time.Second},
		{"superseded one ordered again", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 3), newTestOrder("v3", d, 1, 4), newTestOrder("v2", d, 1, 5)}, "v2", 0},
		{"duration of 0", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 3), newTestOrder("v3", 0, 1, 4)}, "v2", time.Second},
		{"duration of 25 h", []cicadaseam.RolloutOrder{newTestOrder("v2", d, 1, 3), newTestOrder("v3", 25*time.Hour, 1, 4)}, "v2", time.Second},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			tracker := NewTracker(0, "n", DefaultSettings, func() float64 { return 0 })
			now := time.Minute
			for i, o := range x.orders {
				now += time.Duration(min(i, 1)) * time.Second
				tracker.AddOrder(now, o)
			}
			require.Equal(t, x.want, tracker.orders["desk"].Version)
			require.Equal(t, x.age, tracker.orders["desk"].age(now))
		})
	}
}

// Guards against an abort that has no effect, or that undoes a complete rollout.
func TestAbort(t *testing.T) {
	abort := newTestOrder("v2", time.Minute, 1, 4)
	abort.Abort = true
	for _, complete := range []bool{false, true} {
		tracker := NewTracker(0, "n", DefaultSettings, func() float64 { return 0 })
		tracker.AddOrder(time.Second, newTestOrder("v2", time.Minute, 1, 3))
		want := cicadaseam.RolloutRolledBack
		if complete {
			want = cicadaseam.RolloutComplete
			tracker.ObserveStatus(time.Second, time.Unix(9, 0), cicadaseam.RolloutStatus{Service: "desk", Version: "v2", State: want}, 1)
		}
		tracker.AddOrder(2*time.Second, abort)
		require.Equal(t, want, tracker.orders["desk"].state())
	}
}

func BenchmarkSplit(b *testing.B) {
	for _, ordered := range []bool{false, true} {
		tracker := NewTracker(0, "n", DefaultSettings, func() float64 { return 0 })
		if ordered {
			tracker.AddOrder(time.Second, newTestOrder("v2", time.Minute, 1, 3))
		}
		b.Run(map[bool]string{false: "without order", true: "with order"}[ordered], func(b *testing.B) {
			for b.Loop() {
				if s := tracker.Split("desk"); s != nil {
					s.Take()
				}
			}
		})
	}
}
