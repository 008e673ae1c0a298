// Package feed carries out what package spread decides: it tails the log,
// pushes records to peers, fetches what is missing, and writes snapshots.
//
// # Model
//
// One duty owns the spread state machine. Polls, pushes and fetches run beside
// it and report back. A push is acknowledged by the peer; when a child in the
// push tree does not answer, its branch is pushed to directly.
//
// A snapshot is written by the first node of the fleet in rendezvous order
// when the newest one in the log is old. It is a fact about a position and
// does no harm when it is written late or twice.
//
// # Usage
//
//	f := feed.New(log, store, gossip, pool, timers, rng)
//	go f.Run(ctx)
//	<-f.Ready()
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/snapshot"
	"github.com/cicadaseam/cicadaseam/internal/config/store"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

// Defaults.
const (
	// DefaultReadyWait is how long a new node waits for a version when it
	// reaches neither peers nor the log.
	DefaultReadyTimeout = 15 * time.Second
	DefaultPollWait     = time.Second
	tickPeriod          = 100 * time.Millisecond
	readLimit           = 500
	callTimeout         = 2 * time.Second
	pushTimeout         = 1200 * time.Millisecond
	pollMargin          = 2 * time.Second
	// maxRoots bounds the roots that are remembered.
	maxRoots = 256
)

// Fleet is what the feed needs of membership.
type Fleet interface {
	View() *view.View
}

// Counters count the traffic of configuration.
type Counters struct {
	LogReads       atomic.Int64
	LogErrors      atomic.Int64
	PushesSent     atomic.Int64
	PushesReceived atomic.Int64
	PushesNew      atomic.Int64
	Fetches        atomic.Int64
	Snapshots      atomic.Int64
	Divergences    atomic.Int64
}

// Feed is the configuration part of one node that talks to others.
type Feed struct {
	log       cicadaseam.Log
	store     *store.Store
	fleet     Fleet
	pool      *mux.Pool
	timers    *timer.Service
	logger    *zap.Logger
	fanout    int
	readyWait time.Duration
	pollWait  time.Duration
	counts    Counters

	mu       sync.Mutex
	spread   *distribution.Scheduler
	joined   bool
	logSeen  bool
	began    time.Time
	ready    chan struct{}
	readySet bool
	// handedOn is the last record handed on in the tree of each root.
	handedOn map[string]cicadaseam.Offset
	wg       sync.WaitGroup
}

// Option changes a new Feed.
type Option func(*Feed)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Feed) { f.logger = l } }

// WithReadyWait sets the wait of a node that reaches neither peers nor log.
func WithReadyTimeout(d time.Duration) Option { return func(f *Feed) { f.readyWait = d } }

// WithSpread replaces the default spread state machine.
func WithScheduler(s *distribution.Scheduler) Option { return func(f *Feed) { f.spread = s } }

// WithFanout sets the fan-out of the push tree; 0 turns pushing off.
func WithFanout(n int) Option { return func(f *Feed) { f.fanout = n } }

// New returns the feed of a node.
func New(log cicadaseam.Log, s *store.Store, fleet Fleet, pool *mux.Pool, timers *timer.Service, rng *rand.Rand, opts ...Option) *Feed {
	f := &Feed{
		log:       log,
		store:     s,
		fleet:     fleet,
		pool:      pool,
		timers:    timers,
		logger:    zap.NewNop(),
		fanout:    distribution.DefaultFanout,
		readyWait: DefaultReadyTimeout,
		pollWait:  DefaultPollWait,
		spread:    distribution.New(rng),
		ready:     make(chan struct{}),
		handedOn:  map[string]cicadaseam.Offset{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Counters returns the counters of the feed.
func (f *Feed) Counters() *Counters { return &f.counts }

// Ready returns a channel that is closed once the node may take calls.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// Run feeds the state machine until the context ends.
func (f *Feed) Run(ctx context.Context) {
	sub := f.timers.Subscribe(tickPeriod)
	defer sub.Stop()
	defer f.wg.Wait()
	f.wg.Add(1)
	go f.runSnapshots(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sub.C:
			f.tick(ctx, now)
		}
	}
}

func (f *Feed) tick(ctx context.Context, now time.Time) {
	position, _ := f.store.Position()
	in := distribution.Input{View: f.fleet.View(), Position: position, Halted: f.store.Halted() != nil}
	f.mu.Lock()
	if f.began.IsZero() {
		f.began = now
	}
	actions := f.spread.Tick(now, in)
	f.checkReady(now, position)
	f.mu.Unlock()
	for _, a := range actions {
		f.wg.Add(1)
		go f.execute(ctx, a)
	}
}

// checkReady lets the node take calls once it is at the highest position that
// its peers or the log reported, or when it can reach neither for the wait.
func (f *Feed) checkReady(now time.Time, position cicadaseam.Offset) {
	if f.readySet {
		return
	}
	informed := f.logSeen || f.joined
	caughtUp := informed && position >= f.spread.Latest(position) && position > 0
	if !caughtUp && now.Sub(f.began) < f.readyWait {
		return
	}
	f.readySet = true
	close(f.ready)
	f.logger.Info("ready for calls", zap.Uint64("position", uint64(position)), zap.Bool("caughtUp", caughtUp))
}

func (f *Feed) execute(ctx context.Context, a distribution.Action) {
	defer f.wg.Done()
	switch a.Kind {
	case distribution.Poll:
		err := f.poll(ctx)
		f.mu.Lock()
		f.spread.PollDone(time.Now(), err == nil)
		f.logSeen = f.logSeen || err == nil
		f.mu.Unlock()
	case distribution.Fetch:
		err := f.fetch(ctx, a.Addr)
		f.mu.Lock()
		f.spread.FetchDone(time.Now(), err == nil)
		f.mu.Unlock()
	}
}

// poll reads the log once, from the snapshot on when the tail is trimmed.
func (f *Feed) poll(ctx context.Context) error {
	position, _ := f.store.Position()
	f.counts.LogReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, f.pollWait+pollMargin)
	defer cancel()
	if position == 0 {
		if err := f.startFromSnapshot(ctx); err != nil {
			f.logger.Warn("snapshot unread", zap.Error(err))
		}
		position, _ = f.store.Position()
	}
	records, err := f.log.Read(ctx, cicadaseam.StreamConfig, position+1, readLimit, f.pollWait)
	var trimmed *cicadaseam.TrimmedError
	if errors.As(err, &trimmed) {
		return f.pastTrim(ctx, trimmed)
	}
	if err != nil {
		f.counts.LogErrors.Add(1)
		return err
	}
	return f.ingest(ctx, records)
}

// pastTrim goes on after records that the log no longer keeps: from a peer's
// memory, by the next heads, or from the newest snapshot.
func (f *Feed) pastTrim(ctx context.Context, trimmed *cicadaseam.TrimmedError) error {
	f.logger.Warn("tail is trimmed", zap.Uint64("first", uint64(trimmed.First)))
	if err := f.startFromSnapshot(ctx); err != nil {
		return err
	}
	position, _ := f.store.Position()
	if position+1 < trimmed.First {
		return errors.Newf("no snapshot reaches record %d", trimmed.First)
	}
	return nil
}

// Ingest takes records that the publisher of this node read from the log. The
// new ones go to the own zone with this node as the root, and to the first
// reader of each other zone, whose own poll may be in a backoff.
func (f *Feed) Ingest(ctx context.Context, records []cicadaseam.Record) error {
	f.mu.Lock()
	f.spread.ObserveLogResponse(time.Now(), 0)
	f.mu.Unlock()
	fresh, err := f.store.Ingest(records)
	if len(fresh) > 0 {
		f.push(ctx, fresh, f.fleet.View().Self.ID)
		f.pushHeads(ctx, fresh)
	}
	return err
}

// ingest takes records and pushes the new ones with this node as the root.
func (f *Feed) ingest(ctx context.Context, records []cicadaseam.Record) error {
	fresh, err := f.store.Ingest(records)
	if len(fresh) > 0 {
		f.push(ctx, fresh, f.fleet.View().Self.ID)
	}
	var halted *fold.HaltedError
	if errors.As(err, &halted) {
		f.logger.Error("configuration stopped", zap.Error(err))
	}
	return err
}

// Heard takes what a peer tells about the configuration by gossip.
func (f *Feed) ObservePeer(addr string, h cicadaseam.ConfigStatus) {
	position, _ := f.store.Position()
	if f.store.Diverges(h.Applied, h.Digest) {
		f.counts.Divergences.Add(1)
		f.logger.Error("a peer decided otherwise", zap.String("peer", addr), zap.Uint64("position", uint64(h.Applied)))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joined = true
	f.spread.ObservePeer(time.Now(), addr, h, position)
}

// Head returns what this node tells others about the configuration.
func (f *Feed) Status() cicadaseam.ConfigStatus {
	position, digest := f.store.Position()
	f.mu.Lock()
	defer f.mu.Unlock()
	return cicadaseam.ConfigStatus{
		Latest:  f.spread.Latest(position),
		Age:     f.spread.LogAge(time.Now()),
		Applied: position,
		Digest:  digest,
	}
}

// Reader reports whether this node tails the log for its zone.
func (f *Feed) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread.IsReader(f.fleet.View())
}

// decodeSnapshot installs a snapshot if it is newer.
func (f *Feed) decodeSnapshot(data []byte) error {
	state, err := snapshot.Decode(data)
	if err != nil {
		return err
	}
	f.store.InstallSnapshot(state)
	return nil
}
