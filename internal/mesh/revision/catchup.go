package revision

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// peerRevision is the latest revision that another node is known to have, and a node to
// fetch from. That node may have an earlier revision if it was chosen for its zone.
type peerRevision struct {
	id       cicadaseam.RevisionID
	addr     string // of the node to fetch from
	sameZone bool   // whether that node is in the zone of this node
}

// UpdateSince returns the encoded update for a node that has revision have.
func (s *Syncer) UpdateSince(have cicadaseam.RevisionID) ([]byte, error) {
	s.mu.Lock()
	u := s.update(have)
	s.mu.Unlock()
	return u.encode()
}

// update returns the deltas from a revision, or else the whole current revision. The
// lock is held.
func (s *Syncer) update(have cicadaseam.RevisionID) *Update {
	for i := range s.deltas {
		if s.deltas[i].From == have {
			return &Update{Deltas: s.deltas[i:], untold: s.keyedAssumed}
		}
	}
	return &Update{Full: s.current, untold: s.keyedAssumed}
}

// applyUpdate applies an encoded update of another node.
func (s *Syncer) applyUpdate(data []byte, from string) error {
	u, err := decodeUpdate(data)
	if err != nil {
		return err
	}
	if u.Full != nil {
		return s.applyFrom(from, u, u.Full)
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if !d.To.After(s.ID()) {
			continue
		}
		next, err := d.apply(s.Current())
		if err != nil {
			return err
		}
		if err := s.applyFrom(from, u, next); err != nil {
			return err
		}
	}
	return nil
}

// applyFrom applies a revision from an update of another node.
func (s *Syncer) applyFrom(from string, u *Update, r *cicadaseam.Revision) error {
	a := arrival{Revision: r, from: from}
	if u.untold {
		current := s.Current()
		a.keyedAssumed = len(r.Customers) == 0
		if a.keyedAssumed && current == nil && !s.SourceUnavailable() {
			return &UntoldKeysError{Revision: r.Number} // the source will tell
		}
		r.Keyed = !a.keyedAssumed || s.assumeKeyed(current)
	}
	return s.applyRevision(a)
}

// ObservePeer records the revision of another node, and starts fetching if this
// node is behind. sameZone is set if the other node is in the zone of this node.
func (s *Syncer) ObservePeer(ctx context.Context, addr string, id cicadaseam.RevisionID, sameZone bool) {
	if !id.After(s.ID()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if later := id.After(s.latest.id); later || sameZone && !s.latest.sameZone {
		if !later {
			id = s.latest.id
		}
		s.latest = peerRevision{id: id, addr: addr, sameZone: sameZone}
	}
	if s.fetching {
		return
	}
	s.fetching = true
	go s.catchUp(ctx)
}

// catchUp fetches until no later revision is known or a fetch brings nothing new.
func (s *Syncer) catchUp(ctx context.Context) {
	for s.fetchNext(ctx) {
		continue
	}
}

// fetchNext fetches once. It returns false, and ends the fetching, when no later
// revision is known or the fetch brought nothing new.
func (s *Syncer) fetchNext(ctx context.Context) bool {
	// A node without a table that cannot reach the source fetches from any zone at once.
	if !s.inSameZone() && (s.Number() > 0 || !s.SourceUnavailable()) {
		s.awaitSameZone(ctx)
	}
	before := s.ID()
	s.mu.Lock()
	p := s.latest
	if !p.id.After(before) {
		s.fetching = false
		s.latest = peerRevision{}
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	s.fetchFrom(ctx, p)
	if s.ID().After(before) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	s.latest = peerRevision{}
	return false
}

// inSameZone reports whether the node to fetch from is in the zone of this node.
func (s *Syncer) inSameZone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.sameZone
}

// awaitSameZone waits up to otherZoneDelay for a node of this node's zone with a later
// revision. It returns early when the revision arrived in another way, or when this node
// has no table and finds that it cannot reach the source.
func (s *Syncer) awaitSameZone(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for waited := time.Duration(0); waited < otherZoneDelay && !s.inSameZone(); waited += interval {
		s.mu.Lock()
		done := s.table.Load() != nil && !s.latest.id.After(s.idLocked())
		s.mu.Unlock()
		if done || s.Number() == 0 && s.SourceUnavailable() || !wait.Sleep(ctx, interval) {
			return
		}
	}
}

func (s *Syncer) fetchFrom(ctx context.Context, p peerRevision) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := s.fetch(ctx, p.addr, s.ID())
	if err == nil {
		err = s.applyUpdate(data, p.addr)
	}
	if err != nil {
		s.logger.Info("configuration not fetched", zap.String("peer", p.addr), zap.Uint64("revision", p.id.Number), logging.Error(err))
	}
}
