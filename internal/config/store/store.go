// Package store holds the configuration of one node.
//
// # Model
//
// A Store folds records, builds the table of each accepted version and swaps
// it in with one atomic pointer. It keeps the newest records, so that peers can
// be served from memory. Subscribers wait on Changed.
//
// # Invariants
//
//   - Position and version only grow, whatever records or snapshots come, in
//     whatever order and however often.
//   - The table is swapped whole, after its check; a table that fails the check
//     leaves the old one in place and is reported.
//
// # Usage
//
//	s := store.New(place)
//	fresh, err := s.Ingest(records)
//	table := s.Table()
package store

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// Limits of the records kept in memory.
const (
	maxRecords     = 2048
	maxRecordBytes = 4 << 20
)

// Store is the configuration of one node. It is safe for concurrent use.
type Store struct {
	place  cicadaseam.Locality
	logger *zap.Logger
	table  atomic.Pointer[tree.Table]

	mu      sync.Mutex
	fold    *fold.Fold
	records []cicadaseam.Record
	bytes   int
	changed chan struct{}
	digests map[cicadaseam.Offset]uint64
}

// Option changes a new Store.
type Option func(*Store)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(s *Store) { s.logger = l } }

// New returns a store before the first record, with an empty table.
func New(place cicadaseam.Locality, opts ...Option) *Store {
	s := &Store{
		place:   place,
		logger:  zap.NewNop(),
		fold:    fold.New(),
		changed: make(chan struct{}),
		digests: map[cicadaseam.Offset]uint64{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.table.Store(&tree.Table{Locality: place})
	return s
}

// Table returns the current table.
func (s *Store) Table() *tree.Table { return s.table.Load() }

// Tree returns the current tree and its version.
func (s *Store) Tree() (*tree.Tree, cicadaseam.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Tree(), s.fold.Version()
}

// Position returns the offset of the last record taken and the digest there.
func (s *Store) Position() (cicadaseam.Offset, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Position(), s.fold.Digest()
}

// Halted returns the reason why the fold stopped, or nil.
func (s *Store) Halted() *fold.HaltedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Halted()
}

// Changed returns a channel that is closed when the position grows.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Decision returns the decision on a change that is still remembered.
func (s *Store) Decision(id string) (cicadaseam.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Decision(id)
}

// Check decides on a change as if it were the next record.
func (s *Store) Check(c cicadaseam.Change) cicadaseam.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Check(c)
}

// Ingest takes records in order and returns those that were new. Records that
// it has are skipped; at a gap it stops with a *fold.GapError.
func (s *Store) Ingest(records []cicadaseam.Record) ([]cicadaseam.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.fold.Version()
	fresh, err := s.take(records)
	if len(fresh) > 0 {
		s.publish(before)
	}
	return fresh, err
}

func (s *Store) take(records []cicadaseam.Record) ([]cicadaseam.Record, error) {
	var fresh []cicadaseam.Record
	for _, r := range records {
		if r.Offset <= s.fold.Position() {
			continue
		}
		d, err := s.fold.Apply(r)
		if err != nil {
			return fresh, err
		}
		fresh = append(fresh, r)
		s.keep(r)
		s.logger.Info("record decided", zap.String("change", d.ID), zap.Uint64("version", uint64(r.Offset)), zap.Stringer("verdict", d.Verdict))
	}
	return fresh, nil
}

// keep adds a record to those for peers and drops the oldest over the limits.
func (s *Store) keep(r cicadaseam.Record) {
	s.records = append(s.records, r)
	s.bytes += len(r.Data)
	s.digests[r.Offset] = s.fold.Digest()
	for len(s.records) > maxRecords || s.bytes > maxRecordBytes {
		s.bytes -= len(s.records[0].Data)
		delete(s.digests, s.records[0].Offset)
		s.records = s.records[1:]
	}
}

// publish swaps the table when the version changed and wakes subscribers.
func (s *Store) publish(before cicadaseam.Offset) {
	if s.fold.Version() > before {
		s.swap()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) swap() {
	tab, err := tree.NewTable(s.fold.Tree(), s.place, s.fold.Version())
	if err != nil {
		s.logger.Error("table refused, the old one stays", zap.Error(err))
		return
	}
	s.table.Store(tab)
}

// Install takes a snapshot if it is newer. It returns false when it is not.
func (s *Store) InstallSnapshot(state fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.fold.Version()
	if state.Position <= s.fold.Position() || state.Version < before || s.fold.Halted() != nil {
		return false
	}
	s.fold = fold.New(fold.WithState(state))
	s.records, s.bytes = nil, 0
	s.digests = map[cicadaseam.Offset]uint64{state.Position: state.Digest}
	s.publish(before)
	return true
}

// State returns the whole state for a snapshot.
func (s *Store) State() fold.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.State()
}

// After returns up to limit records that follow a position; ok is false when
// they are no longer in memory.
func (s *Store) RecordsAfter(position cicadaseam.Offset, limit int) (records []cicadaseam.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position >= s.fold.Position() {
		return nil, true
	}
	if len(s.records) == 0 || s.records[0].Offset > position+1 {
		return nil, false
	}
	from := int(position + 1 - s.records[0].Offset)
	to := min(from+limit, len(s.records))
	return append([]cicadaseam.Record(nil), s.records[from:to]...), true
}

// Diverges reports whether a peer's digest at a position differs from the one
// that this node had there. It is false when the position is not remembered.
func (s *Store) Diverges(position cicadaseam.Offset, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, known := s.digests[position]
	return known && mine != digest
}
