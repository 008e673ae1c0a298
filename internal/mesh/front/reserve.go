package front

import (
	"net/http"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/budget"
)

// received is a request that has been read, with its part of the budget.
type received struct {
	request  *http.Request
	body     []byte
	headSize int64               // bytes that its head takes, as far as they are reserved
	reserved *budget.Reservation // nil if it has none
}

// reserve changes the part of the budget that a request has to what its head takes and bodySize bytes.
func (c *conn) reserve(in *received, bodySize int64) error {
	size := in.headSize + bodySize
	if in.reserved == nil {
		if size == 0 {
			return nil
		}
		in.reserved = &budget.Reservation{}
	}
	if !c.server.budget.Resize(in.reserved, size, time.Now()) {
		return errNoMemory
	}
	return nil
}

// arriving lets the request be interrupted until it has arrived.
func (c *conn) arriving(in *received) {
	if in.reserved == nil {
		in.reserved = &budget.Reservation{}
	}
	c.server.budget.Arriving(in.reserved, time.Now(), func(bool) { c.interrupt() })
}

// arrived ends the time in which the request may be interrupted.
func (c *conn) arrived(in *received) error {
	if in.reserved != nil && !c.server.budget.Arrived(in.reserved) || c.isInterrupted() {
		return errNoMemory
	}
	return nil
}

// release returns the part of the budget that a request has.
func (c *conn) release(in *received) {
	if in.reserved != nil {
		c.server.budget.Release(in.reserved)
	}
}

// progress records that n bytes of the body have arrived.
func (c *conn) progress(in *received, n int) {
	if in.reserved != nil {
		c.server.budget.Progress(in.reserved, n, time.Now())
	}
}

// setReadDeadline sets the deadline of the next reads, unless the request was interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.nc.SetReadDeadline(t) // the next read reports a failure
	if c.isInterrupted() {
		_ = c.nc.SetReadDeadline(expiredDeadline) // as above
	}
}

// interrupt makes the request that is arriving fail, so that its memory is free for others. The caller
// is told that it did not run.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.nc.SetReadDeadline(expiredDeadline) // wakes readLoop
}

func (c *conn) isInterrupted() bool { return c.interrupted.Load() }
