package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

const (
	// claimTimeout bounds one try at one writer.
	claimTimeout = 900 * time.Millisecond
	// claimTries is the number of writers that are asked in turn.
	claimTries = 3
	keepPeriod = 10 * time.Minute
)

// Fleet is what the client needs of membership.
type Fleet interface {
	View() *view.View
}

// Requester sends requests to peers.
type Requester interface {
	Request(ctx context.Context, addr string, m uint8, payload []byte) ([]byte, error)
}

// Client asks the writers of shards. It is safe for concurrent use.
type Client struct {
	fleet Fleet
	pool  Requester
	local *Writer

	mu     sync.Mutex
	view   *view.View
	orders [Shards][]cicadaseam.Member
}

// NewClient returns a client of the fleet whose own writer is local.
func NewClient(fleet Fleet, pool Requester, local *Writer) *Client {
	return &Client{fleet: fleet, pool: pool, local: local}
}

// Submit asks the writers of the key's shard in rendezvous order, and at last
// the own one. Asking a second one is harmless: an operation may be in the
// stream twice.
func (c *Client) Submit(ctx context.Context, op Op) (Result, error) {
	self := c.fleet.View().Self
	var last error
	for _, m := range c.writers(op.Key.Shard()) {
		if ctx.Err() != nil {
			break
		}
		result, err := c.submitTo(ctx, m.ID == self.ID, m.Addr, op)
		if err == nil {
			return result, nil
		}
		last = err
	}
	var unavailable *UnavailableError
	if errors.As(last, &unavailable) {
		return Result{}, unavailable
	}
	return Result{}, &UnavailableError{Shard: op.Key.Shard(), Reason: fmt.Sprintf("no writer answers: %v", last)}
}

// writers returns whom to ask for a shard. The order is kept until the view
// changes, since it costs a hash of each member.
func (c *Client) writers(shard int) []cicadaseam.Member {
	v := c.fleet.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.orders = [Shards][]cicadaseam.Member{}
	}
	if c.orders[shard] == nil {
		order := view.RendezvousOrder(shardName(shard), v.Live(""))
		first := order[:min(len(order), claimTries)]
		c.orders[shard] = append(append([]cicadaseam.Member(nil), first...), v.Self)
	}
	return c.orders[shard]
}

func (c *Client) submitTo(ctx context.Context, local bool, addr string, op Op) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if local {
		return c.local.Submit(ctx, op)
	}
	payload, err := method.Encode(&op)
	if err != nil {
		return Result{}, err
	}
	data, err := c.pool.Request(ctx, addr, method.Claim, payload)
	if err != nil {
		return Result{}, err
	}
	var result Result
	return result, method.Decode(data, &result)
}

// Serve answers claims and voids of peers.
func (w *Writer) ServePeer(ctx context.Context, _ uint8, payload []byte) ([]byte, error) {
	var op Op
	if err := method.Decode(payload, &op); err != nil {
		return nil, err
	}
	result, err := w.Submit(ctx, op)
	if err != nil {
		return nil, err
	}
	return method.Encode(&result)
}

// Ticker is a periodic event.
type Ticker <-chan time.Time

// RunKeep keeps the streams of the shards that this node is first to write.
func (c *Client) RunKeepAlive(ctx context.Context, ticks Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			c.keepShards(ctx)
		}
	}
}

// KeepPeriod is the period of the ticks for RunKeep.
func KeepAliveInterval() time.Duration { return keepPeriod }

func (c *Client) keepShards(ctx context.Context) {
	v := c.fleet.View()
	for shard := range Shards {
		if view.RendezvousRank(shardName(shard), v.Live(""), v.Self.ID) != 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		_ = c.local.Keep(ctx, shard) // the next round tries again
		cancel()
	}
}

func shardName(shard int) string { return fmt.Sprintf("ledger-%d", shard) }
