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
	ReadPath  string
	WritePath string
	// Share is the share of all calls.
	TrafficShare float64
}

// Deployment is one of the two example deployments.
type Deployment struct {
	Name       string
	ChangeFile string // file in package examples
	Region     string
	Zones      []string
	Services   []Service
	Callers    []Caller
	// Tuned is a scope whose deadline the operator changes while calls run.
	TunedScope string
}

// Deployments are the deployments by the name for the command line.
var Deployments = map[string]Deployment{
	"peachtree": {
		Name:       "georgia-east",
		ChangeFile: "peachtree.ini",
		Region:     "us-southeast",
		Zones:      []string{"atl-north", "atl-south", "atl-east", "atl-west"},
		Services: []Service{
			{Name: "status-portal", Servers: 4, Slots: 20, Connections: 120},
			{Name: "claims-desk", Servers: 4, Slots: 20, Connections: 120},
			{Name: "flight-records", Servers: 5, Slots: 20, Connections: 120},
		},
		Callers: []Caller{
			{Class: "passenger", Token: "passenger-token", ReadPath: "/status/claim", TrafficShare: 0.6},
			{Class: "solicitor", Token: "solicitor-token", ReadPath: "/flights/schedule", WritePath: "/claims/file", TrafficShare: 0.2},
			{Class: "caseworker", Token: "caseworker-token", ReadPath: "/claims/list", WritePath: "/claims/file", TrafficShare: 0.2},
		},
		TunedScope: "scope:georgia-east/*/status-portal",
	},
	"instituto": {
		Name:       "lisboa",
		ChangeFile: "instituto.ini",
		Region:     "pt-south",
		Zones:      []string{"alcantara", "oriente", "carnide", "benfica"},
		Services: []Service{
			{Name: "pesquisa", Servers: 4, Slots: 10, Connections: 110},
			{Name: "mandatos", Servers: 4, Slots: 10, Connections: 110},
			{Name: "arquivo", Servers: 4, Slots: 10, Connections: 110},
		},
		Callers: []Caller{
			{Class: "public", Token: "public-token", ReadPath: "/pesquisa/lisboa", TrafficShare: 0.5},
			{Class: "agent", Token: "agent-token", ReadPath: "/pesquisa/alfama", WritePath: "/mandatos/registar", TrafficShare: 0.3},
			{Class: "notary", Token: "notary-token", ReadPath: "/arquivo/historia", TrafficShare: 0.1},
			{Class: "bank", Token: "bank-token", ReadPath: "/arquivo/licencas", TrafficShare: 0.1},
		},
		TunedScope: "scope:lisboa/*/pesquisa",
	},
}

// place returns the place of the i-th server of a service.
func (d Deployment) place(i int) cicadaseam.Locality {
	return cicadaseam.Locality{Region: d.Region, Deployment: d.Name, Zone: d.Zones[i%len(d.Zones)]}
}
