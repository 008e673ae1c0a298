package gossip

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// zoneMessage is the request and the answer of a join or an exchange of members.
type zoneMessage struct {
	// Zone is the availability zone of the exchange, or empty for all members.
	Zone string `msgpack:"z"`
	// Known holds the incarnations of the members that the sender of the request has, by id.
	Known map[string]uint64 `msgpack:"k,omitempty"`
	// Members are the members that the sender sends in full.
	Members []cicadaseam.Member `msgpack:"m,omitempty"`
	// Want lists the ids that the sender of the answer lacks or has at a lower incarnation.
	Want []string `msgpack:"w,omitempty"`
}

// Join announces this node to one of the peers, trying one after the other until one answers, and
// merges the members that the peer returns.
func (g *Gossip) Join(ctx context.Context, addrs []string) error {
	var lastErr error
	for _, addr := range addrs {
		if addr == g.View().Self.Addr {
			continue
		}
		if lastErr = g.joinThrough(ctx, addr); lastErr == nil {
			return nil
		}
	}
	if lastErr == nil {
		return errors.New("no peer to join")
	}
	return errors.Wrapf(lastErr, "join through %d peers", len(addrs))
}

func (g *Gossip) joinThrough(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	self := g.View().Self
	var answer zoneMessage
	err := g.request(ctx, addr, method.Join, zoneMessage{Members: []cicadaseam.Member{self}}, &answer)
	if err != nil {
		return err
	}
	g.runOnOwner(func(now time.Time) { g.detector.Merge(now, answer.Members) })
	return nil
}

// request sends a request over a link and decodes the answer.
func (g *Gossip) request(ctx context.Context, addr string, m uint8, request zoneMessage, answer *zoneMessage) error {
	payload, err := method.Encode(&request)
	if err != nil {
		return err
	}
	data, err := g.pool.Request(ctx, addr, m, payload)
	if err != nil {
		return errors.Wrapf(err, "%s with %s", method.Names[m], addr)
	}
	return method.Decode(data, answer)
}

// startZoneSync starts one of the zone exchanges that are due, picked at random, unless the last
// one started less than minSyncInterval ago.
func (g *Gossip) startZoneSync(ctx context.Context, now time.Time) {
	due := g.detector.TakeSyncRequests()
	if len(due) == 0 || now.Sub(g.lastSync) < minSyncInterval {
		return
	}
	g.lastSync = now
	g.counters.Syncs.Add(1)
	chosen := due[g.rng.IntN(len(due))]
	request := zoneMessage{Zone: chosen.Zone, Known: g.knownIncarnations(chosen.Zone)}
	// The next exchange repairs a failed one.
	g.exchanges.Go(func() { _, _ = g.syncMembers(ctx, chosen.Addr, request) })
}

// syncMembers exchanges with a peer the members that either side lacks. It returns how many
// members were new or newer for either side.
func (g *Gossip) syncMembers(ctx context.Context, addr string, request zoneMessage) (changed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer zoneMessage
	if err := g.request(ctx, addr, method.ZoneSync, request, &answer); err != nil {
		return 0, err
	}
	g.runOnOwner(func(now time.Time) { g.detector.Merge(now, answer.Members) })
	changed = len(answer.Members) + len(answer.Want)
	if len(answer.Want) == 0 {
		return changed, nil
	}
	wanted := zoneMessage{Zone: request.Zone, Members: g.membersByID(answer.Want)}
	return changed, g.request(ctx, addr, method.ZoneSync, wanted, &answer)
}

// membersOfZone returns the members of a zone that are neither dead nor left, this node included,
// or those of all zones if zone is empty.
func (g *Gossip) membersOfZone(zone string) []cicadaseam.Member {
	var out []cicadaseam.Member
	for _, m := range append(g.detector.Members(), g.detector.Self()) {
		if m.State <= cicadaseam.MemberUnreachable && (zone == "" || m.Locality.Zone == zone) {
			out = append(out, m)
		}
	}
	return out
}

// membersByID returns the known members among ids.
func (g *Gossip) membersByID(ids []string) []cicadaseam.Member {
	v := g.View()
	var out []cicadaseam.Member
	for _, id := range ids {
		if m, ok := v.Member(id); ok {
			out = append(out, m)
		}
	}
	return out
}

// ServePeer answers the join and zone requests of peers.
func (g *Gossip) ServePeer(_ context.Context, m uint8, payload []byte) ([]byte, error) {
	var request zoneMessage
	if err := method.Decode(payload, &request); err != nil {
		return nil, err
	}
	var answer zoneMessage
	g.runOnOwner(func(now time.Time) {
		if m == method.Join {
			answer.Members = g.membersOfZone("")
		} else {
			answer = g.compareMembers(request)
		}
		g.detector.Merge(now, request.Members)
	})
	return method.Encode(&answer)
}

// compareMembers returns the members of a zone that the peer lacks or has at a lower incarnation,
// and the ids of the members that this node lacks or has at a lower incarnation. The answer to a
// request without Known, which only sends members, has neither.
func (g *Gossip) compareMembers(request zoneMessage) zoneMessage {
	answer := zoneMessage{Zone: request.Zone}
	if request.Known == nil {
		return answer
	}
	known := map[string]uint64{}
	for _, m := range g.membersOfZone(request.Zone) {
		known[m.ID] = m.Incarnation
		if theirs, found := request.Known[m.ID]; !found || theirs < m.Incarnation {
			answer.Members = append(answer.Members, m)
		}
	}
	for id, theirs := range request.Known {
		if ours, found := known[id]; !found || ours < theirs {
			answer.Want = append(answer.Want, id)
		}
	}
	return answer
}
