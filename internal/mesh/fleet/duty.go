package fleet

import "github.com/cespare/xxhash/v2"

// First reports whether a node is the one of its zone that does a duty: the first
// in rendezvous order of a key among the nodes that live and can do it. Nodes that
// differ in their view do the duty twice, or for a moment not at all; nothing may
// rest on it but cost.
func First(key, self, zone string, peers []*Peer) bool {
	own := score(key, self)
	for _, p := range peers {
		b := &p.Beat
		if b.Zone != zone || b.Blind || b.Leaving {
			continue
		}
		if score(key, b.Node) > own {
			return false
		}
	}
	return true
}

func score(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }
