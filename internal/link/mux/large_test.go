package mux

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

const (
	// slowLink is the rate of the slowest links between nodes, 10 Mbit/s, in bytes a second.
	slowLink = 10e6 / 8
	// largest is the size in bytes of the largest downloads.
	largest = 540_000
)

// throttled writes at the rate of slowLink. Small writes take no time: the mutex of a connection is
// held during those of a handler, and virtual time does not advance while a goroutine waits for it.
type throttled struct{ net.Conn }

func (c throttled) Write(b []byte) (int, error) {
	if len(b) < 1000 {
		return c.Conn.Write(b)
	}
	time.Sleep(time.Duration(float64(len(b)) / slowLink * float64(time.Second)))
	return c.Conn.Write(b)
}

// sizedAnswer answers a request with as many bytes as it says.
func sizedAnswer(_ context.Context, _ uint8, p []byte) ([]byte, error) {
	return bytes.Repeat(p[:1], int(binary.BigEndian.Uint32(p[1:]))), nil
}

// request asks for an answer of n bytes of the value fill, and returns how long it took.
func request(t *testing.T, ctx context.Context, pool *Pool, fill byte, n int) (time.Duration, error) {
	start := time.Now()
	answer, err := pool.Request(ctx, "peer", 1, binary.BigEndian.AppendUint32([]byte{fill}, uint32(n)))
	if err == nil && !bytes.Equal(bytes.Repeat([]byte{fill}, n), answer) {
		t.Errorf("another answer than that of %d bytes", n)
	}
	return time.Since(start), err
}

// testOnSlowLink runs a test with a pool whose server answers over a slow link.
func testOnSlowLink(t *testing.T, h Handler, test func(ctx context.Context, pool *Pool, server *Server)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New(rand.New(rand.NewPCG(1, 1)))
		server := NewServer(h)
		pool := NewPool(pipeNetwork{accept: func(nc net.Conn) { server.serveConn(throttled{nc}) }}, timers)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go timers.Run(ctx)
		go func() { pool.Run(ctx); close(done) }()
		test(ctx, pool, server)
		stop()
		<-done
		server.Close()
	})
}

// A small answer must not wait until the large ones before it on the link are written: one takes
// 432 ms at 10 Mbit/s, and 100 take 43 s.
func TestSmallAnswerDoesNotWaitBehindLargeOnes(t *testing.T) {
	for _, large := range []int{1, 5, 100} {
		testOnSlowLink(t, HandlerFunc(sizedAnswer), func(ctx context.Context, pool *Pool, _ *Server) {
			var downloads sync.WaitGroup
			for range large {
				time.Sleep(time.Millisecond) // more than 64 at once are refused
				downloads.Add(1)
				go func() {
					defer downloads.Done()
					if _, err := request(t, ctx, pool, 'l', largest); err != nil {
						t.Error(err)
					}
				}()
			}
			var longest time.Duration
			for range 2 {
				time.Sleep(2 * pingIfIdleFor) // the next request also sends a ping
				took, err := request(t, ctx, pool, 's', 300)
				require.NoError(t, err)
				longest = max(longest, took)
			}
			start := time.Now()
			took, err := request(t, ctx, pool, 'm', 90_000)
			require.NoError(t, err)
			t.Logf("%d large answers: a small one takes at most %s, one of the mean size %s", large, longest, took)
			require.Less(t, longest, 60*time.Millisecond)
			require.Less(t, time.Since(start), 200*time.Millisecond)
			downloads.Wait()
			require.Equal(t, int64(1), pool.Counters().Dials.Load(), "the link stays open")
		})
	}
}

// An answer that nobody waits for any more must not take up the link. Drain does not wait for it.
func TestCanceledAnswerIsNotWritten(t *testing.T) {
	testOnSlowLink(t, HandlerFunc(sizedAnswer), func(ctx context.Context, pool *Pool, server *Server) {
		callerCtx, leave := context.WithTimeout(ctx, 100*time.Millisecond)
		defer leave()
		for range 20 {
			go func() { _, _ = request(t, callerCtx, pool, 'l', largest) }()
		}
		<-callerCtx.Done()
		time.Sleep(100 * time.Millisecond)
		written := server.Counters().BytesOut.Load()
		drainCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.True(t, server.Drain(drainCtx))
		took, err := request(t, ctx, pool, 's', 300)
		require.NoError(t, err)
		require.Less(t, took, 60*time.Millisecond)
		require.LessOrEqual(t, server.Counters().BytesOut.Load()-written, int64(1000))
	})
}

// A peer that sends the beginnings of large requests without end is disconnected.
func TestIncompleteRequestsTakeBoundedMemory(t *testing.T) {
	server := NewServer(HandlerFunc(sizedAnswer))
	defer server.Close()
	near, far := net.Pipe()
	server.serveConn(far)
	w := frame.NewWriter(near)
	err := w.Write(&frame.Frame{Kind: frame.Hello, Method: frame.ProtocolVersion})
	sent := 0
	for id := uint64(1); err == nil && id <= 4; id++ {
		frames := frame.Split(frame.Request, id, 1, make([]byte, frame.MaxMessageBytes/2))
		for _, f := range frames[:len(frames)-1] {
			if err = w.Write(f); err == nil {
				err = w.Flush()
			}
			if err != nil {
				break
			}
			sent += len(f.Data)
		}
	}
	require.Error(t, err)
	require.LessOrEqual(t, sent, frame.MaxMessageBytes+frame.MaxChunkBytes)
}

// Guards against requests that together take more memory than a process has: one that does not fit the
// budget is refused, and its frames take no memory. The budget is free again after the answer, and after
// the end of a connection in the middle of a request.
func TestLargeRequestsStayWithinABudget(t *testing.T) {
	const size = 40 << 20
	b := budget.New(64 << 20)
	release, started := make(chan struct{}), make(chan struct{}, 1)
	server := NewServer(HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) {
		started <- struct{}{}
		<-release
		return []byte("done"), nil
	}), WithBudget(b))
	defer server.Close()
	timers := timer.New(rand.New(rand.NewPCG(1, 1)))
	pool := NewPool(pipeNetwork{accept: server.serveConn}, timers)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go timers.Run(ctx)
	go pool.Run(ctx)
	first := make(chan error, 1)
	go func() {
		_, err := pool.Request(ctx, "peer", 1, make([]byte, size))
		first <- err
	}()
	<-started
	require.Equal(t, int64(size), b.Used())
	_, err := pool.Request(ctx, "peer", 1, make([]byte, size))
	var refused *LinkError
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.Refused, "%v", err)
	require.False(t, refused.Sent)
	go func() { <-started; close(release) }()
	_, err = pool.Request(ctx, "peer", 1, []byte("small"))
	require.NoError(t, err)
	require.NoError(t, <-first)
	require.Eventually(t, func() bool { return b.Used() == 0 }, time.Second, time.Millisecond)

	near, far := net.Pipe()
	server.serveConn(far)
	w := frame.NewWriter(near)
	require.NoError(t, w.Write(&frame.Frame{Kind: frame.Hello, Method: frame.ProtocolVersion}))
	require.NoError(t, w.Write(frame.Split(frame.Request, 1, 1, make([]byte, size))[0]))
	require.NoError(t, w.Flush())
	require.Eventually(t, func() bool { return b.Used() == size }, time.Second, time.Millisecond)
	require.NoError(t, near.Close())
	require.Eventually(t, func() bool { return b.Used() == 0 }, time.Second, time.Millisecond)
}
