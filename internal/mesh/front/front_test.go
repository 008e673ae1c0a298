package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// startServer starts a server and returns it with a connection to it.
func startServer(t *testing.T, h Handler, limits cicadaseam.Limits, opts ...Option) (*Server, net.Conn, *bufio.Reader) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(h, append(opts, WithLimits(func() cicadaseam.Limits { return limits }))...)
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	nc, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return s, nc, bufio.NewReader(nc)
}

func echo(_ context.Context, r *dispatch.Request) *dispatch.Reply {
	return &dispatch.Reply{Status: 200, Body: []byte(r.Method + " " + r.RequestURI + " " + string(r.Body))}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, nc, r := startServer(t, func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
		if req.Path == "/2" {
			close(second)
		} else {
			<-second // the first request ends only after the second has started
		}
		return echo(ctx, req)
	}, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, get("/1")+get("/2"))
	_, body := readResponse(t, r)
	require.Equal(t, "GET /1 ", body)
	_, body = readResponse(t, r)
	require.Equal(t, "GET /2 ", body)
}

// Guards against replies that are late behind earlier ones and count as on time.
func TestRepliesDelayedByEarlierOnesAreReported(t *testing.T) {
	const objective = 50 * time.Millisecond
	delayed := make(chan string, 2)
	_, nc, r := startServer(t, func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
		if req.Path == "/slow" {
			time.Sleep(2 * objective)
		}
		reply := echo(ctx, req)
		reply.Route, reply.LateAt = req.Path, req.Arrived.Add(objective)
		return reply
	}, cicadaseam.Limits{}, WithOnDelayed(func(route string) { delayed <- route }))
	_, _ = io.WriteString(nc, get("/slow")+get("/ready"))
	readResponse(t, r)
	readResponse(t, r)
	require.Equal(t, "/ready", <-delayed)
	_, _ = io.WriteString(nc, get("/alone"))
	readResponse(t, r)
	require.Empty(t, delayed)
}

func TestRequestBodyWithLengthOrChunks(t *testing.T) {
	_, nc, r := startServer(t, echo, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, "POST /a?b=c HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc")
	_, body := readResponse(t, r)
	require.Equal(t, "POST /a?b=c abc", body)
	_, _ = io.WriteString(nc, "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	_, body = readResponse(t, r)
	require.Equal(t, "POST /a abc", body)
	_, _ = io.WriteString(nc, "POST /a HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	resp, _ := readResponse(t, r)
	require.Equal(t, http.StatusContinue, resp.StatusCode)
	_, _ = io.WriteString(nc, "x")
	_, body = readResponse(t, r)
	require.Equal(t, "POST /a x", body)
}

func TestLimits(t *testing.T) {
	limits := cicadaseam.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 10 * time.Second}
	tests := []struct {
		name, text string
		status     int
	}{
		{"large header", "GET / HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"large body", "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 11\r\n\r\n", 413},
		{"large chunks", "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", 413},
		{"slow header", "GET / HTTP/1.1\r\nHost:", 408},
		{"no request", "nonsense\r\n\r\n", 400},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			_, nc, r := startServer(t, echo, limits)
			_, _ = io.WriteString(nc, x.text)
			resp, _ := readResponse(t, r)
			require.Equal(t, x.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

// A request that the limits allow fits into a message of a link; a larger message would
// close the link with all calls on it.
func TestAllowedRequestsFitIntoALinkMessage(t *testing.T) {
	s := New(echo, WithLimits(func() cicadaseam.Limits {
		return cicadaseam.Limits{MaxHeaderBytes: 1 << 30, MaxBodyBytes: 1 << 30}
	}))
	l := s.effectiveLimits()
	require.Less(t, l.MaxHeaderBytes+requestLineAllowance+l.MaxBodyBytes, frame.MaxMessageBytes)
}

func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	started, canceled := make(chan bool, 2), make(chan bool, 2)
	_, nc, _ := startServer(t, func(ctx context.Context, _ *dispatch.Request) *dispatch.Reply {
		started <- true
		<-ctx.Done()
		canceled <- true
		return &dispatch.Reply{Status: 502}
	}, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, get("/1")+get("/2"))
	<-started
	<-started
	require.NoError(t, nc.Close())
	<-canceled
	<-canceled
}

// Guards against requests that run on after their caller has left, if it had sent more of them on its
// connection than are read at the same time.
func TestCallerThatLeavesAFullPipelineCancelsItsRequests(t *testing.T) {
	var begun, running atomic.Int64
	_, nc, _ := startServer(t, func(ctx context.Context, _ *dispatch.Request) *dispatch.Reply {
		begun.Add(1)
		running.Add(1)
		defer running.Add(-1)
		<-ctx.Done()
		return &dispatch.Reply{Status: http.StatusServiceUnavailable}
	}, cicadaseam.Limits{})
	_, err := io.WriteString(nc, strings.Repeat(get("/a"), 2*maxPipelined))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return running.Load() >= maxPipelined }, 10*time.Second, time.Millisecond)
	_ = nc.Close()
	require.Eventually(t, func() bool { return running.Load() == 0 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, begun.Load(), int64(maxPipelined+1), "none begins after the caller has left")
}

func TestConnectionCloseFromCallerIsHonoured(t *testing.T) {
	_, nc, r := startServer(t, echo, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
	resp, _ := readResponse(t, r)
	require.True(t, resp.Close)
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// While a node drains, each connection accepts one more request, whose reply announces
// the close. Requests that were sent behind that request are not run.
func TestDrainEndsConnectionsPolitely(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan string, 10)
	s, nc, r := startServer(t, func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
		ran <- req.Path
		<-release
		return echo(ctx, req)
	}, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, get("/1"))
	require.Equal(t, "/1", <-ran)
	s.Drain()
	_, _ = io.WriteString(nc, get("/2"))
	require.Equal(t, "/2", <-ran)
	_, _ = io.WriteString(nc, get("/3"))
	close(release)
	resp, body := readResponse(t, r)
	require.Equal(t, "GET /1 ", body)
	require.False(t, resp.Close)
	resp, body = readResponse(t, r)
	require.Equal(t, "GET /2 ", body)
	require.True(t, resp.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.True(t, s.Shutdown(ctx))
	require.Empty(t, ran)
}

// shutdown shuts a server down and requires that it ends in time.
func shutdown(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.True(t, s.Shutdown(ctx))
}

// When a listener is closed, the kernel resets the connections that wait to be accepted. Their
// requests must be answered.
func TestShutdownServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(echo) // accepts nothing, as if it got no processor time
	var conns []net.Conn
	for range 20 {
		nc, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = nc.Close() }()
		_, err = io.WriteString(nc, get("/1"))
		require.NoError(t, err)
		conns = append(conns, nc)
	}
	s.Drain()
	s.StopAccepting(l)
	shutdown(t, s)
	for _, nc := range conns {
		resp, body := readResponse(t, bufio.NewReader(nc))
		require.Equal(t, "GET /1 ", body)
		require.True(t, resp.Close)
	}
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}

// A request that arrives while the server shuts down is answered: the first one on a connection
// that was accepted just now, and one of which a part has arrived.
func TestShutdownAnswersRequestsThatArrive(t *testing.T) {
	for name, x := range map[string]struct{ before, after string }{
		"first request":           {"", get("/1")},
		"part of a first request": {get("/1")[:10], get("/1")[10:]},
		"part of a body":          {"POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\na", "b"},
		"part of a later request": {get("/0") + get("/1")[:10], get("/1")[10:]},
	} {
		t.Run(name, func(t *testing.T) {
			s, nc, r := startServer(t, echo, cicadaseam.Limits{})
			_, _ = io.WriteString(nc, x.before)
			if strings.HasPrefix(x.before, get("/0")) {
				_, body := readResponse(t, r)
				require.Equal(t, "GET /0 ", body)
			}
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				for c := range s.conns {
					c.mu.Lock()
					defer c.mu.Unlock()
					return c.receiving == (x.before != "")
				}
				return false
			}, 5*time.Second, time.Millisecond)
			done := make(chan bool)
			go func() {
				shutdown(t, s)
				close(done)
			}()
			time.Sleep(firstRequestTimeout / 5)
			_, _ = io.WriteString(nc, x.after)
			resp, body := readResponse(t, r)
			require.Contains(t, body, " /1 ")
			require.True(t, resp.Close)
			<-done
		})
	}
}

// No request is cut off by a planned shutdown under load on a connection that was open before,
// whenever it is sent.
func TestShutdownUnderLoadCutsNoRequest(t *testing.T) {
	const rounds, callers = 20, 16
	for round := range rounds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := New(echo)
		go s.Serve(l)
		var dialing sync.RWMutex // held for writing once no more connections are opened
		results := make(chan error)
		for range callers {
			go func() { results <- callRepeatedly(l.Addr().String(), &dialing) }()
		}
		time.Sleep(time.Duration(1+round) * time.Millisecond)
		s.Drain()
		dialing.Lock()
		s.StopAccepting(l)
		shutdown(t, s)
		for range callers {
			if err := <-results; err != nil {
				t.Errorf("round %d: %v", round, err)
			}
		}
	}
}

// callRepeatedly sends requests, each on a new connection, until dialing cannot be locked. A
// request without a response is an error.
func callRepeatedly(addr string, dialing *sync.RWMutex) error {
	for dialing.TryRLock() {
		nc, err := net.Dial("tcp", addr)
		dialing.RUnlock()
		if err != nil {
			return err
		}
		_, writeErr := io.WriteString(nc, get("/1"))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		_ = nc.Close()
		if err != nil {
			return fmt.Errorf("connected and got no response: %w (%v)", err, writeErr)
		}
	}
	return nil
}

func TestIdleConnectionsEndWithTheServer(t *testing.T) {
	s, nc, r := startServer(t, echo, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, get("/1"))
	_, _ = readResponse(t, r)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.True(t, s.Shutdown(ctx))
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// An idle connection is closed after exactly the idle timeout, counted from its last reply.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = 80 * time.Millisecond
		nc, served := net.Pipe()
		r := bufio.NewReader(nc)
		New(echo, WithLimits(func() cicadaseam.Limits { return cicadaseam.Limits{IdleTimeout: idleTimeout} })).startConn(served)
		for i := range 3 {
			time.Sleep(40 * time.Millisecond)
			_, _ = io.WriteString(nc, get(fmt.Sprintf("/%d", i)))
			_, _ = readResponse(t, r)
		}
		lastReply := time.Now()
		_, err := r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, idleTimeout, time.Since(lastReply))
	})
}

// unwritable is a connection on which every write fails.
type unwritable struct{ net.Conn }

func (unwritable) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// A caller that cannot get a reply gets none of its later requests run either.
func TestNoRequestRunsAfterFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nc, served := net.Pipe()
		var ran []string
		s := New(func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
			ran = append(ran, req.Path)
			return echo(ctx, req)
		})
		s.startConn(unwritable{served})
		_, _ = io.WriteString(nc, get("/1"))
		synctest.Wait()
		_ = nc.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(nc, get("/2")) // fails if the server has closed the connection
		synctest.Wait()
		require.Equal(t, []string{"/1"}, ran)
		require.NoError(t, nc.Close())
		s.wg.Wait()
	})
}

func TestHeadResponseHasNoBody(t *testing.T) {
	_, nc, r := startServer(t, echo, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, "HEAD /1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
	resp, err := http.ReadResponse(r, &http.Request{Method: "HEAD"})
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	_, _ = io.WriteString(nc, get("/2"))
	_, body := readResponse(t, r)
	require.Equal(t, "GET /2 ", body)
}

// A reply that is ready behind an unfinished one is delivered even if the unfinished
// request is canceled at a shutdown.
func TestReadyRepliesAreDeliveredAfterCancelRequests(t *testing.T) {
	second := make(chan struct{})
	s, nc, r := startServer(t, func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
		if req.Path == "/2" {
			defer close(second)
			return echo(ctx, req)
		}
		<-ctx.Done()
		return &dispatch.Reply{Status: 502}
	}, cicadaseam.Limits{})
	_, _ = io.WriteString(nc, get("/1")+get("/2"))
	<-second
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.False(t, s.Shutdown(ctx))
	s.CancelRequests()
	resp, _ := readResponse(t, r)
	require.Equal(t, 502, resp.StatusCode)
	resp, body := readResponse(t, r)
	require.Equal(t, "GET /2 ", body)
	require.True(t, resp.Close)
}

// Connections beyond a bound are closed after their next reply, which announces it, so that
// callers that retry on new connections do not use up all descriptors.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(echo)
		var open []net.Conn
		for range maxKeptConns + 50 {
			nc, served := net.Pipe()
			s.startConn(served)
			open = append(open, nc)
		}
		closed := 0
		for _, nc := range open {
			go func() { _, _ = io.WriteString(nc, get("/1")) }()
			resp, body := readResponse(t, bufio.NewReader(nc))
			require.Equal(t, "GET /1 ", body)
			if resp.Close {
				closed++
			}
			synctest.Wait()
		}
		require.Equal(t, 50, closed)
		s.mu.Lock()
		kept := len(s.conns)
		s.mu.Unlock()
		require.Equal(t, maxKeptConns, kept)
		for _, nc := range open {
			_ = nc.Close()
		}
		s.wg.Wait()
	})
}

// failingListener fails to accept a connection twice before it accepts one, and then is
// closed.
type failingListener struct {
	net.Listener
	results []error
	conn    net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, err
	}
	return l.conn, nil
}

// A lack of descriptors does not end the server.
func TestAcceptContinuesAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nc, served := net.Pipe()
		emfile := &net.OpError{Op: "accept", Err: syscall.EMFILE}
		s := New(echo)
		s.Serve(&failingListener{results: []error{emfile, emfile, nil}, conn: served})
		go func() { _, _ = io.WriteString(nc, get("/1")) }()
		_, body := readResponse(t, bufio.NewReader(nc))
		require.Equal(t, "GET /1 ", body)
		_ = nc.Close()
		s.wg.Wait()
	})
}
