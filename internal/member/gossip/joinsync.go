package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// joinSyncFirstWait is the wait before the first exchange. Up to half of each wait is random.
	joinSyncFirstWait = time.Second
	// joinSyncMaxWait bounds the wait between two exchanges, which grows by half each time.
	joinSyncMaxWait = 8 * time.Second
	// maxExchanges bounds the exchanges after one join.
	maxExchanges = 12
	// maxUnchanged is the number of exchanges in a row without a change that ends them.
	maxUnchanged = 2
	// joinSyncTimeout is the time after which an exchange without a result is given up and the
	// next one starts.
	joinSyncTimeout = 10 * time.Second
)

// joinSync decides when a node that has just joined exchanges all members with a random other
// node. When many nodes start at the same time, updates wait long for datagrams, which hold few
// members each, whereas full exchanges double the number of members in each view with every
// round. The exchanges end once they change nothing, so that a node that joins alone makes two.
type joinSync struct {
	rng       *rand.Rand
	nextAt    time.Time // of the next exchange
	wait      time.Duration
	started   int // exchanges
	unchanged int // exchanges in a row that changed nothing
}

// start reports whether an exchange is to start now, and counts it.
func (s *joinSync) start(now time.Time) bool {
	if s.done() {
		return false
	}
	if s.nextAt.IsZero() {
		s.wait = joinSyncFirstWait
		s.nextAt = now.Add(s.jitter())
		return false
	}
	if now.Before(s.nextAt) {
		return false
	}
	s.started++
	s.nextAt = now.Add(joinSyncTimeout)
	return true
}

// finish records the result of an exchange: how many members were new or newer for one of the two
// nodes.
func (s *joinSync) finish(now time.Time, changed int) {
	s.unchanged++
	if changed > 0 {
		s.unchanged = 0
	}
	s.nextAt = now.Add(s.jitter())
	s.wait = min(s.wait*3/2, joinSyncMaxWait)
}

func (s *joinSync) done() bool { return s.started >= maxExchanges || s.unchanged >= maxUnchanged }

// jitter returns a random duration between half of the wait and the full wait.
func (s *joinSync) jitter() time.Duration {
	half := int64(s.wait / 2)
	return time.Duration(half + s.rng.Int64N(half))
}

// startJoinSync starts an exchange of all members if one is due.
func (g *Gossip) startJoinSync(ctx context.Context, now time.Time) {
	v := g.View()
	if len(v.Peers) == 0 || !g.joinSync.start(now) {
		return
	}
	peers := slices.DeleteFunc(v.Live(""), func(m cicadaseam.Member) bool { return m.ID == v.Self.ID })
	if len(peers) == 0 {
		// Without a peer, it is unknown whether an exchange would change anything.
		g.joinSync.finish(now, 1)
		return
	}
	peer := peers[g.rng.IntN(len(peers))]
	g.counters.Syncs.Add(1)
	request := zoneMessage{Known: g.knownIncarnations("")}
	g.exchanges.Go(func() {
		changed, err := g.syncMembers(ctx, peer.Addr, request)
		if err != nil {
			changed = 1 // after a failed exchange, it is just as unknown
		}
		g.runOnOwner(func(now time.Time) { g.joinSync.finish(now, changed) })
	})
}

// knownIncarnations returns the incarnations of the members that membersOfZone returns, by id.
func (g *Gossip) knownIncarnations(zone string) map[string]uint64 {
	known := map[string]uint64{}
	for _, m := range g.membersOfZone(zone) {
		known[m.ID] = m.Incarnation
	}
	return known
}
