// Package transit estimates how long messages were on their way between nodes
// whose clocks are not shared.
//
// # Model
//
// A sender stamps a message with its steady clock. The difference to the receiver's
// steady clock is the offset of the two clocks, which stays, and the time on the way.
// A Gauge keeps the least difference seen of each sender over the last minute or so;
// what a message exceeds it by is the time that it lay somewhere: on a saturated
// link, or in a process that was frozen.
//
// # Invariants
//
//   - The estimate is never more than the time on the way, as long as the clocks keep
//     their offset: the least difference holds some time on the way itself.
//   - Clocks that run apart, or an offset that changes, are forgotten after two spans.
//
// # Usage
//
//	call.Sender, call.Stamp = transit.Sender(addr, epoch), transit.Now()
//	...
//	late := gauge.Late(transit.Now(), call.Sender, call.Stamp)
package transit

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// span is how long a least difference is kept at least, and twice that at most.
	span = 30 * time.Second
	// maxSenders bounds the senders of one span.
	maxSenders = 4096
)

// Now returns the time of the steady clock that also counts while the machine is
// suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // a stamp of 0 says nothing
	}
	return time.Duration(ts.Nano())
}

// Sender returns the number of the process that started at an epoch at an address.
func SenderID(addr string, epoch int64) uint64 {
	return xxhash.Sum64String(addr + " " + strconv.FormatInt(epoch, 10))
}

// Gauge knows the least difference of the clocks of each sender. It reads no clock
// and is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	began  time.Duration // of the current span
	least  map[uint64]time.Duration
	before map[uint64]time.Duration // of the span before
}

// New returns a gauge that knows no sender.
func New() *Estimator { return &Estimator{least: map[uint64]time.Duration{}} }

// Late takes the stamp of a message that was received now and returns how long the
// message was on its way beyond the quickest one of its sender.
func (g *Estimator) ExcessDelay(now time.Duration, sender uint64, stamp time.Duration) time.Duration {
	if now == 0 || stamp == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.began >= span || len(g.least) >= maxSenders {
		g.before, g.least = g.least, map[uint64]time.Duration{}
		g.began = now
	}
	difference := now - stamp
	least, known := g.least[sender]
	if !known || difference < least {
		least = difference
		g.least[sender] = least
	}
	if older, ok := g.before[sender]; ok {
		least = min(least, older)
	}
	return difference - least
}
