// Package logstore is an in-memory implementation of the platform's append-only log with fault
// injection.
//
// # Model
//
// Streams retain records in order, with offsets from 1. Records older than the retention are
// dropped. Faults can be set at any time: an outage fails every request, a delay slows it down,
// and a lost answer makes an append fail after it took effect. The store counts the requests, so
// that tests and measurements can check the load on the log.
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

// Faults are the faults that the store simulates. Package logd decodes them from JSON by the
// names of their fields.
type Faults struct {
	// Outage makes every request fail immediately.
	Outage bool
	// Hang makes every request wait until its context is done.
	Hang bool
	// Delay is added to every request.
	Delay time.Duration
	// LoseAnswers is the share of appends, from 0 to 1, that take effect but return an error.
	LoseAnswers float64
	// LoseAppends is the share of appends, from 0 to 1, that fail without effect.
	LoseAppends float64
}

// Stats holds the counts of requests since the store was created. Rejected counts the appends over
// the append rate and the requests that failed because of an outage. A request that fails on
// arrival because of an outage, a hang or a delay counts neither as an append nor as a read nor
// under Bounds.
type Stats struct {
	Appends     int64 `json:"appends"`
	AppendBytes int64 `json:"appendBytes"`
	Reads       int64 `json:"reads"`
	ReadBytes   int64 `json:"readBytes"`
	Bounds      int64 `json:"bounds"`
	Rejected    int64 `json:"rejected"`
}

// Requests returns the number of requests of all kinds.
func (s Stats) Requests() int64 { return s.Appends + s.Reads + s.Bounds }

type storedRecord struct {
	record     cicadaseam.Record
	appendedAt time.Time
}

type stream struct {
	records  []storedRecord
	next     cicadaseam.Offset
	appended chan struct{} // closed and replaced with each append
}

// Store is an in-memory log. It is safe for concurrent use.
type Store struct {
	retention  time.Duration
	appendRate float64

	mu            sync.Mutex
	rng           *rand.Rand
	streams       map[string]*stream
	faults        Faults
	stats         Stats
	tokens        float64 // appends that the token bucket allows at tokensUpdated
	tokensUpdated time.Time
}

var _ cicadaseam.Log = (*Store)(nil)

// Option configures a new Store.
type Option func(*Store)

// WithRetention sets how long records are retained; 0 retains all.
func WithRetention(d time.Duration) Option { return func(s *Store) { s.retention = d } }

// WithAppendRate limits the appends per second; 0 means no limit. Up to one second's worth of
// appends may come in a burst.
func WithAppendRate(perSecond float64) Option { return func(s *Store) { s.appendRate = perSecond } }

// WithSeed sets the seed for the random choice of appends that fail.
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

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the simulated faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counts of requests so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Trim drops the records of a stream whose offsets are lower than first.
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
	if err := s.applyFaults(ctx, "append", name); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.AppendBytes += int64(len(data))
	if s.exceedsAppendRate(time.Now()) {
		s.stats.Rejected++
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "over the append rate"}
	}
	if s.rng.Float64() < s.faults.LoseAppends {
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "lost"}
	}
	offset := s.appendRecord(name, data)
	if s.rng.Float64() < s.faults.LoseAnswers {
		return 0, &cicadaseam.UnavailableError{Op: "append", Stream: name, Reason: "answer lost"}
	}
	return offset, nil
}

// applyFaults simulates the faults that happen before a request takes effect.
func (s *Store) applyFaults(ctx context.Context, op, name string) error {
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

// exceedsAppendRate takes a token for an append from a token bucket. It returns true if there is
// none. The caller holds the mutex.
func (s *Store) exceedsAppendRate(now time.Time) bool {
	if s.appendRate == 0 {
		return false
	}
	s.tokens = min(s.tokens+now.Sub(s.tokensUpdated).Seconds()*s.appendRate, s.appendRate)
	s.tokensUpdated = now
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}

func (s *Store) appendRecord(name string, data []byte) cicadaseam.Offset {
	st := s.stream(name)
	offset := st.next
	st.next++
	r := cicadaseam.Record{Offset: offset, Data: append([]byte(nil), data...)}
	st.records = append(st.records, storedRecord{record: r, appendedAt: time.Now()})
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{next: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	s.expire(st)
	return st
}

// expire drops the records that are older than the retention.
func (s *Store) expire(st *stream) {
	if s.retention == 0 {
		return
	}
	cutoff := time.Now().Add(-s.retention)
	for len(st.records) > 0 && st.records[0].appendedAt.Before(cutoff) {
		st.records = st.records[1:]
	}
}

// Read implements cicadaseam.Log.
func (s *Store) Read(ctx context.Context, name string, from cicadaseam.Offset, limit int, wait time.Duration) ([]cicadaseam.Record, error) {
	if err := s.applyFaults(ctx, "read", name); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, appended, err := s.readAvailable(name, from, limit)
		if err != nil || len(records) > 0 || wait <= 0 {
			return records, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, s.applyFaults(ctx, "read", name)
		case <-ctx.Done():
			return nil, &cicadaseam.UnavailableError{Op: "read", Stream: name, Reason: ctx.Err().Error()}
		}
		if s.Faults().Outage {
			return nil, &cicadaseam.UnavailableError{Op: "read", Stream: name, Reason: "outage"}
		}
	}
}

// readAvailable returns the records that a read can return without waiting, and a channel that is
// closed at the next append to the stream.
func (s *Store) readAvailable(name string, from cicadaseam.Offset, limit int) ([]cicadaseam.Record, <-chan struct{}, error) {
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
	return out, st.appended, nil
}

// Bounds implements cicadaseam.Log.
func (s *Store) Bounds(ctx context.Context, name string) (first, next cicadaseam.Offset, err error) {
	if err := s.applyFaults(ctx, "bounds", name); err != nil {
		return 0, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Bounds++
	st := s.stream(name)
	return st.next - cicadaseam.Offset(len(st.records)), st.next, nil
}
