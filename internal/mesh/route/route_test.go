package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func meshRoute(name, host, prefix string, shares ...cicadaseam.WeightedService) cicadaseam.MeshRoute {
	if len(shares) == 0 {
		shares = []cicadaseam.WeightedService{{Service: name, Weight: 1}}
	}
	return cicadaseam.MeshRoute{Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, TrafficSplit: shares}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := New(&cicadaseam.Revision{Number: 3, Routes: []cicadaseam.MeshRoute{
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
	for _, x := range tests {
		r := table.Find(x.host, x.path)
		if x.want == "" {
			require.Nil(t, r, "%s%s", x.host, x.path)
			continue
		}
		require.NotNil(t, r, "%s%s", x.host, x.path)
		require.Equal(t, x.want, r.Name)
	}
}

func TestFaultsAreNamed(t *testing.T) {
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
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			bad := good
			x.change(&bad)
			_, err := New(&cicadaseam.Revision{Number: 9, Routes: []cicadaseam.MeshRoute{good, bad}})
			var fault *FaultError
			require.ErrorAs(t, err, &fault)
			require.Equal(t, uint64(9), fault.Revision)
		})
	}
}

func TestSharesAreExactOverTheirSum(t *testing.T) {
	r := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 5}, cicadaseam.WeightedService{Service: "b", Weight: 3}, cicadaseam.WeightedService{Service: "c", Weight: 2})
	shares := NewShares()
	counts := map[string]int{}
	for range 30 {
		counts[shares.Next(&r)]++
	}
	require.Equal(t, map[string]int{"a": 15, "b": 9, "c": 6}, counts)
}

// Over few requests no share is more than one request off.
func TestSharesAreNearOverFewRequests(t *testing.T) {
	r := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 90}, cicadaseam.WeightedService{Service: "b", Weight: 10})
	shares := NewShares()
	b := 0
	for n := 1; n <= 200; n++ {
		if shares.Next(&r) == "b" {
			b++
		}
		require.InDelta(t, float64(n)/10, float64(b), 1)
	}
}

func TestChangedWeightsStartAnew(t *testing.T) {
	shares := NewShares()
	before := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 1}, cicadaseam.WeightedService{Service: "b", Weight: 1})
	for range 3 {
		shares.Next(&before)
	}
	after := meshRoute("split", "a.example", "/x/", cicadaseam.WeightedService{Service: "a", Weight: 0}, cicadaseam.WeightedService{Service: "b", Weight: 1})
	for range 10 {
		require.Equal(t, "b", shares.Next(&after))
	}
}
