package demo

import "github.com/cicadaseam/cicadaseam"

// Service describes a service and its backend servers.
type Service struct {
	Name        string
	Servers     int // number of backend servers
	Slots       int // maximum concurrent requests of each
	Connections int // maximum concurrent connections of each
}

// Caller describes the callers of one priority class, who share a bearer token.
type Caller struct {
	Class string
	Token string
	// ReadPath is the path of idempotent calls, and WritePath the path of calls that run at most
	// once. WritePath may be empty.
	ReadPath  string
	WritePath string
	// TrafficShare is the fraction of all calls that these callers make.
	TrafficShare float64
}

// Deployment describes one of the example deployments.
type Deployment struct {
	Name       string
	ChangeFile string // initial configuration, a file in package examples
	Region     string
	Zones      []string
	Services   []Service
	Callers    []Caller
	// TunedScope is the scope whose deadline the operator changes while calls run.
	TunedScope string
}

// Deployments holds the example deployments by their names on the command line.
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

// locality returns the locality of the i-th backend server of the deployment. The servers are
// spread over the zones round-robin.
func (d Deployment) locality(i int) cicadaseam.Locality {
	return cicadaseam.Locality{Region: d.Region, Deployment: d.Name, Zone: d.Zones[i%len(d.Zones)]}
}
