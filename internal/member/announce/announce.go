// Package announce finds the first peers of a node through the log.
//
// # Model
//
// A stream of the log holds the addresses of a few live nodes of each zone. A
// node that starts reads the newest announcements and joins through them. After
// a random delay, the first few nodes of each zone in rendezvous order read the
// stream again, join through nodes that are not in their view, and announce themselves
// if fewer than AnnouncementsPerZone live nodes of their zone are announced. They
// repeat this periodically. Other nodes that have found a peer do not read the log
// again, so that many nodes that start at the same time put little load on it.
//
// # Usage
//
//	a := announce.New(log, gossip, rng)
//	go a.Run(ctx, timers) // joins the fleet and keeps the announcements current
package announce

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/member/gossip"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

const (
	// AnnouncementsPerZone is the number of live nodes of each zone that are to be announced.
	AnnouncementsPerZone = 3
	// MaxRecordsRead bounds the records of the stream that are read: the newest ones.
	MaxRecordsRead = 200
	// Format is the first byte of a record.
	Format = 1
	// maxFirstDelay bounds the random delay before the first attempt to join, and is the first
	// bound of the backoff.
	maxFirstDelay = 300 * time.Millisecond
	// maxAnnounceDelay bounds the random delay between the join and the first announcement.
	maxAnnounceDelay = 2 * time.Second
	// checkInterval is the time between two checks of the announcements.
	checkInterval = 30 * time.Second
	// logTimeout bounds the time to read the announcements, and the time to append one.
	logTimeout = 2 * time.Second
	// maxBackoff bounds the delay between two attempts to join or to find a peer.
	maxBackoff = 20 * time.Second
)

// Announcement is a record of the rendezvous stream: the address of a live node.
type Announcement struct {
	ID   string `msgpack:"i"`
	Addr string `msgpack:"a"`
	Zone string `msgpack:"z"`
}

// Announcer joins the fleet and keeps the announcements of its zone current.
type Announcer struct {
	log    cicadaseam.Log
	gossip *gossip.Gossip
	rng    *rand.Rand
	seeds  []string
	logger *zap.Logger
}

// Option configures a new Announcer.
type Option func(*Announcer)

// WithSeeds sets addresses of nodes to join through, which are tried before the log is read.
func WithSeeds(addrs []string) Option { return func(a *Announcer) { a.seeds = addrs } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(a *Announcer) { a.logger = l } }

// New returns an Announcer for the node of a Gossip.
func New(log cicadaseam.Log, g *gossip.Gossip, rng *rand.Rand, opts ...Option) *Announcer {
	a := &Announcer{log: log, gossip: g, rng: rng, logger: zap.NewNop()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Encode returns an announcement as a record.
func Encode(announcement Announcement) ([]byte, error) {
	body, err := msgpack.Marshal(&announcement)
	return append([]byte{Format}, body...), err
}

// Decode returns the announcement of a record, and whether it is valid.
func Decode(data []byte) (Announcement, bool) {
	var announcement Announcement
	if len(data) == 0 || data[0] != Format {
		return announcement, false
	}
	err := pack.Unmarshal(data[1:], &announcement)
	return announcement, err == nil && announcement.Addr != ""
}

// Run joins the fleet, and then keeps the announcements of its zone current until the context ends.
func (a *Announcer) Run(ctx context.Context, timers *timer.Service) {
	wait.Sleep(ctx, a.jitter(maxFirstDelay))
	for attempt := 0; ctx.Err() == nil && !a.tryJoin(ctx); attempt++ {
		wait.Sleep(ctx, wait.Backoff(a.rng.Int64N, attempt, maxFirstDelay, maxBackoff))
	}
	wait.Sleep(ctx, a.jitter(maxAnnounceDelay))
	if a.isAnnouncer() {
		a.refresh(ctx)
	}
	for attempt := 0; ctx.Err() == nil && len(a.gossip.View().Peers) == 0; attempt++ {
		wait.Sleep(ctx, wait.Backoff(a.rng.Int64N, attempt, maxFirstDelay, maxBackoff))
		a.refresh(ctx)
	}
	sub := timers.Subscribe(checkInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			if a.isAnnouncer() {
				a.refresh(ctx)
			}
		}
	}
}

// tryJoin joins through seeds or announcements. It returns false if another attempt is needed: the
// log could not be read and no peer is known. If the log can be read and no announced peer answers,
// this node may be the first of the fleet.
func (a *Announcer) tryJoin(ctx context.Context) bool {
	if len(a.seeds) > 0 && a.gossip.Join(ctx, a.shuffle(a.seeds)) == nil {
		return true
	}
	list, err := a.readAnnouncements(ctx)
	if err != nil {
		a.logger.Warn("announcements not read", zap.Error(err))
		return len(a.gossip.View().Peers) > 0
	}
	a.joinThrough(ctx, list)
	return true
}

// joinThrough joins through a peer in the zone of this node and through one in another zone, so
// that no zone is separated from the rest of the fleet.
func (a *Announcer) joinThrough(ctx context.Context, list []Announcement) {
	const maxPeersTried = 6 // of each of the two
	local, remote := a.splitByZone(list)
	for _, addrs := range [][]string{local, remote} {
		if len(addrs) == 0 {
			continue
		}
		if err := a.gossip.Join(ctx, addrs[:min(len(addrs), maxPeersTried)]); err != nil {
			a.logger.Info("no announced peer answered", zap.Error(err))
		}
	}
}

// splitByZone returns the announced addresses in the zone of this node and those in other zones, in
// random order and without duplicates.
func (a *Announcer) splitByZone(list []Announcement) (local, remote []string) {
	self := a.gossip.View().Self
	a.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	seen := map[string]bool{self.Addr: true}
	for _, announced := range list {
		if seen[announced.Addr] {
			continue
		}
		seen[announced.Addr] = true
		if announced.Zone == self.Locality.Zone {
			local = append(local, announced.Addr)
			continue
		}
		remote = append(remote, announced.Addr)
	}
	return local, remote
}

// refresh joins through announced nodes that are not in the view of this node, which merges two
// fleets that have formed separately. It then announces this node if too few live nodes of its
// zone are announced.
func (a *Announcer) refresh(ctx context.Context) {
	list, err := a.readAnnouncements(ctx)
	if err != nil {
		return
	}
	v := a.gossip.View()
	var unknown []Announcement
	for _, announced := range list {
		if _, known := v.Member(announced.ID); !known {
			unknown = append(unknown, announced)
		}
	}
	a.joinThrough(ctx, unknown)
	if a.countLive(list) < AnnouncementsPerZone {
		a.announce(ctx)
	}
}

// countLive counts the live nodes among the announced ones in the zone of this node.
func (a *Announcer) countLive(list []Announcement) int {
	v := a.gossip.View()
	live := map[string]bool{}
	for _, announced := range list {
		m, known := v.Member(announced.ID)
		if known && m.State <= cicadaseam.MemberSuspect && m.Locality.Zone == v.Self.Locality.Zone {
			live[announced.ID] = true
		}
	}
	return len(live)
}

func (a *Announcer) announce(ctx context.Context) {
	self := a.gossip.View().Self
	data, err := Encode(Announcement{ID: self.ID, Addr: self.Addr, Zone: self.Locality.Zone})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := a.log.Append(ctx, cicadaseam.StreamRendezvous, data); err != nil {
		a.logger.Warn("announcement not confirmed by the log", zap.Error(err))
	}
}

// isAnnouncer reports whether this node is one of the nodes that keep the announcements of their
// zone current: the first AnnouncementsPerZone of its live nodes in rendezvous order.
func (a *Announcer) isAnnouncer() bool {
	v := a.gossip.View()
	rank := view.RendezvousRank("announce", v.Live(v.Self.Locality.Zone), v.Self.ID)
	return rank >= 0 && rank < AnnouncementsPerZone
}

// readAnnouncements returns the newest announcements. Invalid records are skipped.
func (a *Announcer) readAnnouncements(ctx context.Context) ([]Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	first, next, err := a.log.Bounds(ctx, cicadaseam.StreamRendezvous)
	if err != nil || next <= first {
		return nil, err
	}
	from := first
	if next-first > MaxRecordsRead {
		from = next - MaxRecordsRead
	}
	records, err := a.log.Read(ctx, cicadaseam.StreamRendezvous, from, MaxRecordsRead, 0)
	if err != nil {
		return nil, err
	}
	var list []Announcement
	for _, r := range records {
		if announcement, ok := Decode(r.Data); ok {
			list = append(list, announcement)
		}
	}
	return list, nil
}

func (a *Announcer) shuffle(addrs []string) []string {
	out := append([]string(nil), addrs...)
	a.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// jitter returns a random duration below d.
func (a *Announcer) jitter(d time.Duration) time.Duration {
	return time.Duration(a.rng.Int64N(int64(d)))
}
