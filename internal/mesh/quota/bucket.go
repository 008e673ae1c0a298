package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one customer at its owner.
//
// It is refilled by refill seconds: seconds times the share of the nodes that the owner reached in
// them (see View). The tokens taken in any interval of d refill seconds, less the returned ones,
// are at most capacity + rate * d.
type bucket struct {
	limit    Limit
	capacity float64
	level    float64 // negative after reserves were spent that the bucket did not cover
	// refilled is the reading of refill seconds up to which the bucket has been refilled.
	refilled float64
	// tenure is the first one of the uninterrupted ownership of this node; nil if there is no need
	// to wait for the previous owner.
	tenure *tenure
	// taken is the number of the token that was taken last.
	taken  uint32
	peaks  peaks
	usedAt time.Time
	use    counter
	// reserves holds the reserves by the nodes that hold them, and reserved their sum.
	reserves   map[uint32]reserveGrant
	reserved   int
	reservesAt time.Time // from which on new reserves may be granted
	purgedAt   time.Time
}

// reserveGrant is a reserve that a node may hold until a time.
type reserveGrant struct {
	tokens int
	until  time.Time
}

// refill brings the level up to date and applies a changed limit. A lower capacity takes effect at
// once.
func (b *bucket) refill(refillSeconds float64, limit Limit, capacity float64) {
	from := b.refilled
	b.refilled = refillSeconds
	if b.tenure != nil {
		if !b.tenure.settled {
			from = refillSeconds
		}
		from = max(from, b.tenure.settledAt)
	}
	b.level += b.limit.Rate * max(refillSeconds-from, 0)
	b.limit, b.capacity = limit, capacity
	b.level = min(b.level, capacity)
	b.peaks.observe(b.taken, b.level)
}

// take takes tokens. Otherwise it returns the time until they are available at a share of the
// rate, and whether the settle time of a new owner must pass first.
func (b *bucket) take(now time.Time, tokens int, share float64, settle time.Duration) (ok bool, retryAfter time.Duration) {
	b.usedAt = now
	if b.level >= float64(tokens) {
		b.level -= float64(tokens)
		b.taken += uint32(tokens)
		return true, 0
	}
	wait := time.Duration(0)
	if b.tenure != nil && !b.tenure.settled {
		wait = max(b.tenure.since.Add(settle).Sub(now), 0)
	}
	return false, wait + retryAfterIn((float64(tokens)-b.level)/(b.limit.Rate*max(share, 1e-6)))
}

// charge deducts the tokens that a node spent from its reserve. It returns how many the node may
// hold from now on at most.
//
// Reserves that the previous owner lent may still be held for reserveTime. Until then, a node gets
// no more than it had, and only if the bucket covers what it spent.
func (b *bucket) charge(now time.Time, r *Request) (lendable int) {
	if now.Before(b.reservesAt) {
		if b.level < float64(r.Spent+r.Count) {
			return r.Held
		}
		b.level -= float64(r.Spent)
		return r.Held + r.Spent
	}
	b.level -= float64(r.Spent)
	if b.level < 0 {
		return r.Held
	}
	return math.MaxInt
}

// lend returns the new size of the reserve of a node, which is lendable at most. A node gets what it
// needs for outageTime, but no more than its part by use.
func (b *bucket) lend(now time.Time, c Config, r *Request, lendable, useWindow int) int {
	b.purge(now)
	others := b.reserved - b.reserves[r.From].tokens
	wanted := 1 + int(math.Ceil(float64(r.Use)*outageTime.Seconds()/c.Window.Seconds()))
	total := c.reserves(b.limit)
	fair := max(total*r.Use/max(useWindow, r.Use, 1), 1)
	tokens := max(min(wanted, fair, total-others, lendable), 0)
	b.reserved = others + tokens
	if tokens == 0 {
		delete(b.reserves, r.From)
		return 0
	}
	if b.reserves == nil {
		b.reserves = map[uint32]reserveGrant{}
	}
	b.reserves[r.From] = reserveGrant{tokens, now.Add(reserveTime + reserveMargin)}
	return tokens
}

// purge deletes expired reserves, at most once per reserveMargin.
func (b *bucket) purge(now time.Time) {
	if now.Sub(b.purgedAt) < reserveMargin {
		return
	}
	b.purgedAt = now
	for node, g := range b.reserves {
		if now.After(g.until) {
			b.reserved -= g.tokens
			delete(b.reserves, node)
		}
	}
}

// counter counts events in the current and the previous window.
type counter struct {
	start             time.Time
	current, previous int
}

// add counts n events and returns the estimated number in the last window.
func (c *counter) add(now time.Time, window time.Duration, n int) int {
	if age := now.Sub(c.start); age >= window {
		c.previous = 0
		if age < 2*window {
			c.previous = c.current
		}
		c.current, c.start = 0, now
		if c.previous > 0 {
			c.start = now.Add(-(age - window))
		}
	}
	c.current += n
	left := 1 - float64(now.Sub(c.start))/float64(window)
	return c.current + int(float64(c.previous)*max(left, 0))
}
