package rollout

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// contactTimeout is the time without a message of another node or the store after which a
	// node counts as partitioned. It then keeps the canary share.
	contactTimeout = 2 * time.Second
	// statusDelay is how long a node waits for other nodes to tell the status of an order,
	// before it reads the status itself.
	statusDelay = 300 * time.Millisecond
)

// Peer is a node as a tracker sees it.
type Peer struct {
	Node     string
	Service  string
	Instance string
	// Process distinguishes a process from the next one of the same node.
	Process int64
	Serving bool
	Leaving bool
	// StoreUnavailable is set while the store does not answer the node.
	StoreUnavailable bool
	// Report is nil if the node sent none.
	Report *Report
}

// View is what a node knows at a moment.
type View struct {
	Self  Peer
	Peers []Peer
	// Nodes is the number of known nodes, this one and the silent ones included.
	Nodes int
	// Busy is set while the backend server beside the node has requests in flight or queued.
	Busy bool
	// StoreEpoch is the newest known epoch of the store.
	StoreEpoch uint64
	// Wall is the time of the wall clock.
	Wall time.Time
}

// Actions are what a node is to do after a Tick.
type Actions struct {
	// Writes are the statuses that this node is to write.
	Writes []cicadaseam.RolloutStatus
	// ReadStatus is set if this node is to read the statuses.
	ReadStatus bool
	// Notify is set if the other nodes are to get a report at once.
	Notify bool
}

// Tracker holds the orders that a node knows. Only Split is safe for concurrent use with the
// other methods.
type Tracker struct {
	node      string
	startedAt time.Duration
	settings  Settings
	random    func() float64
	logger    *zap.Logger

	orders      map[string]*order  // by service
	rejected    map[string]bool    // texts of the errors that were logged
	lastReports map[string]*Report // the last one merged, by node
	splits      atomic.Pointer[map[string]*Split]
	contactAt   time.Duration
	quietSince  time.Duration // since when the backend server is not busy, or negative
	drained     bool          // as in Report
	storeFailed bool          // as in Report
	sequence    uint64        // as in Report
	digest      uint64        // of the state for which the sequence was last raised
	// evidenceSize is the number of responses in the evidence that last raised the sequence, at
	// evidenceAt.
	evidenceAt   time.Duration
	evidenceSize int64
}

// Option changes a new Tracker.
type Option func(*Tracker)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(t *Tracker) { t.logger = l } }

// NewTracker returns a tracker without orders for a node whose process starts now. random returns
// numbers from 0 to 1.
func NewTracker(now time.Duration, node string, s Settings, random func() float64, opts ...Option) *Tracker {
	t := &Tracker{node: node, startedAt: now, settings: s, random: random, logger: zap.NewNop(), orders: map[string]*order{}, rejected: map[string]bool{}, lastReports: map[string]*Report{}, quietSince: -1}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Active reports whether there is an order.
func (t *Tracker) Active() bool { return len(t.orders) > 0 }

// Split returns how the requests for a service are split between versions, or nil if there is
// no order for it.
func (t *Tracker) Split(service string) *Split {
	splits := t.splits.Load()
	if splits == nil {
		return nil
	}
	return (*splits)[service]
}

// Contact records that a message of another node or of the store arrived.
func (t *Tracker) Contact(now time.Duration) { t.contactAt = now }

func (t *Tracker) connected(now time.Duration) bool {
	return t.contactAt > 0 && now-t.contactAt <= contactTimeout
}

// Reject logs an order that cannot be followed, once.
func (t *Tracker) Reject(err error) {
	const maxRejected = 256
	text := err.Error()
	if t.rejected[text] || len(t.rejected) >= maxRejected {
		return
	}
	t.rejected[text] = true
	t.logger.Warn("rollout order ignored", zap.String("reason", text))
}

// AddOrder adds an order that the store has.
func (t *Tracker) AddOrder(now time.Duration, x cicadaseam.RolloutOrder) {
	t.Contact(now)
	if o := t.accept(now, x); o != nil && x.Abort && !o.bad {
		t.setBad(now, o, "aborted by the operator")
	}
	t.publish(now)
}

// accept returns the state of an order, which replaces an earlier one of its service. It returns
// nil if the order is outdated or cannot be followed.
func (t *Tracker) accept(now time.Duration, x cicadaseam.RolloutOrder) *order {
	if err := Validate(x); err != nil {
		t.Reject(err)
		return nil
	}
	o := t.orders[x.Service]
	if o != nil {
		if key(x) == o.key || x.Abort && x.Version == o.Version {
			if x.Written.After(o.Written) {
				o.Written = x.Written
			}
			return o
		}
		if !x.Written.After(o.Written) || o.isPast(x) {
			return nil
		}
		t.logger.Info("rollout superseded", zap.String("service", x.Service), zap.String("version", x.Version), zap.String("before", o.Version), zap.Stringer("state", o.state()))
	}
	next := newOrder(now, x)
	next.slackDue = now-t.startedAt >= freshProcess
	if o != nil {
		next.past = append(next.past, o.past...)
		next.past = append(next.past, pastOrder{o.key, o.Written.Offset})
		next.past = next.past[max(len(next.past)-maxPast, 0):]
	}
	t.orders[x.Service] = next
	t.logger.Info("rollout order", zap.String("service", x.Service), zap.String("version", x.Version), zap.Duration("duration", x.Duration), zap.Any("written", x.Written))
	return next
}

// Merge adds what another node reports. It reports whether that changed the state that this
// node reports. The change goes out with the next heartbeats, in case one of the origin was lost;
// nothing is sent at once, since the origin notifies all nodes.
func (t *Tracker) Merge(now time.Duration, node string, r *Report) bool {
	if r == nil || t.lastReports[node] == r {
		return false // compact heartbeats repeat the last report
	}
	t.lastReports[node] = r
	for i := range r.Orders {
		s := &r.Orders[i]
		o := t.accept(now, s.order())
		if o == nil || o.key != key(s.order()) {
			continue
		}
		wasBad, before := o.bad, o.state()
		o.merge(now, s)
		if o.bad && !wasBad {
			t.logger.Info("rollout verdict", zap.String("service", o.Service), zap.String("version", o.Version), zap.String("from", node), zap.Duration("age", o.age(now)))
		} else if o.state() != before {
			t.logger.Info("rollout state", zap.String("service", o.Service), zap.String("version", o.Version), zap.Stringer("state", o.state()), zap.String("from", node), zap.Duration("age", o.age(now)))
		}
	}
	t.publish(now)
	return t.updateDigest()
}

func (t *Tracker) setBad(now time.Duration, o *order, reason string) {
	if o.bad || o.final().IsFinal() {
		return
	}
	o.bad = true
	all, toTarget := o.counter.counts()
	t.logger.Warn("rollout verdict", zap.String("service", o.Service), zap.String("version", o.Version), zap.String("reason", reason),
		zap.Duration("age", o.age(now)), zap.Int64("sent", all), zap.Int64("sent-to-version", toTarget))
}

// ObserveStatus records a status that the store has in an epoch. It reports whether it belongs to
// the current order of its service.
func (t *Tracker) ObserveStatus(now time.Duration, wall time.Time, s cicadaseam.RolloutStatus, epoch uint64) bool {
	o := t.orders[s.Service]
	if o == nil || s.Version != o.Version || s.Duration != 0 && s.Duration != o.Duration {
		return false
	}
	o.othersSeen = o.othersSeen || s.State == cicadaseam.RolloutRunning
	if !s.Since.IsZero() {
		o.raiseAge(now, min(wall.Sub(s.Since), MaxDuration))
	}
	before := o.state()
	o.post(1+uint8(s.State), epoch)
	if o.state() != before {
		t.logger.Info("rollout state", zap.String("service", o.Service), zap.String("version", o.Version), zap.Stringer("state", o.state()), zap.String("from", "store"), zap.Duration("age", o.age(now)))
	}
	t.publish(now)
	return true
}

// StatusesRead records that all statuses were read, and so which orders have none.
func (t *Tracker) StatusesRead(now time.Duration) {
	t.Contact(now)
	t.storeFailed = false
	for _, o := range t.orders {
		o.statusRead = true
	}
}

// StatusWritten records that a status was written in an epoch.
func (t *Tracker) StatusWritten(now time.Duration, s cicadaseam.RolloutStatus, epoch uint64) {
	t.Contact(now)
	t.storeFailed = false
	t.logger.Info("rollout status written", zap.String("service", s.Service), zap.String("version", s.Version), zap.Stringer("state", s.State), zap.Uint64("epoch", epoch))
	if o := t.orders[s.Service]; o != nil && o.Version == s.Version && o.Duration == s.Duration {
		o.post(1+uint8(s.State), epoch)
	}
	t.publish(now)
}

// StoreFailed records that the store did not answer this node, so that another one writes.
func (t *Tracker) StoreFailed() { t.storeFailed = true }

// Tick advances the orders and returns what this node is to do.
func (t *Tracker) Tick(now time.Duration, v View) Actions {
	if len(v.Peers) == 0 && v.Nodes <= 1 {
		t.Contact(now) // a single node cannot be partitioned
	}
	t.updateDrained(now, v)
	var a Actions
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		o := t.orders[service]
		t.advance(now, o, v)
		rank := rankOf(o, t.node, v.Peers)
		t.finish(now, o, v, rank)
		a.ReadStatus = a.ReadStatus || !o.statusRead && (rank == 0 || now-o.learnedAt > statusDelay && !o.fromPeer)
		if w, due := t.dueWrite(now, o, v, rank); due {
			a.Writes = append(a.Writes, w)
		}
	}
	t.publish(now)
	a.Notify = t.updateDigest()
	return a
}

// updateDrained updates whether the backend server beside this node is an old one that has no
// request any more.
func (t *Tracker) updateDrained(now time.Duration, v View) {
	o := t.orders[v.Self.Service]
	shifted := o != nil && o.step == StepShift && v.Self.Report != nil && v.Self.Report.Version != o.Version
	if !shifted || v.Busy {
		t.quietSince, t.drained = -1, false
		return
	}
	if t.quietSince < 0 {
		t.quietSince = now
	}
	t.drained = now-t.quietSince >= drainQuiet
}

// advance updates what is known of the servers of an order, and judges the target version.
func (t *Tracker) advance(now time.Duration, o *order, v View) {
	if o.slackDue {
		o.slackDue = false
		o.counter.addSlack(t.settings.Slack, max(v.Nodes, 1), t.random())
	}
	servers := t.observeServers(now, o, v)
	if o.started < 0 && servers > 0 {
		o.started = o.age(now)
		t.logger.Info("rollout started", zap.String("service", o.Service), zap.String("version", o.Version), zap.Duration("duration", o.Duration), zap.Duration("age", o.started), zap.Int("servers", servers))
	}
	if (o.evidenceNew || o.failingSince >= 0) && o.state() == cicadaseam.RolloutRunning {
		o.evidenceNew = false
		confirm := min(confirmTime, time.Duration(confirmPart*float64(t.settings.Limit)))
		if reason := o.judge(now, confirm, servers); reason != "" {
			t.setBad(now, o, reason)
		}
	}
	if step := o.currentStep(now, t.connected(now)); step != o.step {
		o.step = step
		t.logStep(now, o, servers)
	}
}

// observeServers adds the evidence of the servers of the service, and returns the number of those of
// the target version that are serving.
func (t *Tracker) observeServers(now time.Duration, o *order, v View) (servers int) {
	t.visit(o, v, func(p *Peer) {
		switch {
		case !p.Serving:
		case p.Report != nil && p.Report.Version == o.Version:
			servers++
		default:
			o.othersSeen = true
		}
		if p.Report != nil && p.Report.EvidenceFor == o.key && len(p.Report.Evidence) > 0 {
			o.addEvidence(now, seriesKey{p.Instance, p.Process, p.Report.Version}, p.Report.Evidence)
		}
	})
	return servers
}

// logStep logs the step of an order and the evidence so far.
func (t *Tracker) logStep(now time.Duration, o *order, servers int) {
	e := o.collect(servers, false)
	total := Counts{}
	for _, c := range e.New {
		total.add(c)
	}
	all, toTarget := o.counter.counts()
	t.logger.Info("rollout step", zap.String("service", o.Service), zap.String("version", o.Version), zap.Stringer("step", o.step), zap.Duration("age", o.age(now)), zap.Int64("sent", all), zap.Int64("sent-to-version", toTarget))
	t.logger.Info("rollout evidence", zap.String("service", o.Service), zap.String("version", o.Version), zap.Int("servers", len(e.New)), zap.Any("new", total.total()), zap.Any("old", e.Old.total()))
}

// visit calls f with each node, this one included, whose backend server runs the service of an
// order.
func (t *Tracker) visit(o *order, v View, f func(p *Peer)) {
	for i := range v.Peers {
		if v.Peers[i].Service == o.Service {
			f(&v.Peers[i])
		}
	}
	if v.Self.Service == o.Service {
		f(&v.Self)
	}
}

// publish updates what Split returns, if that changes.
func (t *Tracker) publish(now time.Duration) {
	published := t.splits.Load()
	changed := published == nil || len(*published) != len(t.orders)
	splits := make(map[string]*Split, len(t.orders))
	for service, o := range t.orders {
		next := &Split{
			Version: o.Version, Step: o.currentStep(now, t.connected(now)), Lenient: !o.othersSeen,
			share: canaryPart * t.settings.Share, turn: int(o.age(now) / rotation), key: o.key, counter: o.counter,
		}
		if !changed {
			before := (*published)[service]
			changed = before == nil || *before != *next
		}
		splits[service] = next
	}
	if changed {
		t.splits.Store(&splits)
	}
}

// Counts returns the requests of this node for each service with an order and those of them that
// went to its target version, for metrics.
func (t *Tracker) Counts(visit func(service string, state cicadaseam.RolloutState, all, toTarget int64)) {
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		all, toTarget := t.orders[service].counter.counts()
		visit(service, t.orders[service].state(), all, toTarget)
	}
}
