// Package demo runs one of the example deployments in one process, over TCP on loopback, and checks
// the guarantees of the system.
//
// # Usage
//
//	cfg := demo.Config{Deployment: "peachtree", Seconds: 12, Rate: 400}
//	err := demo.Run(ctx, os.Stdout, cfg)
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

// Config describes the run of a demo.
type Config struct {
	Deployment  string        // key of Deployments
	Seconds     int           // duration of the calls
	Rate        int           // calls per second, at least 1
	ServiceTime time.Duration // of each request at a backend server
	Logger      *zap.Logger
}

// GuaranteeError reports guarantees of the system that a demo found violated.
type GuaranteeError struct {
	Violations []string
}

// Error implements error.
func (e *GuaranteeError) Error() string {
	const maxShown = 10
	shown := e.Violations[:min(len(e.Violations), maxShown)]
	return fmt.Sprintf("%d guarantees violated: %s", len(e.Violations), strings.Join(shown, "; "))
}

const (
	// convergenceTimeout bounds the time until all nodes have applied a change.
	convergenceTimeout = 3 * time.Second
	// outageDuration is the duration of the outage of the log.
	outageDuration = time.Second
	// drainGrace is the time after the start of a drain from which a backend server must receive
	// no new calls.
	drainGrace = 2 * time.Second
)

// demoRun is one run of a demo.
type demoRun struct {
	cfg       Config
	d         Deployment
	out       io.Writer
	log       *logstore.Store
	fleet     *fleet
	results   *results
	callers   *callers
	startedAt time.Time
	changes   []time.Duration // convergence times of the changes
}

// Run runs a demo and returns a *GuaranteeError if a guarantee was violated.
func Run(ctx context.Context, out io.Writer, cfg Config) error {
	d, known := Deployments[cfg.Deployment]
	if !known {
		return errors.Newf("unknown deployment %q: peachtree or instituto", cfg.Deployment)
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	r := &demoRun{cfg: cfg, d: d, out: out, log: logstore.New(), results: newResults(), startedAt: time.Now()}
	if err := r.setUp(ctx); err != nil {
		return err
	}
	bytesBefore := r.fleet.controlBytes()
	measureStart := time.Now()
	r.runScenario(ctx)
	controlRate := float64(r.fleet.controlBytes()-bytesBefore) / time.Since(measureStart).Seconds() / float64(len(r.fleet.members))
	r.progress("stopping all nodes")
	if err := r.fleet.stop(); err != nil {
		r.results.addViolation("a node did not drain: %v", err)
	}
	r.callers.verifyOutcomes()
	r.report(controlRate)
	if len(r.results.violations) > 0 {
		return &GuaranteeError{Violations: r.results.violations}
	}
	fmt.Fprintln(out, "demo: ok")
	return nil
}

// progress prints a line with the time since the start.
func (r *demoRun) progress(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2fs  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// setUp starts the nodes, publishes the initial configuration and waits until all nodes are ready.
func (r *demoRun) setUp(ctx context.Context) error {
	fleet, err := startFleet(r.d, r.log, r.cfg.Logger, r.cfg.ServiceTime)
	if err != nil {
		return err
	}
	r.fleet = fleet
	r.progress("started the log and %d nodes beside their backend servers in %d zones", len(fleet.members), len(r.d.Zones))
	if err := r.publishInitialConfig(ctx); err != nil {
		_ = fleet.stop() // the first error is the cause
		return err
	}
	if err := fleet.waitReady(ctx); err != nil {
		_ = fleet.stop() // the first error is the cause
		return err
	}
	r.progress("all nodes ready and known to each other")
	r.callers = newCallers(r.d, fleet, r.results, r.cfg.Rate)
	return nil
}

// publishInitialConfig publishes the change file of the deployment.
func (r *demoRun) publishInitialConfig(ctx context.Context) error {
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
		return errors.Newf("the initial configuration is %s: %v", d.Verdict, d.Faults)
	}
	r.progress("published %s: %s as version %d", r.d.ChangeFile, d.Verdict, d.Version)
	return nil
}

// runScenario makes calls while an operator publishes changes, a backend server drains and the log
// has an outage.
func (r *demoRun) runScenario(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.cfg.Seconds)*time.Second)
	defer cancel()
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		r.callers.run(ctx)
	}()
	r.progress("callers make %d calls a second", r.cfg.Rate)
	stepInterval := time.Duration(r.cfg.Seconds) * time.Second / 8
	for i := 0; wait.Sleep(ctx, stepInterval); i++ {
		switch i {
		case 2:
			r.drainBackend(ctx)
		case 4:
			r.outage(ctx)
		default:
			r.publishChange(ctx, i)
		}
	}
	<-callersDone
}

// publishChange changes a deadline and measures the time from before the change is sent until every
// node has applied it.
func (r *demoRun) publishChange(ctx context.Context, i int) {
	m := r.fleet.members[i%len(r.fleet.members)]
	_, version := m.node.Store().Tree()
	c := cicadaseam.Change{ID: uuid.NewString(), Base: version, Author: "demo"}
	c.Edits = []cicadaseam.Edit{{Path: r.d.TunedScope, Key: "deadline", Value: fmt.Sprintf("%dms", 900+i)}}
	start := time.Now()
	d, err := m.node.Publisher().Publish(ctx, c)
	if err != nil || d.Verdict != cicadaseam.VerdictAccepted {
		r.progress("change %d: %s %v", i, d.Verdict, err)
		return
	}
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), convergenceTimeout)
	defer cancel()
	if err := r.fleet.waitForVersion(waitCtx, d.Version); err != nil {
		r.results.addViolation("a change is not applied by all nodes within %s: %v", convergenceTimeout, err)
		return
	}
	elapsed := time.Since(start)
	r.changes = append(r.changes, elapsed)
	r.progress("version %d in force on all nodes after %s", d.Version, elapsed.Round(100*time.Microsecond))
}

// drainBackend drains a backend server and checks that it gets no new calls after drainGrace.
func (r *demoRun) drainBackend(ctx context.Context) {
	m := r.fleet.members[0]
	if err := m.backend.Drain(ctx); err != nil {
		r.results.addViolation("drain: %v", err)
		return
	}
	r.progress("%s drains", m.backend)
	go func() {
		time.Sleep(drainGrace)
		before := m.node.Metrics().Value("target.ran")
		time.Sleep(drainGrace / 4)
		if after := m.node.Metrics().Value("target.ran"); after > before {
			r.results.addViolation("a draining backend server received %d new calls after %s", after-before, drainGrace)
		}
	}()
}

// outage makes the log unavailable for outageDuration.
func (r *demoRun) outage(ctx context.Context) {
	r.progress("the log goes down for %s", outageDuration)
	r.log.SetFaults(logstore.Faults{Outage: true})
	wait.Sleep(ctx, outageDuration)
	r.log.SetFaults(logstore.Faults{})
	r.progress("the log is back")
}

// report prints the outcomes, latencies, convergence times and violations.
func (r *demoRun) report(controlRate float64) {
	fmt.Fprintln(r.out)
	tw := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tOUTCOME\tCALLS")
	for _, class := range slices.Sorted(maps.Keys(r.results.outcomes)) {
		for _, outcome := range slices.Sorted(maps.Keys(r.results.outcomes[class])) {
			fmt.Fprintf(tw, "%s\t%s\t%d\n", class, outcome, r.results.outcomes[class][outcome])
		}
	}
	_ = tw.Flush() // the output is the terminal; a write error is ignored
	throughNode, direct := r.results.throughNode, r.results.direct
	fmt.Fprintln(r.out)
	r.printLatency("through a node", throughNode)
	r.printLatency("direct", direct)
	r.printLatency("at most once", r.results.atMostOnce)
	fmt.Fprintf(r.out, "added latency           p50 %s  p99 %s\n", formatNanos(throughNode.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), formatNanos(throughNode.ValueAtQuantile(99)-direct.ValueAtQuantile(99)))
	for i, elapsed := range r.changes {
		fmt.Fprintf(r.out, "convergence of change %d  %s\n", i+1, elapsed.Round(100*time.Microsecond))
	}
	fmt.Fprintf(r.out, "control bytes           %.0f B/s a node, both ways\n", controlRate)
	s := r.log.Stats()
	fmt.Fprintf(r.out, "requests to the log     %d appends, %d reads\n\n", s.Appends, s.Reads)
	for _, violation := range r.results.violations {
		fmt.Fprintf(r.out, "BROKEN: %s\n", violation)
	}
}

// printLatency prints the percentiles of a histogram under a label.
func (r *demoRun) printLatency(label string, h *hdr.Histogram) {
	fmt.Fprintf(r.out, "latency %-15s p50 %s  p99 %s  (%d calls)\n", label, formatNanos(h.ValueAtQuantile(50)), formatNanos(h.ValueAtQuantile(99)), h.TotalCount())
}

// formatNanos formats a duration in nanoseconds, rounded to microseconds.
func formatNanos(ns int64) string {
	return time.Duration(ns).Round(time.Microsecond).String()
}
