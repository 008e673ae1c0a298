package mux

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// pipeNetwork connects each dial with a pipe and passes the far end to accept.
type pipeNetwork struct {
	cicadaseam.Network
	accept func(net.Conn)
}

func (n pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	n.accept(far)
	return near, nil
}

// answerTo returns the answer that faultyPeer gives to a request.
func answerTo(request []byte) []byte {
	n := int(binary.BigEndian.Uint32(request)) % (3 * frame.MaxChunkBytes)
	return append(append([]byte("answer to "), request...), bytes.Repeat(request[:4], n/4)...)
}

// faultyPeer answers requests with frames that are late, out of order, duplicated or missing, and
// sometimes closes the connection between two frames.
type faultyPeer struct {
	rng    *rand.Rand
	conn   net.Conn
	queued []*frame.Frame
}

func (p *faultyPeer) run() {
	defer p.conn.Close()
	r, w := frame.NewReader(p.conn), frame.NewWriter(p.conn)
	partial := map[uint64]*frame.Assembler{}
	for {
		var f frame.Frame
		if r.Read(&f) != nil {
			return
		}
		switch f.Kind {
		case frame.Ping:
			_ = w.Write(&frame.Frame{Kind: frame.Pong, End: true}) // the flush in send returns the error
		case frame.Request:
			if partial[f.ID] == nil {
				partial[f.ID] = &frame.Assembler{}
			}
			if complete, err := partial[f.ID].Add(&f); err == nil && complete {
				p.queued = append(p.queued, frame.Split(frame.Response, f.ID, 0, answerTo(partial[f.ID].Data()))...)
			}
		}
		if !p.send(w) {
			return
		}
	}
}

// send writes some of the queued frames with random faults. It returns false if the connection
// is to be closed.
func (p *faultyPeer) send(w *frame.Writer) bool {
	for len(p.queued) > 0 && p.rng.IntN(4) > 0 {
		i := 0
		if p.rng.IntN(6) == 0 {
			i = p.rng.IntN(len(p.queued)) // out of order
		}
		f := p.queued[i]
		p.queued = append(p.queued[:i], p.queued[i+1:]...)
		copies := 1
		switch p.rng.IntN(60) {
		case 0:
			copies = 2
		case 1:
			copies = 0
		case 2:
			return false
		}
		for range copies {
			if w.Write(f) != nil {
				return false
			}
		}
	}
	return w.Flush() == nil
}

// Each request must end with its own complete answer or with a *LinkError, whatever happens to
// the frames of answers.
func TestMangledFrames(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testMangledFrames(t, seed) })
		})
	}
}

func testMangledFrames(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	timers := timer.New(rand.New(rand.NewPCG(seed, 2)))
	network := pipeNetwork{accept: func(c net.Conn) {
		peer := &faultyPeer{rng: rand.New(rand.NewPCG(rng.Uint64(), 3)), conn: c}
		go peer.run()
	}}
	pool := NewPool(network, timers)
	ctx, stop := context.WithCancel(context.Background())
	go timers.Run(ctx)
	poolDone := make(chan struct{})
	go func() { pool.Run(ctx); close(poolDone) }()
	results := make(chan bool)
	const requests = 400
	for i := range requests {
		go func() { results <- requestAndCheck(t, pool, uint32(i)) }()
		if i%20 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	answered := 0
	for range requests {
		if <-results {
			answered++
		}
	}
	t.Logf("%d of %d requests got complete answers, the others errors; %d frames dropped", answered, requests, pool.Counters().DroppedFrames.Load())
	require.Positive(t, answered)
	require.Less(t, answered, requests)
	stop()
	<-poolDone
}

func requestAndCheck(t *testing.T, pool *Pool, i uint32) bool {
	request := binary.BigEndian.AppendUint32(nil, i*7919)
	request = append(request, make([]byte, int(i)*200)...)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := pool.Request(ctx, "peer", 1, request)
	if err != nil {
		var linkErr *LinkError
		if !errors.As(err, &linkErr) {
			t.Errorf("error of another type: %v", err)
		}
		return false
	}
	if !bytes.Equal(answerTo(request), answer) {
		t.Errorf("request %d got the answer to another request or an incomplete one", i)
	}
	return true
}

// testWithServer runs a test with a pool that is connected to a Server by pipes.
func testWithServer(t *testing.T, h Handler, test func(pool *Pool, server *Server)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New(rand.New(rand.NewPCG(1, 1)))
		server := NewServer(h)
		pool := NewPool(pipeNetwork{accept: server.serveConn}, timers)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go timers.Run(ctx)
		go func() { pool.Run(ctx); close(done) }()
		test(pool, server)
		stop()
		<-done
		server.Close()
	})
}

func TestDuplicateRequestRunsOnce(t *testing.T) {
	var runs atomic.Int64
	h := HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { runs.Add(1); return nil, nil })
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(h)
		near, far := net.Pipe()
		server.serveConn(far)
		w := frame.NewWriter(near)
		go func() {
			r := frame.NewReader(near)
			var f frame.Frame
			for r.Read(&f) == nil {
			}
		}()
		frames := []*frame.Frame{{Kind: frame.Hello, Method: frame.ProtocolVersion}}
		for range 3 {
			frames = append(frames, frame.Split(frame.Request, 1, 1, []byte("x"))...)
		}
		for _, f := range frames {
			require.NoError(t, w.Write(f))
		}
		require.NoError(t, w.Flush())
		time.Sleep(time.Second)
		require.Equal(t, int64(1), runs.Load())
		require.NoError(t, near.Close())
		server.Close()
	})
}

func TestRequestCanceledBeforeItWasSent(t *testing.T) {
	testWithServer(t, HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { return []byte("ok"), nil }), func(pool *Pool, _ *Server) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var linkErr *LinkError
		require.ErrorAs(t, err, &linkErr)
		require.False(t, linkErr.Sent)
		answer, err := pool.Request(context.Background(), "peer", 1, nil)
		require.NoError(t, err)
		require.Equal(t, "ok", string(answer))
	})
}

func TestCancelReachesTheHandler(t *testing.T) {
	canceled := make(chan struct{})
	h := HandlerFunc(func(ctx context.Context, _ uint8, _ []byte) ([]byte, error) {
		<-ctx.Done()
		close(canceled)
		return nil, ctx.Err()
	})
	testWithServer(t, h, func(pool *Pool, _ *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var linkErr *LinkError
		require.ErrorAs(t, err, &linkErr)
		require.True(t, linkErr.Sent)
		<-canceled
	})
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) {
			t.Error("a request of another protocol version was served")
			return nil, nil
		}))
		near, far := net.Pipe()
		server.serveConn(far)
		w := frame.NewWriter(near)
		require.NoError(t, w.Write(&frame.Frame{Kind: frame.Hello, Method: frame.ProtocolVersion + 1}))
		require.NoError(t, w.Flush())
		var f frame.Frame
		require.Error(t, frame.NewReader(near).Read(&f), "the connection is closed")
		server.Close()
	})
}

// slowNetwork opens connections after a delay.
type slowNetwork struct {
	pipeNetwork
	delay time.Duration
}

func (n slowNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	select {
	case <-time.After(n.delay):
		return n.pipeNetwork.Dial(ctx, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A request waits only for the maximum wait if its peer is slow to accept. The dial continues
// without it, so that a later request finds the connection open.
func TestDialContinuesWithoutItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { return []byte("ok"), nil }))
		timers := timer.New(rand.New(rand.NewPCG(1, 1)))
		network := slowNetwork{pipeNetwork: pipeNetwork{accept: server.serveConn}, delay: time.Second}
		pool := NewPool(network, timers, WithDialTimeout(2*time.Second), WithMaxConnectWait(200*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		go timers.Run(ctx)
		go pool.Run(ctx)
		start := time.Now()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var linkErr *LinkError
		require.ErrorAs(t, err, &linkErr)
		require.False(t, linkErr.Sent)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		time.Sleep(900 * time.Millisecond)
		answer, err := pool.Request(ctx, "peer", 1, nil)
		require.NoError(t, err)
		require.Equal(t, "ok", string(answer))
		require.Equal(t, int64(1), pool.Counters().Dials.Load())
		cancel()
		synctest.Wait()
		server.Close()
	})
}
