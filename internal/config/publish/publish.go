// Package publish appends changes and learns their verdicts.
//
// # Model
//
// Any node takes a change. It is checked first against the node's own tree, so
// that most faults cost no append; that check is advice, the fold decides. The
// record is appended, again with the same id when the answer is lost, and the
// verdict is what the fold of this node says about the id. Without a verdict
// in time the answer is unknown, never failed: the change may be in force
// later, and the same id asks again.
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

// Defaults.
const (
	DefaultTimeout = 10 * time.Second
	appendTimeout  = 2 * time.Second
	backoffFirst   = 50 * time.Millisecond
	backoffCap     = 2 * time.Second
	readWait       = time.Second
	readLimit      = 500
)

// Publisher publishes changes at one node.
type Publisher struct {
	log    cicadaseam.Log
	store  *store.Store
	logger *zap.Logger
	ingest IngestFunc
}

// Ingest takes records that were read while waiting for a verdict.
type IngestFunc func(ctx context.Context, records []cicadaseam.Record) error

// Option changes a new Publisher.
type Option func(*Publisher)

// WithIngest sets who takes the records that the publisher reads, so that they
// are passed on to peers at once. By default the store takes them.
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

// Publish appends a change and waits for its verdict. The same id gives the
// same verdict, however often it is published.
func (p *Publisher) Publish(ctx context.Context, c cicadaseam.Change) (cicadaseam.Decision, error) {
	if d, known := p.store.Decision(c.ID); known {
		return d, nil
	}
	if d := p.store.Check(c); d.Verdict == cicadaseam.VerdictInvalid && !p.behind(ctx, c) {
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

// behind brings the store up to date when the log answers; it reports whether
// the check has to be left to the fold, because the base of the change is
// newer than this node.
func (p *Publisher) behind(ctx context.Context, c cicadaseam.Change) bool {
	position, _ := p.store.Position()
	if c.Base < position {
		return false
	}
	p.readOnce(ctx, 0)
	return p.store.Check(c).Verdict != cicadaseam.VerdictInvalid
}

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
		p.readOnce(ctx, readWait)
		if _, known := p.store.Decision(id); !known {
			wait.Sleep(ctx, wait.Backoff(rand.Int64N, attempt, backoffFirst, backoffCap))
		}
	}
}

func (p *Publisher) append(ctx context.Context, id string, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at, err := p.log.Append(ctx, cicadaseam.StreamConfig, data)
	if err != nil {
		p.logger.Warn("append not confirmed", zap.String("change", id), zap.Error(err))
		return false
	}
	p.logger.Info("change appended", zap.String("change", id), zap.Uint64("version", uint64(at)))
	return true
}

// readOnce reads what follows the store. Records also come by push, which ends
// the wait as well.
func (p *Publisher) readOnce(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+appendTimeout)
	defer cancel()
	position, _ := p.store.Position()
	records, err := p.log.Read(ctx, cicadaseam.StreamConfig, position+1, readLimit, wait)
	if err != nil {
		p.logger.Debug("read for a verdict failed", zap.Error(err))
		return
	}
	if err := p.ingest(ctx, records); err != nil {
		p.logger.Warn("records not taken", zap.Error(err))
	}
}
