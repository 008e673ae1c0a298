// Package revision keeps the newest configuration in force on one node.
//
// # Model
//
// A Keeper holds one immutable route.Table. A few nodes, the readers, follow a
// RevisionSource by long polls; all hear from each other how far they are. A node
// that is behind fetches from a node of its own zone at once, and from one of
// another zone after a moment, so that a node which the source does not serve stays
// current too. What it fetches are the deltas from what it has, or the whole
// revision. However a revision comes, it is put together whole, checked, and swapped
// in only if its number is higher.
//
// # Invariants
//
//   - The number of the table in force only grows.
//   - A document with a fault changes nothing.
//
// # Usage
//
//	k := revision.New(source, fetch)
//	go k.Run(ctx)
//	table := k.Table()
package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

const (
	// pollWait is the length of one long poll, and pollSlack what its answer may take
	// beyond that. A source that went silent may have taken a poll that it will never
	// answer, and nothing tells such a poll from one that waits.
	pollWait  = 3 * time.Second
	pollSlack = 800 * time.Millisecond
	// gatherTime is the pause after a document, so that a quick succession of
	// versions costs fewer polls.
	gatherTime  = 250 * time.Millisecond
	callTimeout = 2 * time.Second
	// maxDeltas bounds the deltas that are kept for nodes that are behind.
	maxDeltas    = 32
	backoffFirst = 100 * time.Millisecond
	backoffCap   = time.Second
	// behindFor is how long a node waits for news from its own zone before it
	// fetches from another one.
	behindFor = 400 * time.Millisecond
	// dutyPeriod is how often a node looks whether it has become a reader, and
	// checkPeriod how often one that is none asks the source all the same.
	dutyPeriod  = 250 * time.Millisecond
	checkPeriod = time.Minute
)

// Fetch asks another node for what follows a revision.
type Fetch func(ctx context.Context, addr string, have uint64) ([]byte, error)

// Keeper holds the configuration in force. It is safe for concurrent use.
type Syncer struct {
	source  cicadaseam.RevisionSource
	fetch   Fetch
	logger  *zap.Logger
	changed func()
	reader  func() bool
	blind   atomic.Bool
	slow    atomic.Bool
	applied atomic.Pointer[time.Time]

	table atomic.Pointer[route.Table]

	mu       sync.Mutex
	current  *cicadaseam.Revision
	deltas   []Delta // the last ones, in order
	fetching bool
	wanted   wanted
}

// Option changes a new Keeper.
type Option func(*Syncer)

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(k *Syncer) { k.logger = l } }

// WithChanged sets a function that is called after each swap.
func WithOnChange(f func()) Option { return func(k *Syncer) { k.changed = f } }

// WithReader sets the test whether this node is a reader now.
func WithIsReader(f func() bool) Option { return func(k *Syncer) { k.reader = f } }

// New returns a keeper without a table.
func New(source cicadaseam.RevisionSource, fetch Fetch, opts ...Option) *Syncer {
	k := &Syncer{source: source, fetch: fetch, logger: zap.NewNop(), changed: func() {}, reader: func() bool { return true }}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Table returns the table in force, or nil before there is one.
func (k *Syncer) Table() *route.Table { return k.table.Load() }

// Number returns the number of the table in force, or 0.
func (k *Syncer) Number() uint64 {
	if t := k.Table(); t != nil {
		return t.Number
	}
	return 0
}

// Take applies a document of the source if it is later than what is in force.
func (k *Syncer) ApplyDocument(data []byte) error {
	r, err := k.source.Decode(data)
	if err != nil {
		k.logger.Warn("configuration rejected", zap.String("from", fromSource), logging.Error(err))
		return err
	}
	return k.takeRevision(r, fromSource)
}

// fromSource stands in the log for the source, beside the addresses of nodes.
const fromSource = "source"

// Current returns the revision in force, or nil.
func (k *Syncer) Current() *cicadaseam.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// takeRevision checks a revision and puts it in force if it is later. from names
// where it came from.
func (k *Syncer) takeRevision(r *cicadaseam.Revision, from string) error {
	if r.Number <= k.Number() {
		return nil
	}
	t, err := route.New(r)
	if err != nil {
		k.logger.Warn("configuration rejected", zap.String("from", from), zap.Uint64("revision", r.Number), logging.Error(err))
		return err
	}
	if !k.swap(t, r) {
		return nil
	}
	k.logger.Info("configuration applied", zap.String("from", from), zap.Uint64("revision", t.Number), zap.Int("routes", t.Len()))
	k.changed()
	return nil
}

// swap puts a table in force unless a later one is.
func (k *Syncer) swap(t *route.Table, r *cicadaseam.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current
	if old != nil && old.Number >= r.Number {
		return false
	}
	now := time.Now()
	k.applied.Store(&now)
	k.table.Store(t)
	k.current = r
	if old == nil {
		return true
	}
	k.deltas = append(k.deltas, diff(old, r))
	if len(k.deltas) > maxDeltas {
		k.deltas = append([]Delta(nil), k.deltas[1:]...)
	}
	return true
}

// Age returns how long the table is in force.
func (k *Syncer) Age(now time.Time) time.Duration {
	if at := k.applied.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// Blind reports whether the source does not answer this node.
func (k *Syncer) SourceUnavailable() bool { return k.blind.Load() }

// Slow reports whether whole documents of the source come slowly to this node, so that
// it should not follow the source for others.
func (k *Syncer) SourceSlow() bool { return k.slow.Load() }

const (
	// tellingBytes is the least size of a document whose time tells the rate of the
	// link, and slowRate, in bytes a second, the rate under which a reader would fill
	// its link with documents while versions come in quick succession.
	tellingBytes = 64 << 10
	slowRate     = 2 << 20
)

// isSlow judges the time in which a document of a size came. It reports false for told
// where the document is too small to tell.
func isSlow(bytes int, took time.Duration) (slow, told bool) {
	if bytes < tellingBytes {
		return false, false
	}
	return float64(bytes) < slowRate*took.Seconds(), true
}

// Run follows the source until the context ends.
func (k *Syncer) Run(ctx context.Context) {
	next := cicadaseam.Offset(0)
	known := false
	failures := 0
	for ctx.Err() == nil {
		if known && !k.reader() {
			k.rest(ctx)
			known = false
			continue
		}
		var err error
		if known {
			next, err = k.poll(ctx, next)
		} else {
			next, err = k.newest(ctx)
		}
		known = err == nil
		var trimmed *cicadaseam.TrimmedError
		switch {
		case err == nil:
			k.regained(failures)
			failures = 0
		case !errors.As(err, &trimmed):
			k.lost(failures, err)
			failures++
			wait.Sleep(ctx, backoffFirst/2+wait.Backoff(rand.Int64N, failures, backoffFirst, backoffCap))
		}
		k.blind.Store(failures > 0)
	}
}

// rest waits while other nodes read the source.
func (k *Syncer) rest(ctx context.Context) {
	until := time.Now().Add(checkPeriod)
	for time.Now().Before(until) && !k.reader() && wait.Sleep(ctx, dutyPeriod) {
		continue
	}
}

func (k *Syncer) lost(failures int, err error) {
	if failures == 0 {
		k.logger.Warn("configuration source lost", zap.Uint64("revision", k.Number()), logging.Error(err))
	}
}

func (k *Syncer) regained(failures int) {
	if failures > 0 {
		k.logger.Info("configuration source regained", zap.Int("failures", failures), zap.Uint64("revision", k.Number()))
	}
}

// newest reads what holds now.
func (k *Syncer) newest(ctx context.Context) (cicadaseam.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := k.source.Newest(ctx)
	if err != nil {
		return 0, err
	}
	k.apply(d)
	return d.NextOffset, nil
}

func (k *Syncer) judge(bytes int, took time.Duration) {
	slow, told := isSlow(bytes, took)
	if told && k.slow.Swap(slow) != slow {
		k.logger.Info("rate of the configuration source", zap.Bool("slow", slow), zap.Int("bytes", bytes), zap.Duration("took", took))
	}
}

// poll waits for what comes next.
func (k *Syncer) poll(ctx context.Context, from cicadaseam.Offset) (cicadaseam.Offset, error) {
	bounded, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	defer cancel()
	d, err := k.source.LongPoll(bounded, from, pollWait)
	if err != nil {
		return from, err
	}
	if k.apply(d) {
		wait.Sleep(ctx, gatherTime)
	}
	return d.NextOffset, nil
}

func (k *Syncer) apply(d cicadaseam.Document) bool {
	k.judge(d.TransferSize, d.TransferTime)
	if d.Data == nil {
		return false
	}
	_ = k.ApplyDocument(d.Data) // a fault is logged and changes nothing
	return true
}
