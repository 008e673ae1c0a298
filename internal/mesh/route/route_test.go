package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func meshRoute(name, host, prefix string, split ...cicadaseam.WeightedService) cicadaseam.MeshRoute {
	if len(split) == 0 {
		split = []cicadaseam.WeightedService{{Service: name, Weight: 1}}
	}
	return cicadaseam.MeshRoute{Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, TrafficSplit: split}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := New(&cicadaseam.Revision{RevisionID: cicadaseam.RevisionID{Number: 3}, Routes: []cicadaseam.MeshRoute{
		meshRoute("short", "a.example", "/claims/"),
		meshRoute("long", "a.example", "/claims/history/"),
		meshRoute("other", "b.example", "/claims/history/"),
	}})
	require.NoError(t, err)
	tests := []struct{ host, path, want string }{
		{"a.example", "/claims/history/7", "long"},
		{"A.Example:8080", "/claims/history/7", "long"},
		{"a.example", "/claims/historyless", "short"},
		{"a.example", "/claims/", "short"},
		{"b.example", "/claims/history/7", "other"},
		{"b.example", "/claims/7", ""},
		{"a.example", "/claims", ""},
		{"c.example", "/claims/7", ""},
	}
	for _, tt := range tests {
		r := table.Find(tt.host, tt.path)
		if tt.want == "" {
			require.Nil(t, r, "%s%s", tt.host, tt.path)
			continue
		}
		require.NotNil(t, r, "%s%s", tt.host, tt.path)
		require.Equal(t, tt.want, r.Name)
	}
}

func TestInvalidRevisionsAreRefused(t *testing.T) {
	good := meshRoute("r", "a.example", "/x/")
	tests := []struct {
		name   string
		change func(*cicadaseam.MeshRoute)
	}{
		{"host", func(r *cicadaseam.MeshRoute) { r.Host = "" }},
		{"prefix", func(r *cicadaseam.MeshRoute) { r.PathPrefix = "/x" }},
		{"timeout", func(r *cicadaseam.MeshRoute) { r.Timeout = 0 }},
		{"no service", func(r *cicadaseam.MeshRoute) { r.TrafficSplit = nil }},
		{"empty service", func(r *cicadaseam.MeshRoute) { r.TrafficSplit = []cicadaseam.WeightedService{{Weight: 1}} }},
		{"no weight", func(r *cicadaseam.MeshRoute) { r.TrafficSplit = []cicadaseam.WeightedService{{Service: "s"}} }},
		{"negative", func(r *cicadaseam.MeshRoute) {
			r.TrafficSplit = []cicadaseam.WeightedService{{Service: "s", Weight: -1}, {Service: "t", Weight: 2}}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := good
			tt.change(&bad)
			_, err := New(&cicadaseam.Revision{RevisionID: cicadaseam.RevisionID{Number: 9}, Routes: []cicadaseam.MeshRoute{good, bad}})
			var invalid *InvalidRevisionError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, uint64(9), invalid.Revision)
		})
	}
}

func TestSplitIsExactOverTheSumOfTheWeights(t *testing.T) {
	r := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 5}, cicadaseam.WeightedService{Service: "b", Weight: 3}, cicadaseam.WeightedService{Service: "c", Weight: 2})
	splitter := NewSplitter()
	counts := map[string]int{}
	for range 30 {
		counts[splitter.Next(&r)]++
	}
	require.Equal(t, map[string]int{"a": 15, "b": 9, "c": 6}, counts)
}

// After any number of requests, the count of each service is within one of its share.
func TestSharesAreNearOverFewRequests(t *testing.T) {
	r := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 90}, cicadaseam.WeightedService{Service: "b", Weight: 10})
	splitter := NewSplitter()
	b := 0
	for n := 1; n <= 200; n++ {
		if splitter.Next(&r) == "b" {
			b++
		}
		require.InDelta(t, float64(n)/10, float64(b), 1)
	}
}

func TestChangedWeightsStartWithoutHistory(t *testing.T) {
	splitter := NewSplitter()
	before := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 1}, cicadaseam.WeightedService{Service: "b", Weight: 1})
	for range 3 {
		splitter.Next(&before)
	}
	after := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 0}, cicadaseam.WeightedService{Service: "b", Weight: 1})
	for range 10 {
		require.Equal(t, "b", splitter.Next(&after))
	}
}
