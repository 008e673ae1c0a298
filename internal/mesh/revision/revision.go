// Package revision keeps the newest configuration in force on one node.
//
// # Model
//
// A Keeper holds one immutable route.Table. It follows a RevisionSource by long
// polls and hears from other nodes how far they are: one that is behind for a
// moment fetches the document from the node that told it, so that a node which
// the source does not serve stays current too. However a document comes, it is
// decoded whole, checked, and swapped in only if its number is higher.
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
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

const (
	// pollWait is the length of one long poll.
	pollWait = 10 * time.Second
	// gatherTime is the pause after a document, so that a quick succession of
	// versions costs fewer polls.
	gatherTime   = 250 * time.Millisecond
	callTimeout  = 2 * time.Second
	backoffFirst = 100 * time.Millisecond
	backoffCap   = time.Second
	// behindFor is how long a node waits for the source before it asks the peer
	// that knows a later number.
	behindFor = 150 * time.Millisecond
)

// Fetch asks another node for its newest document.
type Fetch func(ctx context.Context, addr string) ([]byte, error)

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	source  cicadaseam.RevisionSource
	fetch   Fetch
	logger  *zap.Logger
	changed func()

	table atomic.Pointer[route.Table]

	mu       sync.Mutex
	document []byte
	fetching bool
	ready    chan struct{}
}

// Option changes a new Keeper.
type Option func(*Keeper)

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(k *Keeper) { k.logger = l } }

// WithChanged sets a function that is called after each swap.
func WithChanged(f func()) Option { return func(k *Keeper) { k.changed = f } }

// New returns a keeper without a table.
func New(source cicadaseam.RevisionSource, fetch Fetch, opts ...Option) *Keeper {
	k := &Keeper{source: source, fetch: fetch, logger: zap.NewNop(), changed: func() {}, ready: make(chan struct{})}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Table returns the table in force, or nil before there is one.
func (k *Keeper) Table() *route.Table { return k.table.Load() }

// Ready returns a channel that is closed once there is a table.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// Number returns the number of the table in force, or 0.
func (k *Keeper) Number() uint64 {
	if t := k.Table(); t != nil {
		return t.Number
	}
	return 0
}

// Document returns the document in force, for other nodes.
func (k *Keeper) Document() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.document
}

// Take applies a document if it is later than what is in force. from names where
// it came from.
func (k *Keeper) Take(data []byte, from string) error {
	r, err := k.source.Decode(data)
	if err != nil {
		k.logger.Warn("configuration rejected", zap.String("from", from), zap.Error(err))
		return err
	}
	if r.Number <= k.Number() {
		return nil
	}
	t, err := route.New(r)
	if err != nil {
		k.logger.Warn("configuration rejected", zap.String("from", from), zap.Uint64("revision", r.Number), zap.Error(err))
		return err
	}
	if !k.swap(t, data) {
		return nil
	}
	k.logger.Info("configuration applied", zap.String("from", from), zap.Uint64("revision", t.Number), zap.Int("routes", t.Len()))
	k.changed()
	return nil
}

// swap puts a table in force unless a later one is.
func (k *Keeper) swap(t *route.Table, data []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table.Load()
	if old != nil && old.Number >= t.Number {
		return false
	}
	k.table.Store(t)
	k.document = data
	if old == nil {
		close(k.ready)
	}
	return true
}

// Run follows the source until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	next := cicadaseam.Offset(0)
	known := false
	failures := 0
	for ctx.Err() == nil {
		var err error
		if known {
			next, err = k.poll(ctx, next)
		} else {
			next, err = k.newest(ctx)
		}
		var trimmed *cicadaseam.TrimmedError
		switch {
		case err == nil:
			k.regained(failures)
			failures, known = 0, true
		case errors.As(err, &trimmed):
			known = false
		default:
			k.lost(failures, err)
			failures++
			known = false
			wait.Sleep(ctx, backoffFirst/2+wait.Backoff(rand.Int64N, failures, backoffFirst, backoffCap))
		}
	}
}

func (k *Keeper) lost(failures int, err error) {
	if failures == 0 {
		k.logger.Warn("configuration source lost", zap.Uint64("revision", k.Number()), zap.Error(err))
	}
}

func (k *Keeper) regained(failures int) {
	if failures > 0 {
		k.logger.Info("configuration source regained", zap.Int("failures", failures), zap.Uint64("revision", k.Number()))
	}
}

// newest reads what holds now.
func (k *Keeper) newest(ctx context.Context) (cicadaseam.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := k.source.Newest(ctx)
	if err != nil {
		return 0, err
	}
	k.apply(d)
	return d.Next, nil
}

// poll waits for what comes next.
func (k *Keeper) poll(ctx context.Context, from cicadaseam.Offset) (cicadaseam.Offset, error) {
	bounded, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	d, err := k.source.After(bounded, from, pollWait)
	if err != nil {
		return from, err
	}
	if k.apply(d) {
		wait.Sleep(ctx, gatherTime)
	}
	return d.Next, nil
}

func (k *Keeper) apply(d cicadaseam.Document) bool {
	if d.Data == nil {
		return false
	}
	_ = k.Take(d.Data, "source") // a fault is logged and changes nothing
	return true
}

// Heard takes how far another node is. A node that is behind fetches from it after
// a moment, unless the source was quicker.
func (k *Keeper) Heard(ctx context.Context, addr string, number uint64) {
	if number <= k.Number() {
		return
	}
	k.mu.Lock()
	busy := k.fetching
	k.fetching = true
	k.mu.Unlock()
	if busy {
		return
	}
	go k.catchUp(ctx, addr, number)
}

func (k *Keeper) catchUp(ctx context.Context, addr string, number uint64) {
	defer func() {
		k.mu.Lock()
		k.fetching = false
		k.mu.Unlock()
	}()
	if k.Number() > 0 && !wait.Sleep(ctx, behindFor) {
		return
	}
	if k.Number() >= number {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := k.fetch(ctx, addr)
	if err != nil {
		k.logger.Info("configuration not fetched", zap.String("peer", addr), zap.Uint64("revision", number), zap.Error(err))
		return
	}
	_ = k.Take(data, addr) // a fault is logged and changes nothing
}
