package fleet

import "slices"

// IsSubstitute reports whether the node that asks is to perform the task when the peer that does
// so fails.
func (t ZoneTask) IsSubstitute(peers []*Peer) bool {
	owner := ZoneOwners(t.Key, peers)[t.Zone]
	if owner == nil || t.IsOwner(peers) {
		return false
	}
	return t.IsOwner(slices.DeleteFunc(slices.Clone(peers), func(p *Peer) bool { return p == owner }))
}

// ZoneOwners returns the peers that perform a task by the views of their zones: in each zone the
// live peer with the highest rendezvous hash, as ZoneTask.IsOwner decides. The node that asks is
// not among the peers; if it performs the task of its own zone, the result for that zone is the
// peer that would do it in its place.
func ZoneOwners(key string, peers []*Peer) map[string]*Peer {
	owners := map[string]*Peer{}
	for _, p := range peers {
		hb := &p.Heartbeat
		if hb.SourceUnavailable || hb.Leaving {
			continue
		}
		if o := owners[hb.Zone]; o == nil || precedes(key, hb, &o.Heartbeat) {
			owners[hb.Zone] = p
		}
	}
	return owners
}

// precedes reports whether node a performs a task rather than node b of the same zone: a node whose
// source is not slow goes first, then the one with the higher rendezvous hash.
func precedes(key string, a, b *Heartbeat) bool {
	if a.SourceSlow != b.SourceSlow {
		return b.SourceSlow
	}
	return rendezvousHash(key, a.Node) > rendezvousHash(key, b.Node)
}
