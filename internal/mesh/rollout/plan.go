package rollout

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// canaryPart is the part of Settings.Share that the canary uses. The rest leaves room for
	// the nodes that have not learned of the order yet, and for those that restart.
	canaryPart = 0.8
	// slackPart is the part of Settings.Slack that the nodes divide among themselves, so that the
	// first responses of the target version come early. While a node uses its part, its share is
	// boost times as large.
	slackPart = 0.8
	boost     = 2
	// freshProcess is the time after the start of a process in which it takes no part of the slack:
	// the process before it may have used that.
	freshProcess = 3 * time.Second
	// shiftPart is the part of the duration that the shift takes, within minShift and maxShift
	// and no more than half of the duration. minShift leaves time to announce the shift and
	// to drain the old servers.
	shiftPart = 0.1
	minShift  = 1200 * time.Millisecond
	maxShift  = 3 * time.Second
	// lateStartPart is the part of the duration for which the canary of servers runs that
	// appeared only after the shift was due.
	lateStartPart = 0.25
	// forceMargin is how long before the deadline complete is written even if requests are
	// still in flight at old servers.
	forceMargin = 300 * time.Millisecond
	// rotation is how long the same subset of the new servers gets the canary. All new
	// servers get their turn, so that a single bad one can be told from a bad version.
	rotation = 500 * time.Millisecond
)

// Step is a part of a rollout.
type Step uint8

// Steps of a rollout.
const (
	// StepCanary sends a small share of the requests to the target version.
	StepCanary Step = iota
	// StepShift sends all requests to the target version.
	StepShift
	// StepBack sends none there.
	StepBack
)

// String returns the lower-case name of the step.
func (s Step) String() string {
	switch s {
	case StepShift:
		return "shift"
	case StepBack:
		return "back"
	default:
		return "canary"
	}
}

// shiftAge returns the age from which on an order shifts all requests. started is the age at
// which servers of the version were first seen.
func shiftAge(duration, started time.Duration) time.Duration {
	shift := min(max(time.Duration(shiftPart*float64(duration)), minShift), maxShift, duration/2)
	if at := duration - shift; started < at {
		return at
	}
	return started + time.Duration(lateStartPart*float64(duration))
}

// key identifies an order by its contents.
func key(o cicadaseam.RolloutOrder) uint32 {
	return uint32(xxhash.Sum64String(o.Service + "\x00" + o.Version + "\x00" + strconv.FormatInt(int64(o.Duration), 10)))
}

// Split decides to which version the requests of one node for a service go. It is safe for
// concurrent use.
type Split struct {
	Version string
	Step    Step
	// Lenient is set while no server of another version has been seen since the order. The
	// target version then gets all requests, since there is nothing to move them from.
	Lenient bool
	share   float64
	turn    int // of the rotation
	key     uint32
	counter *counter
}

// counter counts the requests that a process sent for an order.
type counter struct {
	mu       sync.Mutex
	all, new int64
	// phase is the part of a request by which the requests to the target version may exceed
	// their share. It differs among nodes, so that the share is also reached where each node
	// has only a few requests. extra is the number of requests that may come early.
	phase, extra float64
}

// addSlack gives a node its part of the slack. random is a number from 0 to 1.
func (c *counter) addSlack(slack float64, nodes int, random float64) {
	part := slackPart * slack / float64(nodes)
	phase := min(part, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.extra = phase*random, part-phase
}

// allowed returns how many requests may go to the target version in the canary.
func (c *counter) allowed(share float64) float64 {
	x := share * float64(c.all)
	return min(boost*x, x+c.extra) + c.phase
}

// Take counts a request that is about to be sent, and reports whether it is one of the share of
// the target version in the canary.
func (s *Split) Take() bool {
	c := s.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all++
	if s.Step != StepCanary || float64(c.new+1) > c.allowed(s.share) {
		return false
	}
	c.new++
	return true
}

// TakeAll counts a request that goes to the target version in any case.
func (s *Split) TakeAll() {
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	s.counter.all++
	s.counter.new++
}

// Undo takes back a request that Take counted, since it was not sent. toTarget is the result of
// Take.
func (s *Split) Undo(toTarget bool) {
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	s.counter.all--
	if toTarget {
		s.counter.new--
	}
}

// MoveToOthers changes a request that Take counted for the target version to one for the others.
func (s *Split) MoveToOthers() {
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	s.counter.new--
}

// counts returns the requests for the service and those of them that went to the target version.
func (c *counter) counts() (all, toTarget int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all, c.new
}

// Subset returns whether each of the instances of the target version gets the canary now, when
// there are so many instances of other versions. It is as many instances as carry about the load
// of an old one each.
func (s *Split) Subset(instances []string, others int) map[string]bool {
	out := make(map[string]bool, len(instances))
	if s.Step != StepCanary {
		for _, x := range instances {
			out[x] = true
		}
		return out
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b string) int {
		x, y := s.rank(a), s.rank(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	size := min(max(int(math.Ceil(s.share*float64(others))), 1), len(sorted))
	for i := range size {
		out[sorted[(s.turn*size+i)%len(sorted)]] = true
	}
	return out
}

func (s *Split) rank(instance string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(s.key), 36) + "\x00" + instance)
}
