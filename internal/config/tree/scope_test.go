package tree

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// edits returns one edit for each path, key and value in fields.
func edits(fields ...string) []cicadaseam.Edit {
	var list []cicadaseam.Edit
	for i := 0; i+2 < len(fields); i += 3 {
		list = append(list, cicadaseam.Edit{Path: fields[i], Key: fields[i+1], Value: fields[i+2]})
	}
	return list
}

var baseEdits = edits(
	"zone:north", "deployment", "atl", "zone:north", "region", "us",
	"zone:south", "deployment", "atl", "zone:south", "region", "us",
	"service:portal", "owner", "x", "service:desk", "owner", "x",
	"class:gold", "priority", "9",
)

// A narrower scope takes precedence over a wider one, in whatever order they are edited.
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
		tr := New().Apply(baseEdits).Apply(all[i:])
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
	tr := New().Apply(baseEdits).Apply(all)
	table, err := NewTable(tr, cicadaseam.Locality{Deployment: "atl", Zone: "south"}, 1)
	require.NoError(t, err)
	require.Equal(t, "3s", table.Policy("portal", "").Deadline.String(), "another zone")
	require.Equal(t, "1s", table.Policy("desk", "").Deadline.String(), "another service")
	require.Equal(t, "5s", table.Policy("desk", "gold").Deadline.String())
}

func TestScopeSpelling(t *testing.T) {
	for _, bad := range []string{"", "atl/*", "*/*", "atl//portal", "a/b/c/d/e", "ATL", "atl/north/*"} {
		tr := New().Apply(baseEdits).Apply(edits("scope:"+bad, "retries", "1"))
		require.NotEmpty(t, tr.Validate(), "scope %q", bad)
	}
	wrongDeployment := New().Apply(baseEdits).Apply(edits("scope:lisboa/north", "retries", "1"))
	require.Contains(t, wrongDeployment.Validate()[0].Problem, `unknown deployment "lisboa"`)
}

func TestRoutesByLongestPrefix(t *testing.T) {
	tr := New().Apply(baseEdits).Apply(edits(
		"route:all", "prefix", "/", "route:all", "service", "desk",
		"route:status", "prefix", "/status/", "route:status", "service", "portal", "route:status", "methods", "GET",
		"route:file", "prefix", "/status/file", "route:file", "service", "desk", "route:file", "idempotent", "no",
	))
	require.Empty(t, tr.Validate())
	table, err := NewTable(tr, cicadaseam.Locality{}, 1)
	require.NoError(t, err)
	cases := []struct{ method, path, route string }{
		{"GET", "/status/x", "status"}, {"POST", "/status/x", "all"}, {"POST", "/status/file/1", "file"}, {"GET", "/", "all"},
	}
	for _, c := range cases {
		r, ok := table.Route(c.method, c.path)
		require.True(t, ok)
		require.Equal(t, c.route, r.Name, c)
	}
	file, _ := table.Route("GET", "/status/file")
	require.False(t, file.Idempotent("GET"), "the route says no")
	all, _ := table.Route("PUT", "/x")
	require.True(t, all.Idempotent("PUT"))
	require.False(t, all.Idempotent("POST"))
}
