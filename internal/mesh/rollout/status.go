package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// drainQuiet is how long an old server must have no request to count as drained, and
	// drainHold how long all of them must be drained. Together they cover the time that a
	// request spends between two nodes.
	drainQuiet = 200 * time.Millisecond
	drainHold  = 300 * time.Millisecond
	// writeStagger is the time by which each further node by hash writes a final state later,
	// unless it learns that the status is written. otherStagger is that for other writes, which
	// are not urgent.
	writeStagger = 100 * time.Millisecond
	otherStagger = 500 * time.Millisecond
)

// finish decides that a rollout is complete, once no request is at an old server any more or
// the deadline is near. Nodes of a higher rank do so later, if those before them have not.
func (t *Tracker) finish(now time.Duration, o *order, v View, rank int) {
	if o.state() != cicadaseam.RolloutRunning || o.step != StepShift {
		o.drainedSince = -1
		return
	}
	if !t.allDrained(o, v) {
		o.drainedSince = -1
	} else if o.drainedSince < 0 {
		o.drainedSince = now
	}
	stagger := time.Duration(rank) * writeStagger
	drained := o.drainedSince >= 0 && now-o.drainedSince >= drainHold+stagger
	if drained || o.age(now) >= o.Duration-forceMargin+stagger {
		o.done = true
		t.logger.Info("rollout verdict", zap.String("service", o.Service), zap.String("version", o.Version), zap.String("reason", "not bad"), zap.Bool("drained", drained), zap.Duration("age", o.age(now)))
	}
}

// allDrained reports whether every live node has shifted and no old server has a request.
func (t *Tracker) allDrained(o *order, v View) bool {
	for i := range v.Peers {
		p := &v.Peers[i]
		if p.Report == nil || !p.Report.shifted(o) {
			return false
		}
		if p.Service == o.Service && p.Report.Version != o.Version && !p.Report.Drained {
			return false
		}
	}
	isOld := v.Self.Service == o.Service && v.Self.Report != nil && v.Self.Report.Version != o.Version
	return !isOld || t.drained
}

// shifted reports whether the sender of a report sends every request to the version of an order.
func (r *Report) shifted(o *order) bool {
	return slices.ContainsFunc(r.Orders, func(s OrderState) bool { return s.Shifted && key(s.order()) == o.key })
}

// rankOf returns the number of nodes that come before a node in the order of writers: the live
// ones with a higher rendezvous hash that reach the store.
func rankOf(o *order, node string, peers []Peer) int {
	own, rank := writerHash(o.Service, node), 0
	for i := range peers {
		p := &peers[i]
		if p.Report != nil && !p.Leaving && !p.StoreUnavailable && !p.Report.StoreFailed && writerHash(o.Service, p.Node) > own {
			rank++
		}
	}
	return rank
}

func writerHash(service, node string) uint64 {
	return xxhash.Sum64String("rollout\x00" + service + "\x00" + node)
}

// dueWrite returns the status that this node is to write now, if any.
func (t *Tracker) dueWrite(now time.Duration, o *order, v View, rank int) (cicadaseam.RolloutStatus, bool) {
	state := o.state()
	if o.started < 0 && state == cicadaseam.RolloutRunning || o.posted == 1+uint8(state) && o.postedEpoch >= v.StoreEpoch {
		o.wantedSince = -1
		return cicadaseam.RolloutStatus{}, false
	}
	if o.wantedSince < 0 || o.wanted != state || o.wantedEpoch != v.StoreEpoch {
		o.wanted, o.wantedEpoch, o.wantedSince = state, v.StoreEpoch, now
	}
	stagger := otherStagger
	if state.IsFinal() && o.posted < 1+uint8(state) {
		stagger = writeStagger
	}
	if now-o.wantedSince < time.Duration(rank)*stagger {
		return cicadaseam.RolloutStatus{}, false
	}
	return cicadaseam.RolloutStatus{Service: o.Service, Version: o.Version, State: state, Duration: o.Duration, Since: v.Wall.Add(-o.age(now))}, true
}

// MustWrite reports whether a status is to be written, given those that the store has. The state
// may have changed since the write became due, and a final state in the store stays.
func (t *Tracker) MustWrite(w cicadaseam.RolloutStatus, stored []cicadaseam.RolloutStatus) bool {
	o := t.orders[w.Service]
	if o == nil || o.Version != w.Version || o.Duration != w.Duration || o.state() != w.State {
		return false
	}
	for _, s := range stored {
		if s.Service == w.Service && s.Version == w.Version && (s.Duration == 0 || s.Duration == w.Duration) {
			return s.State != w.State && !s.State.IsFinal()
		}
	}
	return true
}
