package node_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

var (
	chaosSeeds = flag.Int("seeds", 6, "number of seeds of the property test")
	chaosFirst = flag.Uint64("first-seed", 1, "first seed of the property test")
)

// chaos runs a workload on a fleet while it injects pairs of faults, and records what it
// needs to check the invariants.
type chaos struct {
	*fleet
	rng      *rand.Rand
	mu       sync.Mutex
	versions map[string]cicadaseam.Offset // by node id
	accepted map[string]cicadaseam.Offset // by change id
	outcomes []callOutcome
	stop     chan struct{}
	wg       sync.WaitGroup
	restarts uint64
}

type callOutcome struct {
	token   string // unique to the request
	key     string
	outcome string
}

// fault is a kind of fault. The function inject starts it and returns the function that
// ends it.
type fault struct {
	name   string
	inject func(c *chaos) (undo func())
}

var faults = []fault{
	{"a host dies and returns", func(c *chaos) func() {
		h := c.randomLiveHost()
		c.kill(h)
		return func() { c.restart(h) }
	}},
	{"all hosts of a zone die at once and return", func(c *chaos) func() {
		zone := zones[c.rng.IntN(len(zones))]
		var dead []*host
		for _, h := range c.hosts {
			if h.locality.Zone == zone && !h.killed {
				c.kill(h)
				dead = append(dead, h)
			}
		}
		return func() {
			for _, h := range dead {
				c.restart(h)
			}
		}
	}},
	{"a zone is partitioned off", func(c *chaos) func() {
		zone := zones[c.rng.IntN(len(zones))]
		c.isolate(func(h *host) bool { return h.locality.Zone == zone })
		return c.net.HealAll
	}},
	// To its peers, an isolated host looks like a paused one.
	{"a host is isolated", func(c *chaos) func() {
		h := c.randomLiveHost()
		c.isolate(func(o *host) bool { return o == h })
		return c.net.HealAll
	}},
	{"the connections of a host go silent", func(c *chaos) func() {
		a := c.randomLiveHost()
		for _, b := range c.hosts {
			c.net.BlackholeConns(a.ip, b.ip)
		}
		return func() {}
	}},
	{"the log is down", func(c *chaos) func() {
		c.log.SetFaults(logstore.Faults{Outage: true})
		return func() { c.log.SetFaults(logstore.Faults{}) }
	}},
	{"the log is slow", func(c *chaos) func() {
		c.log.SetFaults(logstore.Faults{Delay: 400 * time.Millisecond})
		return func() { c.log.SetFaults(logstore.Faults{}) }
	}},
	{"the log loses answers", func(c *chaos) func() {
		c.log.SetFaults(logstore.Faults{LoseAnswers: 0.5, LoseAppends: 0.2})
		return func() { c.log.SetFaults(logstore.Faults{}) }
	}},
	{"datagrams are lost", func(c *chaos) func() {
		c.net.SetPacketLoss(0.3)
		return func() { c.net.SetPacketLoss(0) }
	}},
	{"a backend server drains", func(c *chaos) func() {
		h := c.randomLiveHost()
		_ = h.backend.Drain(context.Background()) // its node may be cut off
		return func() { c.restartBackend(h) }
	}},
	{"a backend server dies", func(c *chaos) func() {
		h := c.randomLiveHost()
		h.backend.Kill()
		return func() { c.restartBackend(h) }
	}},
	{"a backend server fails calls", func(c *chaos) func() {
		h := c.randomLiveHost()
		h.backend.SetFaults(backend.Faults{FailureRate: 0.7})
		return func() { h.backend.SetFaults(backend.Faults{}) }
	}},
}

func (c *chaos) randomLiveHost() *host {
	for {
		if h := c.hosts[c.rng.IntN(len(c.hosts))]; !h.killed {
			return h
		}
	}
}

// isolate partitions the hosts for which inside is true from all other hosts.
func (c *chaos) isolate(inside func(*host) bool) {
	for _, a := range c.hosts {
		for _, b := range c.hosts {
			if inside(a) && !inside(b) {
				c.net.Partition(a.ip, b.ip)
			}
		}
	}
}

func (c *chaos) restart(h *host) {
	c.restarts++
	runs := h.backend
	c.start(h, 10_000+c.restarts)
	h.backend.InheritRuns(runs)
}

func (c *chaos) restartBackend(h *host) {
	if h.killed {
		return
	}
	runs := h.backend
	runs.Kill()
	c.startBackend(h)
	h.backend.InheritRuns(runs)
}

// startWorkload starts calls without keys, submissions with keys and publications, which
// repeat until c.stop is closed.
func (c *chaos) startWorkload() {
	c.wg.Add(3)
	go c.loop(20*time.Millisecond, c.rng.Uint64(), func(rng *rand.Rand) { c.callOnce(rng) })
	go c.loop(50*time.Millisecond, c.rng.Uint64(), func(rng *rand.Rand) { c.submitTwice(rng) })
	go c.loop(700*time.Millisecond, c.rng.Uint64(), func(rng *rand.Rand) { c.publishOne(rng) })
}

// loop calls action, each time after a pause of one period, until c.stop is closed. The seed
// is that of the random source passed to action.
func (c *chaos) loop(period time.Duration, seed uint64, action func(*rand.Rand)) {
	defer c.wg.Done()
	rng := rand.New(rand.NewPCG(seed, 0))
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(period):
		}
		action(rng)
	}
}

func (c *chaos) recordOutcome(token, key string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, callOutcome{token: token, key: key, outcome: r.outcome})
}

func (c *chaos) callOnce(rng *rand.Rand) {
	token := uuid.NewString()
	r := c.call(c.hosts[rng.IntN(len(c.hosts))], "GET", "/status/claim", "passenger", backend.HeaderToken, token)
	if r.err == nil && r.status == 200 {
		require.Equal(c.t, token, decodeEcho(c.t, r.body).Token, "a caller got the answer to another call")
	}
	c.recordOutcome(token, "", r)
}

// submitTwice sends a submission with a key and, unless the answer says that it ran, repeats it
// through a random host. Each request has its own token, so that each answer is checked
// on its own.
func (c *chaos) submitTwice(rng *rand.Rand) {
	key := newKey(c.t)
	for range 2 {
		token := uuid.NewString()
		r := c.callBody(c.hosts[rng.IntN(len(c.hosts))], "POST", "/claims/file", "solicitor", "claim",
			"Idempotency-Key", key, backend.HeaderToken, token)
		c.recordOutcome(token, key, r)
		if r.outcome == "ran" {
			return
		}
	}
}

func (c *chaos) publishOne(rng *rand.Rand) {
	n := c.liveNode(c.hosts[rng.IntN(len(c.hosts))])
	if n == nil {
		return
	}
	_, version := n.Store().Tree()
	d, err := n.Publisher().Publish(context.Background(), cicadaseam.Change{
		ID: uuid.NewString(), Base: version,
		Edits: []cicadaseam.Edit{{Path: "scope:georgia-east/*/flight-records", Key: "deadline", Value: fmt.Sprintf("%dms", 1000+rng.IntN(500))}},
	})
	require.NoError(c.t, err)
	if d.Verdict == cicadaseam.VerdictAccepted {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.accepted[d.ID] = d.Version
	}
}

// checkInvariants checks what must hold at any time: no node goes back to an older version,
// no route points to a service that is missing from the table, all nodes at the same
// position have the same digest, and the reported outcomes are true.
func (c *chaos) checkInvariants(step string) {
	digests := map[cicadaseam.Offset]uint64{}
	for _, h := range c.hosts {
		if h.killed {
			continue
		}
		table := h.node.Store().Table()
		require.GreaterOrEqual(c.t, table.Version, c.versions[h.node.ID()], "%s: a node went back to an older version", step)
		c.versions[h.node.ID()] = table.Version
		for _, r := range table.Routes {
			require.True(c.t, table.Services[r.Service], "%s: a route points to a service that is not in the table", step)
		}
		position, digest := h.node.Store().Position()
		if other, known := digests[position]; known {
			require.Equal(c.t, other, digest, "%s: the digests of two nodes differ at position %d", step, position)
		}
		digests[position] = digest
	}
	c.checkOutcomes(step)
}

// checkOutcomes checks the reported outcomes against the requests that ran.
func (c *chaos) checkOutcomes(step string) {
	runs := map[string]int64{}
	for _, h := range c.hosts {
		for token, n := range h.backend.AllRuns() {
			runs[token] += n
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.outcomes {
		if x.key != "" {
			require.LessOrEqual(c.t, runs[x.key], int64(1), "%s: key %s ran more than once", step, x.key)
		}
		if x.outcome == "notrun" {
			require.Zero(c.t, runs[x.token], "%s: reported as notrun, but it ran", step)
		}
		if x.outcome == "ran" && x.key == "" {
			require.Positive(c.t, runs[x.token], "%s: reported as ran, but it did not run", step)
		}
	}
}

// The invariants of the configuration and the reported outcomes of calls hold while random
// pairs of faults overlap.
func TestPromisesUnderRandomFaults(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFleet(t, 12, seed, func(f *fleet) {
				c := &chaos{
					fleet: f, rng: rand.New(rand.NewPCG(seed, 42)), stop: make(chan struct{}),
					versions: map[string]cicadaseam.Offset{}, accepted: map[string]cicadaseam.Offset{},
				}
				c.run()
			})
		})
	}
}

func (c *chaos) run() {
	const steps = 8
	c.startWorkload()
	for range steps {
		a, b := faults[c.rng.IntN(len(faults))], faults[c.rng.IntN(len(faults))]
		step := a.name + " and " + b.name
		undoA := a.inject(c)
		time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
		undoB := b.inject(c)
		time.Sleep(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
		c.checkInvariants(step)
		undoA()
		undoB()
		time.Sleep(2 * time.Second)
		c.checkInvariants("after " + step)
	}
	close(c.stop)
	c.wg.Wait()
	c.checkConvergence()
}

// checkConvergence checks that the fleet recovers once the faults have ended: all nodes
// reach a new version, and no accepted change is lost.
func (c *chaos) checkConvergence() {
	c.waitSettled()
	d := c.publishDeadline(c.hosts[0], "3s")
	require.Equal(c.t, cicadaseam.VerdictAccepted, d.Verdict, "%v", d.Faults)
	require.True(c.t, c.eventually(3*time.Second, func() bool { return c.atVersion(d.Version) }), "a change takes effect within 3 s")
	c.checkInvariants("at the end")
	ran := 0
	for _, x := range c.outcomes {
		if x.outcome == "ran" {
			ran++
		}
	}
	c.t.Logf("%d of %d calls ran, %d changes accepted", ran, len(c.outcomes), len(c.accepted))
	for id, version := range c.accepted {
		for _, h := range c.hosts {
			got, known := h.node.Store().Decision(id)
			require.True(c.t, known, "an accepted change is lost")
			require.Equal(c.t, version, got.Version)
			require.Equal(c.t, cicadaseam.VerdictAccepted, got.Verdict)
		}
	}
}
