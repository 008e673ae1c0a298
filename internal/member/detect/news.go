package detect

import (
	"math"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// news holds the ids of members whose updates are to be spread, in buckets by
// how often they were sent. The least sent go first, and an id whose entry has
// moved on is dropped when it is met, so that a step costs no more than the
// updates of one packet, however many wait.
type news struct {
	buckets [][]string
	count   int
}

const (
	muchNews       = 40 // pieces of news that wait
	muchMerged     = 8  // members in one exchange
	fewRetransmits = 4
)

func (n *news) push(transmits int, id string) {
	for len(n.buckets) <= transmits {
		n.buckets = append(n.buckets, nil)
	}
	n.buckets[transmits] = append(n.buckets[transmits], id)
	n.count++
}

// pop returns the next id and its bucket.
func (n *news) pop() (id string, transmits int, ok bool) {
	for i, b := range n.buckets {
		if len(b) == 0 {
			continue
		}
		n.buckets[i] = b[1:]
		n.count--
		return b[0], i, true
	}
	return "", 0, false
}

// enqueue spreads the news about a member.
func (d *Detector) enqueue(id string) {
	e := d.entryOf(id)
	e.transmits = d.sent
	e.size = encodedSize(e.m)
	d.news.push(d.sent, id)
}

// entryOf returns the entry of a member or of this node itself.
func (d *Detector) entryOf(id string) *entry {
	if id == d.self.ID {
		d.own.m = d.self
		return d.own
	}
	return d.members[id]
}

// retransmits is how often each piece of news is sent. With much news waiting,
// as when a fleet starts at once, most of it is known to the receivers by other
// ways: sending each piece less often lets all of it through sooner, and the
// digests of zones find what is left out.
func (d *Detector) retransmits() int {
	if d.news.count > muchNews {
		return fewRetransmits
	}
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(d.members)+2))+1))
}

// takeUpdates returns the least spread updates that fit in a packet.
func (d *Detector) takeUpdates() []cicadaseam.Member {
	limit := d.retransmits()
	room := MaxPacketBytes - updateReserve
	var out []cicadaseam.Member
	var again []*entry
	for d.news.count > 0 {
		id, transmits, _ := d.news.pop()
		e := d.entryOf(id)
		if e == nil || e.transmits != transmits {
			continue // a later copy of this id is queued, or it is forgotten
		}
		if e.size > room {
			d.news.push(transmits, id)
			break
		}
		room -= e.size
		e.transmits++
		out = append(out, e.m)
		again = append(again, e)
	}
	for _, e := range again {
		if e.transmits < limit {
			d.news.push(e.transmits, e.m.ID)
		}
	}
	return out
}

func encodedSize(m cicadaseam.Member) int {
	data, err := pack.Marshal(&m)
	if err != nil {
		return MaxPacketBytes
	}
	return len(data)
}
