package revision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

const (
	// pollWait is how long the source may hold a long poll, and pollGrace how much later
	// the response may arrive before the poll is given up. The sum is short because a
	// source that was silent for a moment may have accepted a poll that it will never
	// answer, and such a poll cannot be distinguished from a poll that still waits.
	pollWait  = 3 * time.Second
	pollGrace = 800 * time.Millisecond
	// coalesceDelay is the pause after a document, so that a quick succession of
	// versions costs fewer polls.
	coalesceDelay = 250 * time.Millisecond
	// minBackoff and maxBackoff are the first and the largest bound of the random delay
	// between calls to a source that does not answer. Half of minBackoff is added to it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// readerCheckPeriod is how often a node checks whether it has become a reader, and
	// sourceCheckPeriod how often a node that is no reader asks the source anyway.
	readerCheckPeriod = 250 * time.Millisecond
	sourceCheckPeriod = time.Minute
)

// SourceUnavailable reports whether the source does not answer this node.
func (s *Syncer) SourceUnavailable() bool { return s.sourceUnavailable.Load() }

// SourceSlow reports whether whole documents of the source arrive slowly at this node,
// so that it should not follow the source for others.
func (s *Syncer) SourceSlow() bool { return s.sourceSlow.Load() }

const (
	// minRateSample is the smallest document, in bytes, whose transfer time says
	// something about the rate of the link.
	minRateSample = 64 << 10
	// slowRate is the rate, in bytes a second, below which a reader would saturate its
	// link with documents while versions come in quick succession.
	slowRate = 2 << 20
)

// isSlow reports whether a document was transferred at less than slowRate. The result
// is not conclusive if the document is too small.
func isSlow(bytes int, took time.Duration) (slow, conclusive bool) {
	if bytes < minRateSample {
		return false, false
	}
	return float64(bytes) < slowRate*took.Seconds(), true
}

// Run follows the source until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	next := cicadaseam.Position{}
	nextKnown := false
	failures := 0
	for ctx.Err() == nil {
		if nextKnown && !s.isReader() {
			s.standBy(ctx)
			nextKnown = false
			continue
		}
		var err error
		if nextKnown {
			next, err = s.poll(ctx, next)
		} else {
			next, err = s.readNewest(ctx)
		}
		nextKnown = err == nil
		var trimmed *cicadaseam.TrimmedError
		var changed *epochError
		switch {
		case err == nil:
			s.logAvailable(failures)
			failures = 0
		case errors.As(err, &changed):
			s.logger.Info("configuration source began a new epoch", zap.Uint64("epoch", changed.now), zap.Uint64("before", changed.before), zap.Uint64("revision", s.Number()))
			wait.Sleep(ctx, coalesceDelay)
		case !errors.As(err, &trimmed):
			s.logUnavailable(failures, err)
			failures++
			wait.Sleep(ctx, minBackoff/2+wait.Backoff(rand.Int64N, failures, minBackoff, maxBackoff))
		}
		s.sourceUnavailable.Store(failures > 0)
	}
}

// standBy waits until this node becomes a reader, or until the source is due to be asked
// anyway.
func (s *Syncer) standBy(ctx context.Context) {
	until := time.Now().Add(sourceCheckPeriod)
	for time.Now().Before(until) && !s.isReader() && wait.Sleep(ctx, readerCheckPeriod) {
		continue
	}
}

// logUnavailable logs the first of several failures.
func (s *Syncer) logUnavailable(failures int, err error) {
	if failures == 0 {
		s.logger.Warn("configuration source unavailable", zap.Uint64("revision", s.Number()), logging.Error(err))
	}
}

// logAvailable logs the end of a series of failures.
func (s *Syncer) logAvailable(failures int) {
	if failures > 0 {
		s.logger.Info("configuration source available again", zap.Int("failures", failures), zap.Uint64("revision", s.Number()))
	}
}

// epochError reports that documents may have been missed, because the source answered a poll in
// another epoch than that of the position polled from.
type epochError struct{ before, now uint64 }

// Error implements error.
func (e *epochError) Error() string {
	return fmt.Sprintf("the source is in epoch %d, the position is of epoch %d", e.now, e.before)
}

// readNewest applies the newest document and returns the position after it.
func (s *Syncer) readNewest(ctx context.Context) (cicadaseam.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := s.proofs.clock()
	d, err := s.source.Newest(ctx)
	if err != nil {
		return cicadaseam.Position{}, err
	}
	s.handleDocument(d)
	s.reportRead(sentAt, d.Next.Epoch)
	return d.Next, nil
}

// recordRate updates SourceSlow from the transfer of a document.
func (s *Syncer) recordRate(bytes int, took time.Duration) {
	slow, conclusive := isSlow(bytes, took)
	if conclusive && s.sourceSlow.Swap(slow) != slow {
		s.logger.Info("configuration source rate changed", zap.Bool("slow", slow), zap.Int("bytes", bytes), zap.Duration("took", took))
	}
}

// poll waits for a document at a position or later, and applies it. It returns the
// position to poll from next.
func (s *Syncer) poll(ctx context.Context, from cicadaseam.Position) (cicadaseam.Position, error) {
	held := s.proofs.pollWait()
	bounded, cancel := context.WithTimeout(ctx, held+pollGrace)
	defer cancel()
	sentAt := s.proofs.clock()
	d, err := s.source.LongPoll(bounded, from, held)
	if err != nil {
		return from, err
	}
	applied := s.handleDocument(d)
	if d.Next.Epoch != from.Epoch && d.Next.Epoch != 0 {
		return from, &epochError{before: from.Epoch, now: d.Next.Epoch}
	}
	s.reportPoll(sentAt, held, from, d)
	if applied {
		wait.Sleep(ctx, coalesceDelay)
	}
	return cicadaseam.Position{Epoch: from.Epoch, Offset: d.Next.Offset}, nil
}

// handleDocument applies the document that a call to the source returned. It returns
// false if the call returned none.
func (s *Syncer) handleDocument(d cicadaseam.Document) bool {
	s.recordRate(d.TransferSize, d.TransferTime)
	s.onOrders(d.Orders, d.Rejected) // before the table, which lets requests in
	if d.Data == nil {
		return false
	}
	_ = s.ApplyDocument(d) // logs its error; an invalid document changes nothing
	return true
}
