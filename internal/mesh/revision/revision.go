// Package revision keeps the routing configuration of one node up to date.
//
// # Model
//
// A Syncer holds one immutable route.Table, built from one revision of the
// configuration. A few nodes, the readers, follow a RevisionSource by long polls. All
// nodes send each other the number of their revision. A node that is behind fetches
// from a node of its own zone at once, and from a node of another zone after a short
// delay, so that a node which the source does not serve stays current too. It fetches
// the deltas from the revision that it has, or else the whole revision. However a
// revision arrives, it is completed and validated before it is swapped in, and it is
// swapped in only if its number is higher.
//
// A source that comes back from an older copy begins a new epoch. Its newest revision may then
// be lower than the one in force, which stays. Operators may write another revision under the
// number in force: of two with the same number and different contents, the one that was written
// later replaces the other. Offsets are compared within an epoch only; after a change of the
// epoch, a reader starts with the newest document again.
//
// # Invariants
//
//   - The number of the table in force never falls.
//   - An invalid document changes nothing.
//
// # Usage
//
//	s := revision.New(source, fetch)
//	go s.Run(ctx)
//	table := s.Table()
package revision

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

const (
	// callTimeout bounds a call to the source that does not wait, and a fetch from
	// another node.
	callTimeout = 2 * time.Second
	// maxDeltas bounds the deltas that are kept for nodes that are behind.
	maxDeltas = 32
	// otherZoneDelay is how long a node that is behind waits for a node of its own zone
	// to have the revision, before it fetches from a node of another zone.
	otherZoneDelay = 400 * time.Millisecond
)

// Fetch gets the update for a node that has revision have from the node at addr.
type Fetch func(ctx context.Context, addr string, have cicadaseam.RevisionID) ([]byte, error)

// Syncer holds the configuration in force and keeps it up to date. It is safe for
// concurrent use.
type Syncer struct {
	source            cicadaseam.RevisionSource
	fetch             Fetch
	logger            *zap.Logger
	onChange          func()
	isReader          func() bool
	keysExpected      bool
	onOrders          func(orders []cicadaseam.RolloutOrder, rejected []error)
	sourceUnavailable atomic.Bool
	sourceSlow        atomic.Bool
	appliedAt         atomic.Pointer[time.Time]
	proofs            proofs

	table atomic.Pointer[route.Table]

	mu       sync.Mutex
	current  *cicadaseam.Revision
	deltas   []Delta // the most recent ones, in order
	fetching bool
	latest   peerRevision
	// keyedAssumed is set if nothing has told whether the current revision is keyed.
	keyedAssumed bool
}

// Option configures a new Syncer.
type Option func(*Syncer)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(s *Syncer) { s.logger = l } }

// WithOnChange sets a function that is called after each change of the table in force.
func WithOnChange(f func()) Option { return func(s *Syncer) { s.onChange = f } }

// WithIsReader sets the function that decides whether this node is a reader now. By
// default it always is.
func WithIsReader(f func() bool) Option { return func(s *Syncer) { s.isReader = f } }

// WithOnOrders sets a function that is called with the rollout orders in each response of the
// source, and with the errors of those that cannot be read.
func WithOnOrders(f func(orders []cicadaseam.RolloutOrder, rejected []error)) Option {
	return func(s *Syncer) { s.onOrders = f }
}

// New returns a syncer without a table.
func New(source cicadaseam.RevisionSource, fetch Fetch, opts ...Option) *Syncer {
	s := &Syncer{source: source, fetch: fetch, logger: zap.NewNop(), onChange: func() {}, isReader: func() bool { return true }, onOrders: func([]cicadaseam.RolloutOrder, []error) {}, proofs: newProofs()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Table returns the table in force, or nil before there is one.
func (s *Syncer) Table() *route.Table { return s.table.Load() }

// Number returns the number of the table in force, or 0.
func (s *Syncer) Number() uint64 {
	if t := s.Table(); t != nil {
		return t.Number
	}
	return 0
}

// ID returns the ID of the revision in force, which is zero before there is one.
func (s *Syncer) ID() cicadaseam.RevisionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idLocked()
}

// idLocked is ID for a caller that holds the lock.
func (s *Syncer) idLocked() cicadaseam.RevisionID {
	if s.current == nil {
		return cicadaseam.RevisionID{}
	}
	return s.current.RevisionID
}

// ApplyDocument applies a document of the source if its revision is later than the one
// in force.
func (s *Syncer) ApplyDocument(d cicadaseam.Document) error {
	r, err := s.source.Decode(d)
	if err != nil {
		s.logger.Warn("configuration rejected", zap.String("from", fromSource), logging.Error(err))
		return err
	}
	err = s.applyRevision(arrival{Revision: r, from: fromSource})
	s.proofs.recordRevision(r.RevisionID, err)
	return err
}

// fromSource stands for the source in the log field that otherwise holds the address of
// a node.
const fromSource = "source"

// Current returns the revision in force, or nil.
func (s *Syncer) Current() *cicadaseam.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// arrival is a revision and where it came from.
type arrival struct {
	*cicadaseam.Revision
	from string // as the log names it
	// keyedAssumed is set if the sender did not tell whether the revision is keyed.
	keyedAssumed bool
}

// applyRevision validates a revision and puts it in force if it is later than the current one, or
// tells whether that is keyed where this was assumed.
func (s *Syncer) applyRevision(a arrival) error {
	current := s.Current()
	if current != nil && !a.After(current.RevisionID) && !s.corrects(a) {
		return nil
	}
	if current != nil && a.Number == current.Number && sameContent(current, a.Revision) {
		if a.from == fromSource {
			s.confirmKeyed(current)
		} else {
			s.adoptID(current, a.RevisionID)
		}
		return nil
	}
	t, err := route.New(a.Revision)
	if err != nil {
		s.logger.Warn("configuration rejected", zap.String("from", a.from), zap.Uint64("revision", a.Number), logging.Error(err))
		return err
	}
	if !s.swap(t, a) {
		return nil
	}
	s.logger.Info("configuration applied", zap.String("from", a.from), zap.Uint64("revision", t.Number), zap.Int("routes", t.Len()), zap.Bool("keyed", t.IsKeyed()), zap.Bool("keyed-assumed", a.keyedAssumed))
	s.onChange()
	return nil
}

// swap puts a table in force and returns true, unless the number of the table in force is
// the same or higher.
func (s *Syncer) swap(t *route.Table, a arrival) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, r := s.current, a.Revision
	corrected := s.correctsLocked(a)
	if old != nil && !r.After(old.RevisionID) && !corrected {
		return false
	}
	now := time.Now()
	s.appliedAt.Store(&now)
	s.table.Store(t)
	s.current, s.keyedAssumed = r, a.keyedAssumed
	if old == nil {
		return true
	}
	if corrected {
		s.deltas = nil // they lead to the revision as it was assumed
		return true
	}
	if r.Number == old.Number {
		s.logger.Warn("revision replaced under its number", zap.Uint64("revision", r.Number), zap.Any("before", old.Written), zap.Any("now", r.Written))
	}
	s.deltas = append(s.deltas, diff(old, r))
	if len(s.deltas) > maxDeltas {
		s.deltas = append([]Delta(nil), s.deltas[1:]...)
	}
	return true
}

// adoptID gives the revision in force the ID under which other nodes have the same contents, so
// that they do not appear to be ahead. The deltas lead to the previous ID and are dropped.
func (s *Syncer) adoptID(current *cicadaseam.Revision, id cicadaseam.RevisionID) {
	renamed := *current
	renamed.RevisionID = id
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == current {
		s.current = &renamed
		s.deltas = nil
	}
}

// Age returns how long the table has been in force, or 0 before there is one.
func (s *Syncer) Age(now time.Time) time.Duration {
	if at := s.appliedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}
