// Package ideal computes how many requests of a load could be served on time with perfect knowledge.
//
// # Model
//
// Requests are a fluid: they arrive evenly, need no whole slot, and run on any slot of their service
// at its mean speed. They start in the order of their priorities, at any time from their arrival
// until the last at which they are on time. Nothing takes time but the requests themselves: no
// transit, no warm-up and no report is late. A deployment serves fewer requests on time than this
// model, because of the spread of its run times and all that it does not know. Within a priority, a
// Policy decides. It decides step by step, so that its result is not proved to be the best possible.
//
// # Usage
//
//	load, err := ideal.Read("load.ini")
//	for _, r := range ideal.Run(load, ideal.Most) { ... }
package ideal

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// step is the length of the steps in which time advances.
const step = 20 * time.Millisecond

// shareParts is the number of parts into which Alike divides the slots of a step.
const shareParts = 25

// Kind is a kind of request.
type Kind struct {
	Name      string
	Service   string
	Rate      float64 // requests a second
	Hold      time.Duration
	Objective time.Duration
	Priority  int
	// Calls is the slot time that the nested calls of a request take at other services.
	Calls map[string]time.Duration
}

// Change is a change of the demand or of the slots at a time.
type Change struct {
	At time.Duration
	// Factor is what all rates are multiplied by from now on, or 0 if it stays.
	Factor float64
	// Slots are the slots of services from now on.
	Slots map[string]float64
}

// Load is what arrives and what there is to serve it.
type Load struct {
	Length  time.Duration
	Slots   map[string]float64 // by service
	Kinds   []Kind
	Changes []Change // in the order of At
}

// Policy decides between kinds of the same priority.
type Policy uint8

// The policies.
const (
	// Most serves as many requests as possible: those that take the least slot time first.
	Most Policy = iota
	// Alike serves all kinds in the same proportion, as far as their demand allows.
	Alike
)

// Result is what a kind of request gets.
type Result struct {
	Kind   string
	Asked  float64
	OnTime float64
}

// Share returns the part of the requests that are served on time.
func (r Result) Share() float64 { return r.OnTime / max(r.Asked, 1e-9) }

// Run plays a load. The results are in the order of its kinds.
func Run(load *Load, policy Policy) []Result {
	p := &player{load: load, factor: 1, slots: maps.Clone(load.Slots), groups: load.groups(), backlog: make([][]batch, len(load.Kinds)), results: make([]Result, len(load.Kinds))}
	for i := range load.Kinds {
		p.results[i].Kind = load.Kinds[i].Name
	}
	for now := time.Duration(0); now < load.Length; now += step {
		p.applyChanges(now)
		p.arrive(now)
		p.serve(policy)
	}
	return p.results
}

// batch are requests that arrived in one step.
type batch struct {
	arrived  time.Duration
	requests float64
}

type player struct {
	load    *Load
	changes int // applied
	factor  float64
	slots   map[string]float64
	groups  [][]int            // of kinds, by priority
	left    map[string]float64 // slot time in seconds that this step has left
	backlog [][]batch          // by kind, oldest first
	results []Result
}

func (p *player) applyChanges(now time.Duration) {
	for p.changes < len(p.load.Changes) && p.load.Changes[p.changes].At <= now {
		c := &p.load.Changes[p.changes]
		if c.Factor > 0 {
			p.factor = c.Factor
		}
		maps.Copy(p.slots, c.Slots)
		p.changes++
	}
}

// arrive adds the arrivals of a step and drops the requests that cannot be on time any more.
func (p *player) arrive(now time.Duration) {
	for i := range p.load.Kinds {
		k := &p.load.Kinds[i]
		n := k.Rate * p.factor * step.Seconds()
		p.results[i].Asked += n
		p.backlog[i] = append(p.backlog[i], batch{now, n})
		for len(p.backlog[i]) > 0 && now-p.backlog[i][0].arrived > k.Objective-k.Hold {
			p.backlog[i] = p.backlog[i][1:]
		}
	}
}

// serve divides the slot time of a step.
func (p *player) serve(policy Policy) {
	p.left = map[string]float64{}
	for service, n := range p.slots {
		p.left[service] = n * step.Seconds()
	}
	for _, group := range p.groups {
		if policy == Most {
			p.serveMost(group)
		} else {
			p.serveAlike(group)
		}
	}
}

func (p *player) serveMost(group []int) {
	for _, i := range group {
		p.serveKind(i, p.backlogOf(i))
	}
}

// serveAlike serves small parts of the kind of which the smallest part was served so far.
func (p *player) serveAlike(group []int) {
	for range shareParts * len(group) {
		i, ok := p.leastServed(group)
		if !ok {
			return
		}
		p.serveKind(i, p.load.Kinds[i].Rate*p.factor*step.Seconds()/shareParts)
	}
}

// groups returns the kinds by priority, the highest first, and within one by the slot time that a
// request takes at all services.
func (l *Load) groups() (groups [][]int) {
	byPriority := map[int][]int{}
	for i := range l.Kinds {
		byPriority[l.Kinds[i].Priority] = append(byPriority[l.Kinds[i].Priority], i)
	}
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		group := byPriority[priority]
		slices.SortStableFunc(group, func(i, j int) int { return cmp.Compare(l.Kinds[i].slotTime(), l.Kinds[j].slotTime()) })
		groups = append(groups, group)
	}
	return groups
}

func (k *Kind) slotTime() time.Duration {
	total := k.Hold
	for _, d := range k.Calls {
		total += d
	}
	return total
}

// leastServed returns the kind of which the smallest part was served so far, among those that can
// be served now.
func (p *player) leastServed(group []int) (least int, ok bool) {
	for _, i := range group {
		if p.backlogOf(i) <= 0 || p.room(i) <= 0 {
			continue
		}
		if !ok || p.results[i].Share() < p.results[least].Share() {
			least, ok = i, true
		}
	}
	return least, ok
}

func (p *player) backlogOf(i int) (requests float64) {
	for _, b := range p.backlog[i] {
		requests += b.requests
	}
	return requests
}

// room returns how many requests of a kind the rest of the step has room for.
func (p *player) room(i int) float64 {
	k := &p.load.Kinds[i]
	room := p.left[k.Service] / k.Hold.Seconds()
	for service, d := range k.Calls {
		room = min(room, p.left[service]/d.Seconds())
	}
	return room
}

// serveKind serves up to n requests of a kind, the oldest first.
func (p *player) serveKind(i int, n float64) {
	n = min(n, p.room(i), p.backlogOf(i))
	if n <= 0 {
		return
	}
	k := &p.load.Kinds[i]
	p.results[i].OnTime += n
	p.left[k.Service] -= n * k.Hold.Seconds()
	for service, d := range k.Calls {
		p.left[service] -= n * d.Seconds()
	}
	for n > 0 && len(p.backlog[i]) > 0 {
		first := &p.backlog[i][0]
		taken := min(first.requests, n)
		first.requests -= taken
		n -= taken
		if first.requests <= 0 {
			p.backlog[i] = p.backlog[i][1:]
		}
	}
}
