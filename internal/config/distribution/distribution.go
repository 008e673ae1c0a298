// Package distribution decides how a node gets new configuration records and whom it
// hands them to.
//
// # Model
//
// Spread is a plain state machine. In each availability zone the first few
// nodes by rendezvous hash are readers and tail the log; each reader is the
// root of a tree with a small fan-out over its zone, along which records are
// pushed. Gossip carries the highest position known and the age of that
// knowledge. A node that learns of a higher position fetches from the peer
// that has it; a node whose knowledge grows too old tails the log itself for a
// while. Nobody is elected: two readers more cost two polls.
//
// # Invariants
//
//   - With fresh knowledge, only readers of their zone poll the log, so the
//     load on the log does not grow with the fleet.
//   - Polls after failures wait for a capped exponential backoff with full
//     jitter.
//   - Fetches wait for a short random time, so that a push on its way comes
//     first, and one fetch is in flight at a time.
//
// # Usage
//
//	s := distribution.New(rng, spread.WithReaders(2))
//	for _, a := range s.Tick(now, input) { execute(a) }
package distribution

import (
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

// Defaults.
const (
	DefaultReaders    = 2
	DefaultFanout     = 4
	DefaultMaxLogAge  = 5 * time.Second
	DefaultTailPeriod = 10 * time.Second
	fetchGrace        = 150 * time.Millisecond
	fetchTimeout      = 2 * time.Second
	// The wait between polls after failures begins at the first and is bounded
	// by the cap. The readers are few, so that they may ask often.
	readerFirst = 200 * time.Millisecond
	readerCap   = 2 * time.Second
	othersFirst = 5 * time.Second
	othersCap   = 30 * time.Second
	// againWithin spreads the polls of those that learn that the log answers
	// again.
	againWithin = 200 * time.Millisecond
	// settle is how long a new node waits for peers before it asks the log.
	settle = 1500 * time.Millisecond
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Poll reads the log from the position after Position.
	Poll ActionKind = iota + 1
	// Fetch asks the peer at Addr for what follows Position.
	Fetch
)

// Action is something to do.
type Action struct {
	Kind ActionKind
	Addr string
}

// Input is what the state machine sees at a tick.
type Input struct {
	View     *view.View
	Position cicadaseam.Offset
	Halted   bool
}

// Spread decides for one node.
type Scheduler struct {
	rng      *rand.Rand
	readers  int
	takeover time.Duration

	startedAt time.Time
	// confirmedAt is when the log last answered a reader, as far as known.
	confirmedAt time.Time
	head        cicadaseam.Offset
	headAddr    string
	fetchAt     time.Time
	fetching    bool
	polling     bool
	pollAt      time.Time
	failures    int
	failedAt    time.Time
	tailUntil   time.Time
	patience    float64 // 0 to 1

	rankView *view.View
	isReader bool
	zoneSize int
}

// Option changes a new Spread.
type Option func(*Scheduler)

// WithReaders sets how many nodes of a zone tail the log.
func WithReaders(n int) Option { return func(s *Scheduler) { s.readers = n } }

// New returns the state machine of one node.
func New(rng *rand.Rand, opts ...Option) *Scheduler {
	s := &Scheduler{rng: rng, readers: DefaultReaders, takeover: DefaultTailPeriod}
	for _, opt := range opts {
		opt(s)
	}
	s.drawPatience()
	return s
}

// drawPatience spreads the moment at which nodes lose patience, so that they do
// not all turn to the log at once: the first one that gets an answer refreshes
// the others through gossip.
func (s *Scheduler) drawPatience() {
	s.patience = s.rng.Float64()
}

// ageLimit is how old knowledge of the log may grow before this node asks. The
// larger the zone, the wider the limits of its nodes lie apart, so that the
// first ones ask about as early and as many ask at a time, whatever its size.
func (s *Scheduler) ageLimit() time.Duration {
	const leastSpread = 2
	spread := max(float64(s.zoneSize)/float64(s.readers), leastSpread)
	return DefaultMaxLogAge + time.Duration(s.patience*spread*float64(DefaultMaxLogAge))
}

// Tick returns what to do now.
func (s *Scheduler) Tick(now time.Time, in Input) []Action {
	if s.startedAt.IsZero() {
		s.startedAt = now
		s.confirmedAt = now
	}
	if in.Halted {
		return nil
	}
	var actions []Action
	if s.wantsFetch(now, in.Position) {
		s.fetching = true
		actions = append(actions, Action{Kind: Fetch, Addr: s.headAddr})
	}
	if s.wantsPoll(now, in.View) {
		s.polling = true
		actions = append(actions, Action{Kind: Poll})
	}
	return actions
}

func (s *Scheduler) wantsFetch(now time.Time, position cicadaseam.Offset) bool {
	if s.fetching || s.headAddr == "" || s.head <= position {
		return false
	}
	return !now.Before(s.fetchAt)
}

func (s *Scheduler) wantsPoll(now time.Time, v *view.View) bool {
	if s.polling || now.Before(s.pollAt) {
		return false
	}
	if now.Sub(s.startedAt) < settle {
		return false
	}
	return s.IsReader(v) || s.stale(now)
}

// Reader reports whether this node tails the log for its zone.
func (s *Scheduler) IsReader(v *view.View) bool {
	if v != s.rankView {
		s.rankView = v
		zone := v.Self.Locality.Zone
		live := v.Live(zone)
		s.zoneSize = len(live)
		rank := view.RendezvousRank("reader "+zone, live, v.Self.ID)
		s.isReader = rank >= 0 && rank < s.readers
	}
	return s.isReader
}

// stale reports whether this node tails the log because nobody else seems to.
func (s *Scheduler) stale(now time.Time) bool {
	if now.Before(s.tailUntil) {
		return true
	}
	if now.Sub(s.confirmedAt) <= s.ageLimit() {
		return false
	}
	s.tailUntil = now.Add(s.takeover)
	s.drawPatience()
	return true
}

// Heard takes what a peer tells about the configuration.
func (s *Scheduler) ObservePeer(now time.Time, addr string, h cicadaseam.ConfigStatus, position cicadaseam.Offset) {
	if h.Latest > 0 {
		s.ObserveLogResponse(now, h.Age)
	}
	if h.Applied <= position || h.Applied < s.head {
		return
	}
	if h.Applied > s.head || s.head <= position {
		// News: leave a push that is on its way the time to come first.
		s.fetchAt = now.Add(fetchGrace + time.Duration(s.rng.Int64N(int64(fetchGrace))))
	}
	s.head = h.Applied
	s.headAddr = addr
}

// Fetched takes the end of a fetch.
func (s *Scheduler) FetchDone(now time.Time, ok bool) {
	s.fetching = false
	if ok {
		s.fetchAt = now
		return
	}
	s.headAddr = "" // the next peer that is ahead is asked
	s.fetchAt = now.Add(time.Duration(s.rng.Int64N(int64(fetchTimeout))))
}

// Polled takes the end of a poll. An answer without records is good too: it
// confirms that there is nothing newer.
func (s *Scheduler) PollDone(now time.Time, ok bool) {
	s.polling = false
	if ok {
		s.failures = 0
		s.confirmedAt = now
		s.pollAt = now
		return
	}
	first, limit := othersFirst, othersCap
	if s.isReader {
		first, limit = readerFirst, readerCap
	}
	s.pollAt = now.Add(wait.Backoff(s.rng.Int64N, s.failures, first, limit))
	s.failures++
	s.failedAt = now
}

// Confirmed takes the age of an answer of the log that another node had. An
// answer that is newer than the own failure ends the backoff.
func (s *Scheduler) ObserveLogResponse(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	if s.failures == 0 || !at.After(s.failedAt) {
		return
	}
	s.failures = 0
	again := now.Add(time.Duration(s.rng.Int64N(int64(againWithin))))
	if again.Before(s.pollAt) {
		s.pollAt = again
	}
}

// Age returns how old the knowledge of the log is.
func (s *Scheduler) LogAge(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(s.confirmedAt)
}

// Head returns the highest position known.
func (s *Scheduler) Latest(position cicadaseam.Offset) cicadaseam.Offset {
	return max(s.head, position)
}

// Heads returns the first reader of each zone but the own one. A node that has
// records which no reader may have yet hands them to these, each the root of
// the tree of its zone.
func RemoteZoneRoots(v *view.View) []cicadaseam.Member {
	zones := map[string][]cicadaseam.Member{}
	for _, m := range v.Live("") {
		zones[m.Locality.Zone] = append(zones[m.Locality.Zone], m)
	}
	var out []cicadaseam.Member
	for zone, members := range zones {
		if zone != v.Self.Locality.Zone {
			out = append(out, view.RendezvousOrder("reader "+zone, members)[0])
		}
	}
	return out
}

// Children returns whom a member pushes to in the tree of a root over one zone.
// Every node with the same view computes the same tree, so that the children of
// a member that cannot be reached are known too.
func Children(v *view.View, root, id string, fanout int) []cicadaseam.Member {
	order := treeOrder(v, root)
	at := -1
	for i, m := range order {
		if m.ID == id {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	first := min(at*fanout+1, len(order))
	last := min(first+fanout, len(order))
	return order[first:last]
}

// treeOrder puts the root first and the rest of its zone in rendezvous order.
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
