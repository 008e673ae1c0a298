// Package logstore is a stand-in for the platform's append-only log, in
// memory, with its faults.
//
// # Model
//
// Streams keep records in order with offsets from 1. Retention drops the
// oldest ones. Faults are set at any time: an outage fails every request, a
// delay slows it, and a lost answer fails an append after it took effect. The
// store counts what it was asked, so that tests and measurements can bound the
// load on the source.
//
// # Usage
//
//	s := logstore.New(logstore.WithRetention(time.Hour), logstore.WithSeed(1))
//	s.SetFaults(logstore.Faults{Outage: true})
//	stats := s.Stats()
package logstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// Faults are what is wrong with the log at the moment.
type Faults struct {
	// Outage fails every request at once.
	Outage bool
	// Hang makes every request wait until its context ends.
	Hang bool
	// Delay slows every request.
	Delay time.Duration
	// LoseAnswers is the share of appends whose answer is lost after they took
	// effect.
	LoseAnswers float64
	// LoseAppends is the share of appends that fail without effect.
	LoseAppends float64
}

// Stats count the requests since the start.
type Stats struct {
	Appends     int64 `json:"appends"`
	AppendBytes int64 `json:"appendBytes"`
	Reads       int64 `json:"reads"`
	ReadBytes   int64 `json:"readBytes"`
	Bounds      int64 `json:"bounds"`
	Rejected    int64 `json:"rejected"`
}

// Requests returns all requests of any kind.
func (s Stats) Requests() int64 { return s.Appends + s.Reads + s.Bounds }

type stored struct {
	record cicadaseam.Record
	at     time.Time
}

type stream struct {
	records []stored
	next    cicadaseam.Offset
	grown   chan struct{}
}

// Store is a log in memory. It is safe for concurrent use.
type Store struct {
	retention  time.Duration
	appendRate float64

	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]*stream
	faults  Faults
	stats   Stats
	tokens  float64
	tokenAt time.Time
}

var _ cicadaseam.Log = (*Store)(nil)

// Option changes a new Store.
type Option func(*Store)

// WithRetention sets how long records are kept; 0 keeps all.
func WithRetention(d time.Duration) Option { return func(s *Store) { s.retention = d } }

// WithAppendRate bounds the appends a second; 0 does not.
func WithAppendRate(perSecond float64) Option { return func(s *Store) { s.appendRate = perSecond } }

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	s := &Store{streams: map[string]*stream{}, rng: rand.New(rand.NewPCG(1, 1))}
	for _, opt := range opts {
		opt(s)
	}
	s.tokens = s.appendRate
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Trim drops the records of a stream before an offset.
func (s *Store) Trim(name string, first cicadaseam.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	for len(st.records) > 0 && st.records[0].record.Offset < first {
		st.records = st.records[1:]
	}
}

// Append implements cicadaseam.Log.
func (s *Store) Append(ctx context.Context, name string, data []byte) (cicadaseam.Offset, error) {
	if err := s.enter(ctx, "append", name); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.AppendBytes += int64(len(data))
	if s.overRate(time.Now()) {
		s.stats.Rejected++
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "over the append rate"}
	}
	if s.rng.Float64() < s.faults.LoseAppends {
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "lost"}
	}
	at := s.add(name, data)
	if s.rng.Float64() < s.faults.LoseAnswers {
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "answer lost"}
	}
	return at, nil
}

// enter meets the faults that come before a request takes effect.
func (s *Store) enter(ctx context.Context, op, name string) error {
	f := s.Faults()
	if f.Hang {
		<-ctx.Done()
		return &cicadaseam.UnavailableError{Op: op, Stream: name, Reason: "no answer"}
	}
	if f.Delay > 0 {
		if !wait.Sleep(ctx, f.Delay) {
			return &cicadaseam.UnavailableError{Op: op, Stream: name, Reason: "no answer in time"}
		}
	}
	if s.Faults().Outage {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stats.Rejected++
		return &cicadaseam.UnavailableError{Op: op, Stream: name, Reason: "outage"}
	}
	return ctx.Err()
}

func (s *Store) overRate(now time.Time) bool {
	if s.appendRate == 0 {
		return false
	}
	s.tokens = min(s.tokens+now.Sub(s.tokenAt).Seconds()*s.appendRate, s.appendRate)
	s.tokenAt = now
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}

func (s *Store) add(name string, data []byte) cicadaseam.Offset {
	st := s.stream(name)
	at := st.next
	st.next++
	r := cicadaseam.Record{Offset: at, Data: append([]byte(nil), data...)}
	st.records = append(st.records, stored{record: r, at: time.Now()})
	close(st.grown)
	st.grown = make(chan struct{})
	return at
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{next: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	s.expire(st)
	return st
}

// expire drops records over the retention.
func (s *Store) expire(st *stream) {
	if s.retention == 0 {
		return
	}
	limit := time.Now().Add(-s.retention)
	for len(st.records) > 0 && st.records[0].at.Before(limit) {
		st.records = st.records[1:]
	}
}

// Read implements cicadaseam.Log.
func (s *Store) Read(ctx context.Context, name string, from cicadaseam.Offset, limit int, wait time.Duration) ([]cicadaseam.Record, error) {
	if err := s.enter(ctx, "read", name); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		records, grown, err := s.readNow(name, from, limit)
		if err != nil || len(records) > 0 || wait <= 0 {
			return records, err
		}
		select {
		case <-grown:
		case <-timeout.C:
			return nil, s.enter(ctx, "read", name)
		case <-ctx.Done():
			return nil, &cicadaseam.UnavailableError{Op: "read", Stream: name, Reason: ctx.Err().Error()}
		}
		if s.Faults().Outage {
			return nil, &cicadaseam.UnavailableError{Op: "read", Stream: name, Reason: "outage"}
		}
	}
}

func (s *Store) readNow(name string, from cicadaseam.Offset, limit int) ([]cicadaseam.Record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := st.next - cicadaseam.Offset(len(st.records))
	if from < first {
		return nil, nil, &cicadaseam.TrimmedError{Stream: name, From: from, First: first}
	}
	var out []cicadaseam.Record
	for i := int(from - first); i >= 0 && i < len(st.records) && len(out) < limit; i++ {
		out = append(out, st.records[i].record)
		s.stats.ReadBytes += int64(len(st.records[i].record.Data))
	}
	return out, st.grown, nil
}

// Bounds implements cicadaseam.Log.
func (s *Store) Bounds(ctx context.Context, name string) (first, next cicadaseam.Offset, err error) {
	if err := s.enter(ctx, "bounds", name); err != nil {
		return 0, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Bounds++
	st := s.stream(name)
	return st.next - cicadaseam.Offset(len(st.records)), st.next, nil
}
