package mux

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
)

// Guards against requests that run on though many callers have left at once: more cancellations than
// the send queue takes.
func TestCancellationsAreNotDropped(t *testing.T) {
	const requests = 4 * sendQueueMessages
	var running atomic.Int64
	_, addr := startServer(t, func(ctx context.Context, _ uint8, _ []byte) ([]byte, error) {
		running.Add(1)
		defer running.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	pool := NewPool(netio.New(), timer.New(rand.New(rand.NewPCG(1, 1))))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range int64(requests) {
		wg.Go(func() { _, _ = pool.Request(ctx, addr, 1, nil) }) // ends with cancel
		require.Eventually(t, func() bool { return running.Load() == i+1 }, 10*time.Second, 100*time.Microsecond)
	}
	pr := pool.lockPeer(addr)
	c := pr.conn
	pr.mu.Unlock()
	c.writeMu.Lock() // the writer is busy with a large request
	cancel()
	wg.Wait()
	c.writeMu.Unlock()
	require.Eventually(t, func() bool { return running.Load() == 0 }, 10*time.Second, time.Millisecond)
	pool.closeAll()
}
