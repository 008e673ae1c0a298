// Package plan lays out a fleet for an experiment.
//
// # Model
//
// N nodes are spread over 10 zones in 3 regions, the layout that the system is designed for, each
// beside a backend server of one of 19 services.
//
// # Usage
//
//	p := plan.New(64)
//	change := p.InitialChange()
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cicadaseam/cicadaseam"
)

// The layout and the names of the fleet.
const (
	// Zones, Regions and Services are the counts that the system is designed for.
	Zones    = 10
	Regions  = 3
	Services = 19
	// Deployment is the name of the one deployment.
	Deployment = "bench"
	// Token is the bearer token of the one customer.
	Token = "bench-token"
	// SlotsPerBackend is the number of concurrent requests of each backend server.
	SlotsPerBackend = 20
)

// Host describes a node and its backend server.
type Host struct {
	Index    int
	Name     string
	Locality cicadaseam.Locality
	Service  string // service of the backend server
}

// Plan is the layout of a fleet.
type Plan struct {
	Hosts []Host
}

// New returns the layout of n hosts.
func New(n int) Plan {
	var p Plan
	for i := range n {
		zone := i % Zones
		p.Hosts = append(p.Hosts, Host{
			Index:    i,
			Name:     fmt.Sprintf("node-%d", i),
			Locality: cicadaseam.Locality{Region: fmt.Sprintf("region-%d", zone%Regions), Deployment: Deployment, Zone: ZoneName(zone)},
			Service:  ServiceName(i % min(Services, n)),
		})
	}
	return p
}

// ZoneName returns the name of the i-th zone.
func ZoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// ServiceName returns the name of the i-th service.
func ServiceName(i int) string { return fmt.Sprintf("service-%d", i) }

// Path returns a request path that is routed to the i-th service.
func Path(i int) string { return fmt.Sprintf("/s%d/x", i) }

// InitialChange returns the change that creates the whole configuration of the fleet.
func (p Plan) InitialChange() cicadaseam.Change {
	c := cicadaseam.Change{ID: "bench-tree", Author: "bench"}
	set := func(path, key, value string) {
		c.Edits = append(c.Edits, cicadaseam.Edit{Path: path, Key: key, Value: value})
	}
	for i := range Zones {
		set("zone:"+ZoneName(i), "deployment", Deployment)
		set("zone:"+ZoneName(i), "region", fmt.Sprintf("region-%d", i%Regions))
	}
	tokenHash := sha256.Sum256([]byte(Token))
	for i, class := range []string{"low", "middle", "high"} {
		set("class:"+class, "priority", fmt.Sprint(10*(i+1)))
	}
	set("customer:bench", "credential", hex.EncodeToString(tokenHash[:]))
	set("customer:bench", "class", "high")
	for i := range Services {
		name := ServiceName(i)
		set("service:"+name, "owner", "bench")
		set("route:"+name, "prefix", fmt.Sprintf("/s%d/", i))
		set("route:"+name, "service", name)
		set("scope:bench/*/"+name, "deadline", "2s")
	}
	set("scope:*", "slow-start", "0s")
	return c
}

// DeadlineChange returns the n-th change after the initial one. It sets the deadline of one
// service and has the given base version.
func (p Plan) DeadlineChange(n int, base cicadaseam.Offset) cicadaseam.Change {
	return cicadaseam.Change{
		ID: fmt.Sprintf("bench-%d", n), Base: base, Author: "bench",
		Edits: []cicadaseam.Edit{{Path: "scope:bench/*/" + ServiceName(n%Services), Key: "deadline", Value: fmt.Sprintf("%dms", 2000+n)}},
	}
}
