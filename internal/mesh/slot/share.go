package slot

import (
	"math"
	"time"
)

const (
	// usageWindow is the time over which the use of customers is averaged. With a shorter one, a
	// customer that sends one request per second would hardly count; with a longer one, the share
	// of a customer that stops sending would be given to the others too late.
	usageWindow = 500 * time.Millisecond
	// classWindow is the time over which the use of a class is averaged. Over a shorter one, the
	// bursts of a class would seem to use all slots, and requests of lower classes would be refused
	// although there is room for them.
	classWindow = 2 * time.Second
	// minShare is the least part of the slots that a class is expected to get. It keeps estimates
	// finite while higher classes use all slots.
	minShare = 0.02
)

// usage is an amount of work that decays over a window, which is the same in all calls.
type usage struct {
	seconds float64
	at      time.Time
}

// add adds work at a time.
func (u *usage) add(now time.Time, work, window time.Duration) {
	u.seconds = max(u.slots(now, window)*window.Seconds()+work.Seconds(), 0)
	u.at = now
}

// slots returns the mean number of slots that the work occupies.
func (u *usage) slots(now time.Time, window time.Duration) float64 {
	if u.seconds == 0 {
		return 0
	}
	return u.seconds / window.Seconds() * math.Exp(-now.Sub(u.at).Seconds()/window.Seconds())
}

// demand returns the slots that a flow would occupy if it were served at once.
func (f *flow) demand(now time.Time) float64 {
	queued := f.work[0] + f.work[1]
	return f.used.slots(now, usageWindow) + queued.Seconds()/usageWindow.Seconds()
}

// share returns how many of a number of slots a flow gets if it demands all of them: its part of
// a max-min division.
func (c *class) share(now time.Time, f *flow, slots float64) float64 {
	var demands []float64
	add := func(g *flow) {
		if g == f {
			return
		}
		if d := g.demand(now); d > 0 {
			demands = append(demands, d)
		}
	}
	add(&c.anonymous)
	for _, g := range c.flows {
		add(g)
	}
	return maxMinShare(demands, slots)
}

// maxMinShare returns the max-min fair share of a party that demands the whole amount, next to
// others with the given demands. It overwrites demands.
func maxMinShare(demands []float64, amount float64) float64 {
	for {
		level := amount / float64(len(demands)+1)
		above := demands[:0]
		for _, d := range demands {
			if d < level {
				amount -= d
			} else {
				above = append(above, d)
			}
		}
		if len(above) == len(demands) {
			return level
		}
		demands = above
	}
}

// Settle corrects what the customer of a request is charged: the time for which the request
// occupied its slot, in place of the expected run time. It is called after Release, and has no
// effect if the request did not start.
func (q *Queue) Settle(now time.Time, req *Request) {
	if req.startedAt.IsZero() {
		return
	}
	correction := now.Sub(req.startedAt) - req.ExpectedRunTime
	req.startedAt = time.Time{}
	req.flow.tag += correction
	index, _ := classOf(req.Rank)
	q.classes[index].recordUse(now, req.flow, correction)
}

// recordUse adds work to the use of a flow and of its class. Negative work corrects an estimate.
func (c *class) recordUse(now time.Time, f *flow, work time.Duration) {
	f.used.add(now, work, usageWindow)
	c.used.add(now, work, classWindow)
}

// available returns the slots that are left for a class by the higher ones.
func (q *Queue) available(now time.Time, index int) float64 {
	slots := float64(q.limit)
	if interval := q.rate.Interval(); interval > 0 {
		slots = min(slots, q.meanRunTime.Seconds()/interval.Seconds())
	}
	return max(q.leftBy(now, slots, 0, index), minShare*slots)
}

// leftBy returns what the classes from first up to index, without it, leave of a number of slots.
func (q *Queue) leftBy(now time.Time, slots float64, first, index int) float64 {
	for i := first; i < index; i++ {
		slots -= q.classes[i].used.slots(now, classWindow)
	}
	return slots
}

// slotsFor returns the slots that serve the requests of a rank: those that higher classes, whose
// requests keep arriving, leave to it.
func (q *Queue) slotsFor(now time.Time, rank int) float64 {
	if rank == RankNested {
		return float64(q.limit)
	}
	left := float64(q.limit) - max(float64(q.nested.slots), q.classes[0].used.slots(now, classWindow))
	index, _ := classOf(rank)
	return max(q.leftBy(now, left, 1, index), minShare*float64(q.limit))
}

// recordDemand records that a request asks for a slot, and decides whether its class is contended.
// That begins with a request that would have to wait too long behind all others of its rank, and
// ends contentionTime after the class last asked for contentionLoad of its slots.
func (q *Queue) recordDemand(now time.Time, req *Request) {
	index, _ := classOf(req.Rank)
	c := &q.classes[index]
	if !c.isShared() {
		return
	}
	if now.Sub(c.sweptAt) >= retentionTime/2 {
		c.evictIdle(now)
	}
	c.requested.add(now, req.ExpectedRunTime, usageWindow)
	if c.isContended(now) && c.requested.slots(now, usageWindow) >= contentionLoad*q.available(now, index) ||
		q.waitBehind(now, req.Rank, q.upTo(req.Rank)) > req.MaxWait {
		c.contendedUntil = now.Add(contentionTime)
	}
}

// shareWait returns how long a request waits in a contended class, or 0 if its class is not
// contended. own is the part of the backlog ahead that is of its customer. Requests of higher
// classes that arrive meanwhile go ahead of it. So do those of other customers if its customer is
// above its share, which gets no more than its share of the slots. f is nil for a customer that is
// not known.
func (q *Queue) shareWait(now time.Time, req *Request, f *flow, ahead, own backlog) time.Duration {
	index, _ := classOf(req.Rank)
	c := &q.classes[index]
	if !c.isContended(now) {
		return 0
	}
	available := q.available(now, index)
	higher := q.upTo(firstRank(index) - 1)
	seconds := higher.work.Seconds()/float64(q.limit) + (ahead.work-higher.work+req.ExpectedRunTime).Seconds()/available
	credit := c.virtual - c.nextTag(f)
	if missing := own.work + req.ExpectedRunTime - credit; missing > 0 {
		seconds = max(seconds, missing.Seconds()/c.share(now, f, available))
	}
	return time.Duration(seconds * float64(time.Second))
}
