package revision

import (
	"sync/atomic"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Read is a call to the source that returned nothing later than the revision in force.
type Read struct {
	// Proves is the time, by the clock of the observer, up to which the call covers the source:
	// when it was sent, plus the wait if the source held it for the whole wait.
	Proves time.Duration
	// Epoch is the epoch of the source in the response.
	Epoch uint64
	// Revision is the latest valid one that the source returned to this syncer.
	Revision cicadaseam.RevisionID
}

// ReadObserver learns from the calls to the source how recently the revision in force was the
// latest one.
type ReadObserver struct {
	// Clock returns the time. It must advance also while the machine is suspended.
	Clock func() time.Duration
	// PollWait returns how long the source may hold the next poll, and false for the usual time.
	PollWait func() (time.Duration, bool)
	OnRead   func(Read)
}

// WithReadObserver sets the observer of the calls to the source.
func WithReadObserver(o ReadObserver) Option {
	return func(s *Syncer) { s.proofs.observer = o }
}

// proofs passes the reads of a syncer to its observer.
type proofs struct {
	observer ReadObserver
	newest   *atomic.Pointer[cicadaseam.RevisionID] // the latest that the source returned
}

// newProofs returns proofs without an observer.
func newProofs() proofs {
	return proofs{
		newest: &atomic.Pointer[cicadaseam.RevisionID]{},
		observer: ReadObserver{
			Clock:    func() time.Duration { return 0 },
			PollWait: func() (time.Duration, bool) { return 0, false },
			OnRead:   func(Read) {},
		},
	}
}

func (p *proofs) clock() time.Duration { return p.observer.Clock() }

func (p *proofs) pollWait() time.Duration {
	if d, ok := p.observer.PollWait(); ok {
		return d
	}
	return pollWait
}

// recordRevision records a revision that the source returned. One that was rejected does not
// count: it does not replace the one in force.
func (p *proofs) recordRevision(id cicadaseam.RevisionID, err error) {
	if err == nil {
		p.newest.Store(&id)
	}
}

// reportRead reports a call that was sent at a time and whose response was handled.
func (s *Syncer) reportRead(proves time.Duration, epoch uint64) {
	if proves == 0 {
		return // the clock cannot be read
	}
	r := Read{Proves: proves, Epoch: epoch}
	if id := s.proofs.newest.Load(); id != nil {
		r.Revision = *id
	}
	s.proofs.observer.OnRead(r)
}

// reportPoll reports a poll from a position that was sent at a time and that the source was asked
// to hold. It proves the time at which it was sent if the response goes to the end of the source,
// and the whole wait if nothing came in it. An empty response that arrives before the end of the
// wait was not held.
func (s *Syncer) reportPoll(sentAt, held time.Duration, from cicadaseam.Position, d cicadaseam.Document) {
	switch {
	case d.Next.Offset != from.Offset:
		if d.Complete {
			s.reportRead(sentAt, d.Next.Epoch)
		}
	case s.proofs.clock()-sentAt >= held:
		s.reportRead(sentAt+held, d.Next.Epoch)
	default:
		s.reportRead(sentAt, d.Next.Epoch)
	}
}
