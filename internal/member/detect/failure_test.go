package detect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// fleetSize is the size that the letter asks to design for.
const fleetSize = 720

// Targets of the letter.
const (
	controlBytesPerSecond = 30 << 10
	// detectLimit bounds the time in which all nodes learn of a death.
	detectLimit = 40 * time.Second
)

func (c *cluster) requireBytes(before []int64, over time.Duration) {
	c.t.Helper()
	worst := int64(0)
	for i, p := range c.nodes {
		if !p.dead {
			worst = max(worst, p.bytes-before[i])
		}
	}
	rate := float64(worst) / over.Seconds()
	c.t.Logf("busiest node: %.0f B/s of gossip both ways", rate)
	require.LessOrEqual(c.t, rate, float64(controlBytesPerSecond))
}

func (c *cluster) bytes() []int64 {
	out := make([]int64, len(c.nodes))
	for i, p := range c.nodes {
		out[i] = p.bytes
	}
	return out
}

func TestDeathsAreDetected(t *testing.T) {
	cases := []struct {
		name string
		size int
		fail int // nodes that die at once, all of one zone
	}{
		{"one node of 720", fleetSize, 1},
		{"a rack of 8 of 240", 240, 8},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, tc.size, 1)
			c.run(5 * time.Second)
			failed := map[*peer]bool{}
			for i := range tc.fail {
				p := c.nodes[i*10]
				p.dead = true
				failed[p] = true
			}
			before := c.bytes()
			took := c.detection(detectLimit, func(p *peer) bool { return failed[p] }, cicadaseam.MemberDead)
			t.Logf("all nodes know after %s of virtual time", took)
			require.Less(t, took, detectLimit)
			require.Zero(t, c.countFalse())
			c.requireBytes(before, took)
		})
	}
}

func TestSilentZoneIsKept(t *testing.T) {
	c := newCluster(t, 240, 2)
	c.run(5 * time.Second)
	zone := func(p *peer) bool { return p.zone == "zone-4" }
	c.cut = func(a, b *peer) bool { return zone(a) != zone(b) }
	c.run(60 * time.Second)
	states := c.states(zone)
	t.Logf("states of the silent zone as others see it: %v", states)
	total := 0
	for _, n := range states {
		total += n
	}
	require.Equal(t, 216*24, total)
	require.Greater(t, states[cicadaseam.MemberUnreachable], total*95/100)
	c.cut = func(*peer, *peer) bool { return false }
	before := c.bytes()
	took := c.detection(3*time.Minute, zone, cicadaseam.MemberAlive)
	t.Logf("whole again %s after the cut ended", took)
	require.Less(t, took, 3*time.Minute)
	c.requireBytes(before, took)
}

func TestRegionsApartForAnHour(t *testing.T) {
	const size = 45
	c := newCluster(t, size, 3)
	c.run(5 * time.Second)
	c.cut = func(a, b *peer) bool { return (a.region == "region-0") != (b.region == "region-0") }
	before := c.bytes()
	c.run(time.Hour)
	c.requireBytes(before, time.Hour)
	for _, p := range c.nodes {
		require.Len(t, p.d.Members(), size-1, "members are kept, not forgotten")
	}
	c.cut = func(*peer, *peer) bool { return false }
	ended := c.now
	for c.alivePairs() < size*(size-1) && c.now.Sub(ended) < 5*time.Minute {
		c.run(time.Second)
	}
	t.Logf("%d of %d views are whole %s after the cut ended", c.alivePairs(), size*(size-1), c.now.Sub(ended))
	require.Equal(t, size*(size-1), c.alivePairs())
}

func TestLossAccusesNobodyForGood(t *testing.T) {
	c := newCluster(t, 100, 4)
	c.loss = 0.10
	before := c.bytes()
	c.run(time.Minute)
	suspicions := 0
	for _, p := range c.nodes {
		suspicions += p.d.Counters().Suspicions
	}
	t.Logf("10%% loss, 100 nodes, 1 minute: %d suspicions, %d false deaths", suspicions, c.countFalse())
	require.Zero(t, c.countFalse())
	c.requireBytes(before, time.Minute)
}

func TestPausedNodeDoubtsItself(t *testing.T) {
	c := newCluster(t, 100, 5)
	c.run(5 * time.Second)
	p := c.nodes[7]
	p.paused = true
	c.run(30 * time.Second)
	p.paused = false
	c.run(2 * time.Second)
	require.Positive(t, p.d.HealthScore(), "a node that was paused doubts itself")
	require.Zero(t, p.d.Counters().Deaths, "a node that was paused blames nobody for it")
	c.run(30 * time.Second)
	states := c.states(func(q *peer) bool { return q == p })
	require.Equal(t, map[cicadaseam.MemberState]int{cicadaseam.MemberAlive: 99}, states, "it refutes and is alive again")
}

func TestRestartAtTheSameAddressReplaces(t *testing.T) {
	c := newCluster(t, 20, 6)
	c.run(5 * time.Second)
	old := c.nodes[3]
	self := old.d.Self()
	self.ID, self.Incarnation = "fresh", 1
	fresh := &peer{addr: old.addr, zone: old.zone, region: old.region, d: New(self, c.rng)}
	old.dead = true
	c.byAddr[old.addr] = fresh
	c.push(event{at: c.now, to: fresh})
	c.nodes = append(c.nodes, fresh)
	fresh.d.Merge(c.now, c.nodes[0].d.Members())
	c.nodes[0].d.Merge(c.now, []cicadaseam.Member{self})
	c.run(15 * time.Second)
	for _, p := range c.nodes[:20] {
		if p == old {
			continue
		}
		for _, m := range p.d.Members() {
			switch m.ID {
			case "fresh":
				require.Equal(t, cicadaseam.MemberAlive, m.State)
			case old.d.Self().ID:
				require.Equal(t, cicadaseam.MemberDead, m.State)
			}
		}
	}
}

// A fleet that starts at once: each node joins through the first one, which
// hands it those that came before. All others come to it by news.
func TestBringUpOfAll(t *testing.T) {
	const size = 200
	c := newCluster(t, 1, 7)
	for i := 1; i < size; i++ {
		self := c.add(i, 7)
		first, joiner := c.nodes[0], c.nodes[i]
		joiner.d.Merge(c.now, append(first.d.Members(), first.d.Self()))
		first.d.Merge(c.now, []cicadaseam.Member{self})
	}
	before, began := c.bytes(), c.now
	for c.alivePairs() < size*(size-1) && c.now.Sub(began) < 2*time.Minute {
		c.run(time.Second)
	}
	took := c.now.Sub(began)
	t.Logf("%d nodes know each other after %s of virtual time", size, took)
	require.Equal(t, size*(size-1), c.alivePairs())
	c.run(time.Minute - took)
	c.requireBytes(before, time.Minute)
}
