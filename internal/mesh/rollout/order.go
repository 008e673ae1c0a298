package rollout

import (
	"slices"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// maxPast bounds the superseded orders that are remembered for a service.
	maxPast = 8
	// window is the time of the recent evidence that is judged besides all of it, so that a
	// version which becomes bad late is not covered by its earlier responses.
	window = 5 * time.Second
	// snapshotPeriod is the time between two snapshots of the counts, from which the recent
	// evidence is computed.
	snapshotPeriod = time.Second
	// confirmTime is how long a version must be found to fail before it counts as bad. Within it,
	// the urgent counts of the old servers arrive, which fail too if the cause is a service that
	// both versions call. confirmPart bounds it to a part of Settings.Limit.
	confirmTime = 200 * time.Millisecond
	confirmPart = 0.2
)

// pastOrder is an order that was superseded.
type pastOrder struct {
	key    uint32
	offset cicadaseam.Offset
}

// seriesKey identifies the counts of one process for one instance while it runs one version.
type seriesKey struct {
	instance string
	process  int64
	version  string
}

// series is the evidence from one process.
type series struct {
	latest    Counts
	snapshots []snapshot
}

type snapshot struct {
	at     time.Duration
	counts Counts
}

// order is the state of one order.
type order struct {
	cicadaseam.RolloutOrder
	key uint32
	// baseAge is the age at learnedAt.
	baseAge   time.Duration
	learnedAt time.Duration
	// started is the age at which servers of the version were first seen, or negative.
	started time.Duration
	bad     bool
	done    bool
	posted  uint8 // as in OrderState
	// postedEpoch is the epoch of the store in which posted was written or read.
	postedEpoch uint64
	// statusRead is set once this process or another one has read the status.
	statusRead bool
	fromPeer   bool // whether another node has reported the order
	// othersSeen is set once a server of another version was seen since the order.
	othersSeen bool
	counter    *counter
	// slackDue is set until the counter has got its part of the slack. That needs the number of
	// nodes, which the first View tells.
	slackDue bool
	evidence map[seriesKey]*series
	// evidenceNew is set if the evidence has changed since it was last judged.
	evidenceNew bool
	// failingSince is the time from which on each evaluation has found that the version fails, or
	// negative.
	failingSince time.Duration
	// slowTimed is the number of run times at the first of the consecutive evaluations that
	// found the version slow, or 0.
	slowTimed int64
	// wanted is the state that is to be written, and wantedSince the time from which on.
	wanted      cicadaseam.RolloutState
	wantedEpoch uint64
	wantedSince time.Duration
	// drainedSince is the time from which on all nodes have shifted and all old servers are
	// drained, or negative.
	drainedSince time.Duration
	step         Step
	past         []pastOrder
}

func newOrder(now time.Duration, x cicadaseam.RolloutOrder) *order {
	return &order{RolloutOrder: x, key: key(x), learnedAt: now, started: -1, drainedSince: -1, failingSince: -1, wantedSince: -1, counter: &counter{}, evidence: map[seriesKey]*series{}}
}

// age returns the time since the order.
func (o *order) age(now time.Duration) time.Duration { return o.baseAge + now - o.learnedAt }

// raiseAge makes the age at least a.
func (o *order) raiseAge(now, a time.Duration) {
	if d := a - o.age(now); d > 0 {
		o.baseAge += d
	}
}

// final returns the final state that is known to be written, or RolloutRunning.
func (o *order) final() cicadaseam.RolloutState {
	if o.posted > 1 {
		return cicadaseam.RolloutState(o.posted - 1)
	}
	return cicadaseam.RolloutRunning
}

// state returns the state that the status should have.
func (o *order) state() cicadaseam.RolloutState {
	switch {
	case o.final().IsFinal():
		return o.final()
	case o.bad:
		return cicadaseam.RolloutRolledBack
	case o.done:
		return cicadaseam.RolloutComplete
	}
	return cicadaseam.RolloutRunning
}

// currentStep returns the step at a time. connected says whether this node has reached another
// node or the store lately.
func (o *order) currentStep(now time.Duration, connected bool) Step {
	switch o.state() {
	case cicadaseam.RolloutComplete:
		return StepShift
	case cicadaseam.RolloutRolledBack:
		return StepBack
	case cicadaseam.RolloutRunning:
	}
	if o.started >= 0 && connected && o.age(now) >= shiftAge(o.Duration, o.started) {
		return StepShift
	}
	return StepCanary
}

// isPast reports whether an order is a superseded one that a restored store shows again.
func (o *order) isPast(x cicadaseam.RolloutOrder) bool {
	return x.Written.Epoch > o.Written.Epoch && slices.Contains(o.past, pastOrder{key(x), x.Written.Offset})
}

// addEvidence records the counts of a process for an instance and its version. Counts only rise; lower ones
// arrived late.
func (o *order) addEvidence(now time.Duration, k seriesKey, c Counts) {
	s := o.evidence[k]
	if s == nil {
		s = &series{snapshots: []snapshot{{now, Counts{}}}}
		o.evidence[k] = s
	}
	switch n, before := c.total().Responses, s.latest.total().Responses; {
	case n < before:
		return
	case n > before:
		o.evidenceNew = true
	}
	s.latest = c
	if now-s.snapshots[len(s.snapshots)-1].at < snapshotPeriod {
		return
	}
	s.snapshots = append(s.snapshots, snapshot{now, c})
	for len(s.snapshots) > 1 && now-s.snapshots[1].at >= window {
		s.snapshots = s.snapshots[1:]
	}
}

// collect returns the evidence since the order, or only the recent one.
func (o *order) collect(servers int, recent bool) Evidence {
	e := Evidence{New: map[string]Counts{}, Old: Counts{}, Servers: servers}
	for k, s := range o.evidence {
		c := s.latest
		if recent {
			c = c.since(s.snapshots[0].counts)
		}
		if k.version != o.Version {
			e.Old.add(c)
			continue
		}
		if e.New[k.instance] == nil {
			e.New[k.instance] = Counts{}
		}
		e.New[k.instance].add(c)
	}
	return e
}

// timed returns the number of run times of the target version.
func (e *Evidence) timed() (n int64) {
	for _, c := range e.New {
		n += c.total().Timed
	}
	return n
}

// judge returns why the version is bad, or "". A version that fails must do so for the time
// confirm, and one that is only slow at two evaluations with different evidence.
func (o *order) judge(now, confirm time.Duration, servers int) string {
	all, recent := o.collect(servers, false), o.collect(servers, true)
	v, late := Judge(all), Judge(recent)
	if v.Failing || late.Failing {
		if o.failingSince < 0 {
			o.failingSince = now
		}
		if now-o.failingSince < confirm {
			return ""
		}
		if !v.Failing {
			return "lately " + late.Reason
		}
		return v.Reason
	}
	o.failingSince = -1
	if !v.Slow && !late.Slow {
		o.slowTimed = 0
		return ""
	}
	timed := all.timed()
	if o.slowTimed == 0 {
		o.slowTimed = timed
		return ""
	}
	if timed <= o.slowTimed {
		return ""
	}
	if !v.Slow {
		return "lately " + late.Reason
	}
	return v.Reason
}

// report returns what other nodes are told.
func (o *order) report(now time.Duration) OrderState {
	return OrderState{
		Service: o.Service, Version: o.Version, Duration: o.Duration, Epoch: o.Written.Epoch, Offset: uint64(o.Written.Offset),
		Age: o.age(now).Milliseconds(), Started: o.startedMilli(), Bad: o.bad, Done: o.done, Shifted: o.step == StepShift,
		Posted: o.posted, PostedEpoch: o.postedEpoch,
	}
}

func (o *order) startedMilli() int64 {
	if o.started < 0 {
		return 0
	}
	return 1 + o.started.Milliseconds()
}

// merge adds what another node knows of the order.
func (o *order) merge(now time.Duration, s *OrderState) {
	o.fromPeer = true
	o.raiseAge(now, time.Duration(s.Age)*time.Millisecond)
	if started := time.Duration(s.Started-1) * time.Millisecond; s.Started > 0 && (o.started < 0 || started < o.started) {
		o.started = started
	}
	o.bad = o.bad || s.Bad
	o.done = o.done || s.Done
	o.post(s.Posted, s.PostedEpoch)
}

// post records that a status is written in an epoch. A final state is kept.
func (o *order) post(posted uint8, epoch uint64) {
	if posted == 0 {
		return
	}
	o.statusRead = true
	if !o.final().IsFinal() && posted > o.posted {
		o.posted = posted
		o.postedEpoch = epoch
		return
	}
	if posted == o.posted {
		o.postedEpoch = max(o.postedEpoch, epoch)
	}
}
