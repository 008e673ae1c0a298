package connpool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// socketless hides the socket of a connection, like a connection that is not TCP.
type socketless struct{ net.Conn }

// serve starts a server that calls respond for each request on each connection, and
// returns its address.
func serve(t *testing.T, respond func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					respond(nc)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func respondOK(nc net.Conn) { _, _ = io.WriteString(nc, okResponse) }

// get makes one request and returns its response and whether the connection was kept.
func get(t *testing.T, p *Pool, now time.Time, maxIdle time.Duration) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := p.Get(ctx, now, maxIdle, "")
	require.NoError(t, err)
	var resp Response
	var readErr error
	sent, reusable := c.Exchange(ctx, 0, func() error { return c.WriteRequest([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil) }, func() bool {
		resp, readErr = c.ReadResponse(&http.Request{Method: "GET"}, 10, func(*Response) bool { return true })
		return readErr == nil && !resp.Close
	})
	require.True(t, sent)
	if reusable {
		p.Put(now, c)
	}
	return resp, reusable, readErr
}

func TestConnectionsAreKeptUntilTheIdleTimeout(t *testing.T) {
	const idleTimeout = 10 * time.Second
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		return socketless{nc}, err
	}
	now := time.Now()
	for _, x := range []struct {
		name    string
		opts    []Option
		after   time.Duration
		maxIdle time.Duration
		dials   int64
	}{
		{"young", nil, idleTimeout, idleTimeout, 1},
		{"old", nil, idleTimeout + 1, time.Hour, 2},
		{"idle for too long for the request", nil, 3 * time.Second, 2 * time.Second, 2},
		{"without a socket", []Option{WithDialer(dial)}, idleTimeout, idleTimeout, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := New(serve(t, respondOK), idleTimeout, x.opts...)
			_, kept, err := get(t, p, now, x.maxIdle)
			require.NoError(t, err)
			require.True(t, kept)
			resp, _, err := get(t, p, now.Add(x.after), x.maxIdle)
			require.NoError(t, err)
			require.Equal(t, "ok", string(resp.Body))
			require.Equal(t, x.dials, p.Dials())
		})
	}
}

func TestClosedPoolKeepsNothing(t *testing.T) {
	p := New(serve(t, respondOK), time.Minute)
	now := time.Now()
	_, kept, err := get(t, p, now, time.Minute)
	require.NoError(t, err)
	require.True(t, kept)
	require.Equal(t, 1, p.Idle())
	p.Close()
	require.Zero(t, p.Idle())
	_, _, err = get(t, p, now, time.Minute)
	require.NoError(t, err)
	require.Zero(t, p.Idle())
}

// A server that never ends its response head, or sends a larger body than allowed, costs
// bounded memory and yields an error.
func TestResponsesAreBounded(t *testing.T) {
	endless := func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(nc, "X-More: and more of the same, and more of the same\r\n"); err != nil {
				return
			}
		}
	}
	p := New(serve(t, endless), time.Minute)
	_, kept, err := get(t, p, time.Now(), time.Minute)
	require.ErrorIs(t, err, ErrHeadTooLarge)
	require.False(t, kept)
	large := New(serve(t, func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901")
	}), time.Minute)
	_, kept, err = get(t, large, time.Now(), time.Minute)
	require.ErrorIs(t, err, ErrResponseTooLarge)
	require.False(t, kept)
}

// The bodies in progress share a budget. Those that have become large leave half of it to the
// others.
func TestBodiesInProgressShareABudget(t *testing.T) {
	const limit = 8 << 20
	budget := NewBudget(limit)
	body, err := (&bodyReader{budget: budget}).read(io.LimitReader(zeros{}, 2*limit), -1, 2*limit)
	require.NoError(t, err, "alone, a body may take more than the budget")
	require.Len(t, body, 2*limit)
	require.Zero(t, budget.Used())
	require.True(t, budget.Reserve(limit/2, limit/2), "of another body")
	_, err = (&bodyReader{budget: budget}).read(io.LimitReader(zeros{}, 2<<20), 2<<20, 32<<20)
	require.ErrorIs(t, err, ErrNoMemory)
	body, err = (&bodyReader{budget: budget}).read(io.LimitReader(zeros{}, 540_000), -1, 32<<20)
	require.NoError(t, err)
	require.Len(t, body, 540_000)
	require.Less(t, cap(body), 800_000)
	require.Equal(t, int64(limit/2), budget.Used())
}

// Endless bodies and bodies that nobody wants must take no memory beyond the budget, also not as
// garbage: on a busy machine it may be collected only after the next bodies were read.
func TestBodiesInVainAllocateNoMoreThanIsReserved(t *testing.T) {
	const size = 8 << 20
	allocated := func(read func() error) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.Error(t, read())
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	for _, length := range []int64{-1, size} {
		endless := allocated(func() error {
			_, err := (&bodyReader{budget: NewBudget(64 << 20)}).read(io.LimitReader(zeros{}, size-1), length, size-2)
			return err
		})
		require.LessOrEqual(t, endless, uint64(size+size/8), "length %d", length)
	}
	unwanted := allocated(func() error { return discardBody(zeros{}, size) })
	require.LessOrEqual(t, unwanted, uint64(size/8))
}

// zeros yields zero bytes without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func TestBodiesAreReadCompletely(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer, firstBuffer + 1, smallBody, smallBody + 1, 5 << 20} {
		for _, length := range []int64{-1, int64(size)} {
			want := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
			body, err := (&bodyReader{budget: NewBudget(64 << 20)}).read(iotest.HalfReader(bytes.NewReader(want)), length, 5<<20)
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, body), "%d bytes, length %d", size, length)
			if size > 0 {
				_, err = (&bodyReader{budget: NewBudget(64 << 20)}).read(bytes.NewReader(want), length, size-1)
				require.ErrorIs(t, err, ErrResponseTooLarge)
				_, err = (&bodyReader{budget: NewBudget(64 << 20)}).read(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(want))), length, size)
				require.True(t, errors.Is(err, iotest.ErrTimeout) || size == 1)
			}
		}
	}
}

// A server that goes on sending after its response must not be left to do so on an idle
// connection. The pool closes that without another request.
func TestIdleConnectionIsClosedWhenItsServerGoesOnSending(t *testing.T) {
	closed := make(chan struct{})
	p := New(serve(t, func(nc net.Conn) {
		respondOK(nc)
		time.Sleep(20 * time.Millisecond) // the connection is idle by then
		for {
			if _, err := nc.Write(make([]byte, 1<<10)); err != nil {
				close(closed)
				return
			}
		}
	}), time.Minute)
	_, kept, err := get(t, p, time.Now(), time.Minute)
	require.NoError(t, err)
	require.True(t, kept)
	select {
	case <-closed:
	case <-time.After(20 * checkPeriod):
		require.Fail(t, "the connection stays open")
	}
	require.Zero(t, p.Idle())
}

func TestEndOfContextEndsTheExchange(t *testing.T) {
	p := New(serve(t, func(net.Conn) {}), time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, time.Now(), time.Minute, "")
	require.NoError(t, err)
	_, reusable := c.Exchange(ctx, 0, func() error { return c.WriteRequest([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil) }, func() bool {
		cancel()
		_, err := c.ReadResponse(&http.Request{Method: "GET"}, 10, func(*Response) bool { return true })
		return err == nil
	})
	require.False(t, reusable)
}

// The kernel must notice that a server is gone: its silence alone does not show it, since a
// request may run for long.
func TestConnectionsNoticeAServerThatIsGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := New(l.Addr().String(), time.Second).Get(t.Context(), time.Now(), time.Second, "")
	require.NoError(t, err)
	defer c.close()
	option := func(level, name int) (value int) {
		require.NoError(t, c.raw.Control(func(fd uintptr) {
			var optErr error
			value, optErr = syscall.GetsockoptInt(int(fd), level, name)
			require.NoError(t, optErr)
		}))
		return value
	}
	const tcpUserTimeout = 18
	require.Equal(t, 1, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	require.Positive(t, option(syscall.IPPROTO_TCP, tcpUserTimeout))
	require.LessOrEqual(t, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)+option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)*option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT), 3, "seconds")
}

// Guards against large answers that nobody reads and that leave no room for ordinary ones.
func TestRoomRemainsForOrdinaryResponses(t *testing.T) {
	budget := NewBudget(64 << 20)
	fill := func(size int64) (n int) {
		for budget.Reserve(size, size) {
			n++
		}
		return n
	}
	require.Equal(t, 4, fill(8<<20))
	require.Equal(t, 32, fill(512<<10))
	require.GreaterOrEqual(t, fill(ordinaryBody), 256)
	budget.Hold(1 << 20)
	require.Zero(t, fill(1), "held bytes count")
}
