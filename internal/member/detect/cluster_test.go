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

// cluster drives many detectors in virtual time: one event queue, no
// goroutines. It encodes each packet, so that bytes are counted.
type cluster struct {
	t       *testing.T
	now     time.Time
	rng     *rand.Rand
	nodes   []*peer
	byAddr  map[string]*peer
	queue   events
	loss    float64
	latency time.Duration
	cut     func(a, b *peer) bool
}

// peer is one detector and what it did.
type peer struct {
	d      *Detector
	addr   string
	zone   string
	region string
	dead   bool
	paused bool
	bytes  int64 // both ways
	// lastSync is the last zone exchange, which package gossip limits too.
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

// newCluster returns n nodes in 10 zones of 3 regions that all know each other.
func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[string]*peer{}, latency: time.Millisecond,
		cut: func(*peer, *peer) bool { return false },
	}
	var all []cicadaseam.Member
	for i := range n {
		all = append(all, c.add(i, seed))
	}
	for _, p := range c.nodes {
		p.d.Merge(c.now, all)
		p.d.news = news{} // all know all: nothing is news
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
	p.d = New(self, rand.New(rand.NewPCG(seed, uint64(i)+2)))
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

// run advances virtual time.
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
		c.send(e.to, e.to.d.Tick(c.now))
		c.send(e.to, e.to.d.Gossip())
		c.exchange(e.to)
		return
	}
	p, err := Decode(e.data)
	require.NoError(c.t, err)
	e.to.bytes += int64(len(e.data))
	c.send(e.to, e.to.d.Receive(c.now, p))
}

func (c *cluster) send(from *peer, sends []Outgoing) {
	for _, s := range sends {
		data, err := Encode(s.Packet)
		require.NoError(c.t, err)
		require.LessOrEqual(c.t, len(data), MaxPacketBytes)
		from.bytes += int64(len(data))
		to := c.byAddr[s.Addr]
		if to == nil || c.rng.Float64() < c.loss || c.cut(from, to) {
			continue
		}
		c.push(event{at: c.now.Add(c.latency), to: to, data: data})
	}
}

// exchange carries out zone exchanges directly.
func (c *cluster) exchange(p *peer) {
	syncs := p.d.TakeSyncRequests()
	const syncPeriod = 2 * time.Second
	if len(syncs) == 0 || c.now.Sub(p.lastSync) < syncPeriod {
		return
	}
	p.lastSync = c.now
	other := c.byAddr[syncs[0].Addr]
	if other == nil || other.dead || c.cut(p, other) {
		return
	}
	const memberBytes = 150
	for _, pair := range [][2]*peer{{p, other}, {other, p}} {
		var zone []cicadaseam.Member
		for _, m := range append(pair[1].d.Members(), pair[1].d.Self()) {
			if m.Locality.Zone == syncs[0].Zone && m.State <= cicadaseam.MemberUnreachable {
				zone = append(zone, m)
			}
		}
		pair[0].bytes += int64(len(zone) * memberBytes)
		pair[0].d.Merge(c.now, zone)
	}
}

// states counts what the living nodes believe about a set of nodes.
func (c *cluster) states(about func(*peer) bool) map[cicadaseam.MemberState]int {
	out := map[cicadaseam.MemberState]int{}
	for _, p := range c.nodes {
		if p.dead || p.paused || about(p) {
			continue
		}
		for _, m := range p.d.Members() {
			if about(c.byAddr[m.Addr]) {
				out[m.State]++
			}
		}
	}
	return out
}

// countFalse counts living nodes that a living node holds dead.
func (c *cluster) countFalse() int {
	wrong := 0
	for _, p := range c.nodes {
		if p.dead || p.paused {
			continue
		}
		for _, m := range p.d.Members() {
			if m.State == cicadaseam.MemberDead && !c.byAddr[m.Addr].dead {
				wrong++
			}
		}
	}
	return wrong
}

// detection advances until all living nodes hold a set dead, and returns how
// long that took.
func (c *cluster) detection(limit time.Duration, set func(*peer) bool, want cicadaseam.MemberState) time.Duration {
	began := c.now
	for c.now.Sub(began) < limit {
		c.run(time.Second)
		done := true
		for state, n := range c.states(set) {
			if n > 0 && state != want {
				done = false
			}
		}
		if done {
			break
		}
	}
	return c.now.Sub(began)
}

// alivePairs counts how many nodes hold how many others alive.
func (c *cluster) alivePairs() int {
	count := 0
	for _, p := range c.nodes {
		for _, m := range p.d.Members() {
			if m.State == cicadaseam.MemberAlive {
				count++
			}
		}
	}
	return count
}
