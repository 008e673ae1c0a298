package quota

import "time"

// When a whole fleet starts, no node has been an owner before, and there is nothing to wait for. A
// node that has just started and reaches all known nodes asks them for their ages. If each of them
// is new and knows this node, no other node takes itself for the owner of this node's customers, and
// this node settles at once. Otherwise it waits for the settle time.

const (
	// maxAgeProbes bounds the nodes that are asked for their age at each update.
	maxAgeProbes = 64
	// ageProbePeriod is the time between two probes of a node that did not know this one.
	ageProbePeriod = 200 * time.Millisecond
)

// ages is what a node that has just started knows of the ages of its peers.
type ages struct {
	// done is set once a peer turned out to be settled, or all of them to be new.
	done bool
	// isNew holds the peers that answered AgeNew.
	isNew map[string]bool
	// asked holds when each peer was asked last.
	asked map[string]time.Time
}

// answered records the answer of a peer.
func (f *ages) answered(addr string, age Age) {
	switch age {
	case AgeSettled:
		f.done = true
	case AgeNew:
		if f.isNew == nil {
			f.isNew = map[string]bool{}
		}
		f.isNew[addr] = true
	}
}

// appendAgeProbes adds the probes for the ages of peers, and settles the view once all are new.
func (n *Node) appendAgeProbes(now time.Time, out []*Ask) []*Ask {
	v := n.view
	if n.ages.done || v.settledOnce || !v.joined || v.reach(now) < 1 {
		return out
	}
	probes, missing := 0, 0
	for addr := range v.peers {
		if n.ages.isNew[addr] {
			continue
		}
		missing++
		if probes < maxAgeProbes && now.Sub(n.ages.asked[addr]) >= ageProbePeriod {
			if n.ages.asked == nil {
				n.ages.asked = map[string]time.Time{}
			}
			n.ages.asked[addr] = now
			probes++
			out = append(out, n.probe(now, addr))
		}
	}
	if missing == 0 {
		v.settleNow(now)
		n.ages = ages{done: true}
	}
	return out
}
