package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Times of the simulated mesh.
const (
	simStep    = 10 * time.Millisecond
	simTick    = 50 * time.Millisecond
	simBeat    = 500 * time.Millisecond
	simSilence = 3 * simBeat
	simCall    = 20 * time.Millisecond // of the store
)

// behaviour returns the run time of a request, as a factor of the usual one, and whether it fails.
// age is the time since the order.
type behaviour func(rng *rand.Rand, age time.Duration, inFlight int, route string) (factor float64, failed bool)

func good(*rand.Rand, time.Duration, int, string) (float64, bool) { return 1, false }

// simNode is one process with its backend server.
type simNode struct {
	name      string
	tracker   *Tracker
	recorder  *Recorder
	process   int64
	dead      bool
	suspended bool
	group     int // nodes of different groups do not reach each other
	noStore   bool
	instance  string
	version   string
	serve     behaviour
	warmUp    time.Duration // since the order
	inFlight  int
	heard     []simHeard // by index of the node
	speed     float64    // factor of its run times
	stalls    bool       // 8 times slower for 0.5 s of 8
	beatAt    time.Duration
	notify    bool
	callAt    time.Duration // no call to the store before
}

type simHeard struct {
	at   time.Duration
	peer Peer
}

// simEvent happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a mesh of one service in virtual time.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events simEvents
	nodes  []*simNode
	order  cicadaseam.RolloutOrder
	rate   float64 // requests a second

	storeDown    bool
	loseResponse bool // of the next append
	stored       []cicadaseam.RolloutStatus
	history      []cicadaseam.RolloutState // of the appends
	end          cicadaseam.Position

	ordered              time.Duration
	all, toNew           int64
	badAnswers           int64
	firstBad, fiftiethAt time.Duration
	lastNew              time.Duration
	finalAt              time.Duration
	oldInFlight, oldSent int64 // when complete was written, and afterwards
	refused              int64
	worst                float64 // most requests to the new version over its share and the slack
}

// newSim returns a mesh of n nodes, of which servers have a backend server of the old version and
// as many others one of the new version, which behaves as serve says.
func newSim(seed uint64, n, servers int, rate float64, duration time.Duration, serve behaviour) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, rate: rate, worst: -DefaultSettings.Slack, end: cicadaseam.Position{Epoch: 1},
		order: cicadaseam.RolloutOrder{Service: "desk", Version: "v2", Duration: duration, Written: cicadaseam.Position{Epoch: 1, Offset: 5}},
	}
	for i := range n {
		x := &simNode{name: string(rune('A'+i/26)) + string(rune('a'+i%26)), serve: good, speed: 1}
		switch {
		case i < servers:
			x.instance, x.version = "old-"+x.name, "v1"
		case i < 2*servers:
			x.instance, x.version, x.serve = "new-"+x.name, "v2", serve
		}
		s.nodes = append(s.nodes, x)
		s.startProcess(i)
	}
	s.run(4 * time.Second)
	return s
}

// startProcess starts the process of a node again, without what it knew.
func (s *sim) startProcess(i int) {
	x := s.nodes[i]
	x.tracker = NewTracker(s.now, x.name, DefaultSettings, s.rng.Float64)
	x.recorder = NewRecorder()
	x.process = int64(s.now) + int64(i)
	x.heard = make([]simHeard, 100)
	x.dead, x.suspended, x.notify, x.callAt = false, false, true, 0
	x.beatAt = s.now + time.Duration(s.rng.Int64N(int64(simBeat)))
}

func (s *sim) at(d time.Duration, do func()) { heap.Push(&s.events, simEvent{s.now + d, do}) }

// start gives the order to a node, as the reader of a zone.
func (s *sim) start() {
	s.ordered = s.now
	for _, x := range s.nodes[:3] {
		x.tracker.AddOrder(s.now, s.order)
	}
}

// age returns the time since the order, or 0 before.
func (s *sim) age() time.Duration {
	if s.ordered == 0 {
		return 0
	}
	return s.now - s.ordered
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for len(s.events) > 0 && s.events[0].at <= s.now {
			heap.Pop(&s.events).(simEvent).do()
		}
		for i, x := range s.nodes {
			if !x.dead && !x.suspended {
				s.stepNode(i, x)
			}
		}
		for n := s.poisson(s.rate * simStep.Seconds()); n > 0; n-- {
			s.request()
		}
	}
}

func (s *sim) poisson(mean float64) (n int) {
	for p := s.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= s.rng.Float64()
	}
	return n
}

func (s *sim) stepNode(i int, x *simNode) {
	if x.tracker.Active() && s.now%simTick == 0 {
		forKey, isTarget := x.tracker.Following("desk", x.version)
		x.recorder.Follow(x.instance, x.version, forKey, isTarget)
		v := View{Self: s.peer(x), Nodes: len(s.nodes), Busy: x.inFlight > 0, StoreEpoch: s.end.Epoch, Wall: time.Unix(0, 0).Add(s.now)}
		for _, h := range x.heard {
			if h.at > 0 && s.now-h.at < simSilence {
				v.Peers = append(v.Peers, h.peer)
			}
		}
		a := x.tracker.Tick(s.now, v)
		x.notify = x.notify || a.Notify
		if (len(a.Writes) > 0 || a.ReadStatus) && s.now >= x.callAt {
			x.callAt = s.now + 300*time.Millisecond
			process := x.process
			s.at(simCall, func() { s.callStore(x, process, a.Writes) })
		}
	}
	if x.notify || s.now >= x.beatAt {
		if !x.notify {
			x.beatAt = s.now + simBeat
		}
		x.notify = false
		s.sendHeartbeat(i, x)
	}
}

func (s *sim) peer(x *simNode) Peer {
	counts, forKey := x.recorder.Counts()
	p := Peer{Node: x.name, Instance: x.instance, Process: x.process, Serving: x.instance != "", Report: x.tracker.Report(s.now, x.version, counts, forKey)}
	if x.instance != "" {
		p.Service = "desk"
	}
	return p
}

// sendHeartbeat sends a heartbeat to the other nodes. One of 100 is lost.
func (s *sim) sendHeartbeat(i int, x *simNode) {
	p := s.peer(x)
	group := x.group
	s.at(simStep, func() {
		for _, y := range s.nodes {
			if y == x || y.dead || y.suspended || y.group != group || s.rng.Float64() < 0.01 {
				continue
			}
			y.heard[i] = simHeard{s.now, p}
			y.tracker.Contact(s.now)
			y.tracker.Merge(s.now, p.Node, p.Report)
		}
	})
}

// callStore reads the statuses for a node and writes those that are due, like the sidecar.
func (s *sim) callStore(x *simNode, process int64, writes []cicadaseam.RolloutStatus) {
	if x.dead || x.suspended || x.process != process {
		return
	}
	if s.storeDown || x.noStore {
		x.tracker.StoreFailed()
		return
	}
	stored, at := append([]cicadaseam.RolloutStatus(nil), s.stored...), s.end
	for _, st := range stored {
		x.tracker.ObserveStatus(s.now, time.Unix(0, 0).Add(s.now), st, at.Epoch)
	}
	x.tracker.StatusesRead(s.now)
	for _, w := range writes {
		if !x.tracker.MustWrite(w, stored) {
			continue
		}
		s.at(simCall, func() {
			if s.end != at || s.storeDown {
				return // the next attempt reads again
			}
			s.append(w)
			if s.loseResponse {
				s.loseResponse = false
				return
			}
			if !x.dead && !x.suspended && x.process == process {
				x.tracker.StatusWritten(s.now, w, s.end.Epoch)
				x.notify = true
			}
		})
	}
}

func (s *sim) append(w cicadaseam.RolloutStatus) {
	s.stored = []cicadaseam.RolloutStatus{w}
	s.history = append(s.history, w.State)
	s.end.Offset++
	if w.State.IsFinal() && s.finalAt == 0 {
		s.finalAt = s.now
	}
	if w.State == cicadaseam.RolloutComplete {
		for _, x := range s.nodes {
			if x.version == "v1" {
				s.oldInFlight += int64(x.inFlight)
			}
		}
	}
}

// state returns the state that the store has, and false without one.
func (s *sim) state() (cicadaseam.RolloutState, bool) {
	if len(s.stored) == 0 {
		return 0, false
	}
	return s.stored[0].State, true
}

// request sends one request from a node to a server, as the dispatcher selects it.
func (s *sim) request() {
	x := s.nodes[s.rng.IntN(len(s.nodes))]
	if x.dead || x.suspended {
		return
	}
	var inVersion, others []*simNode
	for j, h := range x.heard {
		if h.at > 0 && s.now-h.at < simSilence && h.peer.Serving && !s.nodes[j].dead {
			inVersion, others = divide(s.nodes[j], h.peer.Report, inVersion, others)
		}
	}
	if x.instance != "" {
		inVersion, others = divide(x, &Report{Version: x.version}, inVersion, others)
	}
	target := s.choose(x.tracker.Split("desk"), inVersion, others)
	if target == nil {
		if s.ordered > 0 {
			s.refused++
		}
		return
	}
	s.send(target)
}

func divide(x *simNode, r *Report, inVersion, others []*simNode) (v, o []*simNode) {
	if r != nil && r.Version == "v2" {
		return append(inVersion, x), others
	}
	return inVersion, append(others, x)
}

func (s *sim) choose(split *Split, inVersion, others []*simNode) *simNode {
	pick := func(from []*simNode) *simNode {
		if len(from) == 0 {
			return nil
		}
		a, b := from[s.rng.IntN(len(from))], from[s.rng.IntN(len(from))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	}
	if split == nil {
		return pick(append(inVersion, others...))
	}
	if split.Step == StepShift && len(inVersion) > 0 {
		split.TakeAll()
		return pick(inVersion)
	}
	if split.Step == StepCanary && split.Take() {
		names := make([]string, len(inVersion))
		for i, x := range inVersion {
			names[i] = x.instance
		}
		subset := split.Subset(names, len(others))
		var canary []*simNode
		for _, x := range inVersion {
			if subset[x.instance] {
				canary = append(canary, x)
			}
		}
		if x := pick(canary); x != nil {
			return x
		}
		split.MoveToOthers()
	}
	return pick(others)
}

// simRoutes are the routes and the cumulative share of the requests of each.
var simRoutes = []struct {
	name string
	upTo float64
}{{"a", 0.4}, {"b", 0.7}, {"c", 0.9}, {"d", 1}}

func (s *sim) send(x *simNode) {
	if s.ordered > 0 && s.age() < s.order.Duration {
		s.all++
		if x.version == "v2" {
			s.toNew++
		}
		s.worst = max(s.worst, float64(s.toNew)-DefaultSettings.Share*float64(s.all)-DefaultSettings.Slack)
	}
	if x.version == "v2" {
		s.lastNew = s.now
	}
	if final, ok := s.state(); ok && final == cicadaseam.RolloutComplete && x.version == "v1" {
		s.oldSent++
	}
	u, route := s.rng.Float64(), ""
	for _, r := range simRoutes {
		if route == "" && u <= r.upTo {
			route = r.name
		}
	}
	x.inFlight++
	factor, failed := x.serve(s.rng, s.age(), x.inFlight, route)
	bad := s.ordered > 0 && x.version == "v2" && (failed || factor >= 2)
	failed = failed || s.rng.Float64() < 0.002
	if factor *= x.speed; x.stalls && s.age()%(8*time.Second) > 7500*time.Millisecond {
		factor *= 8
	}
	warm := s.ordered > 0 && s.age() < x.warmUp
	const median, sigma = 60 * time.Millisecond, 0.5
	runTime := time.Duration(factor * float64(median) * math.Exp(sigma*s.rng.NormFloat64()))
	timedOut := runTime > 1200*time.Millisecond
	runTime = min(runTime, 1200*time.Millisecond)
	s.at(runTime, func() {
		x.inFlight--
		if bad && !warm {
			s.badAnswers++
			if s.badAnswers == 1 {
				s.firstBad = s.now
			}
			if s.badAnswers == 50 {
				s.fiftiethAt = s.now
			}
		}
		r := Response{Instance: x.instance, Version: x.version, Route: route, Failed: failed || timedOut, Lost: timedOut, TimedOut: timedOut, RunTime: runTime, WarmUp: warm}
		if !x.dead && x.recorder.Record(s.now, r) {
			x.tracker.Urgent()
			x.notify = true
		}
	})
}
