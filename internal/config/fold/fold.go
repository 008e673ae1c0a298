// Package fold applies the records of the configuration stream to the tree of
// settings.
//
// # Model
//
// A Fold is a deterministic state machine. It applies the records in order of
// offset and gives one Decision for each. A decision depends on nothing but the
// record and those before it, so that every node decides the same. Only an
// accepted record changes the tree; its offset becomes the new version.
//
// # Invariants
//
//   - Records are applied without gaps: a record whose offset does not follow
//     the last one is refused.
//   - A record in an unknown format halts the fold for good. It keeps its
//     version, and skips no record.
//   - The rolling digest after a record is a function of the stream up to that
//     record.
//
// A Fold is not safe for concurrent use. State returns the contents of a
// snapshot, and New with WithState restores them.
//
// # Usage
//
//	f := fold.New()
//	decision, err := f.Apply(record)
//	tree, version := f.Tree(), f.Version()
package fold

import (
	"encoding/binary"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// MaxDecisions bounds the number of decisions that a fold keeps by change id.
// When a change is published again after its decision has been dropped, it is
// evaluated anew; if it was accepted before, its old base version makes it a
// conflict.
const MaxDecisions = 4096

// MaxEdits bounds the number of edits in one change.
const MaxEdits = 10000

// GapError reports a record that does not follow the last applied one.
type GapError struct {
	Have cicadaseam.Offset
	Got  cicadaseam.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow position %d", e.Got, e.Have)
}

// HaltedError reports that the fold halted at a record in an unknown format.
type HaltedError struct {
	Offset cicadaseam.Offset
	Format byte
}

// Error implements error.
func (e *HaltedError) Error() string {
	return fmt.Sprintf("fold stopped at record %d in unknown format %d; upgrade this node", e.Offset, e.Format)
}

// Fold is the state of the configuration after a prefix of the stream.
type Fold struct {
	tree     *tree.Tree
	position cicadaseam.Offset
	version  cicadaseam.Offset
	digest   uint64
	// changedAt holds the version that last changed each key. Deleted keys stay
	// in it, so that an edit of a deleted key with an older base is a conflict.
	changedAt map[string]cicadaseam.Offset
	// decisions holds the decisions by change id, and decisionOrder their ids
	// from the oldest to the newest.
	decisions     map[string]cicadaseam.Decision
	decisionOrder []string
	halted        *HaltedError
}

// Option configures a new Fold.
type Option func(*Fold)

// WithState starts the fold from a saved state instead of the start of the stream.
func WithState(s State) Option {
	return func(f *Fold) { f.restore(s) }
}

// New returns a fold that has applied no record yet.
func New(opts ...Option) *Fold {
	f := &Fold{
		tree:      tree.New(),
		changedAt: map[string]cicadaseam.Offset{},
		decisions: map[string]cicadaseam.Decision{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Tree returns the current tree.
func (f *Fold) Tree() *tree.Tree { return f.tree }

// Version returns the offset of the last accepted record, 0 before the first.
func (f *Fold) Version() cicadaseam.Offset { return f.version }

// Position returns the offset of the last applied record, whatever its verdict.
func (f *Fold) Position() cicadaseam.Offset { return f.position }

// Digest returns the rolling digest of the stream up to Position.
func (f *Fold) Digest() uint64 { return f.digest }

// Halted returns the error that halted the fold, or nil.
func (f *Fold) Halted() *HaltedError { return f.halted }

// Decision returns the decision on a change by its id, as long as the fold keeps it.
func (f *Fold) Decision(id string) (cicadaseam.Decision, bool) {
	d, ok := f.decisions[id]
	return d, ok
}

// Apply applies the next record and returns the decision on it. A record that does not
// decode gets the verdict invalid. Apply returns a *GapError for a record that does not
// follow the last one, and a *HaltedError at a record in an unknown format and from then on.
func (f *Fold) Apply(r cicadaseam.Record) (cicadaseam.Decision, error) {
	if f.halted != nil {
		return cicadaseam.Decision{}, f.halted
	}
	if r.Offset != f.position+1 {
		return cicadaseam.Decision{}, &GapError{Have: f.position, Got: r.Offset}
	}
	c, err := change.Decode(r.Data)
	var unknown *change.FormatError
	if errors.As(err, &unknown) {
		f.halted = &HaltedError{Offset: r.Offset, Format: unknown.Format}
		return cicadaseam.Decision{}, f.halted
	}
	d := f.applyChange(c, err, r.Offset)
	f.position = r.Offset
	f.extendDigest(r, d.Verdict)
	f.rememberDecision(d)
	return d, nil
}

// Check returns the decision that a change would get as the next record, without
// applying it.
func (f *Fold) Check(c cicadaseam.Change) cicadaseam.Decision {
	d, _ := f.evaluate(c, f.position+1)
	return d
}

// applyChange decides on a decoded record and, if it is accepted, replaces the tree.
func (f *Fold) applyChange(c cicadaseam.Change, decodeErr error, offset cicadaseam.Offset) cicadaseam.Decision {
	if decodeErr != nil {
		fault := cicadaseam.Fault{Path: "record", Problem: "does not decode"}
		return cicadaseam.Decision{Version: offset, Verdict: cicadaseam.VerdictInvalid, Faults: []cicadaseam.Fault{fault}}
	}
	d, next := f.evaluate(c, offset)
	if d.Verdict != cicadaseam.VerdictAccepted {
		return d
	}
	f.tree = next
	f.version = offset
	for _, key := range editedKeys(c.Edits) {
		f.changedAt[key] = offset
	}
	return d
}

// evaluate returns the decision on a change at an offset and, if the change is
// accepted, the tree after it.
func (f *Fold) evaluate(c cicadaseam.Change, offset cicadaseam.Offset) (cicadaseam.Decision, *tree.Tree) {
	d := cicadaseam.Decision{ID: c.ID, Version: offset}
	if _, seen := f.decisions[c.ID]; seen {
		d.Verdict = cicadaseam.VerdictDuplicate
		return d, nil
	}
	if faults := validateForm(c, offset); len(faults) > 0 {
		d.Verdict = cicadaseam.VerdictInvalid
		d.Faults = faults
		return d, nil
	}
	if faults := f.findConflicts(c); len(faults) > 0 {
		d.Verdict = cicadaseam.VerdictConflict
		d.Faults = faults
		return d, nil
	}
	next := f.tree.Apply(c.Edits)
	if faults := next.Validate(); len(faults) > 0 {
		d.Verdict = cicadaseam.VerdictInvalid
		d.Faults = faults
		return d, nil
	}
	d.Verdict = cicadaseam.VerdictAccepted
	return d, next
}

// validateForm returns the faults of a change that do not depend on the tree.
func validateForm(c cicadaseam.Change, offset cicadaseam.Offset) []cicadaseam.Fault {
	var faults []cicadaseam.Fault
	fault := func(problem string) {
		faults = append(faults, cicadaseam.Fault{Path: "change", Problem: problem})
	}
	if c.ID == "" {
		fault("id is empty")
	}
	if len(c.Edits) == 0 {
		fault("there are no edits")
	}
	if len(c.Edits) > MaxEdits {
		fault(fmt.Sprintf("%d edits are over %d", len(c.Edits), MaxEdits))
	}
	if c.Base >= offset {
		fault(fmt.Sprintf("base version %d is not before record %d", c.Base, offset))
	}
	for _, e := range c.Edits {
		if e.Path == "" || (e.Key == "" && !e.Delete) {
			fault("an edit has no path or no key")
			break
		}
	}
	return faults
}

// findConflicts returns a fault for each edited key that has changed since the
// base version. That holds even if the edit sets the value that the key already
// has: two operators who make the same edit by chance learn of each other.
func (f *Fold) findConflicts(c cicadaseam.Change) []cicadaseam.Fault {
	var faults []cicadaseam.Fault
	for _, e := range c.Edits {
		changedAt := f.lastChange(e)
		if changedAt > c.Base {
			problem := fmt.Sprintf("changed at version %d, after the base version %d", changedAt, c.Base)
			faults = append(faults, cicadaseam.Fault{Path: e.Path, Key: e.Key, Problem: problem})
		}
	}
	return faults
}

// lastChange returns the last version that changed what an edit depends on. An
// edit of a key depends on the key and on a deletion of its object; the deletion
// of an object depends on each of its keys.
func (f *Fold) lastChange(e cicadaseam.Edit) cicadaseam.Offset {
	last := max(f.changedAt[qualifiedKey(e.Path, e.Key)], f.changedAt[qualifiedKey(e.Path, "")])
	if e.Key != "" {
		return last
	}
	for key := range f.tree.Objects()[e.Path] {
		last = max(last, f.changedAt[qualifiedKey(e.Path, key)])
	}
	return last
}

// extendDigest adds the record and its verdict to the rolling digest.
func (f *Fold) extendDigest(r cicadaseam.Record, v cicadaseam.Verdict) {
	var prefix [17]byte
	binary.BigEndian.PutUint64(prefix[0:], f.digest)
	binary.BigEndian.PutUint64(prefix[8:], uint64(r.Offset))
	prefix[16] = byte(v)
	h := xxhash.New()
	_, _ = h.Write(prefix[:]) // never fails
	_, _ = h.Write(r.Data)
	f.digest = h.Sum64()
}

// rememberDecision keeps the first decision on an id and drops the oldest one over
// MaxDecisions. Duplicates are not kept: a lookup of the id has to return the
// decision on its first record.
func (f *Fold) rememberDecision(d cicadaseam.Decision) {
	if d.ID == "" || d.Verdict == cicadaseam.VerdictDuplicate {
		return
	}
	f.decisions[d.ID] = d
	f.decisionOrder = append(f.decisionOrder, d.ID)
	if len(f.decisionOrder) > MaxDecisions {
		delete(f.decisions, f.decisionOrder[0])
		f.decisionOrder = f.decisionOrder[1:]
	}
}

func editedKeys(edits []cicadaseam.Edit) []string {
	keys := make([]string, 0, len(edits))
	for _, e := range edits {
		keys = append(keys, qualifiedKey(e.Path, e.Key))
	}
	sort.Strings(keys)
	return keys
}

func qualifiedKey(path, key string) string { return path + "\x00" + key }
