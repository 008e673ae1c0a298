package embed

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/gossip"
)

// Membership is one process's view of a fleet of processes. It is safe for concurrent use.
type Membership struct {
	self   cicadaseam.Member
	timers *timer.Service
	pool   *mux.Pool
	links  *mux.Server
	gossip *gossip.Gossip
	listen net.Listener
}

// NewMembership returns the membership of a process with a name at a locality. It listens on addr
// with TCP and UDP; other processes reach it there, so addr has a specific IP address. Run starts
// it.
func NewMembership(name, addr string, locality cicadaseam.Locality) (*Membership, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate a member ID")
	}
	network := netio.New()
	l, err := network.Listen(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for links on %s", addr)
	}
	m := &Membership{
		self:   cicadaseam.Member{ID: id.String(), Name: name, Addr: addr, Locality: locality},
		timers: timer.New(newRand()),
		listen: l,
	}
	m.pool = mux.NewPool(network, m.timers)
	m.gossip = gossip.New(m.self, network, m.pool, m.timers, newRand())
	m.links = mux.NewServer(mux.HandlerFunc(m.serveLink))
	if err := m.gossip.Listen(addr); err != nil {
		_ = l.Close() // nothing was accepted
		return nil, errors.Wrapf(err, "listen for datagrams on %s", addr)
	}
	return m, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (m *Membership) serveLink(ctx context.Context, number uint8, payload []byte) ([]byte, error) {
	if number != method.Join && number != method.ZoneSync {
		return nil, errors.Newf("unknown request %d", number)
	}
	return m.gossip.ServePeer(ctx, number, payload)
}

// Run takes part in the fleet until the context ends, and then announces that this process leaves.
func (m *Membership) Run(ctx context.Context) {
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { m.timers.Run(tasks) })
	wg.Go(func() { m.pool.Run(tasks) })
	wg.Go(func() { m.links.Serve(m.listen) })
	wg.Go(func() { m.gossip.Run(tasks) })
	<-ctx.Done()
	m.gossip.Leave()
	stop()
	_ = m.listen.Close() // no connection is accepted any more
	m.links.Close()
	wg.Wait()
}

// Join announces this process through one of the others, whose addresses are given. Run must have
// been called.
func (m *Membership) Join(ctx context.Context, addrs ...string) error {
	return m.gossip.Join(ctx, addrs)
}

// Live returns the live members of a zone, this process included, sorted by ID. An empty zone
// stands for all zones.
func (m *Membership) Live(zone string) []cicadaseam.Member { return m.gossip.View().Live(zone) }

// Changed returns a channel that is closed when a member next changes.
func (m *Membership) Changed() <-chan struct{} { return m.gossip.Changed() }
