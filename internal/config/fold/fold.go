// Package fold turns the records of the configuration stream into versions.
//
// # Model
//
// A Fold takes records in order of offset. For each it gives one Decision,
// which depends on the records before it and on nothing else, so that every
// node decides the same. Accepted records make a new tree; all others leave
// the tree and its digest as they were.
//
// # Invariants
//
//   - Records are taken without gaps; a gap or an older record is refused.
//   - A record in an unknown format stops the fold for good: it keeps its
//     version and never skips.
//   - The digest after a record is a function of the stream up to it.
//
// A Fold is a plain state machine and is not safe for concurrent use. State
// returns what a snapshot holds and New takes it back.
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

// MaxDecisions bounds the decisions that a fold remembers by id. An older id
// that comes again is judged by its base version, which makes it a conflict.
const MaxDecisions = 4096

// MaxEdits bounds the edits of one change.
const MaxEdits = 10000

// GapError reports a record that does not follow the last one.
type GapError struct {
	Have cicadaseam.Offset
	Got  cicadaseam.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow position %d", e.Got, e.Have)
}

// HaltedError reports a fold that stopped at a record in an unknown format.
type HaltedError struct {
	Offset cicadaseam.Offset
	Format byte
}

// Error implements error.
func (e *HaltedError) Error() string {
	return fmt.Sprintf("fold stopped at record %d in unknown format %d; upgrade this node", e.Offset, e.Format)
}

// Fold is the state after a prefix of the stream.
type Fold struct {
	tree     *tree.Tree
	position cicadaseam.Offset
	version  cicadaseam.Offset
	digest   uint64
	// changed holds the version that last changed each key, also of deleted
	// keys, so that an edit of a deleted key with an old base is a conflict.
	changed   map[string]cicadaseam.Offset
	decisions map[string]cicadaseam.Decision
	order     []string
	halted    *HaltedError
}

// Option changes a new Fold.
type Option func(*Fold)

// WithState starts the fold from a state instead of the stream's beginning.
func WithState(s State) Option {
	return func(f *Fold) { f.restore(s) }
}

// New returns a fold before the first record.
func New(opts ...Option) *Fold {
	f := &Fold{
		tree:      tree.New(),
		changed:   map[string]cicadaseam.Offset{},
		decisions: map[string]cicadaseam.Decision{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Tree returns the current tree.
func (f *Fold) Tree() *tree.Tree { return f.tree }

// Version returns the offset of the last accepted record.
func (f *Fold) Version() cicadaseam.Offset { return f.version }

// Position returns the offset of the last record taken.
func (f *Fold) Position() cicadaseam.Offset { return f.position }

// Digest returns the rolling digest at Position.
func (f *Fold) Digest() uint64 { return f.digest }

// Halted returns the reason why the fold stopped, or nil.
func (f *Fold) Halted() *HaltedError { return f.halted }

// Decision returns the decision on an id that is still remembered.
func (f *Fold) Decision(id string) (cicadaseam.Decision, bool) {
	d, ok := f.decisions[id]
	return d, ok
}

// Apply takes the next record and returns the decision on it.
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
	d := f.decide(c, err, r.Offset)
	f.position = r.Offset
	f.roll(r, d.Verdict)
	f.remember(d)
	return d, nil
}

// Check decides on a change as if it were the next record, without taking it.
func (f *Fold) Check(c cicadaseam.Change) cicadaseam.Decision {
	d, _ := f.judge(c, f.position+1)
	return d
}

func (f *Fold) decide(c cicadaseam.Change, decodeErr error, at cicadaseam.Offset) cicadaseam.Decision {
	if decodeErr != nil {
		fault := cicadaseam.Fault{Path: "record", Problem: "does not decode"}
		return cicadaseam.Decision{Version: at, Verdict: cicadaseam.VerdictInvalid, Faults: []cicadaseam.Fault{fault}}
	}
	d, next := f.judge(c, at)
	if d.Verdict != cicadaseam.VerdictAccepted {
		return d
	}
	f.tree = next
	f.version = at
	for _, key := range editedKeys(c.Edits) {
		f.changed[key] = at
	}
	return d
}

// judge gives the verdict on a change at an offset and the tree after it.
func (f *Fold) judge(c cicadaseam.Change, at cicadaseam.Offset) (cicadaseam.Decision, *tree.Tree) {
	d := cicadaseam.Decision{ID: c.ID, Version: at}
	if _, seen := f.decisions[c.ID]; seen {
		d.Verdict = cicadaseam.VerdictDuplicate
		return d, nil
	}
	if faults := checkForm(c, at); len(faults) > 0 {
		d.Verdict = cicadaseam.VerdictInvalid
		d.Faults = faults
		return d, nil
	}
	if faults := f.conflicts(c); len(faults) > 0 {
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

// checkForm finds faults of the change itself.
func checkForm(c cicadaseam.Change, at cicadaseam.Offset) []cicadaseam.Fault {
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
	if c.Base >= at {
		fault(fmt.Sprintf("base version %d is not before record %d", c.Base, at))
	}
	for _, e := range c.Edits {
		if e.Path == "" || (e.Key == "" && !e.Delete) {
			fault("an edit has no path or no key")
			break
		}
	}
	return faults
}

// conflicts finds edited keys that changed after the base version. An edit
// that sets a key to the value that it already has is no conflict only when
// nobody changed it since: two operators who agree by chance still learn it.
func (f *Fold) conflicts(c cicadaseam.Change) []cicadaseam.Fault {
	var faults []cicadaseam.Fault
	for _, e := range c.Edits {
		at := f.lastChange(e)
		if at > c.Base {
			problem := fmt.Sprintf("changed at version %d, after the base version %d", at, c.Base)
			faults = append(faults, cicadaseam.Fault{Path: e.Path, Key: e.Key, Problem: problem})
		}
	}
	return faults
}

// lastChange returns the version that last changed what an edit touches.
// Deleting an object touches each of its keys; setting a key is also touched
// by the deletion of its object.
func (f *Fold) lastChange(e cicadaseam.Edit) cicadaseam.Offset {
	last := max(f.changed[keyName(e.Path, e.Key)], f.changed[keyName(e.Path, "")])
	if e.Key != "" {
		return last
	}
	for key := range f.tree.Objects()[e.Path] {
		last = max(last, f.changed[keyName(e.Path, key)])
	}
	return last
}

// roll extends the digest over the record and its verdict.
func (f *Fold) roll(r cicadaseam.Record, v cicadaseam.Verdict) {
	var head [17]byte
	binary.BigEndian.PutUint64(head[0:], f.digest)
	binary.BigEndian.PutUint64(head[8:], uint64(r.Offset))
	head[16] = byte(v)
	h := xxhash.New()
	_, _ = h.Write(head[:]) // never fails
	_, _ = h.Write(r.Data)
	f.digest = h.Sum64()
}

// remember keeps the first decision on an id. A duplicate is not remembered:
// asking for the id again finds the decision on its first record.
func (f *Fold) remember(d cicadaseam.Decision) {
	if d.ID == "" || d.Verdict == cicadaseam.VerdictDuplicate {
		return
	}
	f.decisions[d.ID] = d
	f.order = append(f.order, d.ID)
	if len(f.order) > MaxDecisions {
		delete(f.decisions, f.order[0])
		f.order = f.order[1:]
	}
}

func editedKeys(edits []cicadaseam.Edit) []string {
	keys := make([]string, 0, len(edits))
	for _, e := range edits {
		keys = append(keys, keyName(e.Path, e.Key))
	}
	sort.Strings(keys)
	return keys
}

func keyName(path, key string) string { return path + "\x00" + key }
