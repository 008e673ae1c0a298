// Package burn counts good and bad calls against service-level objectives and computes the
// burn rate of the error budget.
//
// # Model
//
// A Recorder counts calls by service and class in time buckets. A call is good if a backend
// server answered it successfully within its deadline. The burn rate over a window is the share
// of bad calls divided by the share that the objective allows: at 1 the error budget lasts
// exactly for the window of the objective. An alert fires only if the burn rates over a long
// and a short window both reach its threshold, so that it is both significant and current.
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

// Width and number of the buckets of a Recorder. Fine buckets serve the windows of up to an
// hour and coarse ones the longer windows.
const (
	fineWidth   = 10 * time.Second
	fineCount   = 360 // one hour
	coarseWidth = 30 * time.Minute
	coarseCount = 144 // three days
)

// Windows are the time windows over which counts are reported.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Key identifies the calls of one objective.
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

// Total returns the number of calls.
func (c Count) Total() int64 { return c.Good + c.Bad }

// BadShare returns the share of bad calls, or 0 if there are no calls.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// Counts holds the counts of one key.
type Counts struct {
	Key Key `msgpack:"k" json:"key"`
	// Windows are the counts over each of the package's Windows.
	Windows []Count `msgpack:"w" json:"windows"`
	// Steps are the fine buckets of the last hour, oldest first, for a plot.
	Steps []Count `msgpack:"t" json:"steps"`
}

// buckets is a circular buffer of counts, each over one epoch: a multiple of width since the
// Unix epoch.
type buckets struct {
	width  time.Duration
	counts []Count
	epochs []int64 // epoch of each count
}

func newBuckets(width time.Duration, n int) *buckets {
	return &buckets{width: width, counts: make([]Count, n), epochs: make([]int64, n)}
}

// add adds a count to the current bucket, which is cleared first if it holds an old epoch.
func (b *buckets) add(now time.Time, c Count) {
	epoch := now.UnixNano() / int64(b.width)
	i := int(epoch % int64(len(b.counts)))
	if b.epochs[i] != epoch {
		b.epochs[i] = epoch
		b.counts[i] = Count{}
	}
	b.counts[i] = b.counts[i].Add(c)
}

// sum returns the sum of the buckets in the window that ends now.
func (b *buckets) sum(now time.Time, window time.Duration) Count {
	last := now.UnixNano() / int64(b.width)
	n := min(int64(window/b.width), int64(len(b.counts)))
	var total Count
	for epoch := last - n + 1; epoch <= last; epoch++ {
		total = total.Add(b.at(epoch))
	}
	return total
}

// at returns the count of an epoch, which is zero if its bucket holds another epoch.
func (b *buckets) at(epoch int64) Count {
	i := int(epoch % int64(len(b.counts)))
	if b.epochs[i] != epoch {
		return Count{}
	}
	return b.counts[i]
}

// list returns the counts of all epochs that the buffer covers, oldest first.
func (b *buckets) list(now time.Time) []Count {
	last := now.UnixNano() / int64(b.width)
	out := make([]Count, 0, len(b.counts))
	for epoch := last - int64(len(b.counts)) + 1; epoch <= last; epoch++ {
		out = append(out, b.at(epoch))
	}
	return out
}

// series holds the counts of one key.
type series struct {
	fine   *buckets
	coarse *buckets
}

// Recorder counts the calls at one node. It is safe for concurrent use.
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

// Counts returns the counts of all keys, sorted by service and class.
func (r *Recorder) Counts(now time.Time) []Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Counts, 0, len(r.series))
	for key, s := range r.series {
		c := Counts{Key: key, Steps: s.fine.list(now)}
		for _, w := range Windows {
			c.Windows = append(c.Windows, s.window(now, w))
		}
		out = append(out, c)
	}
	sortCounts(out)
	return out
}

// window returns the count over a window, from the finest buckets that cover it.
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

// Merge adds up the counts of several nodes by key.
func Merge(lists ...[]Counts) []Counts {
	byKey := map[Key]*Counts{}
	for _, list := range lists {
		for _, c := range list {
			sum := byKey[c.Key]
			if sum == nil {
				sum = &Counts{Key: c.Key, Windows: make([]Count, len(Windows)), Steps: make([]Count, fineCount)}
				byKey[c.Key] = sum
			}
			addCounts(sum.Windows, c.Windows)
			addCounts(sum.Steps, c.Steps)
		}
	}
	out := make([]Counts, 0, len(byKey))
	for _, c := range byKey {
		out = append(out, *c)
	}
	sortCounts(out)
	return out
}

// addCounts adds src to dst. The lengths may differ, since src may come from a node that runs
// another version of the program.
func addCounts(dst, src []Count) {
	for i := range min(len(dst), len(src)) {
		dst[i] = dst[i].Add(src[i])
	}
}
