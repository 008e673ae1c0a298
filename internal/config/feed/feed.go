// Package feed moves configuration records between the log, this node and its peers:
// it tails the log, pushes records to peers, fetches missing ones, and writes
// snapshots. Package distribution decides when and with which peers.
//
// # Model
//
// A Feed drives a distribution.Scheduler from one loop. Polls and fetches run in
// goroutines of their own and report their end to the scheduler. A peer acknowledges
// each push; if a child in the push tree does not, the records are pushed directly to its
// children, and once more to the child.
//
// Snapshots are written by the first node of the fleet in rendezvous order, when its
// last one is old or many records have followed it. A snapshot depends only on the
// stream up to its position, so that it does no harm if it is written late or twice.
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

// Defaults and limits.
const (
	// DefaultReadyTimeout bounds the time that a new node waits until it has caught up with
	// the stream. After that it takes calls anyway, for instance when it reaches neither
	// peers nor the log.
	DefaultReadyTimeout = 15 * time.Second
	// DefaultPollWait is how long a poll waits at the log for a new record.
	DefaultPollWait = time.Second
	// tickPeriod is the time between two ticks of the scheduler.
	tickPeriod = 100 * time.Millisecond
	// maxRecordsPerRead bounds the number of records that a poll reads, or that a fetch
	// returns.
	maxRecordsPerRead = 500
	// requestTimeout bounds a fetch from a peer and the append of a snapshot.
	requestTimeout = 2 * time.Second
	// pushTimeout bounds a push to one peer.
	pushTimeout = 1200 * time.Millisecond
	// pollMargin is added to the wait of a poll to get its timeout.
	pollMargin = 2 * time.Second
	// maxForwardedRoots is the number of roots in Feed.forwarded above which the map is
	// emptied. After that, a push that arrives again is forwarded again.
	maxForwardedRoots = 256
)

// Fleet returns the current view of the members.
type Fleet interface {
	View() *view.View
}

// Counters count the traffic of configuration records.
type Counters struct {
	LogReads       atomic.Int64 // polls, and requests for snapshots in the log
	LogErrors      atomic.Int64 // polls that failed, other than at trimmed records
	PushesSent     atomic.Int64
	PushesReceived atomic.Int64
	PushesNew      atomic.Int64 // received pushes that brought new records
	Fetches        atomic.Int64
	Snapshots      atomic.Int64 // snapshots written
	Divergences    atomic.Int64 // statuses of peers with a different digest
}

// Feed exchanges the configuration records of one node with the log and the peers. It
// is safe for concurrent use.
type Feed struct {
	log          cicadaseam.Log
	store        *store.Store
	fleet        Fleet
	pool         *mux.Pool
	timers       *timer.Service
	logger       *zap.Logger
	fanout       int
	readyTimeout time.Duration
	pollWait     time.Duration
	counters     Counters

	mu        sync.Mutex
	scheduler *distribution.Scheduler
	// peerObserved is set once a peer has sent its status, and logAnswered once a poll
	// has succeeded.
	peerObserved bool
	logAnswered  bool
	startedAt    time.Time
	ready        chan struct{}
	isReady      bool // ready is closed
	// forwarded holds, for each root, the offset of the last record that this node
	// has forwarded in the tree of that root.
	forwarded map[string]cicadaseam.Offset
	wg        sync.WaitGroup
}

// Option configures a new Feed.
type Option func(*Feed)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Feed) { f.logger = l } }

// WithReadyTimeout sets the longest time that a new node waits until it has caught up with
// the stream.
func WithReadyTimeout(d time.Duration) Option { return func(f *Feed) { f.readyTimeout = d } }

// WithScheduler replaces the default scheduler.
func WithScheduler(s *distribution.Scheduler) Option { return func(f *Feed) { f.scheduler = s } }

// WithFanout sets the fan-out of the push trees; 0 disables pushes.
func WithFanout(n int) Option { return func(f *Feed) { f.fanout = n } }

// New returns the feed of a node.
func New(log cicadaseam.Log, s *store.Store, fleet Fleet, pool *mux.Pool, timers *timer.Service, rng *rand.Rand, opts ...Option) *Feed {
	f := &Feed{
		log:          log,
		store:        s,
		fleet:        fleet,
		pool:         pool,
		timers:       timers,
		logger:       zap.NewNop(),
		fanout:       distribution.DefaultFanout,
		readyTimeout: DefaultReadyTimeout,
		pollWait:     DefaultPollWait,
		scheduler:    distribution.New(rng),
		ready:        make(chan struct{}),
		forwarded:    map[string]cicadaseam.Offset{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Counters returns the counters of the feed.
func (f *Feed) Counters() *Counters { return &f.counters }

// Ready returns a channel that is closed when the node may take calls.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// Run drives the scheduler until the context ends.
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
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	actions := f.scheduler.Tick(now, in)
	f.updateReady(now, position)
	f.mu.Unlock()
	for _, a := range actions {
		f.wg.Add(1)
		go f.execute(ctx, a)
	}
}

// updateReady lets the node take calls once it has applied all records up to the highest
// position that its peers or the log reported, or when that has not happened within the
// timeout, for instance because it can reach neither.
func (f *Feed) updateReady(now time.Time, position cicadaseam.Offset) {
	if f.isReady {
		return
	}
	informed := f.logAnswered || f.peerObserved
	caughtUp := informed && position >= f.scheduler.Latest(position) && position > 0
	if !caughtUp && now.Sub(f.startedAt) < f.readyTimeout {
		return
	}
	f.isReady = true
	close(f.ready)
	f.logger.Info("ready for calls", zap.Uint64("position", uint64(position)), zap.Bool("caughtUp", caughtUp))
}

func (f *Feed) execute(ctx context.Context, a distribution.Action) {
	defer f.wg.Done()
	switch a.Kind {
	case distribution.Poll:
		err := f.poll(ctx)
		f.mu.Lock()
		f.scheduler.PollDone(time.Now(), err == nil)
		f.logAnswered = f.logAnswered || err == nil
		f.mu.Unlock()
	case distribution.Fetch:
		err := f.fetch(ctx, a.Addr)
		f.mu.Lock()
		f.scheduler.FetchDone(time.Now(), err == nil)
		f.mu.Unlock()
	}
}

// poll reads the log once. A node without records, or one whose next record is trimmed,
// starts from a snapshot.
func (f *Feed) poll(ctx context.Context) error {
	position, _ := f.store.Position()
	f.counters.LogReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, f.pollWait+pollMargin)
	defer cancel()
	if position == 0 {
		if err := f.installLatestSnapshot(ctx); err != nil {
			f.logger.Warn("cannot read snapshots from the log", zap.Error(err))
		}
		position, _ = f.store.Position()
	}
	records, err := f.log.Read(ctx, cicadaseam.StreamConfig, position+1, maxRecordsPerRead, f.pollWait)
	var trimmed *cicadaseam.TrimmedError
	if errors.As(err, &trimmed) {
		return f.recoverTrimmed(ctx, trimmed)
	}
	if err != nil {
		f.counters.LogErrors.Add(1)
		return err
	}
	return f.ingestPolled(ctx, records)
}

// recoverTrimmed continues after records that the log no longer holds, from the newest
// snapshot. If no snapshot reaches past them, the scheduler starts a fetch once it learns
// by gossip of a peer with a higher position. That peer answers with the records from its
// memory or with a snapshot.
func (f *Feed) recoverTrimmed(ctx context.Context, trimmed *cicadaseam.TrimmedError) error {
	f.logger.Warn("next record is trimmed from the log", zap.Uint64("first", uint64(trimmed.First)))
	if err := f.installLatestSnapshot(ctx); err != nil {
		return err
	}
	position, _ := f.store.Position()
	if position+1 < trimmed.First {
		return errors.Newf("no snapshot covers the trimmed records before %d", trimmed.First)
	}
	return nil
}

// Ingest applies records that the publisher of this node read from the log. It pushes
// the new ones to the zone of this node, with this node as the root, and to the first
// reader of each other zone, whose own next poll may be delayed by its backoff.
func (f *Feed) Ingest(ctx context.Context, records []cicadaseam.Record) error {
	f.mu.Lock()
	f.scheduler.ObserveLogResponse(time.Now(), 0)
	f.mu.Unlock()
	applied, err := f.store.Ingest(records)
	if len(applied) > 0 {
		f.pushToChildren(ctx, applied, f.fleet.View().Self.ID)
		f.pushToRemoteZones(ctx, applied)
	}
	return err
}

// ingestPolled applies polled records and pushes the new ones to the zone of this node,
// with this node as the root.
func (f *Feed) ingestPolled(ctx context.Context, records []cicadaseam.Record) error {
	applied, err := f.store.Ingest(records)
	if len(applied) > 0 {
		f.pushToChildren(ctx, applied, f.fleet.View().Self.ID)
	}
	var halted *fold.HaltedError
	if errors.As(err, &halted) {
		f.logger.Error("configuration updates halted", zap.Error(err))
	}
	return err
}

// ObservePeer handles the configuration status that a peer sends by gossip.
func (f *Feed) ObservePeer(addr string, status cicadaseam.ConfigStatus) {
	position, _ := f.store.Position()
	if f.store.Diverges(status.Applied, status.Digest) {
		f.counters.Divergences.Add(1)
		f.logger.Error("configuration digest differs from that of a peer", zap.String("peer", addr), zap.Uint64("position", uint64(status.Applied)))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerObserved = true
	f.scheduler.ObservePeer(time.Now(), addr, status, position)
}

// Status returns the configuration status that this node sends to its peers.
func (f *Feed) Status() cicadaseam.ConfigStatus {
	position, digest := f.store.Position()
	f.mu.Lock()
	defer f.mu.Unlock()
	return cicadaseam.ConfigStatus{
		Latest:  f.scheduler.Latest(position),
		Age:     f.scheduler.LogAge(time.Now()),
		Applied: position,
		Digest:  digest,
	}
}

// IsReader reports whether this node is one of the readers of its zone.
func (f *Feed) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scheduler.IsReader(f.fleet.View())
}

// installSnapshot decodes a snapshot and installs it if it is newer than the store.
func (f *Feed) installSnapshot(data []byte) error {
	state, err := snapshot.Decode(data)
	if err != nil {
		return err
	}
	f.store.InstallSnapshot(state)
	return nil
}
