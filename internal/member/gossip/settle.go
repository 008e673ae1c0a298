package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	settleFirst = time.Second      // the first wait, less than half of it random
	settleCap   = 8 * time.Second  // the longest wait
	settleMost  = 12               // exchanges in all
	settleQuiet = 2                // exchanges in a row that change nothing
	settleSlack = 10 * time.Second // how long an exchange may be out
)

// settling decides when a node that has just joined exchanges the whole fleet
// with a random member. News of a herd waits long in datagrams that hold few
// members each; whole exchanges double what the herd knows with each round. They
// end as soon as they change nothing, so that a node that comes alone makes two.
type settling struct {
	rng   *rand.Rand
	due   time.Time
	wait  time.Duration
	made  int
	quiet int
}

// next reports whether an exchange is to begin now.
func (s *settling) next(now time.Time) bool {
	if s.done() {
		return false
	}
	if s.due.IsZero() {
		s.wait = settleFirst
		s.due = now.Add(s.jitter())
		return false
	}
	if now.Before(s.due) {
		return false
	}
	s.made++
	s.due = now.Add(settleSlack)
	return true
}

// ended takes the result of an exchange: how many members were new to one of
// the two sides.
func (s *settling) ended(now time.Time, fresh int) {
	s.quiet++
	if fresh > 0 {
		s.quiet = 0
	}
	s.due = now.Add(s.jitter())
	s.wait = min(s.wait*3/2, settleCap)
}

func (s *settling) done() bool { return s.made >= settleMost || s.quiet >= settleQuiet }

// jitter is between half of the wait and all of it.
func (s *settling) jitter() time.Duration {
	half := int64(s.wait / 2)
	return time.Duration(half + s.rng.Int64N(half))
}

// settle begins a whole exchange when one is due.
func (g *Gossip) settle(ctx context.Context, now time.Time) {
	v := g.View()
	if len(v.Peers) == 0 || !g.settling.next(now) {
		return
	}
	peers := slices.DeleteFunc(v.Live(""), func(m cicadaseam.Member) bool { return m.ID == v.Self.ID })
	if len(peers) == 0 {
		g.settling.ended(now, 1) // nobody to ask says nothing
		return
	}
	peer := peers[g.rng.IntN(len(peers))]
	g.counts.Syncs.Add(1)
	request := zoneMessage{Known: g.known("")}
	g.exchanges.Go(func() {
		fresh, err := g.syncZone(ctx, peer.Addr, request)
		if err != nil {
			fresh = 1 // a peer that did not answer says nothing either
		}
		g.do(func(now time.Time) { g.settling.ended(now, fresh) })
	})
}

// known returns the incarnations of the members of a zone, or of all.
func (g *Gossip) known(zone string) map[string]uint64 {
	known := map[string]uint64{}
	for _, m := range g.zoneMembers(zone) {
		known[m.ID] = m.Incarnation
	}
	return known
}
