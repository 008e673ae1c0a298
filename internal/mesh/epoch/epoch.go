// Package epoch decides when a node writes its records to the store again.
//
// # Model
//
// The store numbers its epochs. A new one begins when the store comes back from an older copy
// of itself: what was written since that copy was made is lost, although it was acknowledged.
// Each response of the store names its epoch, and nodes tell each other the newest that they
// know, so that a node that cannot reach the store learns of it too.
//
// A Tracker remembers in which epoch the records of its node were written. When it learns of a
// newer one, the records are due again after a random delay, so that the writes of all nodes
// together stay within a rate that the store bears. A write that fails, or that an older epoch
// acknowledges, is due again after a pause.
//
// A response of an older epoch may arrive late, and a number may be wrong. So a lower epoch
// changes nothing, and a node that keeps getting one after a higher one writes its records a
// few times only.
//
// # Usage
//
//	t := epoch.New(rand.Float64)
//	t.Observe(now, number, from)     // with each response, and each heartbeat of a node
//	if due, ok := t.Due(nodes); ok { ... } // write the records when due
//	t.Written(now, number, true)
package epoch

import (
	"sync"
	"time"
)

const (
	// writeInterval is the mean time between the writes of two nodes after a new epoch began:
	// half of the rate of a small store.
	writeInterval = 5 * time.Millisecond
	// retryPause is the pause after a write that failed. It is random between half of that and
	// one and a half.
	retryPause = 200 * time.Millisecond
	// maxStaleWrites bounds the writes that are repeated because an older epoch acknowledged
	// them.
	maxStaleWrites = 5
)

// Change is an epoch that a Tracker learned of.
type Change struct {
	Epoch, Before uint64
	From          string // who told
}

// Tracker tracks the epoch of the store for one node. It reads no clock and is safe for
// concurrent use.
type Tracker struct {
	random func() float64
	signal chan struct{}

	mu        sync.Mutex
	known     uint64 // 0 if no epoch is known
	change    *Change
	isWritten bool
	writtenIn uint64 // epoch of the last write of all records
	// The records are due after dueAfter and a share of the time that all nodes need. dueAfter is
	// zero if they are not due.
	dueAfter     time.Time
	dueShare     float64
	staleWrites  int // in a row
	older        int64
	invalid      int64
	invalidValue string
}

// New returns a tracker without an epoch. random returns a number from 0 to 1.
func New(random func() float64) *Tracker {
	return &Tracker{random: random, signal: make(chan struct{}, 1)}
}

// Signal returns a channel that receives a value after something changed for the goroutine that
// writes the records.
func (t *Tracker) Signal() <-chan struct{} { return t.signal }

// Epoch returns the newest epoch that is known, or 0.
func (t *Tracker) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Observe records an epoch that a response of the store or another node named. 0 stands for
// none.
func (t *Tracker) Observe(now time.Time, number uint64, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number < t.known && number > 0 {
		t.older++
	}
	if number <= t.known {
		return
	}
	t.change = &Change{Epoch: number, Before: t.known, From: from}
	t.known = number
	t.staleWrites = 0
	if t.isWritten && t.writtenIn < number {
		t.dueAfter, t.dueShare = now, t.random()
	}
	t.notify()
}

// ObserveInvalid records a response of the store whose epoch cannot be used.
func (t *Tracker) ObserveInvalid(value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalid++
	if t.invalidValue != value {
		t.invalidValue = value
		t.notify()
	}
}

// Written records that a write was acknowledged in an epoch, 0 if it named none. all is set if
// it held all records of the node.
func (t *Tracker) Written(now time.Time, number uint64, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number > 0 && number < t.known && t.staleWrites < maxStaleWrites {
		t.staleWrites++
		t.isWritten = true
		t.retry(now)
		return
	}
	if all {
		t.isWritten, t.writtenIn, t.dueAfter = true, max(number, t.known), time.Time{}
	}
}

// Failed records that a write of all records failed.
func (t *Tracker) Failed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retry(now)
}

// retry makes the records due after a pause. The lock is held.
func (t *Tracker) retry(now time.Time) {
	t.dueAfter = now.Add(time.Duration((0.5 + t.random()) * float64(retryPause)))
	t.dueShare = 0
	t.notify()
}

// notify wakes the goroutine that writes the records.
func (t *Tracker) notify() {
	select {
	case t.signal <- struct{}{}:
	default: // it has not handled the last signal yet
	}
}

// Due returns when a node of a fleet of nodes is to write its records again, and false if it is
// not.
func (t *Tracker) Due(nodes int) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	spread := t.dueShare * float64(nodes) * float64(writeInterval)
	return t.dueAfter.Add(time.Duration(spread)), !t.dueAfter.IsZero()
}

// TakeChange returns the last change of the epoch that was not taken before, or nil.
func (t *Tracker) TakeChange() *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.change
	t.change = nil
	return c
}

// Counts are the responses whose epoch was not used.
type Counts struct {
	Older, Invalid int64
	LastInvalid    string
}

// Counts returns how many responses named an older or an invalid epoch.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Older: t.older, Invalid: t.invalid, LastInvalid: t.invalidValue}
}
