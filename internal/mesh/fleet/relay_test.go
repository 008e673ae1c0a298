package fleet

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
)

// simulation runs the fleets of many nodes in virtual time, without loss or delay unless
// a test asks for it.
type simulation struct {
	now    time.Time
	nodes  []*simulated
	byAddr map[string]*simulated
	queue  []datagram
	lost   func(d datagram) bool
}

type simulated struct {
	sim       *simulation
	fleet     *Fleet
	heartbeat Heartbeat
	dead      bool
	oldFormat bool // a process of a release without relays
	// Datagrams and bytes with headers; crossing counts those sent to other zones.
	sent, sentBytes, receivedBytes, crossing, crossingBytes int
}

type datagram struct {
	from, to *simulated
	data     []byte
}

func (n *simulated) Send(addr string, data []byte) error {
	to := n.sim.byAddr[addr]
	n.sent++
	n.sentBytes += len(data) + datagramOverhead
	if to.heartbeat.Zone != n.heartbeat.Zone {
		n.crossing++
		n.crossingBytes += len(data) + datagramOverhead
	}
	n.sim.queue = append(n.sim.queue, datagram{n, to, data})
	return nil
}

func (n *simulated) Receive([]byte) (int, error) { select {} }

func (n *simulated) LocalAddr() string { return n.heartbeat.Addr }

func (n *simulated) Close() error { return nil }

func newSimulation(nodes, zones int) *simulation {
	sim := &simulation{now: start, byAddr: map[string]*simulated{}, lost: func(datagram) bool { return false }}
	for i := range nodes {
		sim.add(i, fmt.Sprintf("zone-%d", i%zones))
	}
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			n.fleet.AddAddr(other.heartbeat.Addr, other.heartbeat.Zone)
		}
	}
	return sim
}

func (sim *simulation) add(i int, zone string) {
	n := &simulated{sim: sim, heartbeat: Heartbeat{
		Node: fmt.Sprintf("sidecar-%s-%d", zone, i), Addr: fmt.Sprintf("10.14.%d.%d:7600", i/250, i%250), Zone: zone, Epoch: time.Now().UnixNano(), Revision: 100_000, Written: cicadaseam.Position{Epoch: 3, Offset: 100_000}, SourceEpoch: 3,
		Service: "submission", Instance: "i-1efcfb8f35", Serving: true, SentAt: time.Hour,
		Load: cicadaseam.MeshLoad{InFlight: 18, Queued: 200, Slots: 18, LatencyPermille: 330, FailurePermille: 10},
	}}
	n.fleet = New(n.heartbeat.Addr, zone, n, timer.New(rand.New(rand.NewPCG(1, 1))), func(time.Time) Heartbeat { return n.heartbeat })
	n.fleet.now = func() time.Time { return sim.now }
	sim.nodes = append(sim.nodes, n)
	sim.byAddr[n.heartbeat.Addr] = n
}

// deliver delivers datagrams, and does what they make nodes do at once, until none is left.
func (sim *simulation) deliver() {
	for idle := false; !idle; {
		idle = true
		for _, n := range sim.nodes {
			idle = !n.doDue() && idle
		}
		queue := sim.queue
		sim.queue = nil
		for _, d := range queue {
			idle = false
			if d.to.dead || sim.lost(d) || d.to.oldFormat && d.data[0] != FormatFull && d.data[0] != FormatCompact {
				continue
			}
			d.to.receivedBytes += len(d.data) + datagramOverhead
			d.to.fleet.handleDatagram(sim.now, d.data)
		}
	}
}

// doDue does what Run does without a tick. It reports whether there was anything to do.
func (n *simulated) doDue() bool {
	if n.dead || n.oldFormat {
		return false
	}
	select {
	case zone := <-n.fleet.notify:
		n.fleet.send(n.sim.now, zone, true)
	case <-n.fleet.relayDue:
		n.fleet.passOn(n.sim.now)
	case <-n.fleet.initialDue:
		n.fleet.sendInitial(n.sim.now)
	default:
		return false
	}
	return true
}

// period lets each node send its periodic heartbeat, at different times of the period.
func (sim *simulation) period() {
	period := sim.nodes[0].fleet.Period()
	began := sim.now
	for i, n := range sim.nodes {
		sim.now = began.Add(period * time.Duration(i) / time.Duration(len(sim.nodes)))
		if !n.dead && !n.oldFormat {
			n.fleet.expire(sim.now)
			n.fleet.send(sim.now, allZones, false)
			sim.deliver()
		}
	}
	sim.now = began.Add(period)
}

func (n *simulated) peer(other *simulated) *Peer {
	for _, p := range n.fleet.Peers() {
		if p.Heartbeat.Addr == other.heartbeat.Addr {
			return p
		}
	}
	return nil
}

func TestHeartbeatsReachOtherZonesThroughRelays(t *testing.T) {
	const nodes, zones = 60, 3
	sim := newSimulation(nodes, zones)
	sim.deliver()
	for range 3 {
		sim.period()
	}
	for i, n := range sim.nodes {
		require.Len(t, n.fleet.Peers(), nodes-1, "node %d", i)
		n.heartbeat.Load.Queued = i
		n.sent, n.crossing = 0, 0
	}
	sim.period()
	sim.period()
	period := sim.nodes[0].fleet.Period()
	for _, n := range sim.nodes {
		require.LessOrEqual(t, n.crossing, 2*(zones-1))
		require.LessOrEqual(t, n.sent, 2*(nodes/zones+zones))
		for j, other := range sim.nodes {
			if n != other {
				require.Equal(t, j, n.peer(other).Heartbeat.Load.Queued)
				require.LessOrEqual(t, sim.now.Sub(n.peer(other).LastHeard), 2*period)
			}
		}
	}
}

// A change of state reaches all nodes at once, not with the next heartbeats of the relays,
// even if one of the datagrams that cross the border of each zone is lost.
func TestChangesArePassedOnAtOnce(t *testing.T) {
	sim := newSimulation(60, 3)
	sim.deliver()
	for range 3 {
		sim.period()
	}
	changed := sim.nodes[7]
	changed.heartbeat.Serving = false
	lostIn := map[string]bool{}
	sim.lost = func(d datagram) bool {
		zone := d.to.heartbeat.Zone
		if d.data[0] != FormatRelayNow || lostIn[zone] {
			return false
		}
		lostIn[zone] = true
		return true
	}
	changed.fleet.NotifyAll()
	sim.deliver()
	require.Len(t, lostIn, 2)
	for _, n := range sim.nodes {
		if n != changed {
			require.False(t, n.peer(changed).Heartbeat.Serving)
		}
	}
}

// Nodes that die disappear from every list after the silence timeout, and while they are
// chosen as relays nobody takes a live node for silent.
func TestDeadRelaysHideNobody(t *testing.T) {
	const nodes, dead = 60, 9
	sim := newSimulation(nodes, 3)
	sim.deliver()
	for range 3 {
		sim.period()
	}
	for _, n := range sim.nodes[:dead] {
		n.dead = true
	}
	rng := rand.New(rand.NewPCG(1, 1))
	sim.lost = func(datagram) bool { return rng.IntN(50) == 0 }
	missing, seen := 0, 0
	for i := range 20 {
		sim.period()
		for _, n := range sim.nodes[dead:] {
			live := 0
			for _, p := range n.fleet.Peers() {
				if !sim.byAddr[p.Heartbeat.Addr].dead {
					live++
				}
			}
			if i > silentPeriods {
				require.Len(t, n.fleet.Peers(), live, "a dead node is listed")
			}
			missing += nodes - dead - 1 - live
			seen += live
		}
	}
	require.Less(t, float64(missing)/float64(seen+missing), 0.002)
}

func TestSmallZonesGetHeartbeatsDirectly(t *testing.T) {
	sim := newSimulation(directZoneNodes*2, 2)
	sim.deliver()
	sim.period()
	for _, n := range sim.nodes {
		require.Len(t, n.fleet.Peers(), directZoneNodes*2-1)
		n.crossing = 0
	}
	sim.period()
	for _, n := range sim.nodes {
		require.Equal(t, directZoneNodes, n.crossing)
	}
}

// During a roll from a release without relays, old and new processes see each other.
func TestNodesWithoutRelaysGetHeartbeatsDirectly(t *testing.T) {
	sim := newSimulation(60, 3)
	for _, n := range sim.nodes[:30] {
		n.oldFormat = true
	}
	old := sim.nodes[3]
	sim.deliver()
	for range 2 * fullEvery {
		sim.period()
		// A process of the earlier release sends its heartbeat to every address.
		for _, n := range sim.nodes[:30] {
			data, err := encode(n.heartbeat, true)
			require.NoError(t, err)
			n.heartbeat.Sequence += 1_000
			for _, other := range sim.nodes {
				_ = n.Send(other.heartbeat.Addr, data)
			}
		}
		sim.deliver()
	}
	require.Len(t, old.fleet.Peers(), 59)
	require.Len(t, sim.nodes[59].fleet.Peers(), 59)
}

// Only heartbeats are passed on, so that no datagram can circulate.
func TestOnlyHeartbeatsArePassedOn(t *testing.T) {
	f, s := newFleet()
	f.HandleHeartbeat(start, heartbeat("a", 1, 1))
	nested, err := pack.Marshal([][]byte{{FormatFull}})
	require.NoError(t, err)
	for _, message := range [][]byte{{FormatRelayNow, FormatFull}, append([]byte{FormatBatch}, nested...), {0x01, 0x02}} {
		f.handleDatagram(start, append([]byte{FormatRelayNow}, message...))
	}
	require.Empty(t, f.relayDue)
	f.send(start, allZones, false)
	require.Equal(t, map[string]int{"a": 1}, s.sent)
}

// A node that is replaced by a process which cannot read the directory is known everywhere
// again, and knows everyone, after a few periods: it asks for what it lacks.
func TestReplacedProcessWithoutDirectory(t *testing.T) {
	sim := newSimulation(60, 3)
	sim.deliver()
	for range 3 {
		sim.period()
	}
	n := sim.nodes[5]
	n.dead = true
	for range 2 * silentPeriods {
		sim.period()
	}
	n.dead = false
	n.heartbeat.Epoch++
	n.fleet = New(n.heartbeat.Addr, n.heartbeat.Zone, n, timer.New(rand.New(rand.NewPCG(1, 1))), func(time.Time) Heartbeat { return n.heartbeat })
	n.fleet.now = func() time.Time { return sim.now }
	for range silentSendEvery + 2 { // until it gets a heartbeat, and one more each to ask and to be discovered
		sim.period()
	}
	require.Len(t, n.fleet.Peers(), 59)
	for _, other := range sim.nodes {
		if other != n {
			require.Equal(t, n.heartbeat.Epoch, other.peer(n).Heartbeat.Epoch)
		}
	}
}

// What a node sends to other zones does not grow with the fleet.
func TestBytesAcrossZonesDoNotGrow(t *testing.T) {
	var crossing []float64
	for _, nodes := range []int{60, 194} {
		sim := newSimulation(nodes, 6)
		sim.deliver()
		for range 3 {
			sim.period()
		}
		for _, n := range sim.nodes {
			n.crossingBytes = 0
		}
		began, crossed := sim.now, 0
		for range 10 {
			sim.period()
		}
		for _, n := range sim.nodes {
			crossed += n.crossingBytes
		}
		crossing = append(crossing, float64(crossed)/sim.now.Sub(began).Seconds()/float64(nodes))
	}
	t.Logf("bytes a second a node to other zones: %.0f", crossing)
	require.LessOrEqual(t, crossing[1], 1.1*crossing[0])
}

// The heartbeats of 720 nodes in ten zones, sent and received, leave a third of the 30 KB
// a second that control traffic may use to everything else.
func TestBytesOfBeats(t *testing.T) {
	const nodes, zones, control = 720, 10, 30 << 10 // bytes a second
	sim := newSimulation(1, 1)
	sample := sim.nodes[0].heartbeat
	sample.Sequence = 1000
	out, err := newOutgoing(sample, nil)
	require.NoError(t, err)
	f, _ := newFleet()
	for i := range nodes - 1 {
		f.AddAddr(strconv.Itoa(i), strconv.Itoa(i%zones))
	}
	each := float64(len(out.full)+(fullEvery-1)*len(out.compact)) / fullEvery
	perZone := float64(nodes / zones)
	// Each node of the zone gets the heartbeat of this one and those that it passes on: as
	// many as there are other zones.
	sent := (perZone-1)*(datagramOverhead+zones*each) + (zones-1)*(datagramOverhead+1+each)
	rate := sent / f.Period().Seconds()
	t.Logf("full %d B, compact %d B, period %v, %.0f B a second each way", len(out.full), len(out.compact), f.Period(), rate)
	require.Less(t, 2*rate, float64(control*2/3))
	require.LessOrEqual(t, each, float64(meanSize))
}
