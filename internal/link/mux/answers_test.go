package mux

import (
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// Guards against answers of other nodes that together take more memory than the process has, and
// against a part of the budget that is lost when requests end.
func TestAnswersOfPeersStayWithinABudget(t *testing.T) {
	budget := connpool.NewBudget(4 << 20)
	testOnSlowLink(t, HandlerFunc(sizedAnswer), func(ctx context.Context, pool *Pool, _ *Server) {
		pool.answers = budget
		const size, held = 1500 << 10, 1 << 20 // together more than large answers may take
		budget.Hold(held)
		_, err := request(t, ctx, pool, 1, size)
		var linkErr *LinkError
		require.True(t, errors.As(err, &linkErr), "%v", err)
		require.True(t, linkErr.Sent, "it may have run")
		require.Equal(t, int64(held), budget.Used())
		_, err = request(t, ctx, pool, 1, 100)
		require.NoError(t, err, "a small answer")
		budget.Release(held)
		_, err = request(t, ctx, pool, 1, size)
		require.NoError(t, err)
		require.Zero(t, budget.Used())
		short, cancel := context.WithCancel(ctx)
		cancel()
		_, err = pool.Request(short, "peer", 1, binary.BigEndian.AppendUint32([]byte{1}, size))
		require.Error(t, err)
		require.Zero(t, budget.Used())
	})
}

// Guards against answers that wait to be written to a slow peer and are in no budget, and against a
// part of the budget that is lost however they end.
func TestQueuedAnswersAreCountedUntilTheyEnd(t *testing.T) {
	const size = 2 * frame.MaxChunkBytes
	budget := connpool.NewBudget(1 << 20)
	q := newAnswerQueue(budget)
	for id := range uint64(4) {
		require.True(t, q.addAnswer(id, frame.Split(frame.Response, id, 0, make([]byte, size))))
	}
	require.True(t, q.addAnswer(9, frame.Split(frame.Response, 9, 0, []byte("small"))))
	require.Equal(t, int64(4*size), budget.Used())
	require.True(t, q.drop(3))
	require.Equal(t, int64(3*size), budget.Used(), "canceled")
	for range 3 {
		q.next()
	}
	require.Equal(t, int64(2*size), budget.Used(), "the small answer and the first large one are written")
	q.close()
	require.Zero(t, budget.Used(), "the connection is closed")
	require.False(t, q.addAnswer(10, frame.Split(frame.Response, 10, 0, make([]byte, size))))
	require.Zero(t, budget.Used())
}

// Guards against a peer that was cut off and whose answers keep those of all others out of the budget.
func TestAnswersToAPeerThatReadsNothingAreReleased(t *testing.T) {
	const size = 8 << 20 // more than the buffers of a socket
	budget := connpool.NewBudget(32 << 20)
	_, addr := startEchoServer(t, WithHeldAnswers(budget), WithWriteTimeout(time.Second))
	_, w := dialPeer(t, addr)
	for _, f := range frame.Split(frame.Request, 1, 1, make([]byte, size)) {
		require.NoError(t, w.Write(f))
	}
	require.NoError(t, w.Flush())
	require.Eventually(t, func() bool { return budget.Used() == size }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 10*time.Second, time.Millisecond)
}
