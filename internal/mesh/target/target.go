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
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/decision"
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

// Guard hears of requests that ran well and of those that ran at a crash.
type Guard interface {
	Crashed(now time.Time, crash string, fingerprints []uint64)
	Succeeded(now time.Time, fingerprint uint64)
}

type noGuard struct{}

func (noGuard) Crashed(time.Time, string, []uint64) {}

func (noGuard) Succeeded(time.Time, uint64) {}

// Option changes a new Target.
type Option func(*Target)

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(t *Target) { t.logger = l } }

// WithGuard sets who hears of crashes.
func WithGuard(g Guard) Option { return func(t *Target) { t.guard = g } }

// WithLease sets how long an instance is used after its last announcement.
func WithLease(d time.Duration) Option { return func(t *Target) { t.lease = d } }

// WithChanged sets a function that is called when the state of the instance
// changes.
func WithChanged(f func()) Option { return func(t *Target) { t.changed = f } }

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
		t.logger.Info("announcement ignored", zap.String("instance", x.ID), zap.Int64("sequence", x.Sequence), zap.Int64("born", x.Born))
	}
	if changed {
		t.logger.Info("backend server changed", zap.String("instance", x.ID), zap.String("service", x.Service),
			zap.Stringer("state", x.State), zap.Int("slots", x.Slots), zap.Int64("sequence", x.Sequence), zap.Duration("cold", x.Cold))
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
func (t *Target) Left() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keeper.leftIDs()
}

// Bind takes ids of instances that left before this process started.
func (t *Target) Bind(now time.Time, ids []string) {
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
		t.server.queue.Clear()
		t.server.client.Close()
	}
	t.server = &server{
		instance:  x,
		client:    upstream.New(x.Addr, t.headers),
		queue:     slot.New(x.Slots),
		heard:     now,
		leaving:   x.State == cicadaseam.BackendDraining,
		coldUntil: now.Add(x.Cold),
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
		return cicadaseam.ReasonBackend
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
		Running: s.queue.Running(),
		Queued:  s.queue.Waiting(),
		Slots:   s.queue.Limit(),
		Wait:    s.queue.Estimate(usualRank),
		Pace:    s.stats.paceNow(now, s.coldUntil),
		Failing: s.stats.failingNow(now),
	}
}

// usualRank is the rank for which the load is told.
const usualRank = slot.RankLate - 1

// Run runs a request, or says why not.
func (t *Target) Run(ctx context.Context, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	began := time.Now()
	s, item, refused := t.admit(began, call)
	if refused != nil {
		return refused
	}
	if item != nil {
		if refused := t.await(ctx, s, item); refused != nil {
			return refused
		}
	}
	queued := time.Since(began)
	left := call.Budget - queued
	if left < leastRun {
		t.release(s, 0)
		return t.refusal(s, cicadaseam.ReasonDeadline, 0)
	}
	answer := t.send(ctx, s, call, left)
	answer.Queued = queued
	return answer
}

// admit offers a request to the queue. Without a refusal and an item it may start.
func (t *Target) admit(now time.Time, call *cicadaseam.MeshCall) (*server, *slot.Item, *cicadaseam.MeshAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server
	if s == nil || s.instance.Service != call.Service {
		return nil, nil, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonNoTarget}
	}
	if reason := s.unfit(now, t.lease); reason != cicadaseam.ReasonNone {
		return nil, nil, refusalLocked(now, s, reason, 0)
	}
	if call.Budget < s.least(call) {
		return nil, nil, refusalLocked(now, s, cicadaseam.ReasonDeadline, 0)
	}
	item := &slot.Item{Rank: rankOf(call), Due: now.Add(call.Due), Wait: call.Wait, Work: s.expected(call), Ready: make(chan bool, 1)}
	verdict, wait := s.queue.Offer(now, item)
	switch verdict {
	case slot.Started:
		return s, nil, nil
	case slot.Refused:
		return nil, nil, refusalLocked(now, s, cicadaseam.ReasonQueueFull, wait)
	}
	t.wake(s)
	return s, item, nil
}

// hopelessShare is the part of the expected time below which a request is not
// started: it would take a slot and hardly ever end in time.
const hopelessShare = 0.7

// least returns the least time that a request must have left to be worth a slot.
func (s *server) least(call *cicadaseam.MeshCall) time.Duration {
	return time.Duration(hopelessShare * float64(s.expected(call)))
}

// expected returns how long a request is expected to run, or 0 when too little is
// known.
func (s *server) expected(call *cicadaseam.MeshCall) time.Duration {
	if s.stats.samples < fewSamples {
		return 0
	}
	return time.Duration(s.stats.pace * float64(call.Objective))
}

// rankOf returns the rank in which a request waits.
func rankOf(call *cicadaseam.MeshCall) int {
	switch {
	case call.Nested:
		return slot.RankNested
	case call.Late:
		return slot.RankLate
	case call.Returning:
		return min(slot.RankFirst+2*call.Priority, usualRank)
	}
	return min(slot.RankFirst+2*call.Priority+1, usualRank)
}

func refusalLocked(now time.Time, s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, Wait: wait, Load: s.load(now)}
}

func (t *Target) refusal(s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return refusalLocked(time.Now(), s, reason, wait)
}

// wake lets the waits of a queue end while there is one. The lock is held.
func (t *Target) wake(s *server) {
	if s.waker {
		return
	}
	s.waker = true
	time.AfterFunc(expirePeriod, func() { t.expire(s) })
}

func (t *Target) expire(s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.waker = false
	now := time.Now()
	s.queue.Expire(now)
	if s.queue.Waiting() > 0 {
		t.wake(s)
	}
}

// await waits until a queued request may start.
func (t *Target) await(ctx context.Context, s *server, item *slot.Item) *cicadaseam.MeshAnswer {
	select {
	case start := <-item.Ready:
		if start {
			return nil
		}
		return t.refusal(s, cicadaseam.ReasonQueueTimeout, t.room(s, item.Rank))
	case <-ctx.Done():
	}
	t.mu.Lock()
	withdrawn := s.queue.Withdraw(item)
	t.mu.Unlock()
	if !withdrawn && <-item.Ready {
		t.release(s, 0)
	}
	reason := cicadaseam.ReasonCanceled
	if ctx.Err() == context.DeadlineExceeded {
		reason = cicadaseam.ReasonDeadline
	}
	return t.refusal(s, reason, 0)
}

// room returns how long a request of a rank would wait now.
func (t *Target) room(s *server, rank int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.queue.Estimate(rank)
}

// release gives a slot back.
func (t *Target) release(s *server, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.queue.Done(time.Now(), took)
}

// Runs reports whether a request runs here now.
func (t *Target) Runs(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[id] > 0
}

// mark counts a request as running or no longer so.
func (t *Target) mark(s *server, call *cicadaseam.MeshCall, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[call.ID] += by; t.running[call.ID] <= 0 {
		delete(t.running, call.ID)
	}
	if s.work[call.Fingerprint] += by; s.work[call.Fingerprint] <= 0 {
		delete(s.work, call.Fingerprint)
	}
}

// crashTimeout bounds the question whether a backend server still listens.
const crashTimeout = 300 * time.Millisecond

// look finds out whether a backend server crashed under a request whose connection
// broke. A server that only closed the connection still listens.
func (t *Target) look(s *server, result *upstream.Result) {
	if result.Err == nil || !result.Sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if !s.client.Refuses(ctx) {
		return
	}
	t.mu.Lock()
	now := time.Now()
	known := now.Before(s.downUntil)
	s.downUntil = now.Add(downFirst)
	s.queue.Clear()
	s.crashes++
	crash := fmt.Sprintf("%s/%d", s.instance.ID, s.crashes)
	prints := make([]uint64, 0, len(s.work))
	for f := range s.work {
		prints = append(prints, f)
	}
	t.mu.Unlock()
	if known {
		return // another request has told of this crash
	}
	t.logger.Info("backend server crashed", zap.String("crash", crash), zap.Int("running", len(prints)))
	t.guard.Crashed(now, crash, prints)
	t.changed()
}

// send runs a request that has a slot.
func (t *Target) send(ctx context.Context, s *server, call *cicadaseam.MeshCall, left time.Duration) *cicadaseam.MeshAnswer {
	t.mark(s, call, 1)
	defer t.mark(s, call, -1)
	began := time.Now()
	result := s.client.Do(ctx, call, s.instance.ID, left)
	took := time.Since(began)
	if ctx.Err() == nil {
		t.look(s, &result)
	}
	answer := &cicadaseam.MeshAnswer{Ran: took, Offered: result.Sent}
	t.judge(ctx, answer, &result)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.note(now, s, call, answer, took)
	answer.Load = s.load(now)
	if result.Err != nil && ctx.Err() == nil {
		t.logger.Info("backend server failed", zap.String("request", call.ID), zap.String("instance", s.instance.ID),
			zap.Stringer("outcome", answer.Outcome), zap.Duration("took", took), decision.Error(result.Err))
	}
	return answer
}

// judge tells what became of a request from what came back.
func (t *Target) judge(ctx context.Context, answer *cicadaseam.MeshAnswer, r *upstream.Result) {
	switch {
	case r.Err == nil && r.Rejected:
		answer.Outcome = cicadaseam.OutcomeNotRun
		answer.Reason = cicadaseam.ReasonRejected
	case r.Err == nil:
		answer.Outcome = cicadaseam.OutcomeRan
		answer.Status = r.Status
		answer.Headers = r.Headers
		answer.Body = r.Body
	case !r.Sent:
		answer.Outcome = cicadaseam.OutcomeNotRun
		answer.Reason = cicadaseam.ReasonBackend
	case ctx.Err() == context.DeadlineExceeded:
		answer.Reason = cicadaseam.ReasonDeadline
	case ctx.Err() != nil:
		answer.Reason = cicadaseam.ReasonCanceled
	default:
		answer.Reason = cicadaseam.ReasonBackend
	}
}

// note learns from an answer. The lock is held.
func (t *Target) note(now time.Time, s *server, call *cicadaseam.MeshCall, answer *cicadaseam.MeshAnswer, took time.Duration) {
	ran := answer.Outcome == cicadaseam.OutcomeRan && answer.Status < http.StatusInternalServerError
	if !ran {
		took = 0
	}
	s.queue.Done(now, took)
	if ran {
		s.stats.ran(now, took, call.Objective)
		t.guard.Succeeded(now, call.Fingerprint)
		s.refusals = 0
		return
	}
	if answer.Reason == cicadaseam.ReasonCanceled {
		return
	}
	s.stats.failed(now)
	if !answer.Offered {
		s.refusals++
		s.downUntil = now.Add(min(downFirst<<min(s.refusals-1, 10), downLimit))
		s.queue.Clear()
	}
}
