// Package store holds the configuration of one node.
//
// # Model
//
// A Store applies the records of the configuration stream, builds the table of
// each accepted version and replaces the current one through an atomic pointer.
// It retains the newest records, so that peers can be served from memory.
// Subscribers wait on the channel that Changed returns.
//
// # Invariants
//
//   - Position and version never decrease, whichever records and snapshots
//     arrive, in whatever order and however often.
//   - The table is replaced as a whole, after a check. If the new table fails
//     the check, the old one stays in place and the failure is logged.
//
// # Usage
//
//	s := store.New(locality)
//	applied, err := s.Ingest(records)
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

// Limits of the records that are retained in memory for peers: their number and
// the sum of their sizes in bytes.
const (
	maxRetainedRecords = 2048
	maxRetainedBytes   = 4 << 20
)

// Store is the configuration of one node. It is safe for concurrent use.
type Store struct {
	locality cicadaseam.Locality
	logger   *zap.Logger
	table    atomic.Pointer[tree.Table]

	mu            sync.Mutex
	fold          *fold.Fold
	retained      []cicadaseam.Record
	retainedBytes int
	// changed is closed and replaced whenever the position grows.
	changed chan struct{}
	// digestAt holds the rolling digest at the offset of each retained record, or
	// at that of the installed snapshot.
	digestAt map[cicadaseam.Offset]uint64
}

// Option configures a new Store.
type Option func(*Store)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(s *Store) { s.logger = l } }

// New returns a store that has applied no record yet; its table is empty.
func New(locality cicadaseam.Locality, opts ...Option) *Store {
	s := &Store{
		locality: locality,
		logger:   zap.NewNop(),
		fold:     fold.New(),
		changed:  make(chan struct{}),
		digestAt: map[cicadaseam.Offset]uint64{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.table.Store(&tree.Table{Locality: locality})
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

// Position returns the offset of the last applied record and the rolling digest of
// the stream up to it.
func (s *Store) Position() (cicadaseam.Offset, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Position(), s.fold.Digest()
}

// Halted returns the error that halted the fold, or nil.
func (s *Store) Halted() *fold.HaltedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Halted()
}

// Changed returns a channel that is closed the next time the position grows.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Decision returns the decision on a change by its id, as long as the fold keeps it.
func (s *Store) Decision(id string) (cicadaseam.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Decision(id)
}

// Check returns the decision that a change would get as the next record, without
// applying it.
func (s *Store) Check(c cicadaseam.Change) cicadaseam.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Check(c)
}

// Ingest applies records, which are in order of offset, and returns those that were
// new. Records up to the current position are skipped; at a gap it stops with a
// *fold.GapError.
func (s *Store) Ingest(records []cicadaseam.Record) ([]cicadaseam.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.fold.Version()
	applied, err := s.applyNew(records)
	if len(applied) > 0 {
		s.notify(previous)
	}
	return applied, err
}

// applyNew applies the records after the current position and returns them.
func (s *Store) applyNew(records []cicadaseam.Record) ([]cicadaseam.Record, error) {
	var applied []cicadaseam.Record
	for _, r := range records {
		if r.Offset <= s.fold.Position() {
			continue
		}
		d, err := s.fold.Apply(r)
		if err != nil {
			return applied, err
		}
		applied = append(applied, r)
		s.retain(r)
		s.logger.Info("record decided", zap.String("change", d.ID), zap.Uint64("version", uint64(r.Offset)), zap.Stringer("verdict", d.Verdict))
	}
	return applied, nil
}

// retain adds a record to those kept for peers and drops the oldest over the limits.
func (s *Store) retain(r cicadaseam.Record) {
	s.retained = append(s.retained, r)
	s.retainedBytes += len(r.Data)
	s.digestAt[r.Offset] = s.fold.Digest()
	for len(s.retained) > maxRetainedRecords || s.retainedBytes > maxRetainedBytes {
		s.retainedBytes -= len(s.retained[0].Data)
		delete(s.digestAt, s.retained[0].Offset)
		s.retained = s.retained[1:]
	}
}

// notify rebuilds the table if the version has grown since previous, and wakes the
// subscribers.
func (s *Store) notify(previous cicadaseam.Offset) {
	if s.fold.Version() > previous {
		s.rebuildTable()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// rebuildTable replaces the table by one of the current tree, if it passes the check.
func (s *Store) rebuildTable() {
	table, err := tree.NewTable(s.fold.Tree(), s.locality, s.fold.Version())
	if err != nil {
		s.logger.Error("new table rejected, keeping the old one", zap.Error(err))
		return
	}
	s.table.Store(table)
}

// InstallSnapshot replaces the state by that of a snapshot and reports whether it did.
// It ignores a snapshot that is not newer, and all snapshots once the fold has halted.
// It drops the retained records.
func (s *Store) InstallSnapshot(state fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.fold.Version()
	if state.Position <= s.fold.Position() || state.Version < previous || s.fold.Halted() != nil {
		return false
	}
	s.fold = fold.New(fold.WithState(state))
	s.retained, s.retainedBytes = nil, 0
	s.digestAt = map[cicadaseam.Offset]uint64{state.Position: state.Digest}
	s.notify(previous)
	return true
}

// State returns the complete state, for a snapshot.
func (s *Store) State() fold.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.State()
}

// RecordsAfter returns up to limit records that follow a position; ok is false if
// they are no longer retained.
func (s *Store) RecordsAfter(position cicadaseam.Offset, limit int) (records []cicadaseam.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position >= s.fold.Position() {
		return nil, true
	}
	if len(s.retained) == 0 || s.retained[0].Offset > position+1 {
		return nil, false
	}
	from := int(position + 1 - s.retained[0].Offset)
	to := min(from+limit, len(s.retained))
	return append([]cicadaseam.Record(nil), s.retained[from:to]...), true
}

// Diverges reports whether a peer's digest at a position differs from the one that
// this node had there. It is false if this node no longer has its digest at the
// position.
func (s *Store) Diverges(position cicadaseam.Offset, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, known := s.digestAt[position]
	return known && mine != digest
}
