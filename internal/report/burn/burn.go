// Package burn counts good and bad calls against service-level objectives and
// says how fast the error budget burns.
//
// # Model
//
// A Recorder counts calls by service and class in buckets of time. A call is
// good when it was answered in its deadline by a backend server that did not
// fail it. The burn rate over a window is the share of bad calls divided by
// the share that the objective allows: at 1 the budget lasts exactly for its
// period. An alert needs a long and a short window over the same rate, so that
// it is both significant and current.
//
// # Usage
//
//	r := burn.NewRecorder()
//	r.Record(now, "status-portal", "passenger", true)
//	report := burn.NewReport(now, r.Counts(now), objectives)
package burn

import (
	"sort"
	"sync"
	"time"
)

// Buckets of a Recorder.
const (
	// Fine buckets serve the short windows and coarse ones the long windows.
	fineWidth   = 10 * time.Second
	fineCount   = 360 // one hour
	coarseWidth = 30 * time.Minute
	coarseCount = 144 // three days
)

// Windows over which counts are reported.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Key names one objective.
type Key struct {
	Service string `msgpack:"s" json:"service"`
	Class   string `msgpack:"c" json:"class"`
}

// Count is a number of good and bad calls.
type Count struct {
	Good int64 `msgpack:"g" json:"good"`
	Bad  int64 `msgpack:"b" json:"bad"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Total returns all calls.
func (c Count) Total() int64 { return c.Good + c.Bad }

// BadShare returns the share of bad calls, 0 without calls.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// Counts are the counts of one key over each of Windows, and in steps for a
// plot.
type Counts struct {
	Key     Key     `msgpack:"k" json:"key"`
	Windows []Count `msgpack:"w" json:"windows"`
	// Steps are the fine buckets of the last hour, oldest first.
	Steps []Count `msgpack:"t" json:"steps"`
}

// buckets is a ring of counts over time.
type buckets struct {
	width  time.Duration
	counts []Count
	epochs []int64
}

func newBuckets(width time.Duration, n int) *buckets {
	return &buckets{width: width, counts: make([]Count, n), epochs: make([]int64, n)}
}

func (b *buckets) add(now time.Time, c Count) {
	epoch := now.UnixNano() / int64(b.width)
	i := int(epoch % int64(len(b.counts)))
	if b.epochs[i] != epoch {
		b.epochs[i] = epoch
		b.counts[i] = Count{}
	}
	b.counts[i] = b.counts[i].Add(c)
}

// sum adds the buckets that lie in the window before now.
func (b *buckets) sum(now time.Time, window time.Duration) Count {
	last := now.UnixNano() / int64(b.width)
	n := min(int64(window/b.width), int64(len(b.counts)))
	var total Count
	for epoch := last - n + 1; epoch <= last; epoch++ {
		total = total.Add(b.at(epoch))
	}
	return total
}

func (b *buckets) at(epoch int64) Count {
	i := int(epoch % int64(len(b.counts)))
	if b.epochs[i] != epoch {
		return Count{}
	}
	return b.counts[i]
}

func (b *buckets) steps(now time.Time) []Count {
	last := now.UnixNano() / int64(b.width)
	out := make([]Count, 0, len(b.counts))
	for epoch := last - int64(len(b.counts)) + 1; epoch <= last; epoch++ {
		out = append(out, b.at(epoch))
	}
	return out
}

type series struct {
	fine   *buckets
	coarse *buckets
}

// Recorder counts the calls of one node. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder {
	return &Recorder{series: map[Key]*series{}}
}

// Record counts one call.
func (r *Recorder) Record(now time.Time, service, class string, good bool) {
	c := Count{Bad: 1}
	if good {
		c = Count{Good: 1}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := Key{Service: service, Class: class}
	s := r.series[key]
	if s == nil {
		s = &series{fine: newBuckets(fineWidth, fineCount), coarse: newBuckets(coarseWidth, coarseCount)}
		r.series[key] = s
	}
	s.fine.add(now, c)
	s.coarse.add(now, c)
}

// Counts returns the counts of all keys in order.
func (r *Recorder) Counts(now time.Time) []Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Counts, 0, len(r.series))
	for key, s := range r.series {
		c := Counts{Key: key, Steps: s.fine.steps(now)}
		for _, w := range Windows {
			c.Windows = append(c.Windows, s.window(now, w))
		}
		out = append(out, c)
	}
	sortCounts(out)
	return out
}

func (s *series) window(now time.Time, w time.Duration) Count {
	if w <= fineWidth*fineCount {
		return s.fine.sum(now, w)
	}
	return s.coarse.sum(now, w)
}

func sortCounts(list []Counts) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].Key.Service != list[j].Key.Service {
			return list[i].Key.Service < list[j].Key.Service
		}
		return list[i].Key.Class < list[j].Key.Class
	})
}

// Merge adds the counts of several nodes.
func Merge(lists ...[]Counts) []Counts {
	byKey := map[Key]*Counts{}
	for _, list := range lists {
		for _, c := range list {
			have := byKey[c.Key]
			if have == nil {
				have = &Counts{Key: c.Key, Windows: make([]Count, len(Windows)), Steps: make([]Count, fineCount)}
				byKey[c.Key] = have
			}
			addAll(have.Windows, c.Windows)
			addAll(have.Steps, c.Steps)
		}
	}
	out := make([]Counts, 0, len(byKey))
	for _, c := range byKey {
		out = append(out, *c)
	}
	sortCounts(out)
	return out
}

// addAll adds the counts of another node, whose lists may be shorter when it
// runs another version.
func addAll(to, from []Count) {
	for i := range min(len(to), len(from)) {
		to[i] = to[i].Add(from[i])
	}
}
