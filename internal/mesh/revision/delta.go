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

// Delta is the difference between a revision and a later one.
type Delta struct {
	From    cicadaseam.RevisionID
	To      cicadaseam.RevisionID
	Limits  cicadaseam.Limits
	Changed []cicadaseam.MeshRoute
	// Removed are the names of the removed routes.
	Removed []string
	// ChangedCustomers and RemovedCustomers are the same for customers.
	ChangedCustomers []cicadaseam.Customer
	RemovedCustomers []string
	// Keyed is that of the later revision.
	Keyed bool `msgpack:"-"`
}

// Update is sent to a node that is behind: the deltas from the revision of that node, or
// else the whole current revision.
type Update struct {
	Deltas []Delta
	Full   *cicadaseam.Revision
	// untold is set if the sender does not say which revisions are keyed.
	untold bool
}

// updateExtension is the extension of an update. Nodes of releases that do not know it send none.
type updateExtension struct {
	// Keyed is that of the revision after each delta, or of the whole revision.
	Keyed []bool `msgpack:"k"`
}

// BaseMismatchError reports a delta whose base is not the revision that the node has.
type BaseMismatchError struct {
	Have, From cicadaseam.RevisionID
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("a delta from revision %+v cannot be applied to revision %+v", e.From, e.Have)
}

// maxUpdate bounds an update, in bytes after decompression.
const maxUpdate = 64 << 20

// diff returns the delta between two revisions.
func diff(old, next *cicadaseam.Revision) Delta {
	d := Delta{From: old.RevisionID, To: next.RevisionID, Limits: next.Limits, Keyed: next.Keyed}
	before := routesByName(old)
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
	d.diffCustomers(old, next)
	return d
}

// sameContent reports whether two revisions differ in nothing but their IDs.
func sameContent(a, b *cicadaseam.Revision) bool {
	d := diff(a, b)
	return len(d.Changed)+len(d.Removed)+len(d.ChangedCustomers)+len(d.RemovedCustomers) == 0 && a.Limits == b.Limits && a.Keyed == b.Keyed
}

func routesByName(r *cicadaseam.Revision) map[string]*cicadaseam.MeshRoute {
	m := make(map[string]*cicadaseam.MeshRoute, len(r.Routes))
	for i := range r.Routes {
		m[r.Routes[i].Name] = &r.Routes[i]
	}
	return m
}

// apply returns the revision that results from a delta. The old one is not changed.
func (d *Delta) apply(old *cicadaseam.Revision) (*cicadaseam.Revision, error) {
	if old == nil || old.RevisionID != d.From {
		var have cicadaseam.RevisionID
		if old != nil {
			have = old.RevisionID
		}
		return nil, &BaseMismatchError{Have: have, From: d.From}
	}
	replaced := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, name := range d.Removed {
		replaced[name] = true
	}
	for i := range d.Changed {
		replaced[d.Changed[i].Name] = true
	}
	next := &cicadaseam.Revision{RevisionID: d.To, Limits: d.Limits, Keyed: d.Keyed}
	next.Routes = make([]cicadaseam.MeshRoute, 0, len(old.Routes)+len(d.Changed))
	for i := range old.Routes {
		if !replaced[old.Routes[i].Name] {
			next.Routes = append(next.Routes, old.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Changed...)
	next.Customers = d.applyCustomers(old.Customers)
	return next, nil
}

// encode returns the compressed update.
func (u *Update) encode() ([]byte, error) {
	body, err := pack.Marshal(u)
	if err == nil && !u.untold {
		body, err = pack.AppendExtension(body, &updateExtension{Keyed: u.keyed()})
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode update")
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
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUpdate))
	if err != nil {
		return nil, errors.Wrap(err, "decompress update")
	}
	var u Update
	var x updateExtension
	if err := pack.UnmarshalExtended(body, &u, &x); err != nil && !errors.Is(err, pack.ErrExtension) {
		return nil, errors.Wrap(err, "decode update")
	}
	u.setKeyed(x.Keyed)
	return &u, nil
}

// keyed returns what the extension says of the revisions.
func (u *Update) keyed() []bool {
	if u.Full != nil {
		return []bool{u.Full.Keyed}
	}
	out := make([]bool, len(u.Deltas))
	for i := range u.Deltas {
		out[i] = u.Deltas[i].Keyed
	}
	return out
}

// setKeyed sets what the extension says of the revisions.
func (u *Update) setKeyed(keyed []bool) {
	u.untold = len(keyed) != len(u.keyed())
	switch {
	case u.untold:
	case u.Full != nil:
		u.Full.Keyed = keyed[0]
	default:
		for i := range u.Deltas {
			u.Deltas[i].Keyed = keyed[i]
		}
	}
}
