package detect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// maxFleetSize is the number of nodes that the system is designed for.
const maxFleetSize = 720

const (
	// maxControlBytesPerSecond bounds the control traffic of one node, sent and received.
	maxControlBytesPerSecond = 30 << 10
	// maxDetectionTime bounds the time in which all nodes learn of a death.
	maxDetectionTime = 40 * time.Second
)

// requireTraffic checks the control traffic of the busiest node over a time. before is the result
// of traffic at its beginning.
func (c *cluster) requireTraffic(before []int64, over time.Duration) {
	c.t.Helper()
	worst := int64(0)
	for i, p := range c.nodes {
		if !p.dead {
			worst = max(worst, p.traffic-before[i])
		}
	}
	rate := float64(worst) / over.Seconds()
	c.t.Logf("busiest node: %.0f B/s of gossip, sent and received", rate)
	require.LessOrEqual(c.t, rate, float64(maxControlBytesPerSecond))
}

// traffic returns the bytes that each node has sent and received.
func (c *cluster) traffic() []int64 {
	out := make([]int64, len(c.nodes))
	for i, p := range c.nodes {
		out[i] = p.traffic
	}
	return out
}

func TestDeathsAreDetected(t *testing.T) {
	cases := []struct {
		name string
		size int
		fail int // nodes of one zone that die at the same time
	}{
		{"one node of 720", maxFleetSize, 1},
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
			before := c.traffic()
			took := c.runUntilState(maxDetectionTime, func(p *peer) bool { return failed[p] }, cicadaseam.MemberDead)
			t.Logf("all nodes know after %s of virtual time", took)
			require.Less(t, took, maxDetectionTime)
			require.Zero(t, c.countFalseDeaths())
			c.requireTraffic(before, took)
		})
	}
}

// A zone that is cut off as a whole must become unreachable, not dead, and alive again after that.
func TestSilentZoneBecomesUnreachable(t *testing.T) {
	c := newCluster(t, 240, 2)
	c.run(5 * time.Second)
	zone := func(p *peer) bool { return p.zone == "zone-4" }
	c.partitioned = func(a, b *peer) bool { return zone(a) != zone(b) }
	c.run(60 * time.Second)
	states := c.countStates(zone)
	t.Logf("states of the silent zone as others see it: %v", states)
	total := 0
	for _, n := range states {
		total += n
	}
	require.Equal(t, 216*24, total)
	require.Greater(t, states[cicadaseam.MemberUnreachable], total*95/100)
	c.partitioned = func(*peer, *peer) bool { return false }
	before := c.traffic()
	took := c.runUntilState(3*time.Minute, zone, cicadaseam.MemberAlive)
	t.Logf("all alive again %s after the partition healed", took)
	require.Less(t, took, 3*time.Minute)
	c.requireTraffic(before, took)
}

func TestRegionPartitionForOneHour(t *testing.T) {
	const size = 45
	c := newCluster(t, size, 3)
	c.run(5 * time.Second)
	c.partitioned = func(a, b *peer) bool { return (a.region == "region-0") != (b.region == "region-0") }
	before := c.traffic()
	c.run(time.Hour)
	c.requireTraffic(before, time.Hour)
	for _, p := range c.nodes {
		require.Len(t, p.detector.Members(), size-1, "members are kept during the partition")
	}
	c.partitioned = func(*peer, *peer) bool { return false }
	healed := c.now
	for c.countAlivePairs() < size*(size-1) && c.now.Sub(healed) < 5*time.Minute {
		c.run(time.Second)
	}
	t.Logf("%d of %d pairs are alive %s after the partition healed", c.countAlivePairs(), size*(size-1), c.now.Sub(healed))
	require.Equal(t, size*(size-1), c.countAlivePairs())
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	c := newCluster(t, 100, 4)
	c.loss = 0.10
	before := c.traffic()
	c.run(time.Minute)
	suspicions := 0
	for _, p := range c.nodes {
		suspicions += p.detector.Counters().Suspicions
	}
	t.Logf("10%% loss, 100 nodes, 1 minute: %d suspicions, %d false deaths", suspicions, c.countFalseDeaths())
	require.Zero(t, c.countFalseDeaths())
	c.requireTraffic(before, time.Minute)
}

func TestPausedNodeRaisesItsHealthScore(t *testing.T) {
	c := newCluster(t, 100, 5)
	c.run(5 * time.Second)
	p := c.nodes[7]
	p.paused = true
	c.run(30 * time.Second)
	p.paused = false
	c.run(2 * time.Second)
	require.Positive(t, p.detector.HealthScore(), "a node that was paused raises its health score")
	require.Zero(t, p.detector.Counters().Deaths, "a node that was paused declares no other node dead")
	c.run(30 * time.Second)
	states := c.countStates(func(q *peer) bool { return q == p })
	require.Equal(t, map[cicadaseam.MemberState]int{cicadaseam.MemberAlive: 99}, states, "it refutes the suspicion and is alive again")
}

// A new process at the address of an old one must become alive and the old one dead.
func TestRestartAtSameAddress(t *testing.T) {
	c := newCluster(t, 20, 6)
	c.run(5 * time.Second)
	old := c.nodes[3]
	self := old.detector.Self()
	self.ID, self.Incarnation = "fresh", 1
	fresh := &peer{addr: old.addr, zone: old.zone, region: old.region, detector: New(self, c.rng)}
	old.dead = true
	c.byAddr[old.addr] = fresh
	c.push(event{at: c.now, to: fresh})
	c.nodes = append(c.nodes, fresh)
	fresh.detector.Merge(c.now, c.nodes[0].detector.Members())
	c.nodes[0].detector.Merge(c.now, []cicadaseam.Member{self})
	c.run(15 * time.Second)
	for _, p := range c.nodes[:20] {
		if p == old {
			continue
		}
		for _, m := range p.detector.Members() {
			switch m.ID {
			case "fresh":
				require.Equal(t, cicadaseam.MemberAlive, m.State)
			case old.detector.Self().ID:
				require.Equal(t, cicadaseam.MemberDead, m.State)
			}
		}
	}
}

// All nodes of a fleet start at the same time. Each one joins through the first one, which returns
// only the members that joined before. The node must learn of all others from updates.
func TestAllNodesStartAtOnce(t *testing.T) {
	const size = 200
	c := newCluster(t, 1, 7)
	for i := 1; i < size; i++ {
		self := c.add(i, 7)
		first, joiner := c.nodes[0], c.nodes[i]
		joiner.detector.Merge(c.now, append(first.detector.Members(), first.detector.Self()))
		first.detector.Merge(c.now, []cicadaseam.Member{self})
	}
	before, start := c.traffic(), c.now
	for c.countAlivePairs() < size*(size-1) && c.now.Sub(start) < 2*time.Minute {
		c.run(time.Second)
	}
	took := c.now.Sub(start)
	t.Logf("%d nodes know each other after %s of virtual time", size, took)
	require.Equal(t, size*(size-1), c.countAlivePairs())
	c.run(time.Minute - took)
	c.requireTraffic(before, time.Minute)
}

// Slow start counts from when the backend server became ready, not from when its node was first
// seen, so that a backend server that was replaced beside a long-lived node is not flooded.
func TestReadySinceFollowsTheBackendServer(t *testing.T) {
	start := time.Unix(1000, 0)
	d := New(cicadaseam.Member{ID: "self", Addr: "10.0.0.1:1"}, rand.New(rand.NewPCG(1, 1)))
	m := cicadaseam.Member{ID: "a", Addr: "10.0.0.2:1", State: cicadaseam.MemberAlive}
	backend := cicadaseam.Backend{Service: "status-portal", Slots: 20}
	for i, step := range []struct {
		backend cicadaseam.BackendState
		member  cicadaseam.MemberState
		want    time.Duration
	}{
		{cicadaseam.BackendReady, cicadaseam.MemberAlive, 0},
		{cicadaseam.BackendReady, cicadaseam.MemberSuspect, 0},
		{cicadaseam.BackendReady, cicadaseam.MemberAlive, 0},
		{cicadaseam.BackendDraining, cicadaseam.MemberAlive, 0},
		{cicadaseam.BackendReady, cicadaseam.MemberAlive, 4 * time.Minute},
		{cicadaseam.BackendNone, cicadaseam.MemberAlive, 4 * time.Minute},
		{cicadaseam.BackendReady, cicadaseam.MemberAlive, 6 * time.Minute},
	} {
		m.Incarnation, m.State, m.Backend = uint64(i+1), step.member, backend
		m.Backend.State = step.backend
		d.Merge(start.Add(time.Duration(i)*time.Minute), []cicadaseam.Member{m})
		times := d.Times("a")
		require.Equal(t, start, times.FirstSeen)
		require.Equal(t, start.Add(step.want), times.ReadySince, "step %d", i)
	}
}
