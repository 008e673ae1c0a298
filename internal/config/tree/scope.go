package tree

import (
	"sort"
	"strings"
)

// wild leaves a level of a scope open.
const wild = "*"

// Levels of a scope, from wide to narrow.
const (
	levelDeployment = iota
	levelZone
	levelService
	levelClass
	levelCount
)

// Target names one place in the tree for which settings are resolved.
type ScopeTarget struct {
	Deployment string
	Zone       string
	Service    string
	Class      string
}

// Setting is one resolved value and the scope that it comes from.
type Setting struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Scope is the path of the scope, or "default".
	Scope string `json:"scope"`
	Unit  string `json:"unit"`
}

// parseScope splits the name of a scope in its levels. The last level must be
// named, so that each scope has one spelling; the root is "*" alone.
func parseScope(objName string) ([levelCount]string, bool) {
	levels := [levelCount]string{wild, wild, wild, wild}
	if objName == wild {
		return levels, true
	}
	parts := strings.Split(objName, "/")
	if len(parts) > levelCount || parts[len(parts)-1] == wild {
		return levels, false
	}
	for i, part := range parts {
		if part != wild && name(part) != "" {
			return levels, false
		}
		levels[i] = part
	}
	return levels, true
}

// scopeRank orders the scopes that apply to one target: the narrowest named
// level weighs most.
func scopeRank(levels [levelCount]string) int {
	rank := 0
	for i, level := range levels {
		if level != wild {
			rank |= 1 << i
		}
	}
	return rank
}

func (t ScopeTarget) matches(levels [levelCount]string) bool {
	want := [levelCount]string{t.Deployment, t.Zone, t.Service, t.Class}
	for i, level := range levels {
		if level != wild && level != want[i] {
			return false
		}
	}
	return true
}

// scope is a parsed scope object.
type scope struct {
	path   string
	levels [levelCount]string
	rank   int
}

// scopes returns the scope objects from wide to narrow.
func (t *Tree) scopes() []scope {
	var out []scope
	for _, path := range t.Paths(KindScope) {
		_, objName := splitPath(path)
		levels, ok := parseScope(objName)
		if !ok {
			continue
		}
		out = append(out, scope{path: path, levels: levels, rank: scopeRank(levels)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].rank < out[j].rank })
	return out
}

// Explain returns each policy setting of a target in order of key, and the
// scope that decides it.
func (t *Tree) Explain(target ScopeTarget) []Setting {
	settings := t.resolve(t.scopes(), target)
	out := make([]Setting, 0, len(settings))
	for _, s := range settings {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (t *Tree) resolve(scopes []scope, target ScopeTarget) map[string]Setting {
	out := make(map[string]Setting, len(policySpecs))
	for key, spec := range policySpecs {
		out[key] = Setting{Key: key, Value: spec.fallback, Scope: "default", Unit: spec.unit}
	}
	for _, sc := range scopes {
		if !target.matches(sc.levels) {
			continue
		}
		for key, value := range t.objects[sc.path] {
			out[key] = Setting{Key: key, Value: value, Scope: sc.path, Unit: policySpecs[key].unit}
		}
	}
	return out
}
