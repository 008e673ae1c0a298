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

// phases are the phases by name.
var phases = map[string]func(*experiment, context.Context) error{
	"idle":    (*experiment).idle,
	"changes": (*experiment).changes,
	"churn":   (*experiment).churn,
	"calls":   (*experiment).calls,
	"faults":  (*experiment).faults,
	"herd":    (*experiment).herd,
}

const (
	readyLimit    = 2 * time.Minute
	convergeLimit = 20 * time.Second
	look          = 20 * time.Millisecond
)

// bringUp publishes the tree and waits until all nodes know each other.
func (e *experiment) bringUp(ctx context.Context) error {
	e.phase = "bring-up"
	began := time.Now()
	if err := e.publish(ctx, e.plan.InitialChange()); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.add("time until all nodes are ready", time.Since(began).Seconds(), "s")
}

func (e *experiment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return e.fleet.WaitReady(ctx)
}

// publish tries until the node takes requests.
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
		case <-time.After(look):
		}
	}
}

// measure runs something and returns what the fleet used meanwhile.
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

// addUsage adds the rates between two moments.
func (e *experiment) addUsage(before, after procs.Usage) error {
	seconds := after.At.Sub(before.At).Seconds()
	control := rates(before.ControlBytes, after.ControlBytes, seconds)
	cpu := rates(before.CPUSeconds, after.CPUSeconds, seconds)
	return e.addAll(
		figure{"control bytes, mean", mean(control), "B/s a node"},
		figure{"control bytes, busiest", largest(control), "B/s a node"},
		figure{"processor, mean", 100 * mean(cpu), "% of a core a node"},
		figure{"processor, busiest", 100 * largest(cpu), "% of a core a node"},
		figure{"memory, mean", mean(after.RSSBytes) / (1 << 20), "MB a node"},
		figure{"memory, largest", largest(after.RSSBytes) / (1 << 20), "MB a node"},
		figure{"log reads", float64(after.LogReads-before.LogReads) / seconds, "1/s"},
		figure{"log appends", float64(after.Appends-before.Appends) / seconds, "1/s"},
	)
}

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
	if err := e.addUsage(before, after); err != nil {
		return err
	}
	return e.addRoles(before, after)
}

// readerRate is how many reads of the log a second make a node a reader: a
// reader polls once a second.
const readerRate = 0.5

// addRoles tells the readers of the log from the other nodes.
func (e *experiment) addRoles(before, after procs.Usage) error {
	seconds := after.At.Sub(before.At).Seconds()
	var readers, others []float64
	cpu := rates(before.CPUSeconds, after.CPUSeconds, seconds)
	for i, reads := range rates(before.NodeLogReads, after.NodeLogReads, seconds) {
		if reads >= readerRate {
			readers = append(readers, 100*cpu[i])
			continue
		}
		others = append(others, 100*cpu[i])
	}
	return e.addAll(
		figure{"readers", float64(len(readers)), "nodes"},
		figure{"processor, readers, mean", mean(readers), "% of a core a node"},
		figure{"processor, other nodes, mean", mean(others), "% of a core a node"},
	)
}

// changes publishes changes and takes the times at which nodes took them.
func (e *experiment) changes(ctx context.Context) error {
	var all, last []float64
	before, after, err := e.measure(ctx, func() error {
		for range e.Changes {
			times, err := e.oneChange(ctx)
			if err != nil {
				return err
			}
			all = append(all, times...)
			last = append(last, largest(times))
			wait.Sleep(ctx, 100*time.Millisecond)
		}
		return nil
	})
	if err != nil {
		return err
	}
	seconds := after.At.Sub(before.At).Seconds()
	control := mean(rates(before.ControlBytes, after.ControlBytes, 1))
	return e.addAll(
		figure{"convergence p50", 1000 * quantile(all, 0.5), "ms"},
		figure{"convergence p99", 1000 * quantile(all, 0.99), "ms"},
		figure{"convergence, last node, mean", 1000 * mean(last), "ms"},
		figure{"convergence, last node, worst", 1000 * largest(last), "ms"},
		figure{"control bytes in all for a change", control / float64(e.Changes), "B a node"},
		figure{"log reads", float64(after.LogReads-before.LogReads) / seconds, "1/s"},
	)
}

// oneChange returns, for each node, the time from before the change was sent
// until the node acted on it.
func (e *experiment) oneChange(ctx context.Context) ([]float64, error) {
	node := e.fleet.Nodes[e.tuned%len(e.fleet.Nodes)]
	t, err := node.Client.Tree(ctx)
	if err != nil {
		return nil, err
	}
	c := e.plan.DeadlineChange(e.tuned, t.Version)
	e.tuned++
	began := time.Now()
	d, err := node.Client.Publish(ctx, c)
	if err != nil {
		return nil, err
	}
	if d.Verdict != cicadaseam.VerdictAccepted {
		return nil, errors.Newf("change %s: %s %v", c.ID, d.Verdict, d.Faults)
	}
	var times []float64
	deadline := time.Now().Add(convergeLimit)
	for _, n := range e.fleet.Nodes {
		for {
			if at, ok := n.DecidedAt(d.Version); ok {
				times = append(times, at.Sub(began).Seconds())
				break
			}
			if time.Now().After(deadline) {
				return nil, errors.Newf("%s did not take version %d within %s", n.Host.Name, d.Version, convergeLimit)
			}
			wait.Sleep(ctx, look)
		}
	}
	return times, nil
}

// churn lets a backend server leave and return every half second.
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
	return e.addUsage(before, after)
}

// faults kills a node, pauses another and takes the log down.
func (e *experiment) faults(ctx context.Context) error {
	if err := e.killOne(ctx); err != nil {
		return err
	}
	if err := e.pauseOne(ctx); err != nil {
		return err
	}
	return e.outage(ctx)
}

func (e *experiment) killOne(ctx context.Context) error {
	victim := e.fleet.Nodes[len(e.fleet.Nodes)-1]
	began := time.Now()
	victim.Kill()
	const limit = 40 * time.Second
	var times []float64
	for _, n := range e.fleet.Nodes[:len(e.fleet.Nodes)-1] {
		for {
			if at, ok := n.FirstSawState(victim.Host.Name, "dead"); ok {
				times = append(times, at.Sub(began).Seconds())
				break
			}
			if time.Since(began) > limit || !wait.Sleep(ctx, look) {
				return errors.Newf("%s did not learn that %s is dead within %s", n.Host.Name, victim.Host.Name, limit)
			}
		}
	}
	if err := victim.Start(); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.addAll(
		figure{"death known, p50", quantile(times, 0.5), "s"},
		figure{"death known, last node", largest(times), "s"},
	)
}

// pauseOne stops a process for a time and counts who took it for dead for
// good.
func (e *experiment) pauseOne(ctx context.Context) error {
	const length = 4 * time.Second
	n := e.fleet.Nodes[len(e.fleet.Nodes)-2]
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait.Sleep(ctx, length)
	if err := n.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	began := time.Now()
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	return e.add("all whole again after a pause of 4 s", time.Since(began).Seconds(), "s")
}

func (e *experiment) outage(ctx context.Context) error {
	const length = 8 * time.Second
	before := e.fleet.Log.Stats()
	e.fleet.Log.SetFaults(logstore.Faults{Outage: true})
	wait.Sleep(ctx, length)
	e.fleet.Log.SetFaults(logstore.Faults{})
	after := e.fleet.Log.Stats()
	times, err := e.oneChange(ctx)
	if err != nil {
		return err
	}
	return e.addAll(
		figure{"requests at the log during an outage", float64(after.Rejected-before.Rejected) / length.Seconds(), "1/s"},
		figure{"convergence right after an outage, last node", 1000 * largest(times), "ms"},
	)
}

// herd kills all nodes and starts them all at once.
func (e *experiment) herd(ctx context.Context) error {
	for _, n := range e.fleet.Nodes {
		n.Kill()
	}
	before := e.fleet.Log.Stats()
	began := time.Now()
	if err := e.fleet.StartAll(ctx); err != nil {
		return err
	}
	if err := e.waitReady(ctx); err != nil {
		return err
	}
	after := e.fleet.Log.Stats()
	nodes := float64(len(e.fleet.Nodes))
	return e.addAll(
		figure{"all back", time.Since(began).Seconds(), "s"},
		figure{"appends", float64(after.Appends-before.Appends) / nodes, "a node"},
		figure{"reads", float64(after.Reads+after.Bounds-before.Reads-before.Bounds) / nodes, "a node"},
		figure{"bytes read at the log", float64(after.ReadBytes-before.ReadBytes) / nodes, "B a node"},
	)
}

func rates(before, after []float64, seconds float64) []float64 {
	out := make([]float64, min(len(before), len(after)))
	for i := range out {
		out[i] = (after[i] - before[i]) / seconds
	}
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// median returns the middle value, the mean of two where there are two.
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

func largest(values []float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
