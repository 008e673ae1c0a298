package tree

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Policy is the resolved settings of one service and class at one place.
type Policy struct {
	Deadline        time.Duration
	Retries         int
	RetryShare      float64
	QueueWait       time.Duration
	QueueLength     int
	MaxBody         int
	MaxAnswer       int
	Objective       float64
	ObjectiveWindow time.Duration
	EjectShare      float64
	SlowStart       time.Duration
	Quarantine      time.Duration
}

// Class is a priority class.
type Class struct {
	Name     string
	Priority int
}

// Idempotence says which requests of a route may be repeated.
type Idempotence uint8

// The kinds of idempotence.
const (
	// IdempotentByMethod: GET, HEAD, OPTIONS, PUT and DELETE may be repeated.
	IdempotentByMethod Idempotence = iota
	IdempotentAlways
	IdempotentNever
)

// Route leads requests with a path prefix to a service.
type Route struct {
	Name        string
	Prefix      string
	Service     string
	Methods     map[string]bool
	Idempotence Idempotence
}

// Idempotent reports whether a request with the method may be repeated.
func (r *Route) Idempotent(method string) bool {
	switch r.Idempotence {
	case IdempotentAlways:
		return true
	case IdempotentNever:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// Table is everything that a node needs to serve calls at one version. It is
// immutable: a call keeps the table that it started with.
type Table struct {
	Version  cicadaseam.Offset
	Locality cicadaseam.Locality
	// Routes are in order of falling prefix length.
	Routes   []*Route
	Services map[string]bool
	Classes  map[string]Class

	customers map[string]Class
	policies  map[policyKey]Policy
	base      Policy
}

type policyKey struct {
	service string
	class   string
}

// DanglingError reports a route whose service is not in the table. A valid
// tree never gives one; the check stands before each swap all the same.
type DanglingRouteError struct {
	Route   string
	Service string
}

// Error implements error.
func (e *DanglingRouteError) Error() string {
	return fmt.Sprintf("route %s points at service %q, which the table does not hold", e.Route, e.Service)
}

// NewTable resolves a valid tree for a place.
func NewTable(t *Tree, place cicadaseam.Locality, version cicadaseam.Offset) (*Table, error) {
	tab := &Table{
		Version:   version,
		Locality:  place,
		Services:  map[string]bool{},
		Classes:   map[string]Class{},
		customers: map[string]Class{},
		policies:  map[policyKey]Policy{},
	}
	tab.addObjects(t)
	tab.addPolicies(t)
	return tab, tab.check()
}

func (tab *Table) addObjects(t *Tree) {
	for _, path := range t.Paths(KindService) {
		_, objName := splitPath(path)
		tab.Services[objName] = true
	}
	for _, path := range t.Paths(KindClass) {
		_, objName := splitPath(path)
		tab.Classes[objName] = Class{Name: objName, Priority: parseInt(t.objects[path]["priority"])}
	}
	for _, path := range t.Paths(KindCustomer) {
		obj := t.objects[path]
		tab.customers[obj["credential"]] = tab.Classes[obj["class"]]
	}
	for _, path := range t.Paths(KindRoute) {
		_, objName := splitPath(path)
		tab.Routes = append(tab.Routes, newRoute(objName, t.objects[path]))
	}
	sort.SliceStable(tab.Routes, func(i, j int) bool {
		return len(tab.Routes[i].Prefix) > len(tab.Routes[j].Prefix)
	})
}

func newRoute(objName string, obj Object) *Route {
	r := &Route{Name: objName, Prefix: obj["prefix"], Service: obj["service"]}
	for _, m := range splitList(obj["methods"]) {
		if r.Methods == nil {
			r.Methods = map[string]bool{}
		}
		r.Methods[m] = true
	}
	switch obj["idempotent"] {
	case "yes":
		r.Idempotence = IdempotentAlways
	case "no":
		r.Idempotence = IdempotentNever
	}
	return r
}

func (tab *Table) addPolicies(t *Tree) {
	scopes := t.scopes()
	target := ScopeTarget{Deployment: tab.Locality.Deployment, Zone: tab.Locality.Zone}
	tab.base = newPolicy(t.resolve(scopes, target))
	for service := range tab.Services {
		target.Service = service
		target.Class = ""
		tab.policies[policyKey{service: service}] = newPolicy(t.resolve(scopes, target))
		for class := range tab.Classes {
			target.Class = class
			tab.policies[policyKey{service, class}] = newPolicy(t.resolve(scopes, target))
		}
	}
}

func newPolicy(s map[string]Setting) Policy {
	return Policy{
		Deadline:        parseDuration(s[KeyDeadline].Value),
		Retries:         parseInt(s[KeyRetries].Value),
		RetryShare:      parseShare(s[KeyRetryShare].Value),
		QueueWait:       parseDuration(s[KeyQueueWait].Value),
		QueueLength:     parseInt(s[KeyQueueLength].Value),
		MaxBody:         parseInt(s[KeyMaxBody].Value),
		MaxAnswer:       parseInt(s[KeyMaxAnswer].Value),
		Objective:       parseShare(s[KeyObjective].Value),
		ObjectiveWindow: parseDuration(s[KeyObjectiveWindow].Value),
		EjectShare:      parseShare(s[KeyEjectShare].Value),
		SlowStart:       parseDuration(s[KeySlowStart].Value),
		Quarantine:      parseDuration(s[KeyQuarantine].Value),
	}
}

// check keeps the promise that no route points at what the table lacks.
func (tab *Table) check() error {
	for _, r := range tab.Routes {
		if !tab.Services[r.Service] {
			return &DanglingRouteError{Route: r.Name, Service: r.Service}
		}
	}
	return nil
}

// Policy returns the settings of a service and class.
func (tab *Table) Policy(service, class string) Policy {
	if p, ok := tab.policies[policyKey{service, class}]; ok {
		return p
	}
	if p, ok := tab.policies[policyKey{service: service}]; ok {
		return p
	}
	return tab.base
}

// Customer returns the class of the customer with the SHA-256 sum of its
// credential in hex.
func (tab *Table) CustomerClass(credential string) (Class, bool) {
	c, ok := tab.customers[credential]
	return c, ok
}

// Route returns the route with the longest prefix of the path that takes the
// method.
func (tab *Table) Route(method, path string) (*Route, bool) {
	for _, r := range tab.Routes {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if r.Methods == nil || r.Methods[method] {
			return r, true
		}
	}
	return nil, false
}

// The values below are of a valid tree, so that a parse cannot fail.

func parseInt(value string) int {
	n, _ := strconv.Atoi(value)
	return n
}

func parseShare(value string) float64 {
	f, _ := strconv.ParseFloat(value, 64)
	return f
}

func parseDuration(value string) time.Duration {
	d, _ := time.ParseDuration(value)
	return d
}
