package tree

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func edits(pairs ...string) []cicadaseam.Edit {
	var out []cicadaseam.Edit
	for i := 0; i+2 < len(pairs); i += 3 {
		out = append(out, cicadaseam.Edit{Path: pairs[i], Key: pairs[i+1], Value: pairs[i+2]})
	}
	return out
}

var places = edits(
	"zone:north", "deployment", "atl", "zone:north", "region", "us",
	"zone:south", "deployment", "atl", "zone:south", "region", "us",
	"service:portal", "owner", "x", "service:desk", "owner", "x",
	"class:gold", "priority", "9",
)

// The narrower scope overrides, whatever the order of the edits.
func TestNarrowerScopeOverrides(t *testing.T) {
	all := edits(
		"scope:*/*/*/gold", "deadline", "5s",
		"scope:atl/north/portal", "deadline", "4s",
		"scope:*/*/portal", "deadline", "3s",
		"scope:atl/north", "deadline", "2s",
		"scope:atl", "deadline", "1s",
		"scope:*", "deadline", "900ms",
	)
	target := ScopeTarget{Deployment: "atl", Zone: "north", Service: "portal", Class: "gold"}
	want := []string{"5s", "4s", "3s", "2s", "1s", "900ms"}
	for i, value := range want {
		tr := New().Apply(places).Apply(all[i:])
		require.Empty(t, tr.Validate())
		for _, s := range tr.Explain(target) {
			if s.Key == KeyDeadline {
				require.Equal(t, value, s.Value)
				require.Equal(t, all[i].Path, s.Scope)
			}
			if s.Key == KeyRetries {
				require.Equal(t, "default", s.Scope)
			}
		}
	}
	tr := New().Apply(places).Apply(all)
	tab, err := NewTable(tr, cicadaseam.Locality{Deployment: "atl", Zone: "south"}, 1)
	require.NoError(t, err)
	require.Equal(t, "3s", tab.Policy("portal", "").Deadline.String(), "another zone")
	require.Equal(t, "1s", tab.Policy("desk", "").Deadline.String(), "another service")
	require.Equal(t, "5s", tab.Policy("desk", "gold").Deadline.String())
}

func TestScopeSpelling(t *testing.T) {
	for _, bad := range []string{"", "atl/*", "*/*", "atl//portal", "a/b/c/d/e", "ATL", "atl/north/*"} {
		tr := New().Apply(places).Apply(edits("scope:"+bad, "retries", "1"))
		require.NotEmpty(t, tr.Validate(), "scope %q", bad)
	}
	wrongZone := New().Apply(places).Apply(edits("scope:lisboa/north", "retries", "1"))
	require.Contains(t, wrongZone.Validate()[0].Problem, `unknown deployment "lisboa"`)
}

func TestRoutesByLongestPrefix(t *testing.T) {
	tr := New().Apply(places).Apply(edits(
		"route:all", "prefix", "/", "route:all", "service", "desk",
		"route:status", "prefix", "/status/", "route:status", "service", "portal", "route:status", "methods", "GET",
		"route:file", "prefix", "/status/file", "route:file", "service", "desk", "route:file", "idempotent", "no",
	))
	require.Empty(t, tr.Validate())
	tab, err := NewTable(tr, cicadaseam.Locality{}, 1)
	require.NoError(t, err)
	cases := []struct{ method, path, route string }{
		{"GET", "/status/x", "status"}, {"POST", "/status/x", "all"}, {"POST", "/status/file/1", "file"}, {"GET", "/", "all"},
	}
	for _, c := range cases {
		r, ok := tab.Route(c.method, c.path)
		require.True(t, ok)
		require.Equal(t, c.route, r.Name, c)
	}
	file, _ := tab.Route("GET", "/status/file")
	require.False(t, file.Idempotent("GET"), "the route says no")
	all, _ := tab.Route("PUT", "/x")
	require.True(t, all.Idempotent("PUT"))
	require.False(t, all.Idempotent("POST"))
}
