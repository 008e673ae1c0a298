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

// pipeNetwork hands the far end of each dialed pipe to accept.
type pipeNetwork struct {
	cicadaseam.Network
	accept func(net.Conn)
}

func (n pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	n.accept(far)
	return near, nil
}

// payloadFor is the answer that belongs to a request.
func payloadFor(request []byte) []byte {
	n := int(binary.BigEndian.Uint32(request)) % (3 * frame.MaxChunkBytes)
	return append(append([]byte("answer to "), request...), bytes.Repeat(request[:4], n/4)...)
}

// mangler answers requests with frames that are late, out of order, doubled,
// lost or cut.
type mangler struct {
	rng  *rand.Rand
	conn net.Conn
	held []*frame.Frame
}

func (m *mangler) run() {
	defer m.conn.Close()
	r, w := frame.NewReader(m.conn), frame.NewWriter(m.conn)
	partial := map[uint64]*frame.Assembler{}
	for {
		var f frame.Frame
		if r.Read(&f) != nil {
			return
		}
		switch f.Kind {
		case frame.Ping:
			_ = w.Write(&frame.Frame{Kind: frame.Pong, End: true}) // the flush tells
		case frame.Request:
			if partial[f.ID] == nil {
				partial[f.ID] = &frame.Assembler{}
			}
			if whole, err := partial[f.ID].Add(&f); err == nil && whole {
				m.held = append(m.held, frame.Split(frame.Response, f.ID, 0, payloadFor(partial[f.ID].Data()))...)
			}
		}
		if !m.send(w) {
			return
		}
	}
}

// send lets go of some of the held frames in a mangled order. It returns false
// when the connection is cut.
func (m *mangler) send(w *frame.Writer) bool {
	for len(m.held) > 0 && m.rng.IntN(4) > 0 {
		i := 0
		if m.rng.IntN(6) == 0 {
			i = m.rng.IntN(len(m.held)) // out of order
		}
		f := m.held[i]
		m.held = append(m.held[:i], m.held[i+1:]...)
		times := 1
		switch m.rng.IntN(60) {
		case 0:
			times = 2
		case 1:
			times = 0
		case 2:
			return false
		}
		for range times {
			if w.Write(f) != nil {
				return false
			}
		}
	}
	return w.Flush() == nil
}

// Each caller gets its own whole answer or an error, whatever happens to the
// frames, and learns nothing false about whether its request was sent.
func TestMangledFrames(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { mangledFrames(t, seed) })
		})
	}
}

func mangledFrames(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	timers := timer.New(rand.New(rand.NewPCG(seed, 2)))
	network := pipeNetwork{accept: func(c net.Conn) {
		m := &mangler{rng: rand.New(rand.NewPCG(rng.Uint64(), 3)), conn: c}
		go m.run()
	}}
	pool := NewPool(network, timers)
	ctx, stop := context.WithCancel(context.Background())
	go timers.Run(ctx)
	poolDone := make(chan struct{})
	go func() { pool.Run(ctx); close(poolDone) }()
	results := make(chan bool)
	const calls = 400
	for i := range calls {
		go func() { results <- oneCall(t, pool, uint32(i)) }()
		if i%20 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	whole := 0
	for range calls {
		if <-results {
			whole++
		}
	}
	t.Logf("%d of %d whole answers, the others errors; %d late frames dropped", whole, calls, pool.Counters().DroppedFrames.Load())
	require.Positive(t, whole)
	require.Less(t, whole, calls)
	stop()
	<-poolDone
}

func oneCall(t *testing.T, pool *Pool, i uint32) bool {
	request := binary.BigEndian.AppendUint32(nil, i*7919)
	request = append(request, make([]byte, int(i)*200)...)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := pool.Request(ctx, "peer", 1, request)
	if err != nil {
		var link *LinkError
		if !errors.As(err, &link) {
			t.Errorf("error of another type: %v", err)
		}
		return false
	}
	if !bytes.Equal(payloadFor(request), answer) {
		t.Errorf("call %d got an answer that is not its own or not whole", i)
	}
	return true
}

// withServer runs a pool against a real server over pipes.
func withServer(t *testing.T, h Handler, test func(pool *Pool, server *Server)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New(rand.New(rand.NewPCG(1, 1)))
		server := NewServer(h)
		pool := NewPool(pipeNetwork{accept: server.start}, timers)
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

func TestDoubledRequestRunsOnce(t *testing.T) {
	var runs atomic.Int64
	h := HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { runs.Add(1); return nil, nil })
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(h)
		near, far := net.Pipe()
		server.start(far)
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

func TestRequestGivenUpBeforeItWasSent(t *testing.T) {
	withServer(t, HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { return []byte("ok"), nil }), func(pool *Pool, _ *Server) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var link *LinkError
		require.ErrorAs(t, err, &link)
		require.False(t, link.Sent)
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
	withServer(t, h, func(pool *Pool, _ *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var link *LinkError
		require.ErrorAs(t, err, &link)
		require.True(t, link.Sent)
		<-canceled
	})
}

func TestAnotherProtocolIsRefusedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) {
			t.Error("a request of an unknown protocol was served")
			return nil, nil
		}))
		near, far := net.Pipe()
		server.start(far)
		w := frame.NewWriter(near)
		require.NoError(t, w.Write(&frame.Frame{Kind: frame.Hello, Method: frame.ProtocolVersion + 1}))
		require.NoError(t, w.Flush())
		var f frame.Frame
		require.Error(t, frame.NewReader(near).Read(&f), "the connection is closed")
		server.Close()
	})
}

// slowNetwork opens connections after a while.
type slowNetwork struct {
	pipeNetwork
	after time.Duration
}

func (n slowNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	select {
	case <-time.After(n.after):
		return n.pipeNetwork.Dial(ctx, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A request does not wait for a peer that is slow to accept, and a later one finds the
// connection open: the dial went on.
func TestDialGoesOnWhenItsRequestLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(HandlerFunc(func(context.Context, uint8, []byte) ([]byte, error) { return []byte("ok"), nil }))
		timers := timer.New(rand.New(rand.NewPCG(1, 1)))
		network := slowNetwork{pipeNetwork: pipeNetwork{accept: server.start}, after: time.Second}
		pool := NewPool(network, timers, WithDialTimeout(2*time.Second), WithMaxConnectWait(200*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		go timers.Run(ctx)
		go pool.Run(ctx)
		began := time.Now()
		_, err := pool.Request(ctx, "peer", 1, nil)
		var link *LinkError
		require.ErrorAs(t, err, &link)
		require.False(t, link.Sent)
		require.Equal(t, 200*time.Millisecond, time.Since(began))
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
