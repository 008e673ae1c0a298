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
	// submitTimeout bounds one attempt to submit an operation to one writer.
	submitTimeout = 900 * time.Millisecond
	// maxWriters bounds the writers that are tried before the local one.
	maxWriters = 3
	// keepAliveInterval is the time between two keep-alive records of a shard.
	keepAliveInterval = 10 * time.Minute
)

// Membership provides the current view of the members.
type Membership interface {
	View() *view.View
}

// Requester sends requests to peers.
type Requester interface {
	Request(ctx context.Context, addr string, m uint8, payload []byte) ([]byte, error)
}

// Client submits operations to the writers of the shards. It is safe for concurrent use.
type Client struct {
	membership Membership
	peers      Requester
	local      *Writer

	mu           sync.Mutex
	view         *view.View
	writerOrders [NumShards][]cicadaseam.Member // in view
}

// NewClient returns a client that sends requests through peers. local is the writer of
// this node.
func NewClient(membership Membership, peers Requester, local *Writer) *Client {
	return &Client{membership: membership, peers: peers, local: local}
}

// Submit performs an operation on a key and returns its result. It tries the writers of
// the key's shard in rendezvous order, and the local one last. Trying another writer is
// safe, since an operation may be in the stream twice.
func (c *Client) Submit(ctx context.Context, op Op) (Result, error) {
	self := c.membership.View().Self
	var lastErr error
	for _, m := range c.writersOf(op.Key.Shard()) {
		if ctx.Err() != nil {
			break
		}
		result, err := c.submitTo(ctx, m.ID == self.ID, m.Addr, op)
		if err == nil {
			return result, nil
		}
		lastErr = err
	}
	var unavailable *UnavailableError
	if errors.As(lastErr, &unavailable) {
		return Result{}, unavailable
	}
	return Result{}, &UnavailableError{Shard: op.Key.Shard(), Reason: fmt.Sprintf("no writer answers: %v", lastErr)}
}

// writersOf returns the writers to try for a shard. The order is cached until the view
// changes, since it takes a hash of each member.
func (c *Client) writersOf(shard int) []cicadaseam.Member {
	v := c.membership.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.writerOrders = [NumShards][]cicadaseam.Member{}
	}
	if c.writerOrders[shard] == nil {
		order := view.RendezvousOrder(rendezvousKey(shard), v.Live(""))
		first := order[:min(len(order), maxWriters)]
		c.writerOrders[shard] = append(append([]cicadaseam.Member(nil), first...), v.Self)
	}
	return c.writerOrders[shard]
}

// submitTo submits an operation to the local writer or the one at addr.
func (c *Client) submitTo(ctx context.Context, local bool, addr string, op Op) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if local {
		return c.local.Submit(ctx, op)
	}
	payload, err := method.Encode(&op)
	if err != nil {
		return Result{}, err
	}
	data, err := c.peers.Request(ctx, addr, method.Claim, payload)
	if err != nil {
		return Result{}, err
	}
	var result Result
	return result, method.Decode(data, &result)
}

// ServePeer performs an operation that a peer submitted.
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

// Ticker delivers the ticks of a periodic timer.
type Ticker <-chan time.Time

// RunKeepAlive calls Writer.KeepAlive at each tick for the shards of which this node is
// the first writer in rendezvous order.
func (c *Client) RunKeepAlive(ctx context.Context, ticks Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			c.keepAlive(ctx)
		}
	}
}

// KeepAliveInterval returns the interval of the ticks for RunKeepAlive.
func KeepAliveInterval() time.Duration { return keepAliveInterval }

// keepAlive calls Writer.KeepAlive once for each shard that this node writes first.
func (c *Client) keepAlive(ctx context.Context) {
	v := c.membership.View()
	for shard := range NumShards {
		if view.RendezvousRank(rendezvousKey(shard), v.Live(""), v.Self.ID) != 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		_ = c.local.KeepAlive(ctx, shard) // tried again at the next tick
		cancel()
	}
}

// rendezvousKey returns the name by which the writers of a shard are ordered.
func rendezvousKey(shard int) string { return fmt.Sprintf("ledger-%d", shard) }
