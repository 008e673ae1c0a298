package fleet

import "github.com/cespare/xxhash/v2"

// ZoneTask is a task that one node of each zone performs.
type ZoneTask struct {
	Key string
	// Node, Zone and SourceSlow describe the node that asks.
	Node       string
	Zone       string
	SourceSlow bool
}

// IsOwner reports whether the node that asks performs the task. The owner is the node
// with the highest rendezvous hash of the key among the nodes of the zone that are
// alive, are not leaving and reach the configuration source. Nodes whose source is slow
// are considered only if there are no others. The node that asks is itself not checked
// for leaving or for reaching the source.
//
// Nodes with different views of the fleet may perform the task twice, or for a moment
// not at all, so a task may save cost but correctness must not depend on it.
func (t ZoneTask) IsOwner(peers []*Peer) bool {
	own := rendezvousHash(t.Key, t.Node)
	for _, p := range peers {
		hb := &p.Heartbeat
		if hb.Zone != t.Zone || hb.SourceUnavailable || hb.Leaving {
			continue
		}
		if hb.SourceSlow != t.SourceSlow {
			if t.SourceSlow {
				return false
			}
			continue
		}
		if rendezvousHash(t.Key, hb.Node) > own {
			return false
		}
	}
	return true
}

func rendezvousHash(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }
