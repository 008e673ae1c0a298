// Package target runs requests at the backend server beside this node.
//
// # Model
//
// A backend server announces itself again and again; each start of it is an
// Instance. A Keeper holds the newest instance and a Target admits requests to it
// through a slot.Queue, sends them with the identity of the instance, and tells
// truthfully what became of each.
//
// An instance that says that it leaves is never used again, whatever older
// announcement of it arrives later.
//
// # Invariants
//
//   - A request of another service than the instance's is not run.
//   - OutcomeNotRun is answered only when no byte was sent or the backend server
//     itself rejected the request.
//   - After a leaving instance was acknowledged, no new request starts there.
//
// # Usage
//
//	t := target.New(headers, decisions)
//	t.Announce(now, instance)
//	answer := t.Run(ctx, call)
package target

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

const (
	// expirePeriod is how often waiting requests are looked at.
	expirePeriod = 10 * time.Millisecond
	// downFirst and downLimit bound the time for which a backend server that
	// refuses connections is left alone.
	downFirst = 100 * time.Millisecond
	downLimit = time.Second
	// leastRun is the least time that is worth starting a request for.
	leastRun = 5 * time.Millisecond
)

// Target runs the requests for one backend server. It is safe for concurrent use.
type Target struct {
	headers cicadaseam.MeshHeaders
	logger  *zap.Logger
	lease   time.Duration

	mu      sync.Mutex
	keeper  keeper
	running map[string]int // ids of the requests that run
	guard   Guard
	server  *server
	changed func()
}

// server is the current instance with what belongs to it.
type server struct {
	id       string // of the instance; it never changes
	instance cicadaseam.Instance
	client   *upstream.Client
	queue    *slot.Queue
	stats    stats
	heard    time.Time
	leaving  bool
	// downUntil is when a server that refused a connection is tried again.
	downUntil time.Time
	refusals  int
	coldUntil time.Time
	waker     bool
	// work counts the running requests by fingerprint; crashes numbers the crashes.
	work    map[uint64]int
	crashes int
}

// Option changes a new Target.
type Option func(*Target)

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(t *Target) { t.logger = l } }

// WithLease sets how long an instance is used after its last announcement.
func WithLease(d time.Duration) Option { return func(t *Target) { t.lease = d } }

// WithChanged sets a function that is called when the state of the instance
// changes.
func WithOnChange(f func()) Option { return func(t *Target) { t.changed = f } }

// DefaultLease is how long an instance is used after its last announcement.
const DefaultLease = 5 * time.Second

// New returns a target without an instance.
func New(headers cicadaseam.MeshHeaders, opts ...Option) *Target {
	t := &Target{headers: headers, logger: zap.NewNop(), lease: DefaultLease, changed: func() {}, running: map[string]int{}, guard: noGuard{}, keeper: newKeeper()}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetLease changes how long an instance is used after its last announcement.
func (t *Target) SetLease(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease = d
}

// Announce takes what a backend server says of itself.
func (t *Target) Announce(now time.Time, x cicadaseam.Instance) {
	t.mu.Lock()
	v := t.keeper.announce(now, t.currentID(), x)
	changed := false
	switch v {
	case verdictStale:
	case verdictRenewed:
		changed = t.renew(now, x)
	case verdictNew:
		t.replace(now, x)
		changed = true
	}
	t.mu.Unlock()
	if v == verdictStale {
		t.logger.Info("announcement ignored", zap.String("instance", x.ID), zap.Int64("sequence", x.Sequence), zap.Int64("born", x.StartUnixMilli))
	}
	if changed {
		t.logger.Info("backend server changed", zap.String("instance", x.ID), zap.String("service", x.Service),
			zap.Stringer("state", x.State), zap.Int("slots", x.Slots), zap.Int64("sequence", x.Sequence), zap.Duration("cold", x.WarmUp))
		t.changed()
	}
}

// Withdraw takes a goodbye: the instance gets no new request.
func (t *Target) Withdraw(now time.Time, id string) {
	t.mu.Lock()
	t.keeper.leave(now, id)
	was := t.server != nil && t.server.instance.ID == id && !t.server.leaving
	if was {
		t.server.leaving = true
	}
	t.mu.Unlock()
	if was {
		t.logger.Info("backend server leaves", zap.String("instance", id))
		t.changed()
	}
}

// Left returns the ids of instances that left of late.
func (t *Target) Departed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keeper.leftIDs()
}

// Bind takes ids of instances that left before this process started.
func (t *Target) MarkDeparted(now time.Time, ids []string) {
	for _, id := range ids {
		t.Withdraw(now, id)
	}
}

func (t *Target) currentID() string {
	if t.server == nil {
		return ""
	}
	return t.server.instance.ID
}

// renew takes a later announcement of the current instance. The lock is held.
func (t *Target) renew(now time.Time, x cicadaseam.Instance) bool {
	s := t.server
	old := s.instance
	s.instance = x
	s.heard = now
	s.queue.SetLimit(now, x.Slots)
	if x.State == cicadaseam.BackendDraining && !s.leaving {
		s.leaving = true
		return true
	}
	return old.Slots != x.Slots
}

// replace puts a new instance in the place of the old one, which still finishes
// what it runs. The lock is held.
func (t *Target) replace(now time.Time, x cicadaseam.Instance) {
	if t.server != nil {
		t.server.queue.RefuseAll()
		t.server.client.Close()
	}
	t.server = &server{
		id:        x.ID,
		instance:  x,
		client:    upstream.New(x.Addr, t.headers),
		queue:     slot.New(x.Slots),
		heard:     now,
		leaving:   x.State == cicadaseam.BackendDraining,
		coldUntil: now.Add(x.WarmUp),
		work:      map[uint64]int{},
	}
}

// Instance returns the current instance and whether it takes new requests.
func (t *Target) Instance(now time.Time) (cicadaseam.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil {
		return cicadaseam.Instance{}, false
	}
	return t.server.instance, t.server.unfit(now, t.lease) == cicadaseam.ReasonNone
}

// unfit returns why a server takes no new request.
func (s *server) unfit(now time.Time, lease time.Duration) cicadaseam.Reason {
	switch {
	case s.leaving:
		return cicadaseam.ReasonDraining
	case now.Sub(s.heard) > lease:
		return cicadaseam.ReasonNoTarget
	case now.Before(s.downUntil):
		return cicadaseam.ReasonBackendLost
	}
	return cicadaseam.ReasonNone
}

// Load returns the load of the target.
func (t *Target) Load(now time.Time) cicadaseam.MeshLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil {
		return cicadaseam.MeshLoad{}
	}
	return t.server.load(now)
}

func (s *server) load(now time.Time) cicadaseam.MeshLoad {
	return cicadaseam.MeshLoad{
		InFlight:        s.queue.Running(),
		Queued:          s.queue.Waiting(),
		Slots:           s.queue.Limit(),
		LatencyPermille: s.stats.paceNow(now, s.coldUntil),
		FailurePermille: s.stats.failingNow(now),
	}
}

// Wait returns how long a request that comes now would wait for a slot.
func (t *Target) EstimatedWait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil {
		return 0
	}
	return t.server.queue.EstimateWait(usualRank)
}

// usualRank is the rank of a request that is not late and of no known priority.
const usualRank = slot.RankLate - 1
