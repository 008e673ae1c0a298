package dispatch

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
)

// The model plays callers, selectors and the queues of targets in virtual time: three zones, a node
// with a backend server each, servers of three speeds that stall now and then, load reports every
// 0.5 s, demand that swings with a phase shift between the zones, and callers in clumps.
const (
	modelNodes     = 36
	modelReport    = 500 * time.Millisecond
	modelPeriod    = 15 * time.Second
	modelClump     = 4 // mean number of callers that arrive at a node at once
	modelStall     = 500 * time.Millisecond
	modelWarmUp    = 5 * time.Second
	modelLength    = 2*modelPeriod + modelEnd // two periods
	modelEnd       = 6200 * time.Millisecond  // for the longest request
	modelTick      = 100 * time.Microsecond
	modelSmoothing = 0.05 // weight of a new run time in its mean
)

// modelKind is a kind of request.
type modelKind struct {
	route     string
	objective time.Duration
	work      time.Duration            // mean, at speed 1
	spread    func(*rand.Rand) float64 // factor of the work, with a mean of 1
	part      float64                  // of all requests
	nested    bool
}

// modelLoad is what the model plays.
type modelLoad struct {
	kinds []modelKind
	slots int
	// utilization is the mean demand as a part of the capacity of all servers.
	utilization float64
	// probes is the number of targets that are asked for a free slot.
	probes int
	// swing is by what part the demand of a zone swings around its mean.
	swing float64
	// timeout is how long callers wait, as a multiple of the objective.
	timeout time.Duration
	// retries is how often a caller returns after a refusal, and returnTime when it does on average,
	// given the time after which a target expects room.
	retries    int
	returnTime func(room time.Duration) time.Duration
}

// returnWithRoomFactor is the returnTime that the dispatcher uses.
func returnWithRoomFactor(room time.Duration) time.Duration {
	return (&exchange{retryAfter: room, lastReason: cicadaseam.ReasonQueueFull}).returnTime()
}

func (l *modelLoad) meanWork() (seconds float64) {
	for i := range l.kinds {
		seconds += l.kinds[i].part * l.kinds[i].work.Seconds()
	}
	return seconds
}

// draw returns the kind of the next request.
func (l *modelLoad) draw(rng *rand.Rand) *modelKind {
	x := rng.Float64()
	for i := range l.kinds {
		if x -= l.kinds[i].part; x < 0 {
			return &l.kinds[i]
		}
	}
	return &l.kinds[len(l.kinds)-1]
}

// oneKind is a load of requests that are alike.
func oneKind(utilization float64, probes int) modelLoad {
	alike := modelKind{route: "r", objective: 300 * time.Millisecond, work: 80 * time.Millisecond, part: 1, spread: func(rng *rand.Rand) float64 { return 0.3 + 1.4*rng.Float64() }}
	return modelLoad{kinds: []modelKind{alike}, slots: 8, utilization: utilization, probes: probes, swing: 0.6, timeout: 4, retries: 1, returnTime: returnWithRoomFactor}
}

// logNormal returns a spread whose logarithm has a standard deviation of sigma.
func logNormal(sigma float64) func(*rand.Rand) float64 {
	return func(rng *rand.Rand) float64 { return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2) }
}

// modelNode is a node with its backend server.
type modelNode struct {
	index      int
	addr, zone string
	speed      float64
	slots      int
	stallEnd   time.Duration
	queue      *slot.Queue
	waiting    []*modelCall
	share      float64            // mean run time of all kinds as a share of the objective
	runTimes   map[string]float64 // mean run time in seconds, by route
	selector   *Selector
}

// modelCall is a request of a caller, with its attempts.
type modelCall struct {
	kind                       *modelKind
	entry, target              *modelNode
	arrived, triedAt           time.Duration // triedAt is when the caller sent it last
	sentAt, queuedAt           time.Duration
	work                       float64
	refusedBefore              int
	tried                      map[string]bool
	rank, refusals, otherZones int
	retryAfter                 time.Duration
	// probed are the targets that had no free slot. probing is set while another one is asked.
	probed  []string
	probes  int
	probing bool
	slotReq *slot.Request
}

type model struct {
	rng        *rand.Rand
	now        time.Duration
	events     map[time.Duration][]func() // by time
	nodes      []*modelNode
	candidates []Candidate // as reported last
	results    map[string]*modelResult
	load       modelLoad
}

func (m *model) time() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	at := (m.now + d).Truncate(modelTick) + modelTick
	m.events[at] = append(m.events[at], do)
}

// transit returns the one-way latency of the link of a request.
func (c *modelCall) transit() time.Duration {
	if c.entry.zone == c.target.zone {
		return 200 * time.Microsecond
	}
	return time.Millisecond
}

// playModel returns what callers got, by zone, by route and in total.
func playModel(seed uint64, load modelLoad) map[string]*modelResult {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), events: map[time.Duration][]func(){}, results: map[string]*modelResult{"all": {}}, load: load}
	for i := range load.kinds {
		m.results[load.kinds[i].route] = &modelResult{}
	}
	speeds, zones, capacity := []float64{0.5, 1, 1.5}, []string{"a", "b", "c"}, 0.0
	for i := range modelNodes {
		n := &modelNode{index: i, addr: strconv.Itoa(i), zone: zones[i%3], speed: speeds[i/3%3], slots: load.slots, queue: slot.New(load.slots), share: 0.27, runTimes: map[string]float64{}}
		n.selector = NewSelector(n.zone, rand.New(rand.NewPCG(seed, uint64(i))))
		m.nodes, m.results[n.zone] = append(m.nodes, n), &modelResult{}
		m.candidates = append(m.candidates, Candidate{Addr: n.addr, Zone: n.zone, Instance: n.addr, Load: n.load(), LoadAt: epoch})
		capacity += float64(load.slots) * n.speed / load.meanWork()
		m.every(modelReport, func() { m.candidates[i].Load, m.candidates[i].LoadAt = n.load(), m.time() })
		m.every(10*time.Millisecond, func() { n.queue.Advance(m.time()); m.checkWaiting(n) })
		m.every(20*time.Second, func() { n.stallEnd = m.now + modelStall })
	}
	for i := range zones {
		var arrive func() // calls itself after the time to the next clump
		arrive = func() {
			swing := 1 + load.swing*math.Sin(2*math.Pi*(m.now.Seconds()-2*float64(i))/modelPeriod.Seconds())
			clumps := load.utilization * capacity / 3 * swing / modelClump
			m.after(time.Duration(m.rng.ExpFloat64()/clumps*float64(time.Second)), arrive)
			entry := m.nodes[i+3*m.rng.IntN(modelNodes/3)]
			for range 1 + int(m.rng.ExpFloat64()*(modelClump-0.5)) {
				c := newModelCall(entry, load.draw(m.rng), m.now)
				c.work = c.kind.work.Seconds() * c.kind.spread(m.rng)
				m.count(c, func(r *modelResult) { r.requests++ })
				m.try(c)
			}
		}
		m.after(0, arrive)
	}
	for ; m.now < modelLength; m.now += modelTick {
		for _, do := range m.events[m.now] {
			do()
		}
		delete(m.events, m.now)
	}
	return m.results
}

func newModelCall(entry *modelNode, kind *modelKind, now time.Duration) *modelCall {
	c := &modelCall{kind: kind, entry: entry, arrived: now, triedAt: now, rank: slot.RankBase + 1, tried: map[string]bool{}}
	if kind.nested {
		c.rank = slot.RankNested
	}
	return c
}

func (m *model) timeout(c *modelCall) time.Duration { return m.load.timeout * c.kind.objective }

func (m *model) every(period time.Duration, do func()) {
	var tick func()
	tick = func() { do(); m.after(period, tick) }
	m.after(time.Duration(m.rng.Float64()*float64(period)), tick)
}

func (m *model) count(c *modelCall, add func(*modelResult)) {
	if c.arrived < modelWarmUp || c.arrived >= modelLength-modelEnd {
		return
	}
	add(m.results[c.kind.route])
	if !c.kind.nested {
		add(m.results["all"])
		add(m.results[c.entry.zone])
	}
}

func (n *modelNode) load() cicadaseam.MeshLoad {
	return cicadaseam.MeshLoad{InFlight: n.queue.Running(), Queued: n.queue.Waiting(), Slots: n.slots, LatencyPermille: int(1000 * n.share)}
}

// try sends a request to its next target, or replies to its caller.
func (m *model) try(c *modelCall) {
	now, deadline := m.time(), epoch.Add(c.arrived+m.timeout(c))
	req := Requirements{Route: c.kind.route, LatencyObjective: c.kind.objective, LatencyBudget: c.kind.objective - (m.now - c.arrived), Idempotent: true, Nested: c.kind.nested,
		SameZoneOnly: c.otherZones >= maxOtherZoneTargets, Timeout: deadline.Sub(now) - replyMargin, Refusals: c.refusals}
	local, reported := &m.candidates[c.entry.index], m.candidates[c.entry.index]
	local.Local, local.Load, local.LoadAt = true, c.entry.load(), now
	selected, ok := m.probe(c, now, req)
	if c.probing = ok; !ok && len(c.tried) < maxTargetsPerRequest {
		selected, ok = c.entry.selector.Select(now, req, m.candidates, c.tried)
	}
	*local = reported
	if !ok {
		m.refuse(c)
		return
	}
	c.tried[selected.Candidate.Addr] = true
	index, _ := strconv.Atoi(selected.Candidate.Addr)
	c.target = m.nodes[index]
	m.count(c, func(r *modelResult) {
		if c.probing {
			r.probes++
		} else {
			r.targets++
		}
	})
	if c.target.zone != c.entry.zone {
		c.otherZones++
		m.count(c, func(r *modelResult) { r.remote++ })
	}
	c.sentAt = m.now
	c.slotReq = &slot.Request{Rank: c.rank, Deadline: now.Add(req.LatencyBudget), Admitted: make(chan bool, 1),
		ExpectedRunTime: time.Duration(c.target.runTimes[c.kind.route] * float64(time.Second))}
	wait, late := req.maxWait(selected.RunTime)
	if c.slotReq.MaxWait = wait; late {
		c.slotReq.Rank = slot.RankLate
	}
	if c.probing {
		c.slotReq.MaxWait = 0
	}
	m.after(c.transit(), func() { m.admit(c) })
}

// probe selects a target that is asked for a free slot.
func (m *model) probe(c *modelCall, now time.Time, req Requirements) (Selection, bool) {
	if c.probes >= m.load.probes {
		return Selection{}, false
	}
	c.probes++
	req.Probe = true
	selected, ok := c.entry.selector.Select(now, req, m.candidates, c.tried)
	if !ok {
		c.endProbing(m.load.probes)
	}
	return selected, ok
}

// endProbing makes the request wait at its next target.
func (c *modelCall) endProbing(probes int) {
	c.probes = probes
	for _, addr := range c.probed {
		delete(c.tried, addr)
	}
}

// admit offers a request to the queue of its target.
func (m *model) admit(c *modelCall) {
	c.queuedAt = m.now
	switch decision, wait := c.target.queue.Admit(m.time(), c.slotReq); decision {
	case slot.Started:
		m.start(c)
	case slot.Queued:
		c.target.waiting = append(c.target.waiting, c)
	case slot.Refused:
		m.answer(c, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonQueueFull, RetryAfter: wait})
	}
}

// checkWaiting starts or refuses the requests that the queue of a node has decided on.
func (m *model) checkWaiting(n *modelNode) {
	waiting := n.waiting[:0]
	for _, c := range n.waiting {
		select {
		case start := <-c.slotReq.Admitted:
			if start {
				m.start(c)
				continue
			}
			m.answer(c, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonQueueTimeout, RetryAfter: n.queue.EstimateWait(m.time(), c.slotReq.Rank)})
		default:
			waiting = append(waiting, c)
		}
	}
	n.waiting = waiting
}

func (m *model) start(c *modelCall) {
	n := c.target
	took := time.Duration(c.work/n.speed*float64(time.Second)) + max(n.stallEnd-m.now, 0)
	m.after(took, func() {
		n.recordRun(c.kind, took)
		if c.kind.nested {
			n.queue.ReleaseNested(m.time(), took)
		} else {
			n.queue.Release(m.time(), took)
		}
		m.answer(c, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, BackendTime: took, ReachedBackend: true})
		m.checkWaiting(n)
	})
}

// recordRun updates the mean run times of a node.
func (n *modelNode) recordRun(k *modelKind, took time.Duration) {
	n.share += modelSmoothing * (took.Seconds()/k.objective.Seconds() - n.share)
	mean, known := n.runTimes[k.route]
	if !known {
		mean = took.Seconds()
	}
	n.runTimes[k.route] = mean + modelSmoothing*(took.Seconds()-mean)
}

// answer returns the answer of a target to the entry node.
func (m *model) answer(c *modelCall, a *cicadaseam.MeshAnswer) {
	a.Load, a.QueueTime = c.target.load(), m.now-c.queuedAt-a.BackendTime
	m.after(c.transit(), func() {
		c.entry.selector.RecordResult(m.time(), c.target.addr, m.now-c.sentAt, a)
		if a.Outcome == cicadaseam.OutcomeNotRun {
			if c.probing {
				c.probed = append(c.probed, c.target.addr)
				if c.probes == m.load.probes {
					c.endProbing(m.load.probes)
				}
				m.try(c)
				return
			}
			c.retryAfter = max(c.retryAfter, a.RetryAfter)
			if a.Reason == cicadaseam.ReasonQueueFull {
				c.refusals++
			}
			m.try(c)
			return
		}
		m.count(c, func(r *modelResult) {
			switch took := m.now - c.arrived; {
			case took <= c.kind.objective:
				r.onTime++
			case took <= m.timeout(c):
				r.late++
			default:
				r.timedOut++
			}
		})
	})
}

// refuse replies to a caller that it is to come again, which it does a few times.
func (m *model) refuse(c *modelCall) {
	m.count(c, func(r *modelResult) {
		r.held += m.now - c.triedAt
		r.refusals++
		switch c.refusedBefore {
		case 0:
			r.refused++
		case 1:
			r.refusedTwice++
		}
	})
	if c.refusedBefore == m.load.retries || c.kind.nested {
		m.count(c, func(r *modelResult) { r.unserved++ })
		return
	}
	room := c.retryAfter
	*c = modelCall{kind: c.kind, entry: c.entry, arrived: c.arrived, work: c.work, refusedBefore: c.refusedBefore + 1, rank: slot.RankBase, tried: map[string]bool{}}
	after := time.Duration(c.entry.selector.retryJitter() * float64(m.load.returnTime(room)))
	limit := time.Duration(maxRetryAfterShare * float64(m.timeout(c)-(m.now-c.arrived)))
	m.after(min(max(after, minRetryAfter), limit), func() {
		c.triedAt = m.now
		m.try(c)
	})
}
