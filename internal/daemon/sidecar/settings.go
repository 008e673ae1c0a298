package sidecar

import (
	"net"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/target"
)

// Settings are the settings of one sidecar.
type Settings struct {
	Name    string
	Zone    string
	Service string

	Calls   string
	Ready   string
	Backend string
	Links   string
	// Advertise is the address of Links that other nodes use.
	Advertise string
	Metrics   string
	Store     string

	// BackendAddr is where the backend server of this node listens.
	BackendAddr string
	Lease       time.Duration

	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	Beat     time.Duration
	Grace    time.Duration
	Notice   time.Duration
	LogLevel string
}

// Fields returns the declaration of all settings.
func (s *Settings) Fields() []settings.Field {
	return []settings.Field{
		settings.Must(settings.String(&s.Name, "node", "name", "", "name of this node, for people and the directory")),
		settings.Must(settings.String(&s.Zone, "node", "zone", "", "availability zone of this node")),
		settings.Must(settings.String(&s.Service, "node", "service", "", "service of the backend server beside this node")),
		settings.Must(settings.String(&s.Calls, "listen", "calls", "", "address for callers, HTTP")),
		settings.Must(settings.String(&s.Ready, "listen", "ready", "", "address for the question whether this node is ready, HTTP")),
		settings.Must(settings.String(&s.Backend, "listen", "backend", "", "address for the announcements of the backend server, HTTP")),
		settings.Must(settings.String(&s.Links, "listen", "links", "", "address for other nodes, TCP and UDP")),
		settings.String(&s.Advertise, "listen", "advertise", "", "address that other nodes use for links, if it differs"),
		settings.String(&s.Metrics, "listen", "metrics", "", "address for metrics, HTTP; none when empty"),
		settings.Must(settings.String(&s.Store, "store", "address", "", "address of the platform's store")),
		settings.String(&s.BackendAddr, "backend", "address", "", "address of the backend server; announcements of another one are dropped"),
		settings.Duration(&s.Lease, "backend", "lease", target.DefaultLease, 100*time.Millisecond, 10*time.Minute, "time after which a backend server that does not renew is taken as gone"),
		settings.Float(&s.RetryRatio, "retry", "ratio", dispatch.DefaultAllowance.Ratio, 0, 10, "repeats a request", "repeats that the fleet may make for each request"),
		settings.Float(&s.RetrySlack, "retry", "slack", dispatch.DefaultAllowance.Slack, 0, 1e6, "repeats", "repeats that the fleet may make in a window beyond that"),
		settings.Duration(&s.RetryWindow, "retry", "window", dispatch.DefaultAllowance.Window, time.Second, time.Hour, "window in which repeats are counted"),
		settings.Duration(&s.Beat, "fleet", "beat", fleet.DefaultPeriod, 10*time.Millisecond, time.Minute, "time between two beats to the other nodes of a small fleet"),
		settings.Duration(&s.Grace, "shutdown", "grace", 10*time.Second, time.Second, time.Hour, "time from SIGTERM to the end"),
		settings.Duration(&s.Notice, "shutdown", "notice", 2500*time.Millisecond, 0, time.Hour, "time from SIGTERM in which callers hear that this node leaves; new connections are taken until then"),
		settings.OneOf(&s.LogLevel, "logging", "level", "info", []string{"debug", "info", "warn", "error"}, "least level of log lines"),
	}
}

// Load reads settings from an INI file.
func Load(file string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(file, s.Fields()); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// peerAddr returns the address at which other nodes reach this one.
func (s *Settings) peerAddr() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Links
}

// check finds faults that one field alone does not show.
func (s *Settings) check(file string) error {
	var problems []settings.Problem
	addrs := []struct{ section, key, addr string }{
		{"listen", "calls", s.Calls}, {"listen", "ready", s.Ready}, {"listen", "backend", s.Backend},
		{"listen", "links", s.Links}, {"listen", "advertise", s.Advertise}, {"listen", "metrics", s.Metrics}, {"store", "address", s.Store}, {"backend", "address", s.BackendAddr},
	}
	for _, a := range addrs {
		if a.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			problems = append(problems, settings.Problem{Section: a.section, Key: a.key, Text: err.Error()})
		}
	}
	if len(problems) > 0 {
		return &settings.Error{File: file, Problems: problems}
	}
	return nil
}
