// Package publish appends changes to the configuration stream and waits for their
// verdicts.
//
// # Model
//
// Any node accepts a change from an operator. The change is first checked against the
// node's own configuration, so that most invalid changes are rejected without an append.
// This check is advisory: the verdict on an appended change is that of the fold.
//
// The record is appended to the log. If the log does not confirm the append, it is
// repeated with the same id; the fold treats a second record with an id as a duplicate.
// The verdict is the decision of this node's fold on the id. If there is none in time,
// the verdict is unknown rather than failed: the change may still take effect, and
// publishing it again with the same id returns the verdict.
//
// # Usage
//
//	p := publish.New(log, store)
//	decision, err := p.Publish(ctx, change)
package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/store"
)

// Defaults and limits.
const (
	// DefaultTimeout bounds the time in which Publish appends a change and waits for its
	// verdict.
	DefaultTimeout = 10 * time.Second
	// logTimeout bounds an append, and a read on top of the time that it waits for
	// records.
	logTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the wait between two attempts to append the change
	// and read its verdict.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// pollWait is how long a read waits at the log for the next record.
	pollWait = time.Second
	// maxRecordsPerRead bounds the number of records that one read returns.
	maxRecordsPerRead = 500
)

// Publisher publishes changes at one node.
type Publisher struct {
	log    cicadaseam.Log
	store  *store.Store
	logger *zap.Logger
	ingest IngestFunc
}

// IngestFunc applies records that were read while waiting for a verdict.
type IngestFunc func(ctx context.Context, records []cicadaseam.Record) error

// Option configures a new Publisher.
type Option func(*Publisher)

// WithIngest sets the function that applies the records that the publisher reads, so that
// they can also be pushed to peers at once. By default they go to the store only.
func WithIngest(f IngestFunc) Option { return func(p *Publisher) { p.ingest = f } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(p *Publisher) { p.logger = l } }

// New returns a publisher.
func New(log cicadaseam.Log, s *store.Store, opts ...Option) *Publisher {
	p := &Publisher{log: log, store: s, logger: zap.NewNop()}
	p.ingest = func(_ context.Context, records []cicadaseam.Record) error {
		_, err := s.Ingest(records)
		return err
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Publish appends a change and waits for the decision on it. If there is none within
// DefaultTimeout or before ctx ends, the verdict is unknown. A change that is invalid at this
// node is not appended; its decision has the version 0. Once a change has been decided,
// publishing it again with the same id returns the same decision, as long as the fold keeps it.
// The error is not nil only if the change cannot be encoded.
func (p *Publisher) Publish(ctx context.Context, c cicadaseam.Change) (cicadaseam.Decision, error) {
	if d, known := p.store.Decision(c.ID); known {
		return d, nil
	}
	if d := p.store.Check(c); d.Verdict == cicadaseam.VerdictInvalid && !p.validAfterRead(ctx, c) {
		d.Version = 0
		return d, nil
	}
	data, err := change.Encode(c)
	if err != nil {
		return cicadaseam.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	return p.appendUntilDecided(ctx, c.ID, data), nil
}

// validAfterRead reports whether a change that is invalid at this node becomes valid once
// the store has applied newer records. It reads the log only if the base version of the
// change is not older than the position of this node: the author may have read records
// that this node lacks.
func (p *Publisher) validAfterRead(ctx context.Context, c cicadaseam.Change) bool {
	position, _ := p.store.Position()
	if c.Base < position {
		return false
	}
	p.readOnce(ctx, 0)
	return p.store.Check(c).Verdict != cicadaseam.VerdictInvalid
}

// appendUntilDecided appends a record until the log confirms it, and reads the log until
// the store has the decision on the change or the context ends. The decision may also
// arrive in a record that a peer pushes.
func (p *Publisher) appendUntilDecided(ctx context.Context, id string, data []byte) cicadaseam.Decision {
	appended := false
	for attempt := 0; ; attempt++ {
		if d, known := p.store.Decision(id); known {
			return d
		}
		if ctx.Err() != nil {
			return cicadaseam.Decision{ID: id, Verdict: cicadaseam.VerdictUnknown}
		}
		if !appended {
			appended = p.append(ctx, id, data)
		}
		p.readOnce(ctx, pollWait)
		if _, known := p.store.Decision(id); !known {
			wait.Sleep(ctx, wait.Backoff(rand.Int64N, attempt, minBackoff, maxBackoff))
		}
	}
}

// append appends a record once and reports whether the log confirmed it.
func (p *Publisher) append(ctx context.Context, id string, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	offset, err := p.log.Append(ctx, cicadaseam.StreamConfig, data)
	if err != nil {
		p.logger.Warn("change append not confirmed", zap.String("change", id), zap.Error(err))
		return false
	}
	p.logger.Info("change appended", zap.String("change", id), zap.Uint64("version", uint64(offset)))
	return true
}

// readOnce reads the records after the position of the store once, and waits up to maxWait
// for the first of them.
func (p *Publisher) readOnce(ctx context.Context, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+logTimeout)
	defer cancel()
	position, _ := p.store.Position()
	records, err := p.log.Read(ctx, cicadaseam.StreamConfig, position+1, maxRecordsPerRead, maxWait)
	if err != nil {
		p.logger.Debug("cannot read the log for a verdict", zap.Error(err))
		return
	}
	if err := p.ingest(ctx, records); err != nil {
		p.logger.Warn("cannot apply records", zap.Error(err))
	}
}
