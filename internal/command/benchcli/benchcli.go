// Package benchcli is the command line of cicadabench.
//
// # Model
//
// An experiment starts a fleet and goes through phases: bring-up, idle,
// changes, calls, faults, and the return of the whole fleet at once. Each
// phase has a bounded time and adds figures to the report. Spread "tree" is
// the product; "poll" and "gossip" are baselines: every node polls the log, and
// gossip without push.
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

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/bench/plan"
	"github.com/cicadaseam/cicadaseam/internal/bench/procs"
	"github.com/cicadaseam/cicadaseam/internal/bench/report"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
)

type options struct {
	Nodes       int           `arg:"--nodes" default:"16" help:"number of nodes, 3 to 400"`
	Binary      string        `arg:"--binary" default:"bin/cicadaseam" help:"the built cicadaseam program"`
	Out         string        `arg:"--out" default:"out" help:"folder for results; lines of earlier runs in it are kept"`
	Spread      string        `arg:"--spread" default:"tree" help:"tree, or a baseline: poll or gossip"`
	Phases      string        `arg:"--phases" default:"idle,changes,calls,faults,herd" help:"comma-separated phases after bring-up: idle, changes, churn, calls, faults, herd"`
	Seconds     int           `arg:"--seconds" default:"10" help:"length of the idle, churn and calls phases"`
	Settle      time.Duration `arg:"--settle" default:"3s" help:"wait before the idle phase; the news of a bring-up takes a minute to die down in a large fleet"`
	Changes     int           `arg:"--changes" default:"20" help:"number of changes"`
	Rate        int           `arg:"--rate" default:"320" help:"calls a second in all"`
	ServiceTime time.Duration `arg:"--service-time" default:"2ms" help:"how long a backend server takes"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	Summary     bool          `arg:"--summary" help:"measure nothing, only write the tables and plots of the lines in the folder"`
	Timeout     time.Duration `arg:"--timeout" default:"10m" help:"longest time of the whole experiment"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "cicadabench runs nodes as processes on loopback and measures them."
}

// Epilogue implements arg.Epilogued.
func (options) Epilogue() string {
	return "example: go build -o bin/cicadaseam ./cmd/cicadaseam && go run ./cmd/cicadabench --nodes 64 --out out"
}

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	parser, err := arg.NewParser(arg.Config{Program: "cicadabench", Out: errOut}, &o)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	switch err := parser.Parse(args); {
	case err == arg.ErrHelp:
		parser.WriteHelp(out)
		return exitDone
	case err != nil:
		fmt.Fprintf(errOut, "cicadabench: %v\n", err)
		return exitUsage
	}
	if problem := o.problem(); problem != "" {
		fmt.Fprintf(errOut, "cicadabench: %s\n", problem)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	if err := run(ctx, o, out); err != nil {
		fmt.Fprintf(errOut, "cicadabench: %v\n", err)
		return exitFailed
	}
	return exitDone
}

func (o options) problem() string {
	switch {
	case o.Nodes < 3 || o.Nodes > 400:
		return "--nodes is 3 to 400"
	case o.Spread != "tree" && o.Spread != "poll" && o.Spread != "gossip":
		return "--spread is tree, poll or gossip"
	case o.Seconds < 1 || o.Changes < 1 || o.Rate < 1:
		return "--seconds, --changes and --rate are at least 1"
	}
	for _, p := range strings.Split(o.Phases, ",") {
		if phases[p] == nil {
			return fmt.Sprintf("unknown phase %q", p)
		}
	}
	return ""
}

// readersOfAll makes every node of a zone a reader.
const readersOfAll = 100000

// spreadOf returns the readers a zone and the fan-out of a kind of spread.
func spreadOf(kind string) (readers, fanout int) {
	switch kind {
	case "poll":
		return readersOfAll, 0
	case "gossip":
		return distribution.DefaultReaders, 0
	}
	return distribution.DefaultReaders, distribution.DefaultFanout
}

// experiment is a fleet under measurement.
type experiment struct {
	options
	fleet  *procs.Fleet
	plan   plan.Plan
	report *report.Writer
	out    io.Writer
	phase  string
	began  time.Time
	tuned  int
}

func run(ctx context.Context, o options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "cicadabench")
	if err != nil {
		return errors.Wrap(err, "make a folder for settings")
	}
	defer os.RemoveAll(dir)
	w, err := report.New(o.Out)
	if err != nil {
		return err
	}
	if o.Summary {
		return w.Close()
	}
	e := &experiment{options: o, plan: plan.New(o.Nodes), report: w, out: out, began: time.Now()}
	readers, fanout := spreadOf(o.Spread)
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

// add writes a figure to the report and shows it.
func (e *experiment) add(name string, value float64, unit string) error {
	fmt.Fprintf(e.out, "%7.1fs  N=%d %s  %s: %s = %.4g %s\n", time.Since(e.began).Seconds(), e.Nodes, e.Spread, e.phase, name, value, unit)
	return e.report.Add(report.Measurement{Nodes: e.Nodes, Spread: e.Spread, Phase: e.phase, Name: name, Value: value, Unit: unit})
}

// figure is a value to add.
type figure struct {
	name  string
	value float64
	unit  string
}

func (e *experiment) addAll(figures ...figure) error {
	for _, f := range figures {
		if err := e.add(f.name, f.value, f.unit); err != nil {
			return err
		}
	}
	return nil
}
