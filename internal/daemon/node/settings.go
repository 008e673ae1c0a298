package node

import (
	"net"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/detect"
)

// Settings are the settings of a node. Fields declares their keys.
type Settings struct {
	Name     string
	Locality cicadaseam.Locality

	CallAddr     string
	LinkAddr     string
	BackendAddr  string
	OperatorAddr string
	// Advertise is the link address that is announced to peers. If it is empty, this is
	// the address that the node listens on.
	Advertise string

	LogURL string
	Token  string
	Seeds  []string

	ReadersPerZone       int
	Fanout               int
	ProbePeriod          time.Duration
	PingTimeout          time.Duration
	HeartbeatInterval    time.Duration
	DrainTimeout         time.Duration
	ReadyTimeout         time.Duration
	BackendLease         time.Duration
	KeyLifetime          time.Duration
	LedgerAppendInterval time.Duration
	LogLevel             string
}

// Fields declares all settings with their sections, keys, defaults and bounds.
func (s *Settings) Fields() []settings.Field {
	const day = 24 * time.Hour
	return []settings.Field{
		settings.Required(settings.String(&s.Name, "node", "name", "", "name of this node, for logs and reports")),
		settings.Required(settings.String(&s.Locality.Region, "node", "region", "", "region of this node")),
		settings.Required(settings.String(&s.Locality.Deployment, "node", "deployment", "", "deployment of this node")),
		settings.Required(settings.String(&s.Locality.Zone, "node", "zone", "", "availability zone of this node")),
		settings.Address(&s.CallAddr, "listen", "calls", "127.0.0.1:8080", "address for callers, HTTP"),
		settings.Address(&s.LinkAddr, "listen", "links", "127.0.0.1:7000", "address for other nodes, TCP and UDP"),
		settings.Address(&s.BackendAddr, "listen", "backend", "127.0.0.1:8081", "address for the backend server of this node, HTTP"),
		settings.Address(&s.OperatorAddr, "listen", "operator", "127.0.0.1:8082", "address for operators, HTTP"),
		settings.String(&s.Advertise, "listen", "advertise", "", "link address that other nodes use, if it differs from the one listened on"),
		settings.Required(settings.String(&s.LogURL, "log", "url", "", "URL of the platform's log")),
		settings.String(&s.Token, "operator", "token", "", "bearer token for operators; without one the address must be loopback"),
		settings.List(&s.Seeds, "member", "seeds", "", "link addresses of nodes to join through before the log is read"),
		settings.Int(&s.ReadersPerZone, "spread", "readers", distribution.DefaultReaders, 1, 100000, "nodes of each zone", "nodes of each zone that tail the log"),
		settings.Int(&s.Fanout, "spread", "fanout", distribution.DefaultFanout, 0, 64, "nodes", "nodes that each node pushes records to; 0 disables pushes and leaves the distribution to gossip"),
		settings.Duration(&s.ProbePeriod, "member", "probe-period", detect.DefaultProbePeriod, 50*time.Millisecond, time.Minute, "time between two probes"),
		settings.Duration(&s.PingTimeout, "link", "silence", mux.DefaultPingTimeout, 50*time.Millisecond, time.Minute, "time without a received byte after which a connection in use is replaced"),
		settings.Duration(&s.HeartbeatInterval, "link", "heartbeat", mux.DefaultHeartbeatInterval, 10*time.Millisecond, 10*time.Second, "time between heartbeats on a connection in use"),
		settings.Duration(&s.DrainTimeout, "shutdown", "drain-wait", 30*time.Second, 0, time.Hour, "longest time to wait for calls in flight to finish"),
		settings.Duration(&s.ReadyTimeout, "start", "ready-wait", 15*time.Second, 0, time.Hour, "longest wait for a configuration version when neither peers nor the log answer"),
		settings.Duration(&s.BackendLease, "backend", "lease", 3*time.Second, 100*time.Millisecond, time.Minute, "time after which a backend server that does not renew its announcement is removed"),
		settings.Duration(&s.KeyLifetime, "ledger", "window", ledger.DefaultKeyLifetime, time.Minute, 30*day, "how long an Idempotency-Key is accepted; must be well below the retention of the log"),
		settings.Duration(&s.LedgerAppendInterval, "ledger", "interval", ledger.DefaultAppendInterval, time.Millisecond, time.Second, "least time between two appends to one shard of the ledger"),
		settings.OneOf(&s.LogLevel, "logging", "level", "info", []string{"debug", "info", "warn", "error"}, "lowest level of log lines that are written"),
	}
}

// Defaults sets every setting that has a default, and the required ones to "-".
func Defaults(s *Settings) error {
	required := "[node]\nname=-\nregion=-\ndeployment=-\nzone=-\n[log]\nurl=-\n"
	return settings.LoadBytes("defaults", []byte(required), s.Fields())
}

// Load reads settings from an INI file and checks them.
func Load(file string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(file, s.Fields()); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// check checks rules that concern more than one setting.
func (s *Settings) check(file string) error {
	if s.Token != "" || isLoopback(s.OperatorAddr) {
		return nil
	}
	return &settings.Error{File: file, Problems: []settings.Problem{
		{Section: "operator", Key: "token", Text: "is required, because [listen] operator is not a loopback address"},
	}}
}

// isLoopback reports whether an address has a loopback IP address or the name localhost.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
