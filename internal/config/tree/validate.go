package tree

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cicadaseam/cicadaseam"
)

// Validate returns all faults of the tree: first those of single objects, in order of path,
// then values that have to be unique and are not.
func (t *Tree) Validate() []cicadaseam.Fault {
	var faults []cicadaseam.Fault
	for _, path := range t.Paths("") {
		faults = append(faults, t.validateObject(path)...)
	}
	faults = append(faults, t.validateUnique(KindRoute, "prefix")...)
	faults = append(faults, t.validateUnique(KindCustomer, "credential")...)
	return faults
}

// validateObject returns the faults of one object: unknown kind or keys, an invalid name or
// value, missing keys, and references to objects that do not exist.
func (t *Tree) validateObject(path string) []cicadaseam.Fault {
	kind, objName := splitPath(path)
	specs, ok := specsOf(kind)
	if !ok {
		return []cicadaseam.Fault{{Path: path, Problem: fmt.Sprintf("unknown kind of object %q", kind)}}
	}
	faults := t.validateName(path, kind, objName)
	obj := t.objects[path]
	for _, key := range slices.Sorted(maps.Keys(obj)) {
		spec, known := specs[key]
		if !known {
			faults = append(faults, cicadaseam.Fault{Path: path, Key: key, Problem: "unknown key"})
			continue
		}
		if problem := spec.check(obj[key]); problem != "" {
			faults = append(faults, cicadaseam.Fault{Path: path, Key: key, Problem: problem})
		}
	}
	for key, spec := range specs {
		if _, set := obj[key]; spec.required && !set {
			faults = append(faults, cicadaseam.Fault{Path: path, Key: key, Problem: "required key is missing"})
		}
	}
	sortFaults(faults)
	return append(faults, t.validateReferences(path, kind)...)
}

func (t *Tree) validateName(path, kind, objName string) []cicadaseam.Fault {
	if kind == KindScope {
		return t.validateScope(path, objName)
	}
	if problem := checkName(objName); problem != "" {
		return []cicadaseam.Fault{{Path: path, Problem: problem}}
	}
	return nil
}

// validateScope checks the name of a scope, and that the deployment, zone, service and class that
// it names exist, the zone in that deployment.
func (t *Tree) validateScope(path, objName string) []cicadaseam.Fault {
	levels, ok := parseScope(objName)
	if !ok {
		return []cicadaseam.Fault{{Path: path, Problem: "a scope is deployment/zone/service/class with '*' for an open level, and its last level is named"}}
	}
	var faults []cicadaseam.Fault
	fault := func(format string, args ...any) {
		faults = append(faults, cicadaseam.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	if levels[0] != wildcard && !t.hasDeployment(levels[0]) {
		fault("unknown deployment %q", levels[0])
	}
	if levels[1] != wildcard {
		deployment, known := t.Get(KindZone+":"+levels[1], "deployment")
		switch {
		case !known:
			fault("unknown zone %q", levels[1])
		case levels[0] != wildcard && deployment != levels[0]:
			fault("zone %q is in deployment %q", levels[1], deployment)
		}
	}
	if levels[2] != wildcard && !t.hasObject(KindService, levels[2]) {
		fault("unknown service %q", levels[2])
	}
	if levels[3] != wildcard && !t.hasObject(KindClass, levels[3]) {
		fault("unknown class %q", levels[3])
	}
	return faults
}

// validateReferences checks that the object to which a route or customer refers exists.
func (t *Tree) validateReferences(path, kind string) []cicadaseam.Fault {
	key, refKind := "", ""
	switch kind {
	case KindRoute:
		key, refKind = "service", KindService
	case KindCustomer:
		key, refKind = "class", KindClass
	default:
		return nil
	}
	ref, set := t.objects[path][key]
	if !set || t.hasObject(refKind, ref) {
		return nil
	}
	return []cicadaseam.Fault{{Path: path, Key: key, Problem: fmt.Sprintf("there is no %s %q", refKind, ref)}}
}

// validateUnique returns a fault for each object of a kind whose value of a key an earlier
// object, in order of path, has too.
func (t *Tree) validateUnique(kind, key string) []cicadaseam.Fault {
	var faults []cicadaseam.Fault
	pathOf := map[string]string{}
	for _, path := range t.Paths(kind) {
		value, set := t.objects[path][key]
		if !set {
			continue
		}
		if first, exists := pathOf[value]; exists {
			faults = append(faults, cicadaseam.Fault{Path: path, Key: key, Problem: "has the same value as " + first})
			continue
		}
		pathOf[value] = path
	}
	return faults
}

func (t *Tree) hasObject(kind, objName string) bool {
	_, ok := t.objects[kind+":"+objName]
	return ok
}

func (t *Tree) hasDeployment(deployment string) bool {
	for path, obj := range t.objects {
		if strings.HasPrefix(path, KindZone+":") && obj["deployment"] == deployment {
			return true
		}
	}
	return false
}

func sortFaults(faults []cicadaseam.Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Path != faults[j].Path {
			return faults[i].Path < faults[j].Path
		}
		return faults[i].Key < faults[j].Key
	})
}
