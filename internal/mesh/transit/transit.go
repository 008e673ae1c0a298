// Package transit estimates the one-way delay of messages between nodes without
// synchronized clocks.
//
// # Model
//
// A sender stamps each message with its monotonic clock. The difference between that
// and the receiver's monotonic clock is the offset of the two clocks, which is
// constant, plus the one-way delay. An Estimator keeps the smallest difference seen
// from each sender in the current and the previous window. The amount by which a
// message exceeds it is the time that the message was held up, on a saturated link or
// in a frozen process.
//
// # Invariants
//
//   - The estimate never exceeds the one-way delay while the offset of the clocks is
//     constant, because the smallest difference includes some delay itself.
//   - The effect of clock drift, or of a changed offset, ends after two windows.
//
// # Usage
//
//	call.SenderID, call.SentAt = transit.SenderID(addr, epoch), transit.Now()
//	...
//	delay := estimator.ExcessDelay(transit.Now(), call.SenderID, call.SentAt)
package transit

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// window is the shortest time for which a smallest difference is kept; the longest
	// is two windows.
	window = 30 * time.Second
	// maxSenders bounds the senders of one window. When it is reached, the next window
	// starts early.
	maxSenders = 4096
)

// Now returns the time of the monotonic clock that also advances while the machine is
// suspended, or 0 if the clock cannot be read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // ExcessDelay ignores a time of 0
	}
	return time.Duration(ts.Nano())
}

// SenderID identifies the process at an address that started at an epoch. A restarted
// process has another id, since its clock may have another offset.
func SenderID(addr string, epoch int64) uint64 {
	return xxhash.Sum64String(addr + " " + strconv.FormatInt(epoch, 10))
}

// Estimator keeps the smallest clock difference of each sender. It reads no clock and
// is safe for concurrent use.
type Estimator struct {
	mu                 sync.Mutex
	windowStart        time.Duration            // when the current window began
	minOffsets         map[uint64]time.Duration // of the current window, by sender
	previousMinOffsets map[uint64]time.Duration // of the window before
}

// New returns an estimator without any sender.
func New() *Estimator { return &Estimator{minOffsets: map[uint64]time.Duration{}} }

// ExcessDelay records a message that was received now and returns by how much its
// delay exceeds that of the fastest recent message of its sender. It returns 0 if either
// time is 0.
func (e *Estimator) ExcessDelay(now time.Duration, sender uint64, sentAt time.Duration) time.Duration {
	if now == 0 || sentAt == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.windowStart >= window || len(e.minOffsets) >= maxSenders {
		e.previousMinOffsets, e.minOffsets = e.minOffsets, map[uint64]time.Duration{}
		e.windowStart = now
	}
	offset := now - sentAt
	minOffset, known := e.minOffsets[sender]
	if !known || offset < minOffset {
		minOffset = offset
		e.minOffsets[sender] = minOffset
	}
	if previous, ok := e.previousMinOffsets[sender]; ok {
		minOffset = min(minOffset, previous)
	}
	return offset - minOffset
}
