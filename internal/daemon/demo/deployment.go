package demo

import "github.com/cicadaseam/cicadaseam"

// Service is a service of a deployment and its backend servers.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
}

// Caller is a kind of caller: its token stands for its credential.
type Caller struct {
	Class string
	Token string
	// Read is the path of repeatable calls and Write the one of calls that run
	// at most once; Write may be empty.
	Read  string
	Write string
	// Share is the share of all calls.
	Share float64
}

// Deployment is one of the two example deployments.
type Deployment struct {
	Name     string
	Tree     string // file in package examples
	Region   string
	Zones    []string
	Services []Service
	Callers  []Caller
	// Tuned is a scope whose deadline the operator changes while calls run.
	Tuned string
}

// Deployments are the deployments by the name for the command line.
var Deployments = map[string]Deployment{
	"peachtree": {
		Name:   "georgia-east",
		Tree:   "peachtree.ini",
		Region: "us-southeast",
		Zones:  []string{"atl-north", "atl-south", "atl-east", "atl-west"},
		Services: []Service{
			{Name: "status-portal", Servers: 4, Slots: 20, Connections: 120},
			{Name: "claims-desk", Servers: 4, Slots: 20, Connections: 120},
			{Name: "flight-records", Servers: 5, Slots: 20, Connections: 120},
		},
		Callers: []Caller{
			{Class: "passenger", Token: "passenger-token", Read: "/status/claim", Share: 0.6},
			{Class: "solicitor", Token: "solicitor-token", Read: "/flights/schedule", Write: "/claims/file", Share: 0.2},
			{Class: "caseworker", Token: "caseworker-token", Read: "/claims/list", Write: "/claims/file", Share: 0.2},
		},
		Tuned: "scope:georgia-east/*/status-portal",
	},
	"instituto": {
		Name:   "lisboa",
		Tree:   "instituto.ini",
		Region: "pt-south",
		Zones:  []string{"alcantara", "oriente", "carnide", "benfica"},
		Services: []Service{
			{Name: "pesquisa", Servers: 4, Slots: 10, Connections: 110},
			{Name: "mandatos", Servers: 4, Slots: 10, Connections: 110},
			{Name: "arquivo", Servers: 4, Slots: 10, Connections: 110},
		},
		Callers: []Caller{
			{Class: "public", Token: "public-token", Read: "/pesquisa/lisboa", Share: 0.5},
			{Class: "agent", Token: "agent-token", Read: "/pesquisa/alfama", Write: "/mandatos/registar", Share: 0.3},
			{Class: "notary", Token: "notary-token", Read: "/arquivo/historia", Share: 0.1},
			{Class: "bank", Token: "bank-token", Read: "/arquivo/licencas", Share: 0.1},
		},
		Tuned: "scope:lisboa/*/pesquisa",
	},
}

// place returns the place of the i-th server of a service.
func (d Deployment) place(i int) cicadaseam.Locality {
	return cicadaseam.Locality{Region: d.Region, Deployment: d.Name, Zone: d.Zones[i%len(d.Zones)]}
}
