// Package budget bounds the memory that message bodies take together.
//
// # Model
//
// Small bodies and large ones are counted apart, so that a large one does not keep the many small
// ones out. A large body that is the only one in progress may take any size: otherwise none above the
// limit would ever be served.
//
// # Usage
//
//	b := budget.New(64 << 20)
//	var r budget.Reservation
//	if !b.Resize(&r, size) { ... } // refuse the request
//	defer b.Release(&r)
package budget

import "sync"

// SmallBody is the size in bytes up to which a body counts as small.
const SmallBody = 1 << 20

// Budget bounds the small bodies in progress to a limit, and the large ones to half of it. It is
// safe for concurrent use.
type Budget struct {
	limit int64

	mu    sync.Mutex
	small int64
	large int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reservation is the part of a budget that one body has. The zero value is empty.
type Reservation struct{ size int64 }

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 { return r.size }

// Resize changes a reservation to a size in bytes. If the budget does not allow that, it returns false
// and leaves the reservation as it was.
func (b *Budget) Resize(r *Reservation, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r.size, -1)
	if !b.allows(size) {
		b.add(r.size, 1)
		return false
	}
	r.size = size
	b.add(size, 1)
	return true
}

// Release empties a reservation.
func (b *Budget) Release(r *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r.size, -1)
	r.size = 0
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// allows reports whether one more body of a size fits. The lock is held.
func (b *Budget) allows(size int64) bool {
	if size <= SmallBody {
		return b.small+size <= b.limit
	}
	return b.large == 0 || b.large+size <= b.limit/2
}

// add adds a body, or removes it if sign is -1. The lock is held.
func (b *Budget) add(size, sign int64) {
	if size <= SmallBody {
		b.small += sign * size
		return
	}
	b.large += sign * size
}
