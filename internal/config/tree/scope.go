package tree

import (
	"sort"
	"strings"
)

// wildcard stands for all values of a level of a scope.
const wildcard = "*"

// Levels of a scope, from the widest to the narrowest.
const (
	levelDeployment = iota
	levelZone
	levelService
	levelClass
	levelCount
)

// ScopeTarget names the deployment, zone, service and class for which settings are resolved.
type ScopeTarget struct {
	Deployment string
	Zone       string
	Service    string
	Class      string
}

// Setting is a resolved value and the scope that sets it.
type Setting struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Scope is the path of the scope, or "default" if no scope sets the key.
	Scope string `json:"scope"`
	Unit  string `json:"unit"`
}

// parseScope splits the name of a scope into its levels. The last part must not be a
// wildcard, so that there is only one name for each scope; the root is "*" alone.
func parseScope(objName string) ([levelCount]string, bool) {
	levels := [levelCount]string{wildcard, wildcard, wildcard, wildcard}
	if objName == wildcard {
		return levels, true
	}
	parts := strings.Split(objName, "/")
	if len(parts) > levelCount || parts[len(parts)-1] == wildcard {
		return levels, false
	}
	for i, part := range parts {
		if part != wildcard && checkName(part) != "" {
			return levels, false
		}
		levels[i] = part
	}
	return levels, true
}

// specificity orders the scopes that apply to a target: the one with the higher value takes
// precedence. Each level that the scope names sets a bit, and narrower levels set higher bits.
func specificity(levels [levelCount]string) int {
	bits := 0
	for i, level := range levels {
		if level != wildcard {
			bits |= 1 << i
		}
	}
	return bits
}

// matches reports whether a scope with these levels applies to the target.
func (t ScopeTarget) matches(levels [levelCount]string) bool {
	want := [levelCount]string{t.Deployment, t.Zone, t.Service, t.Class}
	for i, level := range levels {
		if level != wildcard && level != want[i] {
			return false
		}
	}
	return true
}

// scope is the parsed name of a scope object.
type scope struct {
	path        string
	levels      [levelCount]string
	specificity int
}

// scopes returns the scope objects, sorted by specificity.
func (t *Tree) scopes() []scope {
	var scopes []scope
	for _, path := range t.Paths(KindScope) {
		_, objName := splitPath(path)
		levels, ok := parseScope(objName)
		if !ok {
			continue
		}
		scopes = append(scopes, scope{path: path, levels: levels, specificity: specificity(levels)})
	}
	sort.SliceStable(scopes, func(i, j int) bool { return scopes[i].specificity < scopes[j].specificity })
	return scopes
}

// Explain returns all policy settings of a target, sorted by key, each with the scope that
// sets it.
func (t *Tree) Explain(target ScopeTarget) []Setting {
	byKey := t.resolve(t.scopes(), target)
	settings := make([]Setting, 0, len(byKey))
	for _, s := range byKey {
		settings = append(settings, s)
	}
	sort.Slice(settings, func(i, j int) bool { return settings[i].Key < settings[j].Key })
	return settings
}

// resolve returns the policy settings of a target by key. Scopes are sorted by specificity.
func (t *Tree) resolve(scopes []scope, target ScopeTarget) map[string]Setting {
	settings := make(map[string]Setting, len(policySpecs))
	for key, spec := range policySpecs {
		settings[key] = Setting{Key: key, Value: spec.defaultValue, Scope: "default", Unit: spec.unit}
	}
	for _, sc := range scopes {
		if !target.matches(sc.levels) {
			continue
		}
		for key, value := range t.objects[sc.path] {
			settings[key] = Setting{Key: key, Value: value, Scope: sc.path, Unit: policySpecs[key].unit}
		}
	}
	return settings
}
