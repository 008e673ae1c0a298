package gossip

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// zoneMessage is the request and the answer of a zone exchange: what the
// sender holds of the zone, all members when the zone is empty.
type zoneMessage struct {
	Zone    string              `msgpack:"z"`
	Known   map[string]uint64   `msgpack:"k,omitempty"`
	Members []cicadaseam.Member `msgpack:"m,omitempty"`
	// Want lists the ids that the sender of the answer lacks.
	Want []string `msgpack:"w,omitempty"`
}

// Join asks the peers in turn for the whole fleet until one answers.
func (g *Gossip) Join(ctx context.Context, addrs []string) error {
	var last error
	for _, addr := range addrs {
		if addr == g.View().Self.Addr {
			continue
		}
		if last = g.joinOne(ctx, addr); last == nil {
			return nil
		}
	}
	if last == nil {
		return errors.New("no peer to join")
	}
	return errors.Wrapf(last, "join through %d peers", len(addrs))
}

func (g *Gossip) joinOne(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := g.View().Self
	var answer zoneMessage
	err := g.exchange(ctx, addr, method.Join, zoneMessage{Members: []cicadaseam.Member{self}}, &answer)
	if err != nil {
		return err
	}
	g.do(func(now time.Time) { g.detector.Merge(now, answer.Members) })
	return nil
}

func (g *Gossip) exchange(ctx context.Context, addr string, m uint8, request zoneMessage, answer *zoneMessage) error {
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

// startSync begins at most one zone exchange a syncPeriod.
func (g *Gossip) startSync(ctx context.Context, now time.Time) {
	syncs := g.detector.TakeSyncRequests()
	if len(syncs) == 0 || now.Sub(g.lastSync) < syncPeriod {
		return
	}
	g.lastSync = now
	g.counts.Syncs.Add(1)
	s := syncs[g.rng.IntN(len(syncs))]
	request := zoneMessage{Zone: s.Zone, Known: g.known(s.Zone)}
	g.exchanges.Go(func() { _, _ = g.syncZone(ctx, s.Addr, request) }) // the next exchange repairs it
}

// syncZone exchanges what both sides lack. It returns how many members were new
// to one of them.
func (g *Gossip) syncZone(ctx context.Context, addr string, request zoneMessage) (fresh int, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer zoneMessage
	if err := g.exchange(ctx, addr, method.ZoneSync, request, &answer); err != nil {
		return 0, err
	}
	g.do(func(now time.Time) { g.detector.Merge(now, answer.Members) })
	fresh = len(answer.Members) + len(answer.Want)
	if len(answer.Want) == 0 {
		return fresh, nil
	}
	back := zoneMessage{Zone: request.Zone, Members: g.pickMembers(answer.Want)}
	return fresh, g.exchange(ctx, addr, method.ZoneSync, back, &answer)
}

// zoneMembers returns the live members of a zone, this node included.
func (g *Gossip) zoneMembers(zone string) []cicadaseam.Member {
	var out []cicadaseam.Member
	for _, m := range append(g.detector.Members(), g.detector.Self()) {
		if m.State <= cicadaseam.MemberUnreachable && (zone == "" || m.Locality.Zone == zone) {
			out = append(out, m)
		}
	}
	return out
}

func (g *Gossip) pickMembers(ids []string) []cicadaseam.Member {
	v := g.View()
	var out []cicadaseam.Member
	for _, id := range ids {
		if m, ok := v.Member(id); ok {
			out = append(out, m)
		}
	}
	return out
}

// Serve answers the join and zone requests of peers.
func (g *Gossip) ServePeer(_ context.Context, m uint8, payload []byte) ([]byte, error) {
	var request zoneMessage
	if err := method.Decode(payload, &request); err != nil {
		return nil, err
	}
	var answer zoneMessage
	g.do(func(now time.Time) {
		if m == method.Join {
			answer.Members = g.zoneMembers("")
		} else {
			answer = g.compare(request)
		}
		g.detector.Merge(now, request.Members)
	})
	return method.Encode(&answer)
}

// compare returns what the peer lacks of a zone and names what this node
// lacks.
func (g *Gossip) compare(request zoneMessage) zoneMessage {
	answer := zoneMessage{Zone: request.Zone}
	if request.Known == nil {
		return answer
	}
	have := map[string]uint64{}
	for _, m := range g.zoneMembers(request.Zone) {
		have[m.ID] = m.Incarnation
		if inc, known := request.Known[m.ID]; !known || inc < m.Incarnation {
			answer.Members = append(answer.Members, m)
		}
	}
	for id, inc := range request.Known {
		if mine, known := have[id]; !known || mine < inc {
			answer.Want = append(answer.Want, id)
		}
	}
	return answer
}
