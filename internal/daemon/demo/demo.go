// Package demo runs one of the example deployments in one process, over real
// loopback TCP, and checks its promises.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, demo.Config{Deployment: "peachtree", Seconds: 12})
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/examples"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/config/changefile"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// Config is what to run.
type Config struct {
	Deployment  string
	Seconds     int
	Rate        int // calls a second
	ServiceTime time.Duration
	Logger      *zap.Logger
}

// PromiseError reports promises that broke.
type GuaranteeError struct {
	Violations []string
}

// Error implements error.
func (e *GuaranteeError) Error() string {
	const shown = 10
	list := e.Violations[:min(len(e.Violations), shown)]
	return fmt.Sprintf("%d promises broken: %s", len(e.Violations), strings.Join(list, "; "))
}

const (
	convergenceLimit = 3 * time.Second
	outageTime       = time.Second
	drainCheck       = 2 * time.Second
)

// run is one demo under way.
type run struct {
	cfg     Config
	d       Deployment
	out     io.Writer
	log     *logstore.Store
	fleet   *fleet
	tally   *tally
	callers *callers
	began   time.Time
	changes []time.Duration
}

// Run runs a demo and returns a *PromiseError when a promise broke.
func Run(ctx context.Context, out io.Writer, cfg Config) error {
	d, known := Deployments[cfg.Deployment]
	if !known {
		return errors.Newf("unknown deployment %q: peachtree or instituto", cfg.Deployment)
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	r := &run{cfg: cfg, d: d, out: out, log: logstore.New(), tally: newTally(), began: time.Now()}
	if err := r.start(ctx); err != nil {
		return err
	}
	before := r.fleet.controlBytes()
	measured := time.Now()
	r.work(ctx)
	control := float64(r.fleet.controlBytes()-before) / time.Since(measured).Seconds() / float64(len(r.fleet.members))
	r.say("stopping all nodes under their last calls")
	if err := r.fleet.stop(); err != nil {
		r.tally.broke("a node did not drain: %v", err)
	}
	r.callers.verify()
	r.report(control)
	if len(r.tally.broken) > 0 {
		return &GuaranteeError{Violations: r.tally.broken}
	}
	fmt.Fprintln(out, "demo: ok")
	return nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) start(ctx context.Context) error {
	fleet, err := startFleet(r.d, r.log, r.cfg.Logger, r.cfg.ServiceTime)
	if err != nil {
		return err
	}
	r.fleet = fleet
	r.say("started the log and %d nodes beside their backend servers in %d zones", len(fleet.members), len(r.d.Zones))
	if err := r.publishTree(ctx); err != nil {
		_ = fleet.stop() // the first error says more
		return err
	}
	if err := fleet.waitReady(ctx); err != nil {
		_ = fleet.stop() // the first error says more
		return err
	}
	r.say("all nodes ready and known to each other")
	r.callers = newCallers(r.d, fleet, r.tally, r.cfg.Rate)
	return nil
}

func (r *run) publishTree(ctx context.Context) error {
	data, err := examples.Files.ReadFile(r.d.ChangeFile)
	if err != nil {
		return err
	}
	f, err := changefile.Parse(r.d.ChangeFile, data)
	if err != nil {
		return err
	}
	f.Change.ID = uuid.NewString()
	d, err := r.fleet.members[0].node.Publisher().Publish(ctx, f.Change)
	if err != nil {
		return err
	}
	if d.Verdict != cicadaseam.VerdictAccepted {
		return errors.Newf("the tree of the deployment is %s: %v", d.Verdict, d.Faults)
	}
	r.say("published %s: %s as version %d", r.d.ChangeFile, d.Verdict, d.Version)
	return nil
}

// work lets callers call while an operator publishes, the log has an outage and
// a backend server drains.
func (r *run) work(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.cfg.Seconds)*time.Second)
	defer cancel()
	calls := make(chan struct{})
	go func() {
		defer close(calls)
		r.callers.run(ctx)
	}()
	r.say("callers make %d calls a second", r.cfg.Rate)
	step := time.Duration(r.cfg.Seconds) * time.Second / 8
	for i := 0; wait.Sleep(ctx, step); i++ {
		switch i {
		case 2:
			r.drainBackend(ctx)
		case 4:
			r.outage(ctx)
		default:
			r.publishChange(ctx, i)
		}
	}
	<-calls
}

// publishChange changes a deadline and measures the time until every node acts
// on it, counted from before the change was sent.
func (r *run) publishChange(ctx context.Context, i int) {
	m := r.fleet.members[i%len(r.fleet.members)]
	_, version := m.node.Store().Tree()
	c := cicadaseam.Change{ID: uuid.NewString(), Base: version, Author: "demo"}
	c.Edits = []cicadaseam.Edit{{Path: r.d.TunedScope, Key: "deadline", Value: fmt.Sprintf("%dms", 900+i)}}
	began := time.Now()
	d, err := m.node.Publisher().Publish(ctx, c)
	if err != nil || d.Verdict != cicadaseam.VerdictAccepted {
		r.say("change %d: %s %v", i, d.Verdict, err)
		return
	}
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), convergenceLimit)
	defer cancel()
	if err := r.fleet.waitVersion(waitCtx, d.Version); err != nil {
		r.tally.broke("not in force everywhere within %s: %v", convergenceLimit, err)
		return
	}
	took := time.Since(began)
	r.changes = append(r.changes, took)
	r.say("version %d in force on all nodes after %s", d.Version, took.Round(100*time.Microsecond))
}

// drainBackend lets a backend server leave and checks that it gets no new work
// after a while.
func (r *run) drainBackend(ctx context.Context) {
	m := r.fleet.members[0]
	if err := m.backend.Drain(ctx); err != nil {
		r.tally.broke("drain: %v", err)
		return
	}
	r.say("%s drains", m.backend)
	go func() {
		time.Sleep(drainCheck)
		before := m.node.Metrics().Value("target.ran")
		time.Sleep(drainCheck / 4)
		if after := m.node.Metrics().Value("target.ran"); after > before {
			r.tally.broke("a draining backend server got %d new calls after %s", after-before, drainCheck)
		}
	}()
}

func (r *run) outage(ctx context.Context) {
	r.say("the log goes down for %s", outageTime)
	r.log.SetFaults(logstore.Faults{Outage: true})
	wait.Sleep(ctx, outageTime)
	r.log.SetFaults(logstore.Faults{})
	r.say("the log is back")
}

func (r *run) report(control float64) {
	fmt.Fprintln(r.out)
	tw := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tOUTCOME\tCALLS")
	for _, class := range slices.Sorted(maps.Keys(r.tally.outcomes)) {
		for _, outcome := range slices.Sorted(maps.Keys(r.tally.outcomes[class])) {
			fmt.Fprintf(tw, "%s\t%s\t%d\n", class, outcome, r.tally.outcomes[class][outcome])
		}
	}
	_ = tw.Flush() // the writer is the terminal
	through, direct := r.tally.through, r.tally.direct
	fmt.Fprintln(r.out)
	r.latency("through a node", through)
	r.latency("direct", direct)
	r.latency("at most once", r.tally.once)
	fmt.Fprintf(r.out, "added latency           p50 %s  p99 %s\n", at(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), at(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)))
	for i, took := range r.changes {
		fmt.Fprintf(r.out, "convergence of change %d  %s\n", i+1, took.Round(100*time.Microsecond))
	}
	fmt.Fprintf(r.out, "control bytes           %.0f B/s a node, both ways\n", control)
	s := r.log.Stats()
	fmt.Fprintf(r.out, "the log was asked       %d appends, %d reads\n\n", s.Appends, s.Reads)
	for _, b := range r.tally.broken {
		fmt.Fprintf(r.out, "BROKEN: %s\n", b)
	}
}

func (r *run) latency(what string, h *hdr.Histogram) {
	fmt.Fprintf(r.out, "latency %-15s p50 %s  p99 %s  (%d calls)\n", what, at(h.ValueAtQuantile(50)), at(h.ValueAtQuantile(99)), h.TotalCount())
}

func at(ns int64) string {
	return time.Duration(ns).Round(time.Microsecond).String()
}
