package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// startFlakyServer starts a backend server that answers the first request on each
// connection, and closes the connection after it has read the second one. The HTTP client
// of the standard library would retry such a request by itself.
func startFlakyServer(t *testing.T) (addr string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerFirst(c, requests)
		}
	}()
	return l.Addr().String(), requests
}

// answerFirst reads two requests from a connection and answers only the first.
func answerFirst(c net.Conn, requests *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; n < 2; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		buf := make([]byte, req.ContentLength)
		if _, err := req.Body.Read(buf); err != nil && req.ContentLength > 0 && err.Error() != "EOF" {
			return
		}
		requests.Add(1)
		if n == 0 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestRequestIsSentOnceWhenAKeptConnectionBreaks(t *testing.T) {
	headers := []cicadaseam.Header{{Name: "Idempotency-Key", Value: "0198"}, {Name: "X-Idempotency-Key", Value: "0198"}}
	for _, method := range []string{"POST", "DELETE", "GET"} {
		addr, requests := startFlakyServer(t)
		r := New(addr, WithMaxConnections(1))
		call := &cicadaseam.Call{ID: "1", Method: method, RequestURI: "/claims/file", Headers: headers}
		if method == "POST" {
			call.Body = []byte("a claim")
		}
		require.NoError(t, r.Run(context.Background(), call, 1<<20).Err)
		second := r.Run(context.Background(), call, 1<<20)
		require.Error(t, second.Err)
		require.True(t, second.Sent, "the request reached the backend server: its outcome is unknown, not notrun")
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, int64(2), requests.Load(), "%s: the second request was sent again", method)
	}
}

func TestEmptyPostIsSentOnce(t *testing.T) {
	addr, requests := startFlakyServer(t)
	r := New(addr, WithMaxConnections(1))
	call := &cicadaseam.Call{ID: "1", Method: "POST", RequestURI: "/x", Headers: []cicadaseam.Header{{Name: "Idempotency-Key", Value: "0198"}}}
	require.NoError(t, r.Run(context.Background(), call, 1<<20).Err)
	require.Error(t, r.Run(context.Background(), call, 1<<20).Err)
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, int64(2), requests.Load())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	r := New(addr)
	result := r.Run(context.Background(), &cicadaseam.Call{Method: "POST", RequestURI: "/x", Body: []byte("x")}, 1<<20)
	require.Error(t, result.Err)
	require.False(t, result.Sent)
	require.True(t, r.RefusesConnections(context.Background()))
}

func TestResponseOverTheLimitIsAnError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1000)) // the runner may have closed the connection
	})}
	go func() { _ = server.Serve(l) }() // returns when the test closes the server
	t.Cleanup(func() { _ = server.Close() })
	r := New(l.Addr().String())
	result := r.Run(context.Background(), &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 999)
	require.True(t, result.TooLarge)
	require.Empty(t, result.Body)
	require.NoError(t, r.Run(context.Background(), &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1000).Err)
}

// startServer starts a server that handles each connection with serve, and counts the
// connections.
func startServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) (addr string, connections *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), connections
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Two calls in a row use one connection or two, depending on how the backend server ends
// its responses.
func TestConnectionReuse(t *testing.T) {
	always := func(answer string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprint(c, answer)
			}
		}
	}
	once := func(answer string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				fmt.Fprint(c, answer)
			}
		}
	}
	cases := []struct {
		name        string
		serve       func(net.Conn, *bufio.Reader)
		connections int64
	}{
		{"kept", always(okResponse), 1},
		{"interim response", always("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), 1},
		{"chunked", always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"), 1},
		{"closed while idle", once(okResponse), 2},
		{"announced close", always("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), 2},
		{"old version with a length", once("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), 2},
		{"unsolicited data", always(okResponse + "junk"), 2},
	}
	for _, tc := range cases {
		addr, connections := startServer(t, tc.serve)
		r := New(addr)
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			result := r.Run(ctx, &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10)
			cancel()
			require.NoError(t, result.Err, tc.name)
			require.Equal(t, "ok", string(result.Body), tc.name)
			if tc.connections > 1 {
				require.Eventually(t, func() bool { return !hasReusableConnection(r) }, time.Minute, time.Millisecond, tc.name)
			}
		}
		require.Equal(t, tc.connections, connections.Load(), tc.name)
	}
}

// hasReusableConnection reports whether the runner has an idle connection that it would
// reuse.
func hasReusableConnection(r *Runner) bool { return r.pool.HasUsable(time.Now()) }

func TestIdleConnectionOutlivesTheDeadlineOfItsCall(t *testing.T) {
	addr, connections := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprint(c, okResponse)
		}
	})
	r := New(addr)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		require.NoError(t, r.Run(ctx, &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10).Err)
		<-ctx.Done()
		cancel()
	}
	require.Equal(t, int64(1), connections.Load())
}

func TestRequestEndsWithItsContext(t *testing.T) {
	addr, _ := startServer(t, func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadByte(); time.Sleep(time.Minute) }) // never answers
	r := New(addr, WithMaxConnections(1))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	result := r.Run(ctx, &cicadaseam.Call{Method: "POST", RequestURI: "/x", Body: []byte("x")}, 1<<10)
	require.Error(t, result.Err)
	require.True(t, result.Sent)
	result = r.Run(ctx, &cicadaseam.Call{Method: "POST", RequestURI: "/x", Body: []byte("x")}, 1<<10)
	require.Error(t, result.Err)
	require.False(t, result.Sent, "a call whose context has ended is not sent")
	for range 20 {
		late, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		require.Error(t, r.Run(late, &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10).Err)
		require.ErrorIs(t, late.Err(), context.DeadlineExceeded, "the context has the reason")
		cancel()
	}
}

// A backend server may respond while it reads the request body, or without reading it.
func TestLargeBodies(t *testing.T) {
	body := make([]byte, 16<<20)
	echo := func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", req.ContentLength)
		_, _ = io.Copy(c, req.Body) // the test checks the length of the echoed body
	}
	refuse := func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Minute) // leaves the connection open
		}
	}
	for _, tc := range []struct {
		name   string
		serve  func(net.Conn, *bufio.Reader)
		status int
		size   int
	}{{"echo", echo, 200, len(body)}, {"refused unread", refuse, 413, 0}} {
		addr, _ := startServer(t, tc.serve)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		result := New(addr).Run(ctx, &cicadaseam.Call{Method: "POST", RequestURI: "/x", Body: body}, len(body))
		cancel()
		require.NoError(t, result.Err, tc.name)
		require.True(t, result.Sent, tc.name)
		require.Equal(t, tc.status, result.Status, tc.name)
		require.Len(t, result.Body, tc.size, tc.name)
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h := http.Header{}
	h.Set("Connection", "close, x-hop")
	h.Set("X-Hop", "1")
	h.Set("Cicadaseam-Depth", "9")
	h.Set("Authorization", "Bearer t")
	require.Equal(t, []cicadaseam.Header{{Name: "Authorization", Value: "Bearer t"}}, RequestHeaders(h))
}

// A second copy of a response arrives when the connection is in use again. The next call gets its
// own response.
func TestLateSecondCopyIsNotTakenForTheNextResponse(t *testing.T) {
	response := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
	}
	addr, connections := startServer(t, func(c net.Conn, r *bufio.Reader) {
		copied := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get(HeaderRequestID)
			fmt.Fprint(c, copied+response(id, "for "+id))
			copied = response(id, "for "+id)
		}
	})
	r := New(addr)
	for _, id := range []string{"1", "2", "3"} {
		result := r.Run(context.Background(), &cicadaseam.Call{ID: id, Method: "GET", RequestURI: "/x"}, 1<<10)
		require.NoError(t, result.Err)
		require.Equal(t, "for "+id, string(result.Body))
		require.Empty(t, result.Headers)
	}
	require.Equal(t, int64(1), connections.Load())
}

// Guards against a response that a faulty server writes once more without the ID of its request, on a
// connection on which it has echoed one, and that is taken for the response to another call.
func TestRepeatedResponseWithoutAnIDIsNotTakenForTheNextOne(t *testing.T) {
	addr, _ := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n > 0 {
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, req.Header.Get(HeaderRequestID))
		}
	})
	r := New(addr)
	require.NoError(t, r.Run(context.Background(), &cicadaseam.Call{ID: "1", Method: "GET", RequestURI: "/x"}, 1<<10).Err)
	result := r.Run(context.Background(), &cicadaseam.Call{ID: "2", Method: "GET", RequestURI: "/x"}, 1<<10)
	require.True(t, result.Sent)
	if result.Err == nil {
		require.Equal(t, "ok", string(result.Body))
	}
}

// Guards against a response whose head breaks off and that is taken for a complete one without a body.
func TestResponseWhoseHeadBreaksOffIsAnError(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world"
	var sent atomic.Int64
	addr, _ := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, text[:sent.Load()])
		}
	})
	r := New(addr)
	for n := range len(text) {
		sent.Store(int64(n))
		require.Error(t, r.Run(context.Background(), &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10).Err, "%q", text[:n])
	}
}

// A response that breaks off must not be taken for a complete one, however its end is marked. A
// body that ends with the connection breaks off unnoticed, so it never counts as complete.
func TestResponseThatBreaksOffIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"last chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"no length":      "HTTP/1.1 200 OK\r\n\r\nok",
		"no length, 1.0": "HTTP/1.0 200 OK\r\n\r\nok",
	} {
		for _, reset := range []bool{false, true} {
			addr, _ := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprint(c, text)
				time.Sleep(20 * time.Millisecond) // the bytes arrive before the end
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			result := New(addr).Run(context.Background(), &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10)
			require.Error(t, result.Err, "%s, reset %v", name, reset)
			require.True(t, result.Sent)
		}
	}
}
