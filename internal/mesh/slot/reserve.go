package slot

import (
	"math"
	"time"
)

// nestedSmoothingTime is the time constant with which the load of nested requests is averaged.
const nestedSmoothingTime = 2 * time.Second

// maxReservedShare bounds the part of the slots that is kept free for nested requests.
const maxReservedShare = 0.5

// reservation decides how many slots are kept free for nested requests.
//
// While a nested request waits, its outer request occupies a slot at another backend server.
// Slots are therefore reserved as long as the slot time that one more saves at other servers
// exceeds the time for which it is idle here. The load of the nested requests and their rate are
// measured. How often they find all reserved slots occupied follows from the Erlang B formula.
type reservation struct {
	running   int     // nested requests that occupy a slot
	load      float64 // mean of running
	perSecond float64 // rate of nested requests
	updatedAt time.Time
	slots     int // number of reserved slots
}

// advance averages the load up to now.
func (r *reservation) advance(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	elapsed := max(now.Sub(r.updatedAt), 0)
	r.updatedAt = now
	keep := math.Exp(-elapsed.Seconds() / nestedSmoothingTime.Seconds())
	r.load = keep*r.load + (1-keep)*float64(r.running)
	r.perSecond *= keep
}

// arrived counts a nested request.
func (r *reservation) arrived(now time.Time) {
	r.advance(now)
	r.perSecond += 1 / nestedSmoothingTime.Seconds()
}

// update recomputes the number of reserved slots. wait is how long a nested request waits
// on average if it finds no free slot, and limit the number of all slots.
func (r *reservation) update(limit int, wait time.Duration) {
	r.slots = 0
	blocked := 1.0 // share of the nested requests that find all reserved slots occupied
	for float64(r.slots+1) <= maxReservedShare*float64(limit) {
		next := r.load * blocked / (float64(r.slots+1) + r.load*blocked)
		saved := r.perSecond * (blocked - next) * wait.Seconds()
		idle := 1 - r.load*(blocked-next)
		if saved <= idle {
			return
		}
		r.slots++
		blocked = next
	}
}

// mayStart reports whether a request of a rank may occupy one more slot.
func (q *Queue) mayStart(rank int) bool {
	if rank == RankNested {
		return q.running < q.limit
	}
	return q.running-q.nested.running < q.outerLimit() && q.running < q.limit
}

// outerLimit returns the number of slots for requests that are not nested.
func (q *Queue) outerLimit() int { return max(q.limit-q.nested.slots, 1) }

// Kept returns the number of free slots that only nested requests get.
func (q *Queue) Kept() int { return max(q.nested.slots-q.nested.running, 0) }

// ReleaseNested is Release for a request of RankNested.
func (q *Queue) ReleaseNested(now time.Time, took time.Duration) {
	q.nested.advance(now)
	q.nested.running--
	q.release(now, took)
}

// updateReservation recomputes the slots that are kept for nested requests.
func (q *Queue) updateReservation(now time.Time) {
	q.nested.advance(now)
	q.nested.update(q.limit, q.outerRunTime/time.Duration(q.limit))
}
