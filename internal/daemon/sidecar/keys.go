package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/revision"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

const (
	// keyTick is how often a node that needs proofs checks whether a query is due, and keyIdleTick
	// how often another node checks whether it needs them.
	keyTick     = 50 * time.Millisecond
	keyIdleTick = time.Second
	// firstProofTime is how long a node that starts may take for its first proof before that is
	// logged.
	firstProofTime = time.Second
	// recentRead is the age of a read of the store above which the next poll is not held, so that
	// the proof becomes recent at once.
	recentRead = keys.PollWait / 2
)

// keyLoop is the state of keepKeysProven.
type keyLoop struct {
	wake     chan struct{}
	lastRead atomic.Int64 // what the last read of the store proves, by transit.Now
	// The fields below belong to logProofState. logged is set once the state of the proof was
	// logged, and proven is whether keys were admitted then. since is the time of the first call.
	proven bool
	logged bool
	since  time.Duration
}

// wakeUp makes keepKeysProven check whether a query is due.
func (l *keyLoop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending, or wake is still nil
	}
}

// keyProofs implements dispatch.KeyProofs.
type keyProofs struct{ node *Node }

// Check implements dispatch.KeyProofs.
func (k keyProofs) Check() keys.Check {
	if !k.node.settings.KeyStrict {
		return keys.Check{Accept: true, Reject: true}
	}
	return k.node.prover.Check(transit.Now())
}

// needsKeyProofs reports whether this node must prove that its keys are current.
func (n *Node) needsKeyProofs() bool {
	if !n.settings.KeyStrict {
		return false
	}
	t := n.syncer.Table()
	return t != nil && t.IsKeyed()
}

// readsSource reports whether this node follows the configuration source: as the reader of its
// zone, or for its own proof if no peer has one.
func (n *Node) readsSource() bool {
	return n.isReader() || n.needsKeyProofs() && n.prover.NeedsStore(transit.Now(), func() bool { return n.readerTask().IsSubstitute(n.fleet.Peers()) })
}

// readObserver returns the observer that gets proofs from the reads of the source.
func (n *Node) readObserver() revision.ReadObserver {
	return revision.ReadObserver{
		Clock: transit.Now,
		PollWait: func() (time.Duration, bool) {
			if !n.needsKeyProofs() {
				return 0, false
			}
			if transit.Now()-time.Duration(n.keyLoop.lastRead.Load()) > recentRead {
				return 0, true
			}
			return keys.PollWait, true
		},
		OnRead: func(r revision.Read) {
			n.keyLoop.lastRead.Store(int64(r.Proves))
			n.updateProver()
			n.prover.ObserveRead(keys.Read{Proves: r.Proves, Epoch: r.Epoch, Revision: r.Revision})
			n.keyLoop.wakeUp()
		},
	}
}

// updateProver tells the prover the state of this node.
func (n *Node) updateProver() {
	n.prover.ObserveEpoch(n.platform.Epochs.Epoch())
	n.prover.SetRevision(n.syncer.ID())
	n.prover.SetAlone(n.joined.Load() && n.fleet.Size() == 1)
}

// answerProof answers the query of a peer.
func (n *Node) answerProof(payload []byte) ([]byte, error) {
	var q keys.Query
	if err := method.Decode(payload, &q); err != nil {
		return nil, err
	}
	n.updateProver()
	answer := n.prover.Answer(transit.Now())
	answer.Proven = answer.Proven && n.settings.KeyStrict
	return method.Encode(&answer)
}

// keepKeysProven queries peers so that the proof of this node stays recent, until ctx ends.
func (n *Node) keepKeysProven(ctx context.Context) {
	for ctx.Err() == nil {
		tick := keyIdleTick
		if n.needsKeyProofs() {
			tick = keyTick
			n.updateProver()
			now := transit.Now()
			if n.prover.QueryDue(now) {
				for _, p := range n.prover.Targets(now, n.keyPeers()) {
					go n.queryProof(ctx, p)
				}
			}
			n.logProofState(now)
		}
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-n.keyLoop.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// keyPeers returns the live peers as the prover needs them.
func (n *Node) keyPeers() []keys.Peer {
	peers := n.fleet.Peers()
	readers := fleet.ZoneOwners(readerTask, peers)
	substitutes := fleet.ZoneOwners(readerTask, slices.DeleteFunc(slices.Clone(peers), func(p *fleet.Peer) bool { return readers[p.Heartbeat.Zone] == p }))
	out := make([]keys.Peer, 0, len(peers))
	for _, p := range peers {
		hb := &p.Heartbeat
		out = append(out, keys.Peer{Addr: hb.Addr, Zone: hb.Zone, SameZone: hb.Zone == n.settings.Zone, Reader: readers[hb.Zone] == p, Substitute: substitutes[hb.Zone] == p})
	}
	return out
}

// queryProof asks a peer for its proof.
func (n *Node) queryProof(ctx context.Context, p keys.Peer) {
	defer n.keyLoop.wakeUp()
	bounded, cancel := context.WithTimeout(ctx, keys.QueryTimeout)
	defer cancel()
	sentAt := transit.Now()
	answer, err := n.fetchProof(bounded, p.Addr)
	if err != nil {
		n.prover.ObserveFailure(transit.Now())
		n.logger.Debug("proof not received", zap.String("peer", p.Addr), logging.Error(err))
		return
	}
	n.syncer.ObservePeer(context.WithoutCancel(ctx), p.Addr, answer.Revision, p.SameZone)
	n.platform.Epochs.Observe(time.Now(), answer.Epoch, p.Addr)
	n.updateProver()
	n.prover.ObserveAnswer(transit.Now(), sentAt, p, answer)
}

func (n *Node) fetchProof(ctx context.Context, addr string) (keys.Answer, error) {
	var answer keys.Answer
	payload, err := method.Encode(&keys.Query{Epoch: n.platform.Epochs.Epoch()})
	if err != nil {
		return answer, err
	}
	data, err := n.pool.Request(ctx, addr, method.Proof, payload)
	if err != nil {
		return answer, err
	}
	return answer, method.Decode(data, &answer)
}

// logProofState logs when requests with a key begin or cease to be admitted.
func (n *Node) logProofState(now time.Duration) {
	proven := n.prover.Check(now).Accept
	l := &n.keyLoop
	if l.since == 0 {
		l.since = now
	}
	if l.logged && proven == l.proven || !l.logged && !proven && now-l.since < firstProofTime {
		return
	}
	l.logged, l.proven = true, proven
	age, known := n.prover.Age(now)
	s := n.prover.Status()
	fields := []zap.Field{
		zap.Bool("proof", known), zap.Duration("age", age), zap.Duration("limit", n.settings.KeyRevoke), zap.String("from", string(s.Source)),
		zap.Uint64("revision", n.syncer.Number()), zap.Uint64("epoch", n.platform.Epochs.Epoch()), zap.Bool("epoch-confirmed", !s.Unconfirmed),
		zap.Uint64("missing-revision", s.Missing.Number), zap.Bool("source-unavailable", n.syncer.SourceUnavailable()), zap.Int("peers", len(n.fleet.Peers())),
		zap.Int64("queries", s.Counts.Queries), zap.Int64("queries-failed", s.Counts.QueriesFailed),
	}
	if proven {
		n.logger.Info("keys proven current", fields...)
		return
	}
	n.logger.Warn("keys outdated", fields...)
}

// sourceNumbers are the values of the metric keys-proof-source.
var sourceNumbers = map[keys.Source]int{keys.SourceNone: 0, keys.SourceStore: 1, keys.SourceZone: 2, keys.SourceOtherZone: 3}

// keyMetrics returns the metrics of the proof, one per line.
func (n *Node) keyMetrics() []string {
	s := n.prover.Status()
	age, proven := n.prover.Age(transit.Now())
	ageMS := age.Milliseconds()
	if !proven {
		ageMS = -1
	}
	return []string{
		fmt.Sprintf("keys-proof-age-ms %d", ageMS),
		fmt.Sprintf("keys-proof-source %d", sourceNumbers[s.Source]),
		fmt.Sprintf("keys-queries %d", s.Counts.Queries),
		fmt.Sprintf("keys-queries-failed %d", s.Counts.QueriesFailed),
		fmt.Sprintf("keys-proofs-store %d", s.Counts.FromStore),
		fmt.Sprintf("keys-proofs-zone %d", s.Counts.FromZone),
		fmt.Sprintf("keys-proofs-other-zone %d", s.Counts.FromOther),
		fmt.Sprintf("keys-proofs-unusable %d", s.Counts.Unusable),
	}
}
