package connpool

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// ordinaryBody and smallBody are the sizes in bytes up to which a body may use a whole Budget and
	// smallShare of it. Larger ones share largeShare. So servers that send without end, and callers
	// that read no answer, leave room for ordinary responses.
	ordinaryBody = 64 << 10
	smallBody    = 1 << 20
	smallShare   = 0.75
	largeShare   = 0.5
)

// ErrNoMemory is returned for a response whose body does not fit the budget.
var ErrNoMemory = errors.New("responses in progress take too much memory")

// Budget bounds the memory of responses, over all pools and other parts of the process that share it:
// while they are read from a server or another node, and until they are written to a caller. It is safe
// for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve reserves n more bytes for a body that then takes size bytes. It reports whether the budget
// allowed it. A body that is the only one in progress may take any size.
func (b *Budget) Reserve(n, size int64) bool {
	if used := b.used.Add(n); used <= b.limitFor(size) || used == size {
		return true
	}
	b.used.Add(-n)
	return false
}

// limitFor returns how many bytes may be reserved together when a body of a size is among them.
func (b *Budget) limitFor(size int64) int64 {
	switch {
	case size > smallBody:
		return int64(largeShare * float64(b.limit))
	case size > ordinaryBody:
		return int64(smallShare * float64(b.limit))
	}
	return b.limit
}

// Hold reserves n bytes for a body that is there already.
func (b *Budget) Hold(n int64) { b.used.Add(n) }

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }
