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

// The connections of a node to and from each of 719 other nodes must stay within the memory limit
// of the control plane. Such a node has one end of 1438 connections. This process has as many
// ends: both of 719 connections.
func TestMemoryOfLinksToAllPeers(t *testing.T) {
	const peers, maxBytes = 719, 64 << 20
	server := NewServer(HandlerFunc(func(_ context.Context, _ uint8, p []byte) ([]byte, error) { return p, nil }))
	timers := timer.New(rand.New(rand.NewPCG(1, 1)))
	pool := NewPool(pipeNetwork{accept: server.serveConn}, timers)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { pool.Run(ctx); close(done) }()
	before := memoryInUse()
	for i := range peers {
		_, err := pool.Request(context.Background(), fmt.Sprintf("peer-%d", i), 1, make([]byte, 2000))
		require.NoError(t, err)
	}
	used := memoryInUse() - before
	t.Logf("%d connections, both ends: %.1f MB, %d bytes each", peers, float64(used)/(1<<20), used/peers)
	require.LessOrEqual(t, used, int64(maxBytes))
	stop()
	<-done
	server.Close()
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
