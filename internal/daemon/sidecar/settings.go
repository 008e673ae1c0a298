package sidecar

import (
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

	CallAddr     string
	ReadyAddr    string
	RegistryAddr string
	LinkAddr     string
	// Advertise is the address of Links that other nodes use.
	Advertise   string
	MetricsAddr string
	StoreAddr   string

	// BackendAddr is where the backend server of this node listens.
	BackendAddr  string
	BackendLease time.Duration

	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	HeartbeatPeriod time.Duration
	GracePeriod     time.Duration
	DrainDelay      time.Duration
	LogLevel        string
}

// Fields returns the declaration of all settings.
func (s *Settings) Fields() []settings.Field {
	return []settings.Field{
		settings.Required(settings.String(&s.Name, "node", "name", "", "name of this node, for people and the directory")),
		settings.Required(settings.String(&s.Zone, "node", "zone", "", "availability zone of this node")),
		settings.Required(settings.String(&s.Service, "node", "service", "", "service of the backend server beside this node")),
		settings.Required(settings.Address(&s.CallAddr, "listen", "calls", "", "address for callers, HTTP")),
		settings.Required(settings.Address(&s.ReadyAddr, "listen", "ready", "", "address for the question whether this node is ready, HTTP")),
		settings.Required(settings.Address(&s.RegistryAddr, "listen", "backend", "", "address for the announcements of the backend server, HTTP")),
		settings.Required(settings.Address(&s.LinkAddr, "listen", "links", "", "address for other nodes, TCP and UDP")),
		settings.Address(&s.Advertise, "listen", "advertise", "", "address that other nodes use for links, if it differs"),
		settings.Address(&s.MetricsAddr, "listen", "metrics", "", "address for metrics, HTTP; none when empty"),
		settings.Required(settings.Address(&s.StoreAddr, "store", "address", "", "address of the platform's store")),
		settings.Address(&s.BackendAddr, "backend", "address", "", "address of the backend server; announcements of another one are dropped"),
		settings.Duration(&s.BackendLease, "backend", "lease", target.DefaultLease, 100*time.Millisecond, 10*time.Minute, "time after which a backend server that does not renew is taken as gone"),
		settings.Float(&s.RetryRatio, "retry", "ratio", dispatch.DefaultRetryBudget.Ratio, 0, 10, "repeats a request", "repeats that the fleet may make for each request"),
		settings.Float(&s.RetrySlack, "retry", "slack", dispatch.DefaultRetryBudget.Slack, 0, 1e6, "repeats", "repeats that the fleet may make in a window beyond that"),
		settings.Duration(&s.RetryWindow, "retry", "window", dispatch.DefaultRetryBudget.Window, time.Second, time.Hour, "window in which repeats are counted"),
		settings.Duration(&s.HeartbeatPeriod, "fleet", "beat", fleet.DefaultPeriod, 10*time.Millisecond, time.Minute, "time between two beats to the other nodes of a small fleet"),
		settings.Duration(&s.GracePeriod, "shutdown", "grace", 10*time.Second, time.Second, time.Hour, "time from SIGTERM to the end"),
		settings.Duration(&s.DrainDelay, "shutdown", "notice", 2500*time.Millisecond, 0, time.Hour, "time from SIGTERM in which callers hear that this node leaves; new connections are taken until then"),
		settings.OneOf(&s.LogLevel, "logging", "level", "info", []string{"debug", "info", "warn", "error"}, "least level of log lines"),
	}
}

// Load reads settings from an INI file.
func Load(file string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(file, s.Fields()); err != nil {
		return nil, err
	}
	return s, nil
}

// peerAddr returns the address at which other nodes reach this one.
func (s *Settings) peerAddr() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.LinkAddr
}
