// Package benchcli implements the command line of cicadabench.
//
// # Model
//
// An experiment starts a fleet of node processes and runs phases: bring-up, then those that the
// command line names, by default idle, changes, calls, faults, and herd, the restart of the whole
// fleet at once. Each phase has a bounded time and adds measurements to the report. The flag
// --spread selects how the configuration is distributed: "tree" is what the system does; "poll"
// (every node polls the log) and "gossip" (gossip without push) are baselines.
//
// With --ideal, no fleet is started: package ideal plays the load of a file.
//
// # Usage
//
//	os.Exit(benchcli.Main(os.Args[1:], os.Stdout, os.Stderr))
package benchcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/bench/plan"
	"github.com/cicadaseam/cicadaseam/internal/bench/procs"
	"github.com/cicadaseam/cicadaseam/internal/bench/report"
	"github.com/cicadaseam/cicadaseam/internal/command/args"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
)

// options are the flags of cicadabench.
type options struct {
	Nodes       int           `arg:"--nodes" default:"16" help:"number of nodes, 3 to 400"`
	Binary      string        `arg:"--binary" default:"bin/cicadaseam" help:"the built cicadaseam program"`
	Out         string        `arg:"--out" default:"out" help:"folder for results; measurements of earlier runs in it are kept"`
	Spread      string        `arg:"--spread" default:"tree" help:"distribution of the configuration: tree, or a baseline: poll or gossip"`
	Phases      string        `arg:"--phases" default:"idle,changes,calls,faults,herd" help:"comma-separated phases after bring-up: idle, changes, churn, calls, faults, herd"`
	Seconds     int           `arg:"--seconds" default:"10" help:"length of the idle, churn and calls phases in seconds"`
	Settle      time.Duration `arg:"--settle" default:"3s" help:"wait before the idle phase; gossip about the bring-up of a large fleet takes a minute to end"`
	Changes     int           `arg:"--changes" default:"20" help:"number of changes"`
	Rate        int           `arg:"--rate" default:"320" help:"calls per second through all nodes together"`
	ServiceTime time.Duration `arg:"--service-time" default:"2ms" help:"time that a backend server takes for a request"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the random load and churn"`
	Ideal       string        `arg:"--ideal" help:"measure nothing, only print what could be served of the load in an INI file with perfect knowledge"`
	Summary     bool          `arg:"--summary" help:"measure nothing, only write the tables and plots of the measurements in the folder"`
	Timeout     time.Duration `arg:"--timeout" default:"10m" help:"timeout of the whole experiment"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "cicadabench runs nodes as processes on loopback and measures them."
}

// Epilogue implements arg.Epilogued.
func (options) Epilogue() string {
	return "example: go build -o bin/cicadaseam ./cmd/cicadaseam && go run ./cmd/cicadabench --nodes 64 --out out"
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var o options
	if parser, code := args.Parse("cicadabench", arguments, &o, out, errOut); parser == nil {
		return code
	}
	if problem := o.validate(); problem != "" {
		fmt.Fprintf(errOut, "cicadabench: %s\n", problem)
		return args.Usage
	}
	if o.Ideal != "" {
		return printIdeal(o.Ideal, out, errOut)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	if err := run(ctx, o, out); err != nil {
		fmt.Fprintf(errOut, "cicadabench: %v\n", err)
		return args.Failed
	}
	return args.Done
}

// validate returns what is wrong with the options, or "" when they are valid.
func (o options) validate() string {
	switch {
	case o.Nodes < 3 || o.Nodes > 400:
		return "--nodes must be 3 to 400"
	case o.Spread != "tree" && o.Spread != "poll" && o.Spread != "gossip":
		return "--spread must be tree, poll or gossip"
	case o.Seconds < 1 || o.Changes < 1 || o.Rate < 1:
		return "--seconds, --changes and --rate must be at least 1"
	}
	for _, name := range strings.Split(o.Phases, ",") {
		if phases[name] == nil {
			return fmt.Sprintf("unknown phase %q", name)
		}
	}
	return ""
}

// unlimitedReaders is a number of readers per zone that makes every node a reader: it is higher
// than the number of nodes in any fleet.
const unlimitedReaders = 100000

// distributionParams returns the number of readers per zone and the push fan-out for a value of
// --spread.
func distributionParams(spread string) (readers, fanout int) {
	switch spread {
	case "poll":
		return unlimitedReaders, 0
	case "gossip":
		return distribution.DefaultReaders, 0
	}
	return distribution.DefaultReaders, distribution.DefaultFanout
}

// experiment runs phases on a fleet and records measurements.
type experiment struct {
	options
	fleet     *procs.Fleet
	plan      plan.Plan
	report    *report.Writer
	out       io.Writer
	phase     string // name of the current phase
	startedAt time.Time
	published int // deadline changes published so far
}

// run starts a fleet, runs the phases and writes the report.
func run(ctx context.Context, o options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "cicadabench")
	if err != nil {
		return errors.Wrap(err, "create a folder for settings")
	}
	defer os.RemoveAll(dir)
	w, err := report.New(o.Out)
	if err != nil {
		return err
	}
	if o.Summary {
		return w.Close()
	}
	e := &experiment{options: o, plan: plan.New(o.Nodes), report: w, out: out, startedAt: time.Now()}
	readers, fanout := distributionParams(o.Spread)
	e.fleet, err = procs.Start(ctx, procs.Config{
		Binary: o.Binary, SettingsDir: dir, Plan: e.plan, ReadersPerZone: readers, Fanout: fanout, ServiceTime: o.ServiceTime,
	})
	if err != nil {
		return err
	}
	defer e.fleet.Close()
	if err := e.bringUp(ctx); err != nil {
		return err
	}
	for _, name := range strings.Split(o.Phases, ",") {
		e.phase = name
		if err := phases[name](e, ctx); err != nil {
			return errors.Wrapf(err, "phase %s", name)
		}
	}
	return w.Close()
}

// record writes a measurement to the report and prints it.
func (e *experiment) record(name string, value float64, unit string) error {
	fmt.Fprintf(e.out, "%7.1fs  N=%d %s  %s: %s = %.4g %s\n", time.Since(e.startedAt).Seconds(), e.Nodes, e.Spread, e.phase, name, value, unit)
	return e.report.Add(report.Measurement{Nodes: e.Nodes, Spread: e.Spread, Phase: e.phase, Name: name, Value: value, Unit: unit})
}

// measurement is a named value of the current phase.
type measurement struct {
	name  string
	value float64
	unit  string
}

func (e *experiment) recordAll(values ...measurement) error {
	for _, m := range values {
		if err := e.record(m.name, m.value, m.unit); err != nil {
			return err
		}
	}
	return nil
}
