package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

const (
	// rolloutTick is how often the orders are advanced while there is one.
	rolloutTick = 50 * time.Millisecond
	// idleTick is that while all orders have ended.
	idleTick = time.Second
	// statusRetry is the pause between two attempts to write or read a status.
	statusRetry = 300 * time.Millisecond
	// statusTimeout bounds one call to the store for a status.
	statusTimeout = 800 * time.Millisecond
	// statusAttempts bounds how often a conditional append is repeated because another record
	// landed before it.
	statusAttempts = 4
	// contactInterval is how often a node that receives no heartbeats reads the statuses from the
	// store. A response shows that the node is not partitioned.
	contactInterval = time.Second
)

// rollouts connects a rollout.Tracker with the other parts of a node. Its goroutine does nothing
// while there is no order.
type rollouts struct {
	node     *Node
	tracker  *rollout.Tracker // protected by mu, except for Split
	recorder *rollout.Recorder
	wake     chan struct{}
	active   atomic.Bool
	// contactAt is when a heartbeat arrived last, as of transit.Now.
	contactAt atomic.Int64
	mu        sync.Mutex
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{
		node:     n,
		tracker:  rollout.NewTracker(transit.Now(), n.settings.Name, n.settings.Rollout, rand.Float64, rollout.WithLogger(n.logger)),
		recorder: rollout.NewRecorder(),
		wake:     make(chan struct{}, 1),
	}
}

// addOrders adds the orders in a response of the store.
func (r *rollouts) addOrders(orders []cicadaseam.RolloutOrder, rejected []error) {
	if r.node.platform.Rollouts == nil || len(orders) == 0 && len(rejected) == 0 && !r.active.Load() {
		return
	}
	r.mu.Lock()
	now := transit.Now()
	r.tracker.Contact(now)
	for _, err := range rejected {
		r.tracker.Reject(err)
	}
	for _, x := range orders {
		r.tracker.AddOrder(now, x)
	}
	r.mu.Unlock()
	if len(orders) > 0 {
		r.trigger()
	}
}

// handleHeartbeat adds what another node knows of the orders.
func (r *rollouts) handleHeartbeat(hb *fleet.Heartbeat) {
	now := transit.Now()
	r.contactAt.Store(int64(now))
	if hb.Rollout == nil || r.node.platform.Rollouts == nil {
		return
	}
	r.mu.Lock()
	changed := r.tracker.Merge(now, hb.Node, hb.Rollout)
	r.mu.Unlock()
	if changed {
		r.trigger()
	}
}

// trigger starts the ticks, if there is an order.
func (r *rollouts) trigger() {
	r.mu.Lock()
	active := r.tracker.Active()
	r.mu.Unlock()
	r.active.Store(active)
	if !active {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// recordResponse counts a response of the backend server.
func (r *rollouts) recordResponse(x rollout.Response) {
	if !r.active.Load() || !r.recorder.Record(transit.Now(), x) {
		return
	}
	go func() { // the caller holds the lock of the target, which notifyPeers may need
		r.mu.Lock()
		r.tracker.Urgent()
		r.mu.Unlock()
		r.node.notifyPeers()
	}()
}

// report returns what the heartbeat tells of rollouts, or nil without an order. version is that
// of the backend server.
func (r *rollouts) report(version string) *rollout.Report {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportLocked(version)
}

func (r *rollouts) reportLocked(version string) *rollout.Report {
	counts, forKey := r.recorder.Counts()
	return r.tracker.Report(transit.Now(), version, counts, forKey)
}

// run advances the orders until the context ends.
func (r *rollouts) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-r.wake:
	}
	var storeCall statusCalls
	for ctx.Err() == nil {
		a, connected := r.tick()
		if a.Notify {
			r.node.notifyPeers()
		}
		storeCall.start(ctx, r, a, connected)
		next := time.NewTimer(rolloutTick)
		if len(a.Writes) == 0 && !a.ReadStatus && !r.hasRunning() {
			next.Reset(idleTick)
		}
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-r.wake:
		}
		next.Stop()
	}
}

// tick advances the tracker. It reports whether a heartbeat arrived within contactInterval.
func (r *rollouts) tick() (a rollout.Actions, connected bool) {
	n := r.node
	wall, now := time.Now(), transit.Now()
	instance, serving := n.target.Instance(wall)
	load := n.target.Load(wall)
	peers := n.fleet.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Duration(r.contactAt.Load()); at > 0 {
		r.tracker.Contact(at)
		connected = now-at < contactInterval
	}
	forKey, isTarget := r.tracker.Following(instance.Service, instance.Version)
	r.recorder.Follow(instance.ID, instance.Version, forKey, isTarget)
	v := rollout.View{
		Self: rollout.Peer{
			Node: n.settings.Name, Service: instance.Service, Instance: instance.ID, Process: n.epoch, Serving: serving,
			StoreUnavailable: n.syncer.SourceUnavailable(), Leaving: n.leaving.Load(), Report: r.reportLocked(instance.Version),
		},
		Nodes: n.fleet.Size(), Busy: load.InFlight+load.Queued > 0, StoreEpoch: n.platform.Epochs.Epoch(), Wall: wall,
	}
	for _, p := range peers {
		hb := &p.Heartbeat
		v.Peers = append(v.Peers, rollout.Peer{
			Node: hb.Node, Service: hb.Service, Instance: hb.Instance, Process: hb.Epoch, Serving: hb.Serving, Leaving: hb.Leaving,
			StoreUnavailable: hb.SourceUnavailable, Report: hb.Rollout,
		})
	}
	return r.tracker.Tick(now, v), connected
}

// statusCalls makes the calls to the store that a tracker asks for, one at a time.
type statusCalls struct {
	running atomic.Bool
	next    time.Time
}

// start makes the calls that are due, in a goroutine.
func (c *statusCalls) start(ctx context.Context, r *rollouts, a rollout.Actions, connected bool) {
	statusDue := len(a.Writes) > 0 || a.ReadStatus
	if !statusDue && (connected || !r.hasRunning()) {
		return
	}
	if time.Now().Before(c.next) || !c.running.CompareAndSwap(false, true) {
		return
	}
	pause := statusRetry
	if !statusDue {
		pause = contactInterval
	}
	c.next = time.Now().Add(pause)
	r.node.startTask(func() {
		defer c.running.Store(false)
		r.updateStatuses(ctx, a.Writes)
	})
}

// hasRunning reports whether an order has not ended.
func (r *rollouts) hasRunning() (running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Counts(func(_ string, state cicadaseam.RolloutState, _, _ int64) {
		running = running || !state.IsFinal()
	})
	return running
}

// updateStatuses reads the statuses and writes those that are due. Each append is conditional
// on the end of the stream at the time of the read, so that no final state is overwritten.
func (r *rollouts) updateStatuses(ctx context.Context, writes []cicadaseam.RolloutStatus) {
	for range statusAttempts {
		conflict, err := r.tryUpdate(ctx, writes)
		if err != nil {
			r.mu.Lock()
			r.tracker.StoreFailed()
			r.mu.Unlock()
			r.node.logger.Warn("rollout status not updated", zap.Int("writes", len(writes)), logging.Error(err))
			return
		}
		if !conflict {
			break
		}
	}
	r.trigger() // the other nodes learn at once what is written
}

// tryUpdate makes one attempt. It reports whether another record landed first.
func (r *rollouts) tryUpdate(ctx context.Context, writes []cicadaseam.RolloutStatus) (conflict bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	store := r.node.platform.Rollouts
	statuses, end, err := store.RolloutStatuses(ctx)
	if err != nil {
		return false, err
	}
	r.observe(statuses, end.Epoch)
	for _, w := range writes {
		r.mu.Lock()
		due := r.tracker.MustWrite(w, statuses)
		r.mu.Unlock()
		if !due {
			continue
		}
		epoch, err := store.WriteRolloutStatus(ctx, w, end)
		var lost *cicadaseam.ConflictError
		if errors.As(err, &lost) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		r.mu.Lock()
		r.tracker.StatusWritten(transit.Now(), w, max(epoch, end.Epoch))
		r.mu.Unlock()
		end.Offset++
	}
	return false, nil
}

func (r *rollouts) observe(statuses []cicadaseam.RolloutStatus, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := transit.Now(), time.Now()
	for _, s := range statuses {
		r.tracker.ObserveStatus(now, wall, s, epoch)
	}
	r.tracker.StatusesRead(now)
}

// metrics returns the lines of the metrics of rollouts.
func (r *rollouts) metrics() (lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Counts(func(service string, state cicadaseam.RolloutState, all, toTarget int64) {
		lines = append(lines,
			fmt.Sprintf("rollout-state.%s %d", service, state),
			fmt.Sprintf("rollout-sent.%s %d", service, all),
			fmt.Sprintf("rollout-sent-to-version.%s %d", service, toTarget))
	})
	return lines
}
