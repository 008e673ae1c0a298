package mux

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/base/timer"
)

// A node with a link to and from each of 719 others keeps to the memory that
// control may use. Both ends of each link are in this process, which is as many
// ends as such a node has.
func TestMemoryOfLinksToAllPeers(t *testing.T) {
	const peers, target = 719, 64 << 20
	server := NewServer(HandlerFunc(func(_ context.Context, _ uint8, p []byte) ([]byte, error) { return p, nil }))
	timers := timer.New(rand.New(rand.NewPCG(1, 1)))
	pool := NewPool(pipeNetwork{accept: server.start}, timers)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { pool.Run(ctx); close(done) }()
	before := memory()
	for i := range peers {
		_, err := pool.Request(context.Background(), fmt.Sprintf("peer-%d", i), 1, make([]byte, 2000))
		require.NoError(t, err)
	}
	used := memory() - before
	t.Logf("%d links, both ends: %.1f MB, %d bytes each", peers, float64(used)/(1<<20), used/peers)
	require.LessOrEqual(t, used, int64(target))
	stop()
	<-done
	server.Close()
}

func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
