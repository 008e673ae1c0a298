package revision

import (
	"fmt"

	"github.com/cicadaseam/cicadaseam"
)

// Nodes of earlier releases do not tell a revision whose callers need keys but that has no customers
// from one whose callers need none. What such a node sends is completed here.

// UntoldKeysError reports a revision from a node that does not tell whether it is keyed, to a node
// that has none yet and can read the source.
type UntoldKeysError struct{ Revision uint64 }

// Error implements error.
func (e *UntoldKeysError) Error() string {
	return fmt.Sprintf("revision %d comes from a node that does not tell whether callers need keys", e.Revision)
}

// WithKeysExpected makes a node require keys where nothing tells whether callers need them.
func WithKeysExpected(expected bool) Option {
	return func(s *Syncer) { s.keysExpected = expected }
}

// assumeKeyed returns whether a revision without customers is taken to be keyed: if the one before it
// was, its last customer has been removed.
func (s *Syncer) assumeKeyed(current *cicadaseam.Revision) bool {
	return s.keysExpected || current != nil && current.Keyed
}

// confirmKeyed records that the source has told what was assumed of the current revision.
func (s *Syncer) confirmKeyed(current *cicadaseam.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == current {
		s.keyedAssumed = false
	}
}

// corrects reports whether a revision is the current one, as the source has it, where it was assumed
// whether that is keyed.
func (s *Syncer) corrects(a arrival) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.correctsLocked(a)
}

// correctsLocked is corrects for a caller that holds the lock.
func (s *Syncer) correctsLocked(a arrival) bool {
	return s.current != nil && s.keyedAssumed && a.from == fromSource && a.RevisionID == s.current.RevisionID
}
