package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner holds the buckets of the customers that a node owns.
type Owner struct {
	config  Config
	view    *View
	limits  func(customer string) (Limit, bool)
	buckets map[string]*bucket
}

// NewOwner returns an owner without buckets. limits returns the quota of a customer by the
// revision in force, and false if there is no such customer.
func NewOwner(c Config, v *View, limits func(string) (Limit, bool)) *Owner {
	return &Owner{config: c, view: v, limits: limits, buckets: map[string]*bucket{}}
}

// customerHash returns the hash of a customer for the choice of its owner.
func customerHash(name string) uint64 { return xxhash.Sum64String(name) }

// isOwner reports whether this node owns a customer. After the process of the previous owner has
// ended, this node acts as the owner before the fleet notices, unless other nodes may still have
// another view.
func (o *Owner) isOwner(now time.Time, hash uint64) bool {
	if o.view.Owner(now, hash) != o.view.addr {
		return false
	}
	newest := o.view.tenures[len(o.view.tenures)-1]
	return newest.settled || newest.top(hash, skipNone) == o.view.addr
}

// get returns the bucket of a customer that this node owns, refilled up to now. It returns nil if
// there are too many.
func (o *Owner) get(now time.Time, l Limit) *bucket {
	b := o.buckets[l.Name]
	if b == nil {
		if len(o.buckets) >= maxCustomers {
			return nil
		}
		b = o.create(now, l)
		o.buckets[l.Name] = b
	}
	b.refill(o.view.seconds, l, o.config.capacity(l))
	return b
}

// create returns the bucket of a customer whose state at this node is unknown: this node has just
// become the owner, or the customer has made no request for long.
func (o *Owner) create(now time.Time, l Limit) *bucket {
	b := &bucket{limit: l, refilled: o.view.seconds, reservesAt: now.Add(reserveTime + reserveMargin)}
	b.tenure = o.view.ownedSince(customerHash(l.Name))
	b.level = o.config.initial(l) * o.view.reach(now)
	if t := b.tenure; t != nil {
		b.refilled = t.settledAt // nothing was granted since
		b.reservesAt = t.since.Add(reserveTime + reserveMargin)
	}
	b.taken = firstToken(now)
	return b
}

// Ask serves the request of a node for tokens.
func (o *Owner) Ask(now time.Time, r *Request) Answer {
	if len(r.Handover) > 0 {
		o.view.handoverShare, o.view.handoverAt, o.view.settledOnce = float64(r.HandoverShare)/1000, now, true
		o.view.share = o.view.newShare(now)
	}
	for _, h := range r.Handover {
		o.receive(now, h)
	}
	if r.Customer == "" {
		return Answer{Status: Granted}
	}
	l, known := o.limits(r.Customer)
	if !known || !o.isOwner(now, customerHash(r.Customer)) {
		return Answer{Status: NotOwner}
	}
	if l.Rate <= 0 {
		return Answer{Status: Granted} // the revision of the node that asks is another one
	}
	b := o.get(now, l)
	if b == nil {
		return Answer{Status: NotOwner}
	}
	if t := b.tenure; t != nil && !t.settled && b.level < float64(r.Count) {
		_, wait := b.take(now, r.Count, o.view.share, o.view.settle)
		return Answer{RetryAfterUS: wait.Microseconds()} // the node that asks has a reserve
	}
	for _, token := range r.Returned {
		b.giveBack(token)
	}
	lendable := b.charge(now, r)
	a := Answer{Status: Granted}
	if ok, wait := b.take(now, r.Count, o.view.share, o.view.settle); !ok && r.Count > 0 {
		a = Answer{Status: Refused, RetryAfterUS: wait.Microseconds()}
	}
	a.Token = b.taken
	a.Reserve = b.lend(now, o.config, r, lendable, b.use.add(now, o.config.Window, r.Count))
	return a
}

// receive takes over the bucket of a customer from its previous owner, which grants no more.
func (o *Owner) receive(now time.Time, h Level) {
	l, known := o.limits(h.Customer)
	if !known || l.Rate <= 0 || len(o.buckets) >= maxCustomers {
		return
	}
	b := o.buckets[h.Customer]
	if b == nil {
		b = &bucket{limit: l, refilled: o.view.seconds, usedAt: now, reservesAt: now.Add(reserveTime + reserveMargin)}
		o.buckets[h.Customer] = b
	}
	b.refill(o.view.seconds, l, o.config.capacity(l))
	b.tenure = nil
	b.level = min(b.level+float64(h.MilliTokens)/1000, b.capacity)
	b.taken, b.peaks = firstToken(now), nil
}

// firstToken returns a number that differs from those of earlier buckets.
func firstToken(now time.Time) uint32 { return uint32(mix(uint64(now.UnixNano()))) }

// Expire evicts idle buckets and returns those that this node no longer owns, by the addresses of
// their new owners.
func (o *Owner) Expire(now time.Time) map[string][]Level {
	var out map[string][]Level
	for name, b := range o.buckets {
		hash := customerHash(name)
		if o.isOwner(now, hash) {
			if now.Sub(b.usedAt) > idleTime {
				delete(o.buckets, name)
			}
			continue
		}
		addr := o.view.Owner(now, hash)
		if addr == "" || addr == o.view.addr {
			continue
		}
		b.refill(o.view.seconds, b.limit, b.capacity)
		delete(o.buckets, name)
		if b.tenure == nil || b.tenure.settled {
			if out == nil {
				out = map[string][]Level{}
			}
			out[addr] = append(out[addr], Level{name, int64(b.level * 1000)})
		}
	}
	return out
}
