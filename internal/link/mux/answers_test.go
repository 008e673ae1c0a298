package mux

import (
	"context"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
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
