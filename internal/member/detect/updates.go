package detect

import (
	"math"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// updateQueue holds the ids of members whose updates are to be sent, in buckets by the number of
// transmissions. The least sent updates go first. An id whose entry has been updated or sent since
// is dropped when it is popped, so that the cost of a packet is bounded by the updates in it,
// however many are queued.
type updateQueue struct {
	buckets [][]string // by the number of transmissions
	count   int        // of ids in all buckets
}

const (
	// longQueue is the number of queued updates above which each is sent less often.
	longQueue = 40
	// largeMerge is the number of members in a Merge above which each is sent less often.
	largeMerge = 8
	// reducedTransmissions bounds the transmissions of an update while the queue is long.
	reducedTransmissions = 4
)

func (q *updateQueue) push(transmissions int, id string) {
	for len(q.buckets) <= transmissions {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[transmissions] = append(q.buckets[transmissions], id)
	q.count++
}

// pop removes and returns the least sent id and its number of transmissions.
func (q *updateQueue) pop() (id string, transmissions int, ok bool) {
	for i, bucket := range q.buckets {
		if len(bucket) == 0 {
			continue
		}
		q.buckets[i] = bucket[1:]
		q.count--
		return bucket[0], i, true
	}
	return "", 0, false
}

// enqueueUpdate queues the current state of a member to be sent.
func (d *Detector) enqueueUpdate(id string) {
	e := d.entryOf(id)
	e.transmissions = d.initialTransmissions
	e.size = encodedSize(e.member)
	d.pending.push(d.initialTransmissions, id)
}

// entryOf returns the entry of a member or of this node itself, or nil.
func (d *Detector) entryOf(id string) *entry {
	if id == d.self.ID {
		d.selfEntry.member = d.self
		return d.selfEntry
	}
	return d.members[id]
}

// transmissionLimit returns the number of transmissions of each update. When many updates are
// queued, as when all nodes of a fleet start at the same time, the receivers have most of them
// already from elsewhere. Sending each update less often gets all of them through sooner, and the
// zone digests reveal missed updates.
func (d *Detector) transmissionLimit() int {
	if d.pending.count > longQueue {
		return reducedTransmissions
	}
	return transmissionFactor * int(math.Ceil(math.Log10(float64(len(d.members)+2))+1))
}

// nextUpdates returns the least sent updates that fit in a packet and queues them again, except
// those that have reached the limit.
func (d *Detector) nextUpdates() []cicadaseam.Member {
	limit := d.transmissionLimit()
	free := MaxPacketBytes - reservedBytes
	var out []cicadaseam.Member
	var sent []*entry
	for d.pending.count > 0 {
		id, transmissions, _ := d.pending.pop()
		e := d.entryOf(id)
		if e == nil || e.transmissions != transmissions {
			continue // the id is queued again with another count, or the member was removed
		}
		if e.size > free {
			d.pending.push(transmissions, id)
			break
		}
		free -= e.size
		e.transmissions++
		out = append(out, e.member)
		sent = append(sent, e)
	}
	for _, e := range sent {
		if e.transmissions < limit {
			d.pending.push(e.transmissions, e.member.ID)
		}
	}
	return out
}

// encodedSize returns the size of an encoded member in bytes, or MaxPacketBytes if it does not
// encode.
func encodedSize(m cicadaseam.Member) int {
	data, err := pack.Marshal(&m)
	if err != nil {
		return MaxPacketBytes
	}
	return len(data)
}
