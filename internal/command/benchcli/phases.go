package benchcli

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/bench/procs"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// phases are the phases after bring-up, by name.
var phases = map[string]func(*experiment, context.Context) error{
	"idle":    (*experiment).idle,
	"changes": (*experiment).changes,
	"churn":   (*experiment).churn,
	"calls":   (*experiment).calls,
	"faults":  (*experiment).faults,
	"herd":    (*experiment).herd,
}

const (
	// readyTimeout bounds the wait until all nodes are ready.
	readyTimeout = 2 * time.Minute
	// convergenceTimeout bounds the wait until all nodes have applied a change.
	convergenceTimeout = 20 * time.Second
	// pollInterval is the interval between checks while waiting for an event.
	pollInterval = 20 * time.Millisecond
)

// bringUp publishes the initial configuration, waits until all nodes are ready and know each
// other, and records the time that this takes.
func (e *experiment) bringUp(ctx context.Context) error {
	e.phase = "bring-up"
	start := time.Now()
	if err := e.publish(ctx, e.plan.InitialChange()); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.record("time until all nodes are ready", time.Since(start).Seconds(), "s")
}

// waitReady waits until all nodes are ready and have discovered each other.
func (e *experiment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return e.fleet.WaitReady(ctx)
}

// publish publishes a change through the first node and retries until the node answers.
func (e *experiment) publish(ctx context.Context, c cicadaseam.Change) error {
	for {
		d, err := e.fleet.Nodes[0].Client.Publish(ctx, c)
		if err == nil && d.Verdict == cicadaseam.VerdictAccepted {
			return nil
		}
		if err == nil {
			return errors.Newf("change %s: %s %v", c.ID, d.Verdict, d.Faults)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "publish %s", c.ID)
		case <-time.After(pollInterval):
		}
	}
}

// measure runs a function and returns the resource usage of the fleet before and after it.
func (e *experiment) measure(ctx context.Context, f func() error) (before, after procs.Usage, err error) {
	if before, err = e.fleet.Usage(ctx); err != nil {
		return
	}
	if err = f(); err != nil {
		return
	}
	after, err = e.fleet.Usage(ctx)
	return
}

// recordUsage records the usage between two readings, as rates, and the memory at the second.
func (e *experiment) recordUsage(before, after procs.Usage) error {
	seconds := after.At.Sub(before.At).Seconds()
	control := rates(before.ControlBytes, after.ControlBytes, seconds)
	cpu := rates(before.CPUSeconds, after.CPUSeconds, seconds)
	return e.recordAll(
		measurement{"control bytes, mean", mean(control), "B/s a node"},
		measurement{"control bytes, busiest", maxOf(control), "B/s a node"},
		measurement{"processor, mean", 100 * mean(cpu), "% of a core a node"},
		measurement{"processor, busiest", 100 * maxOf(cpu), "% of a core a node"},
		measurement{"memory, mean", mean(after.RSSBytes) / (1 << 20), "MB a node"},
		measurement{"memory, largest", maxOf(after.RSSBytes) / (1 << 20), "MB a node"},
		measurement{"log reads", float64(after.LogReads-before.LogReads) / seconds, "1/s"},
		measurement{"log appends", float64(after.Appends-before.Appends) / seconds, "1/s"},
	)
}

// idle measures the usage of a fleet without calls and changes.
func (e *experiment) idle(ctx context.Context) error {
	if !wait.Sleep(ctx, e.Settle) {
		return ctx.Err()
	}
	before, after, err := e.measure(ctx, func() error {
		wait.Sleep(ctx, time.Duration(e.Seconds)*time.Second)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	if err := e.recordUsage(before, after); err != nil {
		return err
	}
	return e.recordCPUByRole(before, after)
}

// minReaderLogReads is the number of log reads per second from which a node counts as a reader.
// A reader polls once a second.
const minReaderLogReads = 0.5

// recordCPUByRole records the processor time of the readers of the log and of the other nodes.
func (e *experiment) recordCPUByRole(before, after procs.Usage) error {
	seconds := after.At.Sub(before.At).Seconds()
	var readers, others []float64
	cpu := rates(before.CPUSeconds, after.CPUSeconds, seconds)
	for i, reads := range rates(before.NodeLogReads, after.NodeLogReads, seconds) {
		if reads >= minReaderLogReads {
			readers = append(readers, 100*cpu[i])
			continue
		}
		others = append(others, 100*cpu[i])
	}
	return e.recordAll(
		measurement{"readers", float64(len(readers)), "nodes"},
		measurement{"processor, readers, mean", mean(readers), "% of a core a node"},
		measurement{"processor, other nodes, mean", mean(others), "% of a core a node"},
	)
}

// changes publishes changes one after another and measures how long they take to reach all nodes.
func (e *experiment) changes(ctx context.Context) error {
	var all, lastNode []float64 // seconds
	before, after, err := e.measure(ctx, func() error {
		for range e.Changes {
			times, err := e.measureChange(ctx)
			if err != nil {
				return err
			}
			all = append(all, times...)
			lastNode = append(lastNode, maxOf(times))
			wait.Sleep(ctx, 100*time.Millisecond)
		}
		return nil
	})
	if err != nil {
		return err
	}
	seconds := after.At.Sub(before.At).Seconds()
	control := mean(rates(before.ControlBytes, after.ControlBytes, 1))
	return e.recordAll(
		measurement{"convergence p50", 1000 * quantile(all, 0.5), "ms"},
		measurement{"convergence p99", 1000 * quantile(all, 0.99), "ms"},
		measurement{"convergence, last node, mean", 1000 * mean(lastNode), "ms"},
		measurement{"convergence, last node, worst", 1000 * maxOf(lastNode), "ms"},
		measurement{"control bytes in all for a change", control / float64(e.Changes), "B a node"},
		measurement{"log reads", float64(after.LogReads-before.LogReads) / seconds, "1/s"},
	)
}

// measureChange publishes a change and returns, for each node, the seconds from before the change
// was sent until the node applied it.
func (e *experiment) measureChange(ctx context.Context) ([]float64, error) {
	node := e.fleet.Nodes[e.published%len(e.fleet.Nodes)]
	t, err := node.Client.Tree(ctx)
	if err != nil {
		return nil, err
	}
	c := e.plan.DeadlineChange(e.published, t.Version)
	e.published++
	start := time.Now()
	d, err := node.Client.Publish(ctx, c)
	if err != nil {
		return nil, err
	}
	if d.Verdict != cicadaseam.VerdictAccepted {
		return nil, errors.Newf("change %s: %s %v", c.ID, d.Verdict, d.Faults)
	}
	var times []float64
	deadline := time.Now().Add(convergenceTimeout)
	for _, n := range e.fleet.Nodes {
		for {
			if at, ok := n.DecidedAt(d.Version); ok {
				times = append(times, at.Sub(start).Seconds())
				break
			}
			if time.Now().After(deadline) {
				return nil, errors.Newf("%s did not apply version %d within %s", n.Host.Name, d.Version, convergenceTimeout)
			}
			wait.Sleep(ctx, pollInterval)
		}
	}
	return times, nil
}

// churn measures the usage while every half second a random backend server drains and is
// announced again.
func (e *experiment) churn(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(e.Seed, 2))
	end := time.Now().Add(time.Duration(e.Seconds) * time.Second)
	before, after, err := e.measure(ctx, func() error {
		for time.Now().Before(end) && ctx.Err() == nil {
			n := e.fleet.Nodes[rng.IntN(len(e.fleet.Nodes))]
			if err := n.Backend.Drain(ctx); err != nil {
				return err
			}
			wait.Sleep(ctx, 250*time.Millisecond)
			if err := n.Backend.Reannounce(ctx); err != nil {
				return err
			}
			wait.Sleep(ctx, 250*time.Millisecond)
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	return e.recordUsage(before, after)
}

// faults kills a node, pauses another and then makes the log unavailable, and measures how the
// fleet reacts to each.
func (e *experiment) faults(ctx context.Context) error {
	if err := e.measureKill(ctx); err != nil {
		return err
	}
	if err := e.measurePause(ctx); err != nil {
		return err
	}
	return e.measureOutage(ctx)
}

// measureKill kills a node, measures how long the others take to detect its death, and starts it
// again.
func (e *experiment) measureKill(ctx context.Context) error {
	victim := e.fleet.Nodes[len(e.fleet.Nodes)-1]
	start := time.Now()
	victim.Kill()
	const timeout = 40 * time.Second
	var times []float64
	for _, n := range e.fleet.Nodes[:len(e.fleet.Nodes)-1] {
		for {
			if at, ok := n.FirstSawState(victim.Host.Name, "dead"); ok {
				times = append(times, at.Sub(start).Seconds())
				break
			}
			if time.Since(start) > timeout || !wait.Sleep(ctx, pollInterval) {
				return errors.Newf("%s did not detect the death of %s within %s", n.Host.Name, victim.Host.Name, timeout)
			}
		}
	}
	if err := victim.Start(); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.recordAll(
		measurement{"death known, p50", quantile(times, 0.5), "s"},
		measurement{"death known, last node", maxOf(times), "s"},
	)
}

// measurePause suspends a process for 4 s and measures how long the fleet then takes until all
// nodes are ready and see each other alive again.
func (e *experiment) measurePause(ctx context.Context) error {
	const pause = 4 * time.Second
	n := e.fleet.Nodes[len(e.fleet.Nodes)-2]
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait.Sleep(ctx, pause)
	if err := n.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	start := time.Now()
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.record("all whole again after a pause of 4 s", time.Since(start).Seconds(), "s")
}

// measureOutage makes the log unavailable, counts the requests that the fleet sends to it
// meanwhile, and measures a change right afterwards.
func (e *experiment) measureOutage(ctx context.Context) error {
	const outage = 8 * time.Second
	before := e.fleet.Log.Stats()
	e.fleet.Log.SetFaults(logstore.Faults{Outage: true})
	wait.Sleep(ctx, outage)
	e.fleet.Log.SetFaults(logstore.Faults{})
	after := e.fleet.Log.Stats()
	times, err := e.measureChange(ctx)
	if err != nil {
		return err
	}
	return e.recordAll(
		measurement{"requests at the log during an outage", float64(after.Rejected-before.Rejected) / outage.Seconds(), "1/s"},
		measurement{"convergence right after an outage, last node", 1000 * maxOf(times), "ms"},
	)
}

// herd kills all nodes, starts them all at once, and measures the recovery and the load on the
// log.
func (e *experiment) herd(ctx context.Context) error {
	for _, n := range e.fleet.Nodes {
		n.Kill()
	}
	before := e.fleet.Log.Stats()
	start := time.Now()
	if err := e.fleet.StartAll(ctx); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	after := e.fleet.Log.Stats()
	nodes := float64(len(e.fleet.Nodes))
	return e.recordAll(
		measurement{"all back", time.Since(start).Seconds(), "s"},
		measurement{"appends", float64(after.Appends-before.Appends) / nodes, "a node"},
		measurement{"reads", float64(after.Reads+after.Bounds-before.Reads-before.Bounds) / nodes, "a node"},
		measurement{"bytes read at the log", float64(after.ReadBytes-before.ReadBytes) / nodes, "B a node"},
	)
}

// rates returns, for each node, the increase between two readings divided by seconds.
func rates(before, after []float64, seconds float64) []float64 {
	out := make([]float64, min(len(before), len(after)))
	for i := range out {
		out[i] = (after[i] - before[i]) / seconds
	}
	return out
}

// mean returns the arithmetic mean, or 0 without values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// median returns the middle value, or the mean of the two middle values, or 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// maxOf returns the largest of values that are at least 0, or 0 without values.
func maxOf(values []float64) float64 {
	result := 0.0
	for _, v := range values {
		result = max(result, v)
	}
	return result
}

// quantile returns the value at quantile q, from 0 to 1, or 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
