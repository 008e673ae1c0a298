// Package tree holds the tree of settings, its validation and its resolution.
//
// # Model
//
// A tree is a set of objects, each a path with keys. Paths have a kind and a
// name: zone, service, class, customer, route, and scope. A scope object holds
// policy settings for a part of the tree root < deployment < zone < service <
// priority class. A scope names a level with "*" to leave it open:
//
//	scope:*                             the root
//	scope:georgia-east                  a deployment
//	scope:georgia-east/atl-north        an availability zone
//	scope:georgia-east/*/status-portal  a service in any zone
//	scope:*/*/*/passenger               a priority class everywhere
//
// The narrowest named level decides between two scopes that both apply: a
// scope that names the class wins over any that does not, then service, zone,
// deployment.
//
// # Invariants
//
// A Tree is immutable. Apply returns a new one and shares unchanged objects.
// A Table is built once a version, never on the call path, and only from a
// tree without faults, so each route's service is in the same table.
//
// # Usage
//
//	next := current.Apply(change.Edits)
//	if faults := next.Validate(); len(faults) > 0 { ... }
//	table, err := tree.NewTable(next, place)
package tree

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Kinds of objects.
const (
	KindScope    = "scope"
	KindZone     = "zone"
	KindService  = "service"
	KindClass    = "class"
	KindCustomer = "customer"
	KindRoute    = "route"
)

// Object is the keys of one path.
type Object map[string]string

// Tree is an immutable set of objects.
type Tree struct {
	objects map[string]Object
}

// New returns an empty tree.
func New() *Tree {
	return &Tree{objects: map[string]Object{}}
}

// FromObjects returns a tree over a copy of the objects.
func FromObjects(objects map[string]Object) *Tree {
	t := New()
	for path, obj := range objects {
		t.objects[path] = copyObject(obj)
	}
	return t
}

// Objects returns the paths and their keys. The caller must not change them.
func (t *Tree) Objects() map[string]Object {
	return t.objects
}

// Get returns the value of a key.
func (t *Tree) Get(path, key string) (string, bool) {
	v, ok := t.objects[path][key]
	return v, ok
}

// Paths returns the paths of a kind in order; all paths when kind is empty.
func (t *Tree) Paths(kind string) []string {
	var paths []string
	for path := range t.objects {
		if kind == "" || strings.HasPrefix(path, kind+":") {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// Apply returns the tree after the edits.
func (t *Tree) Apply(edits []cicadaseam.Edit) *Tree {
	next := &Tree{objects: make(map[string]Object, len(t.objects)+1)}
	for path, obj := range t.objects {
		next.objects[path] = obj
	}
	owned := map[string]bool{}
	for _, e := range edits {
		next.applyEdit(e, owned)
	}
	return next
}

// applyEdit changes objects that this tree owns and copies those that it
// shares with an older tree.
func (t *Tree) applyEdit(e cicadaseam.Edit, owned map[string]bool) {
	if e.Delete && e.Key == "" {
		delete(t.objects, e.Path)
		delete(owned, e.Path)
		return
	}
	if !owned[e.Path] {
		t.objects[e.Path] = copyObject(t.objects[e.Path])
		owned[e.Path] = true
	}
	obj := t.objects[e.Path]
	if !e.Delete {
		obj[e.Key] = e.Value
		return
	}
	delete(obj, e.Key)
	if len(obj) == 0 {
		delete(t.objects, e.Path)
		delete(owned, e.Path)
	}
}

// Digest returns a digest of all objects, independent of their order.
func (t *Tree) Digest() uint64 {
	h := xxhash.New()
	for _, path := range t.Paths("") {
		writeField(h, path)
		for _, key := range slices.Sorted(maps.Keys(t.objects[path])) {
			writeField(h, key)
			writeField(h, t.objects[path][key])
		}
	}
	return h.Sum64()
}

func writeField(h *xxhash.Digest, s string) {
	_, _ = h.WriteString(s) // never fails
	_, _ = h.Write([]byte{0})
}

func copyObject(obj Object) Object {
	out := make(Object, len(obj)+1)
	for k, v := range obj {
		out[k] = v
	}
	return out
}

// splitPath returns the kind and the name of a path.
func splitPath(path string) (kind, name string) {
	kind, name, _ = strings.Cut(path, ":")
	return kind, name
}
