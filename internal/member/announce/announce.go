// Package announce finds the first peers of a node through the log.
//
// # Model
//
// A stream of the log holds the addresses of a few live nodes of each zone. A
// node that starts reads the newest announcements and joins through them. After
// a random delay the first few nodes of each zone in rendezvous order look
// again, join those that they do not know, and announce themselves when fewer
// than wanted live announcements of their zone are to be found. They go on doing
// so, and all others leave the log alone, so that a herd costs it little.
//
// # Usage
//
//	a := announce.New(log, gossip, rng)
//	a.Start(ctx)   // joins the fleet
//	go a.Run(ctx, timers)
package announce

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/member/gossip"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

// Defaults.
const (
	// Wanted is the number of live announcements of each zone.
	AnnouncementsPerZone = 3
	// MaxRead is the number of newest announcements that are read.
	MaxRecordsRead = 200
	format         = 1
	firstDelay     = 300 * time.Millisecond
	announceDelay  = 2 * time.Second
	checkPeriod    = 30 * time.Second
	readTimeout    = 2 * time.Second
	backoffCap     = 20 * time.Second
)

// Announcement is a record of the rendezvous stream.
type Announcement struct {
	ID   string `msgpack:"i"`
	Addr string `msgpack:"a"`
	Zone string `msgpack:"z"`
}

// Announcer joins the fleet and keeps announcements fresh.
type Announcer struct {
	log    cicadaseam.Log
	gossip *gossip.Gossip
	rng    *rand.Rand
	seeds  []string
	logger *zap.Logger
}

// Option changes a new Announcer.
type Option func(*Announcer)

// WithSeeds adds addresses that are tried before the log.
func WithSeeds(addrs []string) Option { return func(a *Announcer) { a.seeds = addrs } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(a *Announcer) { a.logger = l } }

// New returns an announcer.
func New(log cicadaseam.Log, g *gossip.Gossip, rng *rand.Rand, opts ...Option) *Announcer {
	a := &Announcer{log: log, gossip: g, rng: rng, logger: zap.NewNop()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Encode returns the record of an announcement.
func Encode(x Announcement) ([]byte, error) {
	body, err := msgpack.Marshal(&x)
	return append([]byte{format}, body...), err
}

// Decode returns the announcement in a record.
func Decode(data []byte) (Announcement, bool) {
	var x Announcement
	if len(data) == 0 || data[0] != format {
		return x, false
	}
	err := msgpack.Unmarshal(data[1:], &x)
	return x, err == nil && x.Addr != ""
}

// Run joins the fleet, then keeps the announcements of its zone fresh.
func (a *Announcer) Run(ctx context.Context, timers *timer.Service) {
	wait.Sleep(ctx, a.jitter(firstDelay))
	for attempt := 0; ctx.Err() == nil && !a.tryJoin(ctx); attempt++ {
		wait.Sleep(ctx, wait.Backoff(a.rng.Int64N, attempt, firstDelay, backoffCap))
	}
	wait.Sleep(ctx, a.jitter(announceDelay))
	if a.onDuty() {
		a.refresh(ctx)
	}
	for attempt := 0; ctx.Err() == nil && len(a.gossip.View().Peers) == 0; attempt++ {
		wait.Sleep(ctx, wait.Backoff(a.rng.Int64N, attempt, firstDelay, backoffCap))
		a.refresh(ctx)
	}
	sub := timers.Subscribe(checkPeriod)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			if a.onDuty() {
				a.refresh(ctx)
			}
		}
	}
}

// tryJoin joins through seeds or announcements. A node that finds nobody with
// the log reachable is the first one, which is done too.
func (a *Announcer) tryJoin(ctx context.Context) bool {
	if len(a.seeds) > 0 && a.gossip.Join(ctx, a.shuffle(a.seeds)) == nil {
		return true
	}
	list, err := a.read(ctx)
	if err != nil {
		a.logger.Warn("announcements unread", zap.Error(err))
		return len(a.gossip.View().Peers) > 0
	}
	a.joinThrough(ctx, list)
	return true
}

// joinThrough joins through a peer of the own zone and through one of another
// zone, so that no zone becomes an island.
func (a *Announcer) joinThrough(ctx context.Context, list []Announcement) {
	const triedPeers = 6
	near, far := a.split(list)
	for _, addrs := range [][]string{near, far} {
		if len(addrs) == 0 {
			continue
		}
		if err := a.gossip.Join(ctx, addrs[:min(len(addrs), triedPeers)]); err != nil {
			a.logger.Info("no announced peer answers", zap.Error(err))
		}
	}
}

// split returns the addresses of the own zone and of the others, each in
// random order and once.
func (a *Announcer) split(list []Announcement) (near, far []string) {
	self := a.gossip.View().Self
	a.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	seen := map[string]bool{self.Addr: true}
	for _, x := range list {
		if seen[x.Addr] {
			continue
		}
		seen[x.Addr] = true
		if x.Zone == self.Locality.Zone {
			near = append(near, x.Addr)
			continue
		}
		far = append(far, x.Addr)
	}
	return near, far
}

// refresh joins through announcements of members that this node does not know,
// which heals two fleets that never met, and announces itself when few of the
// zone's announcements live.
func (a *Announcer) refresh(ctx context.Context) {
	list, err := a.read(ctx)
	if err != nil {
		return
	}
	v := a.gossip.View()
	var strangers []Announcement
	for _, x := range list {
		if _, known := v.Member(x.ID); !known {
			strangers = append(strangers, x)
		}
	}
	a.joinThrough(ctx, strangers)
	if a.liveIn(list) < AnnouncementsPerZone {
		a.announce(ctx)
	}
}

func (a *Announcer) liveIn(list []Announcement) int {
	v := a.gossip.View()
	live := map[string]bool{}
	for _, x := range list {
		m, known := v.Member(x.ID)
		if known && m.State <= cicadaseam.MemberSuspect && m.Locality.Zone == v.Self.Locality.Zone {
			live[x.ID] = true
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
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := a.log.Append(ctx, cicadaseam.StreamRendezvous, data); err != nil {
		a.logger.Warn("announcement not confirmed", zap.Error(err))
	}
}

// onDuty reports whether this node is one of the first of its zone.
func (a *Announcer) onDuty() bool {
	v := a.gossip.View()
	rank := view.RendezvousRank("announce", v.Live(v.Self.Locality.Zone), v.Self.ID)
	return rank >= 0 && rank < AnnouncementsPerZone
}

func (a *Announcer) read(ctx context.Context) ([]Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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
		if x, ok := Decode(r.Data); ok {
			list = append(list, x)
		}
	}
	return list, nil
}

func (a *Announcer) shuffle(addrs []string) []string {
	out := append([]string(nil), addrs...)
	a.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (a *Announcer) jitter(d time.Duration) time.Duration {
	return time.Duration(a.rng.Int64N(int64(d)))
}
