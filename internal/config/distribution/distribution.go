// Package distribution decides when a node gets configuration records, from where,
// and to which peers it pushes them.
//
// # Model
//
// A Scheduler is a plain state machine. In each availability zone the first few
// nodes in rendezvous order are readers and tail the log. Each reader is the root
// of a tree with a small fan-out over its zone, along which records are pushed.
// Gossip carries the highest known position and the time since the last response
// of the log (its age). A node that learns of a higher position fetches from the
// peer that has it. A node whose last known response of the log is too old tails
// the log itself for a while. There is no election: two readers too many cost two
// more polls.
//
// # Invariants
//
//   - As long as recent responses of the log are known, only the readers of each
//     zone poll it, so that the load on the log does not grow with the fleet.
//   - After a failed poll, the next one waits for a capped exponential backoff
//     with full jitter.
//   - A fetch waits for a short random time, so that a push in flight can arrive
//     first. At most one fetch is in flight.
//
// # Usage
//
//	s := distribution.New(rng, distribution.WithReaders(2))
//	for _, action := range s.Tick(now, input) { execute(action) }
package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

// Defaults and limits.
const (
	// DefaultReaders is the number of nodes of each zone that tail the log.
	DefaultReaders = 2
	// DefaultFanout is the number of peers that a node pushes records to in one tree.
	DefaultFanout = 4
	// DefaultMaxLogAge is the least time without a known response of the log after
	// which a node that is not a reader polls the log.
	DefaultMaxLogAge = 5 * time.Second
	// DefaultTailPeriod is how long such a node tails the log.
	DefaultTailPeriod = 10 * time.Second
	// fetchDelay is the shortest wait between learning of a higher position and the fetch;
	// jitter adds up to as much again.
	fetchDelay = 150 * time.Millisecond
	// maxFetchRetryDelay bounds the random wait after a failed fetch.
	maxFetchRetryDelay = 2 * time.Second
	// Bounds of the backoff after failed polls, of readers and of other nodes. There are
	// only a few readers, so they may poll more often.
	minReaderBackoff = 200 * time.Millisecond
	maxReaderBackoff = 2 * time.Second
	minBackoff       = 5 * time.Second
	maxBackoff       = 30 * time.Second
	// recoveryJitter spreads the polls of the nodes that learn that the log responds
	// again.
	recoveryJitter = 200 * time.Millisecond
	// startupDelay is how long a new node waits for peers before it polls the log.
	startupDelay = 1500 * time.Millisecond
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Poll reads the log from the record after the position of this node.
	Poll ActionKind = iota + 1
	// Fetch asks the peer at Addr for the records after the position of this node.
	Fetch
)

// Action is a request that the caller of Tick has to start. Its end is reported with
// PollDone or FetchDone.
type Action struct {
	Kind ActionKind
	Addr string
}

// Input is the state of the node at a tick.
type Input struct {
	View *view.View
	// Position is the offset of the last applied record.
	Position cicadaseam.Offset
	// Halted is set if the node can apply no more records.
	Halted bool
}

// Scheduler schedules the polls and fetches of one node.
type Scheduler struct {
	rng        *rand.Rand
	readers    int
	tailPeriod time.Duration

	startedAt time.Time
	// respondedAt is the time of the last response of the log, to this node or another,
	// that this node has learned of. It is zero before the first one.
	respondedAt time.Time
	// peerLatest is the highest position that a peer has reported, and peerAddr the
	// address of that peer. The address is empty after a failed fetch.
	peerLatest   cicadaseam.Offset
	peerAddr     string
	nextFetch    time.Time
	fetching     bool
	polling      bool
	nextPoll     time.Time
	pollFailures int // since the last response of the log
	pollFailedAt time.Time
	// tailUntil is the time until which a node that is not a reader tails the log.
	tailUntil time.Time
	ageJitter float64 // 0 to 1

	// isReader and zoneSize are computed from rankedView.
	rankedView *view.View
	isReader   bool
	zoneSize   int
}

// Option configures a new Scheduler.
type Option func(*Scheduler)

// WithReaders sets how many nodes of a zone tail the log.
func WithReaders(n int) Option { return func(s *Scheduler) { s.readers = n } }

// New returns the scheduler of one node.
func New(rng *rand.Rand, opts ...Option) *Scheduler {
	s := &Scheduler{rng: rng, readers: DefaultReaders, tailPeriod: DefaultTailPeriod}
	for _, opt := range opts {
		opt(s)
	}
	s.drawAgeJitter()
	return s
}

// drawAgeJitter draws the random part of maxLogAge. The part differs between nodes, so that
// they do not all poll the log at once: when the first node gets a response, the others
// learn of that response through gossip.
func (s *Scheduler) drawAgeJitter() {
	s.ageJitter = s.rng.Float64()
}

// maxLogAge returns the time without a known response of the log after which this
// node polls the log, even if it is not a reader. The limits of the nodes of a zone are
// spread over a range that grows with the size of the zone. So in zones of all sizes the
// first nodes poll about equally early, and about equally many poll at a time.
func (s *Scheduler) maxLogAge() time.Duration {
	const minSpread = 2
	spread := max(float64(s.zoneSize)/float64(s.readers), minSpread)
	return DefaultMaxLogAge + time.Duration(s.ageJitter*spread*float64(DefaultMaxLogAge))
}

// Tick returns the actions to start now.
func (s *Scheduler) Tick(now time.Time, in Input) []Action {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if in.Halted {
		return nil
	}
	var actions []Action
	if s.fetchDue(now, in.Position) {
		s.fetching = true
		actions = append(actions, Action{Kind: Fetch, Addr: s.peerAddr})
	}
	if s.pollDue(now, in.View) {
		s.polling = true
		actions = append(actions, Action{Kind: Poll})
	}
	return actions
}

func (s *Scheduler) fetchDue(now time.Time, position cicadaseam.Offset) bool {
	if s.fetching || s.peerAddr == "" || s.peerLatest <= position {
		return false
	}
	return !now.Before(s.nextFetch)
}

func (s *Scheduler) pollDue(now time.Time, v *view.View) bool {
	if s.polling || now.Before(s.nextPoll) {
		return false
	}
	if now.Sub(s.startedAt) < startupDelay {
		return false
	}
	return s.IsReader(v) || s.actsAsReader(now)
}

// IsReader reports whether this node is one of the readers of its zone.
func (s *Scheduler) IsReader(v *view.View) bool {
	if v != s.rankedView {
		s.rankedView = v
		zone := v.Self.Locality.Zone
		live := v.Live(zone)
		s.zoneSize = len(live)
		rank := view.RendezvousRank("reader "+zone, live, v.Self.ID)
		s.isReader = rank >= 0 && rank < s.readers
	}
	return s.isReader
}

// actsAsReader reports whether this node tails the log because no other node seems to.
// It starts to when the last known response of the log is too old, and goes on for the
// tail period.
func (s *Scheduler) actsAsReader(now time.Time) bool {
	if now.Before(s.tailUntil) {
		return true
	}
	latest := s.respondedAt
	if latest.Before(s.startedAt) {
		latest = s.startedAt
	}
	if now.Sub(latest) <= s.maxLogAge() {
		return false
	}
	s.tailUntil = now.Add(s.tailPeriod)
	s.drawAgeJitter()
	return true
}

// ObservePeer records the configuration status of a peer, which comes by gossip.
// Position is that of this node.
func (s *Scheduler) ObservePeer(now time.Time, addr string, status cicadaseam.ConfigStatus, position cicadaseam.Offset) {
	if status.Latest > 0 {
		s.ObserveLogResponse(now, status.Age)
	}
	if status.Applied <= position || status.Applied < s.peerLatest {
		return
	}
	if status.Applied > s.peerLatest || s.peerLatest <= position {
		// A higher position than known so far. The delay leaves a push in flight the
		// time to arrive first.
		s.nextFetch = now.Add(fetchDelay + time.Duration(s.rng.Int64N(int64(fetchDelay))))
	}
	s.peerLatest = status.Applied
	s.peerAddr = addr
}

// FetchDone records the end of a fetch.
func (s *Scheduler) FetchDone(now time.Time, ok bool) {
	s.fetching = false
	if ok {
		s.nextFetch = now
		return
	}
	s.peerAddr = "" // ask the next peer that reports a position as high
	s.nextFetch = now.Add(time.Duration(s.rng.Int64N(int64(maxFetchRetryDelay))))
}

// PollDone records the end of a poll. A response without records is a success too: it
// confirms that there are no newer records.
func (s *Scheduler) PollDone(now time.Time, ok bool) {
	s.polling = false
	if ok {
		s.pollFailures = 0
		s.respondedAt = now
		s.nextPoll = now
		return
	}
	minWait, maxWait := minBackoff, maxBackoff
	if s.isReader {
		minWait, maxWait = minReaderBackoff, maxReaderBackoff
	}
	s.nextPoll = now.Add(wait.Backoff(s.rng.Int64N, s.pollFailures, minWait, maxWait))
	s.pollFailures++
	s.pollFailedAt = now
}

// ObserveLogResponse records a response of the log that another node, or the publisher
// of this node, received age ago. A response later than the last failed poll of this node
// ends the backoff of its polls.
func (s *Scheduler) ObserveLogResponse(now time.Time, age time.Duration) {
	respondedAt := now.Add(-age)
	if age == UnknownLogAge || !respondedAt.After(s.respondedAt) {
		return
	}
	s.respondedAt = respondedAt
	if s.pollFailures == 0 || !respondedAt.After(s.pollFailedAt) {
		return
	}
	s.pollFailures = 0
	retryAt := now.Add(time.Duration(s.rng.Int64N(int64(recoveryJitter))))
	if retryAt.Before(s.nextPoll) {
		s.nextPoll = retryAt
	}
}

// UnknownLogAge is the age of the log at a node that has learned of no response of it.
const UnknownLogAge time.Duration = math.MaxInt64

// LogAge returns the time since the last known response of the log, or UnknownLogAge.
func (s *Scheduler) LogAge(now time.Time) time.Duration {
	if s.respondedAt.IsZero() {
		return UnknownLogAge
	}
	return now.Sub(s.respondedAt)
}

// Latest returns the highest known position of any node, given the position of this node.
func (s *Scheduler) Latest(position cicadaseam.Offset) cicadaseam.Offset {
	return max(s.peerLatest, position)
}

// RemoteZoneRoots returns the first reader of each zone other than that of this node.
// Each is the root of the push tree of its zone. A node that has records which these
// readers may lack pushes the records to them.
func RemoteZoneRoots(v *view.View) []cicadaseam.Member {
	zones := map[string][]cicadaseam.Member{}
	for _, m := range v.Live("") {
		zones[m.Locality.Zone] = append(zones[m.Locality.Zone], m)
	}
	var roots []cicadaseam.Member
	for zone, members := range zones {
		if zone != v.Self.Locality.Zone {
			roots = append(roots, view.RendezvousOrder("reader "+zone, members)[0])
		}
	}
	return roots
}

// Children returns the members to which a member pushes in the tree of a root, which
// spans the zone of the root. All nodes with the same view compute the same tree, so
// that each can push to the children of a member that it cannot reach.
func Children(v *view.View, root, id string, fanout int) []cicadaseam.Member {
	order := treeOrder(v, root)
	index := -1
	for i, m := range order {
		if m.ID == id {
			index = i
		}
	}
	if index < 0 {
		return nil
	}
	first := min(index*fanout+1, len(order))
	last := min(first+fanout, len(order))
	return order[first:last]
}

// treeOrder returns the members of the tree of a root in breadth-first order: the root,
// then the rest of its zone in rendezvous order.
func treeOrder(v *view.View, root string) []cicadaseam.Member {
	rootMember, ok := v.Member(root)
	if !ok {
		return nil
	}
	order := []cicadaseam.Member{rootMember}
	for _, m := range view.RendezvousOrder("push "+root, v.Live(rootMember.Locality.Zone)) {
		if m.ID != root {
			order = append(order, m)
		}
	}
	return order
}
