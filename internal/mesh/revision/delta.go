package revision

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// Delta is what changed from one revision to a later one.
type Delta struct {
	From    uint64
	To      uint64
	Limits  cicadaseam.Limits
	Changed []cicadaseam.MeshRoute
	// Removed are names of routes.
	Removed []string
}

// Update is what a node hands to one that is behind: the deltas from what it has,
// or else the whole revision.
type Update struct {
	Deltas []Delta
	Full   *cicadaseam.Revision
}

// ChainError reports deltas that do not follow what a node has.
type BaseMismatchError struct {
	Have, From uint64
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("a delta from revision %d does not follow revision %d", e.From, e.Have)
}

// maxWhole bounds an update in bytes once it is inflated.
const maxWhole = 64 << 20

// diff returns what changed between two revisions.
func diff(old, next *cicadaseam.Revision) Delta {
	d := Delta{From: old.Number, To: next.Number, Limits: next.Limits}
	before := byName(old)
	for i := range next.Routes {
		r := &next.Routes[i]
		if was := before[r.Name]; was == nil || !reflect.DeepEqual(was, r) {
			d.Changed = append(d.Changed, *r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Removed = append(d.Removed, name)
	}
	return d
}

func byName(r *cicadaseam.Revision) map[string]*cicadaseam.MeshRoute {
	m := make(map[string]*cicadaseam.MeshRoute, len(r.Routes))
	for i := range r.Routes {
		m[r.Routes[i].Name] = &r.Routes[i]
	}
	return m
}

// apply returns the revision after a delta. The old one is not changed.
func (d *Delta) apply(old *cicadaseam.Revision) (*cicadaseam.Revision, error) {
	if old == nil || old.Number != d.From {
		have := uint64(0)
		if old != nil {
			have = old.Number
		}
		return nil, &BaseMismatchError{Have: have, From: d.From}
	}
	gone := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, name := range d.Removed {
		gone[name] = true
	}
	for i := range d.Changed {
		gone[d.Changed[i].Name] = true
	}
	next := &cicadaseam.Revision{Number: d.To, Limits: d.Limits}
	next.Routes = make([]cicadaseam.MeshRoute, 0, len(old.Routes)+len(d.Changed))
	for i := range old.Routes {
		if !gone[old.Routes[i].Name] {
			next.Routes = append(next.Routes, old.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Changed...)
	return next, nil
}

// encode returns an update as it travels.
func (u *Update) encode() ([]byte, error) {
	body, err := pack.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "encode an update")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decodeUpdate(data []byte) (*Update, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxWhole))
	if err != nil {
		return nil, errors.Wrap(err, "inflate an update")
	}
	var u Update
	return &u, errors.Wrap(pack.Unmarshal(body, &u), "decode an update")
}
