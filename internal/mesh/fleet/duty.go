package fleet

import "github.com/cespare/xxhash/v2"

// Duty is a task that one node of each zone does.
type ZoneTask struct {
	Key string
	// Node, Zone and Slow are of the node that asks.
	Node       string
	Zone       string
	SourceSlow bool
}

// First reports whether the node that asks does a duty: it is the first in rendezvous
// order of the key among the nodes of its zone that live and can do it, those that are
// not slow before the others. Nodes that differ in their view do the duty twice, or for
// a moment not at all; nothing may rest on it but cost.
func (d ZoneTask) IsOwner(peers []*Peer) bool {
	own := score(d.Key, d.Node)
	for _, p := range peers {
		b := &p.Heartbeat
		if b.Zone != d.Zone || b.SourceUnavailable || b.Leaving {
			continue
		}
		if b.SourceSlow != d.SourceSlow {
			if d.SourceSlow {
				return false
			}
			continue
		}
		if score(d.Key, b.Node) > own {
			return false
		}
	}
	return true
}

func score(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }
