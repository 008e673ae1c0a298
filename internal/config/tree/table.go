package tree

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Policy holds the resolved policy settings of a service and class at one locality. Each
// field has the value of the key of the same name.
type Policy struct {
	Deadline        time.Duration
	Retries         int
	RetryShare      float64 // retry budget as a share of successful calls
	QueueWait       time.Duration
	QueueLength     int
	MaxBody         int           // bytes
	MaxAnswer       int           // bytes
	Objective       float64       // share of calls to answer within the deadline
	ObjectiveWindow time.Duration // time over which the objective holds
	EjectShare      float64       // largest share of the backend servers that may be ejected
	SlowStart       time.Duration // time in which a new backend server gets less load
	Quarantine      time.Duration // first period for which a request that crashes servers is refused
}

// Class is a priority class.
type Class struct {
	Name     string
	Priority int
}

// Idempotence says which requests of a route may be retried.
type Idempotence uint8

// The kinds of idempotence.
const (
	// IdempotentByMethod allows retries of GET, HEAD, OPTIONS, PUT and DELETE.
	IdempotentByMethod Idempotence = iota
	IdempotentAlways
	IdempotentNever
)

// Route maps requests with a path prefix to a service.
type Route struct {
	Name        string
	Prefix      string
	Service     string
	Methods     map[string]bool // nil for all methods
	Idempotence Idempotence
}

// Idempotent reports whether a request with the method may be retried.
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

// Table holds all settings that a node needs to serve calls at one version. It is
// immutable: a call uses the table that it started with until its end.
type Table struct {
	Version  cicadaseam.Offset
	Locality cicadaseam.Locality
	// Routes are sorted by the length of the prefix, the longest first.
	Routes   []*Route
	Services map[string]bool
	Classes  map[string]Class

	customers map[string]Class // by the SHA-256 sum of the credential in hex
	policies  map[policyKey]Policy
	// defaultPolicy is the policy of services that are not in the tree.
	defaultPolicy Policy
}

// policyKey is the key of Table.policies. Class is empty for calls without a class.
type policyKey struct {
	service string
	class   string
}

// DanglingRouteError reports a route whose service is not in the table. A valid tree never
// leads to one; NewTable checks for it nevertheless, so that no node uses such a table.
type DanglingRouteError struct {
	Route   string
	Service string
}

// Error implements error.
func (e *DanglingRouteError) Error() string {
	return fmt.Sprintf("route %s points at service %q, which the table does not hold", e.Route, e.Service)
}

// NewTable resolves a valid tree for the nodes of a locality.
func NewTable(t *Tree, locality cicadaseam.Locality, version cicadaseam.Offset) (*Table, error) {
	tab := &Table{
		Version:   version,
		Locality:  locality,
		Services:  map[string]bool{},
		Classes:   map[string]Class{},
		customers: map[string]Class{},
		policies:  map[policyKey]Policy{},
	}
	tab.addObjects(t)
	tab.addPolicies(t)
	return tab, tab.checkRoutes()
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

// addPolicies resolves the policy of each service, alone and with each class.
func (tab *Table) addPolicies(t *Tree) {
	scopes := t.scopes()
	target := ScopeTarget{Deployment: tab.Locality.Deployment, Zone: tab.Locality.Zone}
	tab.defaultPolicy = newPolicy(t.resolve(scopes, target))
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

// checkRoutes verifies that the service of each route is in the table.
func (tab *Table) checkRoutes() error {
	for _, r := range tab.Routes {
		if !tab.Services[r.Service] {
			return &DanglingRouteError{Route: r.Name, Service: r.Service}
		}
	}
	return nil
}

// Policy returns the policy of a service and class. An unknown class gets the policy of the
// service, and an unknown service that of the locality.
func (tab *Table) Policy(service, class string) Policy {
	if p, ok := tab.policies[policyKey{service, class}]; ok {
		return p
	}
	if p, ok := tab.policies[policyKey{service: service}]; ok {
		return p
	}
	return tab.defaultPolicy
}

// CustomerClass returns the class of a customer, given the SHA-256 sum of its credential in
// hex.
func (tab *Table) CustomerClass(credential string) (Class, bool) {
	c, ok := tab.customers[credential]
	return c, ok
}

// Route returns the route for a request: of the routes that accept the method, the one with
// the longest matching path prefix.
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

// The values come from a valid tree, so that the functions below cannot fail to parse them.

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
