package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/client/logclient"
	"github.com/cicadaseam/cicadaseam/internal/daemon/demo"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logd"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

type demoCommand struct {
	Deployment  string        `arg:"--deployment" default:"peachtree" help:"peachtree or instituto"`
	Seconds     int           `arg:"--seconds" default:"12" help:"duration of the calls in seconds, 4 to 3600"`
	Rate        int           `arg:"--rate" default:"400" help:"calls a second, 1 to 20000"`
	ServiceTime time.Duration `arg:"--service-time" default:"2ms" help:"time that a backend server takes for a request"`
	Log         string        `arg:"--log" help:"write log lines of this level to standard error"`
}

func (c *demoCommand) run(ctx context.Context, s streams) error {
	if _, known := demo.Deployments[c.Deployment]; !known {
		return &usageError{reason: fmt.Sprintf("unknown deployment %q: peachtree or instituto", c.Deployment)}
	}
	if c.Seconds < 4 || c.Seconds > 3600 || c.Rate < 1 || c.Rate > 20000 {
		return &usageError{reason: "--seconds must be 4 to 3600 and --rate 1 to 20000"}
	}
	logger := zap.NewNop()
	if c.Log != "" {
		log, err := logging.Open(s.err, c.Log)
		if err != nil {
			return &usageError{reason: err.Error()}
		}
		defer log.Close()
		logger = log.Logger
	}
	return demo.Run(ctx, s.out, demo.Config{
		Deployment: c.Deployment, Seconds: c.Seconds, Rate: c.Rate, ServiceTime: c.ServiceTime, Logger: logger,
	})
}

type nodeCommand struct {
	Settings string `arg:"positional,required" help:"INI file with the node's settings"`
}

// Limits of the garbage collector of a node. A node has a small heap: a GC percentage of four
// times the default lets the collector run a quarter as often. The memory limit makes it run
// more often again on a node with a large heap. The control plane may use 64 MB in all, of which
// the program itself, which the Go runtime does not count, takes up to 16 MB.
const (
	nodeGCPercent   = 400      // GOGC, in percent
	nodeMemoryLimit = 48 << 20 // GOMEMLIMIT, in bytes
)

func (c *nodeCommand) run(ctx context.Context, s streams) error {
	debug.SetGCPercent(nodeGCPercent)
	debug.SetMemoryLimit(nodeMemoryLimit)
	settings, err := node.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.Open(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close()
	n, err := node.New(*settings, logclient.New(settings.LogURL), node.WithLogger(log.Logger))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

type logdCommand struct {
	Listen      string        `arg:"--listen" default:"127.0.0.1:9000" help:"address to listen on"`
	Retention   time.Duration `arg:"--retention" default:"24h" help:"how long records are kept, 0 for no limit"`
	AppendRate  float64       `arg:"--append-rate" default:"500" help:"maximum appends per second, 0 for no limit"`
	Delay       time.Duration `arg:"--delay" help:"delay added to each request"`
	LoseAnswers float64       `arg:"--lose-answers" help:"fraction of appends that take effect but whose answer is lost, 0 to 1"`
	OutageAfter time.Duration `arg:"--outage-after" help:"simulate an outage after this time"`
	OutageFor   time.Duration `arg:"--outage-for" default:"10s" help:"duration of that outage"`
}

func (c *logdCommand) run(ctx context.Context, s streams) error {
	if c.LoseAnswers < 0 || c.LoseAnswers > 1 {
		return &usageError{reason: "--lose-answers must be from 0 to 1"}
	}
	store := logstore.New(logstore.WithRetention(c.Retention), logstore.WithAppendRate(c.AppendRate))
	faults := logstore.Faults{Delay: c.Delay, LoseAnswers: c.LoseAnswers}
	store.SetFaults(faults)
	if c.OutageAfter > 0 {
		go runOutage(ctx, store, faults, c.OutageAfter, c.OutageFor)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "logd")
	}
	fmt.Fprintf(s.out, "logd listens on %s\n", l.Addr())
	return serveUntilDone(ctx, l, logd.New(store))
}

// runOutage makes the log unavailable for a time, once.
func runOutage(ctx context.Context, store *logstore.Store, faults logstore.Faults, after, duration time.Duration) {
	if !wait.Sleep(ctx, after) {
		return
	}
	outage := faults
	outage.Outage = true
	store.SetFaults(outage)
	wait.Sleep(ctx, duration)
	store.SetFaults(faults)
}

type backendCommand struct {
	Service     string        `arg:"--service,required" help:"name of the service"`
	Node        string        `arg:"--node,required" help:"URL of the address where its node takes announcements of backend servers"`
	Listen      string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Name        string        `arg:"--name" help:"name of this server"`
	Slots       int           `arg:"--slots" default:"20" help:"maximum concurrent requests"`
	Connections int           `arg:"--connections" default:"120" help:"maximum concurrent connections"`
	ServiceTime time.Duration `arg:"--service-time" default:"2ms" help:"time that a request takes"`
	Fail        float64       `arg:"--fail" help:"fraction of requests that fail, 0 to 1"`
	Slow        float64       `arg:"--slow" help:"factor applied to the service time"`
	Crash       bool          `arg:"--crash" help:"crash on a request with /crash in its path"`
}

// drainTimeout bounds the wait for requests in flight when the backend server drains.
const drainTimeout = 2 * time.Second

func (c *backendCommand) run(ctx context.Context, s streams) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "backend")
	}
	name := c.Name
	if name == "" {
		name = c.Service + "@" + l.Addr().String()
	}
	b := backend.New(c.Service, backend.WithName(name), backend.WithSlots(c.Slots),
		backend.WithConnections(c.Connections), backend.WithServiceTime(c.ServiceTime))
	b.SetFaults(backend.Faults{ServiceTimeFactor: c.Slow, FailureRate: c.Fail, CrashOnPath: c.Crash})
	b.Start(l, c.Node)
	fmt.Fprintf(s.out, "backend %s listens on %s\n", name, l.Addr())
	for ctx.Err() == nil && !b.Crashed() {
		wait.Sleep(ctx, 50*time.Millisecond)
	}
	if b.Crashed() {
		return errors.New("a request crashed the backend server")
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := b.Drain(drainCtx); err == nil {
		b.WaitIdle(drainCtx)
	}
	b.Stop()
	return nil
}

// serveUntilDone serves HTTP until the context ends.
func serveUntilDone(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	go func() {
		<-ctx.Done()
		_ = server.Close() // makes Serve return
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
