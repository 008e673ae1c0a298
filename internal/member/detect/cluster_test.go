package detect

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// cluster runs many detectors in virtual time, with one event queue and without goroutines. It
// encodes each packet, so that its size is counted.
type cluster struct {
	t           *testing.T
	now         time.Time
	rng         *rand.Rand
	nodes       []*peer
	byAddr      map[string]*peer
	queue       events
	loss        float64
	latency     time.Duration
	partitioned func(a, b *peer) bool
}

// peer is one node of a cluster.
type peer struct {
	detector *Detector
	addr     string
	zone     string
	region   string
	dead     bool
	paused   bool
	traffic  int64 // bytes sent and received
	// lastSync is the time of the last zone exchange. Package gossip limits their rate too.
	lastSync time.Time
}

type event struct {
	at   time.Time
	seq  int
	to   *peer
	data []byte // nil for a tick
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const tickStep = 200 * time.Millisecond

// newCluster returns a cluster of n nodes in 10 zones of 3 regions, which all know each other.
func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[string]*peer{}, latency: time.Millisecond,
		partitioned: func(*peer, *peer) bool { return false },
	}
	var all []cicadaseam.Member
	for i := range n {
		all = append(all, c.add(i, seed))
	}
	for _, p := range c.nodes {
		p.detector.Merge(c.now, all)
		p.detector.pending = updateQueue{} // all nodes know all members
	}
	return c
}

func (c *cluster) add(i int, seed uint64) cicadaseam.Member {
	zone := i % 10
	p := &peer{addr: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250), zone: fmt.Sprintf("zone-%d", zone), region: fmt.Sprintf("region-%d", zone%3)}
	self := cicadaseam.Member{
		ID: fmt.Sprintf("%016x", i), Name: fmt.Sprintf("node-%d", i), Addr: p.addr, Incarnation: 1,
		Locality: cicadaseam.Locality{Zone: p.zone, Region: p.region, Deployment: "d"},
		Backend:  cicadaseam.Backend{Service: "status-portal", Slots: 20, Connections: 120, State: cicadaseam.BackendReady},
	}
	p.detector = New(self, rand.New(rand.NewPCG(seed, uint64(i)+2)))
	c.nodes = append(c.nodes, p)
	c.byAddr[p.addr] = p
	c.push(event{at: c.now.Add(time.Duration(c.rng.Int64N(int64(tickStep)))), to: p})
	return self
}

var eventSeq int

func (c *cluster) push(e event) {
	eventSeq++
	e.seq = eventSeq
	heap.Push(&c.queue, e)
}

// run advances the virtual time and handles the events until then.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		if e.to.dead {
			continue
		}
		if e.data == nil {
			c.push(event{at: c.now.Add(tickStep), to: e.to})
		}
		if e.to.paused {
			continue
		}
		c.step(e)
	}
	c.now = end
}

func (c *cluster) step(e event) {
	if e.data == nil {
		c.send(e.to, e.to.detector.Tick(c.now))
		c.send(e.to, e.to.detector.Gossip())
		c.syncZone(e.to)
		return
	}
	p, err := Decode(e.data)
	require.NoError(c.t, err)
	e.to.traffic += int64(len(e.data))
	c.send(e.to, e.to.detector.Receive(c.now, p))
}

func (c *cluster) send(from *peer, packets []Outgoing) {
	for _, out := range packets {
		data, err := Encode(out.Packet)
		require.NoError(c.t, err)
		require.LessOrEqual(c.t, len(data), MaxPacketBytes)
		from.traffic += int64(len(data))
		to := c.byAddr[out.Addr]
		if to == nil || c.rng.Float64() < c.loss || c.partitioned(from, to) {
			continue
		}
		c.push(event{at: c.now.Add(c.latency), to: to, data: data})
	}
}

// syncZone carries out a requested zone exchange of a node, as package gossip does over links.
func (c *cluster) syncZone(p *peer) {
	requests := p.detector.TakeSyncRequests()
	const minSyncInterval = 2 * time.Second
	if len(requests) == 0 || c.now.Sub(p.lastSync) < minSyncInterval {
		return
	}
	p.lastSync = c.now
	other := c.byAddr[requests[0].Addr]
	if other == nil || other.dead || c.partitioned(p, other) {
		return
	}
	const memberBytes = 150 // assumed size of an encoded member
	for _, pair := range [][2]*peer{{p, other}, {other, p}} {
		var zone []cicadaseam.Member
		for _, m := range append(pair[1].detector.Members(), pair[1].detector.Self()) {
			if m.Locality.Zone == requests[0].Zone && m.State <= cicadaseam.MemberUnreachable {
				zone = append(zone, m)
			}
		}
		pair[0].traffic += int64(len(zone) * memberBytes)
		pair[0].detector.Merge(c.now, zone)
	}
}

// countStates counts the states of the nodes of a set in the views of the other running nodes.
func (c *cluster) countStates(inSet func(*peer) bool) map[cicadaseam.MemberState]int {
	out := map[cicadaseam.MemberState]int{}
	for _, p := range c.nodes {
		if p.dead || p.paused || inSet(p) {
			continue
		}
		for _, m := range p.detector.Members() {
			if inSet(c.byAddr[m.Addr]) {
				out[m.State]++
			}
		}
	}
	return out
}

// countFalseDeaths counts the ordered pairs of running nodes of which the second is dead in the view
// of the first.
func (c *cluster) countFalseDeaths() int {
	count := 0
	for _, p := range c.nodes {
		if p.dead || p.paused {
			continue
		}
		for _, m := range p.detector.Members() {
			if m.State == cicadaseam.MemberDead && !c.byAddr[m.Addr].dead {
				count++
			}
		}
	}
	return count
}

// runUntilState advances until the nodes of a set have a state in the views of all other running
// nodes, or until the limit is reached, and returns the time that passed.
func (c *cluster) runUntilState(limit time.Duration, inSet func(*peer) bool, want cicadaseam.MemberState) time.Duration {
	start := c.now
	for c.now.Sub(start) < limit {
		c.run(time.Second)
		done := true
		for state, n := range c.countStates(inSet) {
			if n > 0 && state != want {
				done = false
			}
		}
		if done {
			break
		}
	}
	return c.now.Sub(start)
}

// countAlivePairs counts the ordered pairs of nodes of which the second is alive in the view of the
// first.
func (c *cluster) countAlivePairs() int {
	count := 0
	for _, p := range c.nodes {
		for _, m := range p.detector.Members() {
			if m.State == cicadaseam.MemberAlive {
				count++
			}
		}
	}
	return count
}
