// Package tree holds the tree of settings, validates it, and resolves it to the table
// of one node.
//
// # Model
//
// A tree is a set of objects. Each object has a path, which consists of a kind and a
// name, and keys with values. The kinds are zone, service, class, customer, route and
// scope. A scope object holds policy settings for a part of the hierarchy of
// deployments, zones, services and priority classes. Its name has a part for each of
// these levels, in this order, down to the last one that it restricts; "*" stands for
// all values of a level:
//
//	scope:*                             the root
//	scope:georgia-east                  a deployment
//	scope:georgia-east/atl-north        an availability zone
//	scope:georgia-east/*/status-portal  a service in any zone
//	scope:*/*/*/passenger               a priority class everywhere
//
// Of two scopes that both apply, the one that names the narrower level takes
// precedence: a scope that names the class wins over any that does not, then service,
// zone, deployment.
//
// # Invariants
//
//   - A Tree is immutable. Apply returns a new one, which shares the unchanged objects.
//   - A Table is built once per version, never on the path of a call, and only from a
//     valid tree. So the service of each route is in the same table.
//
// # Usage
//
//	next := current.Apply(change.Edits)
//	if faults := next.Validate(); len(faults) > 0 { ... }
//	table, err := tree.NewTable(next, locality, version)
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

// Object holds the values of an object by key.
type Object map[string]string

// Tree is an immutable set of objects by path.
type Tree struct {
	objects map[string]Object
}

// New returns an empty tree.
func New() *Tree {
	return &Tree{objects: map[string]Object{}}
}

// FromObjects returns a tree with a copy of the objects.
func FromObjects(objects map[string]Object) *Tree {
	t := New()
	for path, obj := range objects {
		t.objects[path] = copyObject(obj)
	}
	return t
}

// Objects returns the objects by path. The caller must not modify them.
func (t *Tree) Objects() map[string]Object {
	return t.objects
}

// Get returns the value of a key of an object.
func (t *Tree) Get(path, key string) (string, bool) {
	v, ok := t.objects[path][key]
	return v, ok
}

// Paths returns the sorted paths of a kind, or all paths if kind is empty.
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

// Apply returns the tree with the edits applied.
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

// applyEdit applies an edit in place. Objects that are not in owned are shared with an
// older tree; it copies such an object before it modifies it.
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

// Digest returns a digest of all objects. It does not depend on the order of edits.
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
