// Package budget bounds the memory that requests in progress take together, and decides which of them
// give way when it is used up.
//
// # Model
//
// Each request has a Reservation. Requests above SmallBody and those below it are counted apart, so
// that a large one does not keep the many small ones out. A large request that is the only one may
// take any size: otherwise none above the limit would ever be served. The smaller a request, the more
// of the budget it may use: room remains for ordinary requests when larger ones use all that they may.
//
// While a request is still arriving, it may be revoked, since nothing of it has run. A request that
// does not fit revokes those that arrive too slowly, and then those that hold more than it needs. So
// callers that stop in the middle of a request keep nobody out. A request that has arrived keeps its
// reservation until it is released.
//
// # Usage
//
//	b := budget.New(64 << 20)
//	var r budget.Reservation
//	b.Arriving(&r, time.Now(), func(stalled bool) { ... }) // interrupt the reader
//	defer b.Release(&r)
//	if !b.Resize(&r, size, time.Now()) { ... } // refuse the request
//	if !b.Progress(&r, n, time.Now()) { ... } // n bytes have arrived; it was revoked
//	if !b.Arrived(&r) { ... }                 // it was revoked
package budget

import (
	"sync"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a request counts as small.
	SmallBody = 1 << 20
	// ordinaryBody and mediumBody are the sizes in bytes up to which small requests may use the whole
	// budget, and mediumShare of it. The others may use smallShare.
	ordinaryBody = 8 << 10
	mediumBody   = 64 << 10
	mediumShare  = 0.8
	smallShare   = 0.6
	// largeShare is the part of the budget that large requests may take together. If the only one
	// takes more, small ones may take besideHugeShare.
	largeShare      = 0.5
	besideHugeShare = 0.25

	// A request arrives too slowly if minProgress bytes of it take longer than stallTime. A slow link
	// that is shared by many callers carries more.
	minProgress = 16 << 10
	stallTime   = 2 * time.Second
)

// Budget bounds the requests in progress. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu       sync.Mutex
	small    int64
	large    int64
	arriving map[*Reservation]bool
	revoked  int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, arriving: map[*Reservation]bool{}} }

// Reservation is the part of a budget that one request has. The zero value is empty. It must not be
// copied while it is arriving.
type Reservation struct {
	size int64
	// since is when the last minProgress bytes began to arrive, and arrived how many of the next ones
	// have arrived.
	since   time.Time
	arrived int
	revoke  func(stalled bool)
	revoked bool
}

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 { return r.size }

// Arriving marks a reservation as one of a request that is still arriving: it may be revoked from now
// on. revoke is called then and must not block; it makes the request end soon. stalled is set if the
// request arrives too slowly, or not at all.
func (b *Budget) Arriving(r *Reservation, now time.Time, revoke func(stalled bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.since, r.arrived, r.revoke = now, 0, revoke
	b.arriving[r] = true
}

// Progress records that n more bytes of a request have arrived. It returns false if it was revoked.
func (b *Budget) Progress(r *Reservation, n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.arrived += n; r.arrived >= minProgress {
		r.arrived, r.since = 0, now
	}
	return !r.revoked
}

// Arrived ends the time in which a request may be revoked. It returns false if it was revoked.
func (b *Budget) Arrived(r *Reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, r)
	return !r.revoked
}

// Resize changes a reservation to a size in bytes, and revokes others if that is needed. If the budget
// does not allow it, or the reservation itself was revoked, it returns false and leaves the
// reservation as it was.
func (b *Budget) Resize(r *Reservation, size int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.revoked {
		return false
	}
	b.add(r.size, -1)
	for !b.allows(size) {
		victim := b.victim(r, size, now)
		if victim == nil {
			b.add(r.size, 1)
			return false
		}
		b.revokeLocked(victim, now)
	}
	r.size = size
	b.add(size, 1)
	return true
}

// Release empties a reservation, which can be used again.
func (b *Budget) Release(r *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r.size, -1)
	delete(b.arriving, r)
	*r = Reservation{}
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// Revoked returns how many requests were revoked.
func (b *Budget) Revoked() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revoked
}

// allows reports whether one more request of a size fits. The lock is held.
func (b *Budget) allows(size int64) bool {
	huge := b.large > b.share(largeShare)
	if size > SmallBody {
		return b.large+size <= b.share(largeShare) || b.large == 0 && (size <= b.share(largeShare) || b.small <= b.share(besideHugeShare))
	}
	share := 1.0
	switch {
	case huge:
		share = besideHugeShare
	case size > mediumBody:
		share = smallShare
	case size > ordinaryBody:
		share = mediumShare
	}
	return size == 0 || b.small+size <= b.share(share)
}

func (b *Budget) share(part float64) int64 { return int64(part * float64(b.limit)) }

// victim returns the request that gives way to a request r of a size: the one that has been arriving
// too slowly for the longest time, or else the largest one that holds more. It returns nil if there is
// none. The lock is held.
func (b *Budget) victim(r *Reservation, size int64, now time.Time) (victim *Reservation) {
	for v := range b.arriving {
		if v != r && v.size > 0 && b.blocks(v, size) && (v.isStalled(now) || v.size > size) && (victim == nil || v.givesWayBefore(victim, now)) {
			victim = v
		}
	}
	return victim
}

// blocks reports whether a request of a size may fit once v gives way. The lock is held.
func (b *Budget) blocks(v *Reservation, size int64) bool {
	if size <= SmallBody {
		return v.size <= SmallBody || b.large > b.share(largeShare)
	}
	return v.size > SmallBody || b.large == 0
}

func (r *Reservation) isStalled(now time.Time) bool { return now.Sub(r.since) > stallTime }

// givesWayBefore reports whether r is revoked before o.
func (r *Reservation) givesWayBefore(o *Reservation, now time.Time) bool {
	stalled := r.isStalled(now)
	switch {
	case stalled != o.isStalled(now):
		return stalled
	case stalled:
		return r.since.Before(o.since)
	}
	return r.size > o.size
}

// revokeLocked takes a reservation from a request that is arriving. The lock is held.
func (b *Budget) revokeLocked(r *Reservation, now time.Time) {
	b.add(r.size, -1)
	r.size, r.revoked = 0, true
	b.revoked++
	delete(b.arriving, r)
	r.revoke(r.isStalled(now))
}

// add adds a request, or removes it if sign is -1. The lock is held.
func (b *Budget) add(size, sign int64) {
	if size <= SmallBody {
		b.small += sign * size
		return
	}
	b.large += sign * size
}
