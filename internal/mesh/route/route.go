// Package route finds the route of a request in one revision.
//
// # Model
//
// A Table is compiled from a revision and is immutable. Among the routes of a host,
// the one with the longest matching path prefix wins. A Splitter assigns the requests
// of a route with a traffic split to its services by smooth weighted round robin:
// over as many requests as the weights add up to, the proportions are exact, and over
// a few requests they are nearly so.
//
// # Usage
//
//	t, err := route.New(revision)
//	r := t.Find(host, path)
//	service := splitter.Next(r)
package route

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"

	"github.com/cicadaseam/cicadaseam"
)

// InvalidRevisionError reports why a revision cannot be applied.
type InvalidRevisionError struct {
	Revision uint64
	Route    string
	Problem  string
}

// Error implements error.
func (e *InvalidRevisionError) Error() string {
	return fmt.Sprintf("revision %d, route %q: %s", e.Revision, e.Route, e.Problem)
}

// Table is a compiled revision. It is immutable.
type Table struct {
	Number uint64 // of the revision
	Limits cicadaseam.Limits
	hosts  map[string][]*cicadaseam.MeshRoute // longest prefix first
	count  int
	// customers holds the customers by the hashes of their keys.
	customers map[cicadaseam.KeyHash]*cicadaseam.Customer
	named     map[string]*cicadaseam.Customer // by name
	keyed     bool                            // whether callers need the key of a customer
}

// New compiles a revision. For an invalid one it returns an *InvalidRevisionError
// with the first problem found.
func New(r *cicadaseam.Revision) (*Table, error) {
	t := &Table{Number: r.Number, Limits: r.Limits, hosts: make(map[string][]*cicadaseam.MeshRoute), customers: make(map[cicadaseam.KeyHash]*cicadaseam.Customer)}
	for i := range r.Routes {
		route := &r.Routes[i]
		if problem := validate(route); problem != "" {
			return nil, &InvalidRevisionError{Revision: r.Number, Route: route.Name, Problem: problem}
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
		t.count++
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	t.keyed = r.Keyed || len(r.Customers) > 0
	if problem := t.addCustomers(r.Customers); problem != "" {
		return nil, &InvalidRevisionError{Revision: r.Number, Problem: problem}
	}
	return t, nil
}

// validate returns what is wrong with a route, or "".
func validate(r *cicadaseam.MeshRoute) string {
	if r.Host == "" {
		return "has no host"
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Sprintf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		return "has no timeout"
	}
	if len(r.TrafficSplit) == 0 {
		return "has no service"
	}
	total := 0
	for _, s := range r.TrafficSplit {
		if s.Service == "" || s.Weight < 0 {
			return fmt.Sprintf("traffic split has an invalid entry: service %q, weight %d", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return "weights of the traffic split add up to 0"
	}
	return ""
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Find returns the route of a request, or nil if none matches.
func (t *Table) Find(host, path string) *cicadaseam.MeshRoute {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host in lower case without its port.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Splitter distributes the requests of each route over the services of its traffic
// split. It is safe for concurrent use.
type Splitter struct {
	mu             sync.Mutex
	currentWeights map[string][]int
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{currentWeights: map[string][]int{}} }

// Next returns the service that the next request of a route goes to.
func (s *Splitter) Next(r *cicadaseam.MeshRoute) string {
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := splitKey(r)
	current := s.currentWeights[key]
	if current == nil {
		s.resetIfFull()
		current = make([]int, len(r.TrafficSplit))
		s.currentWeights[key] = current
	}
	best, total := 0, 0
	for i, w := range r.TrafficSplit {
		current[i] += w.Weight
		total += w.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.TrafficSplit[best].Service
}

// maxSplits bounds the number of splits kept. Each change of weights adds a new one and
// leaves the old one unused.
const maxSplits = 1024

// resetIfFull drops all state when maxSplits is reached. The lock is held.
func (s *Splitter) resetIfFull() {
	if len(s.currentWeights) >= maxSplits {
		s.currentWeights = map[string][]int{}
	}
}

// splitKey identifies a route together with its weights, so that a change of weights
// starts without history.
func splitKey(r *cicadaseam.MeshRoute) string {
	var b strings.Builder
	b.WriteString(r.Name)
	for _, w := range r.TrafficSplit {
		fmt.Fprintf(&b, "|%s=%d", w.Service, w.Weight)
	}
	return b.String()
}
