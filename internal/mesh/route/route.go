// Package route finds the route of a request in one revision.
//
// # Model
//
// A Table is compiled from a revision and never changes. Among the routes of a
// host the one with the longest prefix of the path wins. Shares hands out the
// services of a split route in the proportions of their weights: smooth weighted
// round robin, so that the shares are exact over any sum of the weights and near
// exact over a few requests.
//
// # Usage
//
//	t, err := route.New(revision)
//	r := t.Find(host, path)
//	service := shares.Next(r)
package route

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"

	"github.com/cicadaseam/cicadaseam"
)

// FaultError reports why a revision cannot be applied.
type FaultError struct {
	Revision uint64
	Route    string
	Problem  string
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("revision %d, route %q: %s", e.Revision, e.Route, e.Problem)
}

// Table is a compiled revision. It is immutable.
type Table struct {
	Number uint64
	Limits cicadaseam.Limits
	hosts  map[string][]*cicadaseam.MeshRoute // longest prefix first
	count  int
}

// New compiles a revision, or names its first fault.
func New(r *cicadaseam.Revision) (*Table, error) {
	t := &Table{Number: r.Number, Limits: r.Limits, hosts: make(map[string][]*cicadaseam.MeshRoute)}
	for i := range r.Routes {
		x := &r.Routes[i]
		if problem := faultOf(x); problem != "" {
			return nil, &FaultError{Revision: r.Number, Route: x.Name, Problem: problem}
		}
		host := strings.ToLower(x.Host)
		t.hosts[host] = append(t.hosts[host], x)
		t.count++
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t, nil
}

func faultOf(x *cicadaseam.MeshRoute) string {
	if x.Host == "" {
		return "has no host"
	}
	if !strings.HasPrefix(x.PathPrefix, "/") || !strings.HasSuffix(x.PathPrefix, "/") {
		return fmt.Sprintf("prefix %q does not begin and end with a slash", x.PathPrefix)
	}
	if x.Timeout <= 0 {
		return "has no timeout"
	}
	if len(x.TrafficSplit) == 0 {
		return "has no service"
	}
	total := 0
	for _, s := range x.TrafficSplit {
		if s.Service == "" || s.Weight < 0 {
			return fmt.Sprintf("share %q with weight %d", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return "its weights add up to nothing"
	}
	return ""
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Find returns the route of a request, or nil.
func (t *Table) Find(host, path string) *cicadaseam.MeshRoute {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Shares deals the requests of split routes. It is safe for concurrent use.
type Shares struct {
	mu     sync.Mutex
	credit map[string][]int
}

// NewShares returns shares without history.
func NewShares() *Shares { return &Shares{credit: map[string][]int{}} }

// Next returns the service that the next request of a route goes to.
func (s *Shares) Next(r *cicadaseam.MeshRoute) string {
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := splitKey(r)
	credit := s.credit[key]
	if credit == nil {
		s.makeRoom()
		credit = make([]int, len(r.TrafficSplit))
		s.credit[key] = credit
	}
	best, total := 0, 0
	for i, x := range r.TrafficSplit {
		credit[i] += x.Weight
		total += x.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.TrafficSplit[best].Service
}

// maxSplits bounds the splits that are kept; changed weights leave old ones behind.
const maxSplits = 1024

func (s *Shares) makeRoom() {
	if len(s.credit) >= maxSplits {
		s.credit = map[string][]int{}
	}
}

// splitKey names a route with its weights, so that changed weights start anew.
func splitKey(r *cicadaseam.MeshRoute) string {
	var b strings.Builder
	b.WriteString(r.Name)
	for _, x := range r.TrafficSplit {
		fmt.Fprintf(&b, "|%s=%d", x.Service, x.Weight)
	}
	return b.String()
}
