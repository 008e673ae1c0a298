package sidecar

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/front"
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
	"github.com/cicadaseam/cicadaseam/internal/mesh/target"
)

// Settings holds the settings of one sidecar.
type Settings struct {
	Name    string
	Zone    string
	Service string

	CallAddr     string
	ReadyAddr    string
	RegistryAddr string
	LinkAddr     string
	// Advertise is the address that other nodes use for links, if it is not LinkAddr.
	Advertise   string
	MetricsAddr string
	StoreAddr   string
	// MaxConns is how many connections of callers may be open.
	MaxConns int

	// BackendAddr is the address of the backend server, and BackendLease the time for
	// which it is used after its last announcement.
	BackendAddr  string
	BackendLease time.Duration
	// BackendDrain is how long the backend server serves at least after the node has acknowledged that
	// it is draining.
	BackendDrain time.Duration

	// RetryRatio, RetrySlack and RetryWindow are the retry budget, as in
	// dispatch.RetryBudgetConfig.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// KeyStrict is set if a revoked key must work nowhere after KeyRevoke.
	KeyStrict bool
	KeyRevoke time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack say how strictly the quotas of customers bind, as
	// in quota.Config.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// Rollout bounds what a rollout of a bad version may cost.
	Rollout rollout.Settings

	// HeartbeatPeriod is the time between two heartbeats in a small fleet.
	HeartbeatPeriod time.Duration
	// GracePeriod is the time from SIGTERM to the end of the process, and DrainDelay the
	// part of it in which new connections are still accepted.
	GracePeriod time.Duration
	DrainDelay  time.Duration
	LogLevel    string
}

// Fields returns the declarations of all settings, which fill s.
func (s *Settings) Fields() []settings.Field {
	return []settings.Field{
		settings.Required(settings.String(&s.Name, "node", "name", "", "name of this node, for people and as its key in the directory")),
		settings.Required(settings.String(&s.Zone, "node", "zone", "", "availability zone of this node")),
		settings.Required(settings.String(&s.Service, "node", "service", "", "service of the backend server beside this node")),
		settings.Required(settings.Address(&s.CallAddr, "listen", "calls", "", "address for callers, HTTP")),
		settings.Required(settings.Address(&s.ReadyAddr, "listen", "ready", "", "address for readiness checks, HTTP")),
		settings.Required(settings.Address(&s.RegistryAddr, "listen", "backend", "", "address for the announcements of the backend server, HTTP")),
		settings.Required(settings.Address(&s.LinkAddr, "listen", "links", "", "address for other nodes, TCP and UDP")),
		settings.Address(&s.Advertise, "listen", "advertise", "", "address that other nodes use for links, if it differs"),
		settings.Address(&s.MetricsAddr, "listen", "metrics", "", "address for metrics, HTTP; none when empty"),
		settings.Int(&s.MaxConns, "listen", "connections", front.DefaultMaxConns, 16, 100000, "connections", "connections of callers that may be open; stalled and idle ones are closed for new ones beyond it"),
		settings.Required(settings.Address(&s.StoreAddr, "store", "address", "", "address of the platform's store")),
		settings.Address(&s.BackendAddr, "backend", "address", "", "address of the backend server; announcements of another one are ignored"),
		settings.Duration(&s.BackendLease, "backend", "lease", target.DefaultLease, 100*time.Millisecond, 10*time.Minute, "time after which a backend server that is not announced again counts as gone"),
		settings.Duration(&s.BackendDrain, "backend", "drain", target.DefaultDrainTime, 0, time.Hour, "time for which a backend server serves after its draining was acknowledged; no request is sent to it later"),
		settings.Float(&s.RetryRatio, "retry", "ratio", dispatch.DefaultRetryBudget.Ratio, 0, 10, "retries per request", "retries that the fleet may make for each request"),
		settings.Float(&s.RetrySlack, "retry", "slack", dispatch.DefaultRetryBudget.Slack, 0, 1e6, "retries", "retries that the fleet may make in a window beyond that"),
		settings.Duration(&s.RetryWindow, "retry", "window", dispatch.DefaultRetryBudget.Window, time.Second, time.Hour, "window in which retries are counted"),
		settings.Bool(&s.KeyStrict, "keys", "strict", false, "answer 503 to requests with a key while this node cannot prove that the key was not revoked"),
		settings.Duration(&s.KeyRevoke, "keys", "revoke", keys.DefaultLimit, 2*time.Second, time.Hour, "time after which a revoked key works at no node, if strict"),
		settings.Duration(&s.QuotaWindow, "quota", "window", quota.DefaultConfig.Window, time.Second, time.Hour, "window in which the requests of a customer are bounded"),
		settings.Float(&s.QuotaOvershoot, "quota", "overshoot", quota.DefaultConfig.Overshoot, 0, 10, "part", "part by which a customer may exceed its quota in a window"),
		settings.Float(&s.QuotaSlack, "quota", "slack", quota.DefaultConfig.Slack, 0, 1e6, "requests", "requests by which a customer may exceed its quota in a window beyond that"),
		settings.Float(&s.Rollout.Share, "rollout", "share", rollout.DefaultSettings.Share, 0, 1, "", "part of the requests for a service that may reach a bad version during a rollout"),
		settings.Float(&s.Rollout.Slack, "rollout", "slack", rollout.DefaultSettings.Slack, 0, 1e6, "requests", "further requests that may reach a bad version"),
		settings.Duration(&s.Rollout.Limit, "rollout", "limit", rollout.DefaultSettings.Limit, 100*time.Millisecond, time.Hour, "time after the 50th bad response from which on a bad version gets no request"),
		settings.Duration(&s.HeartbeatPeriod, "fleet", "beat", fleet.DefaultPeriod, 10*time.Millisecond, time.Minute, "time between two heartbeats to the other nodes of a small fleet"),
		settings.Duration(&s.GracePeriod, "shutdown", "grace", 10*time.Second, time.Second, time.Hour, "time from SIGTERM to the end of the process"),
		settings.Duration(&s.DrainDelay, "shutdown", "notice", 2500*time.Millisecond, 0, time.Hour, "time from SIGTERM in which callers learn that this node is leaving; new connections are accepted until then"),
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

// peerAddr returns the address at which other nodes reach this node.
func (s *Settings) peerAddr() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.LinkAddr
}
