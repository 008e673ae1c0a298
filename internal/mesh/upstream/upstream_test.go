package upstream

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
)

var headers = cicadaseam.DefaultMeshHeaders()

// startServer starts a server that handles each request with respond and returns its
// address. n numbers the requests from 1. The connection is closed if respond returns
// false.
func startServer(t *testing.T, respond func(n int, r *http.Request, nc net.Conn) bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	serve := func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if !respond(int(requests.Add(1)), req, nc) {
				return
			}
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return l.Addr().String()
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headers.RequestID, id, headers.Seal, len(body), body)
}

func call(id string) *cicadaseam.MeshCall {
	return &cicadaseam.MeshCall{ID: id, Method: "GET", Host: "a.example", RequestURI: "/x?y=1", Idempotent: true}
}

func do(t *testing.T, c *Client, x *cicadaseam.MeshCall) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Do(ctx, x, "i-1", 1500*time.Millisecond, time.Time{})
}

func TestRequestCarriesWhatTheBackendServerExpects(t *testing.T) {
	got := make(chan *http.Request, 1)
	c := New(startServer(t, func(_ int, r *http.Request, nc net.Conn) bool {
		got <- r
		_, _ = nc.Write([]byte(okResponse("q1", "hello")))
		return true
	}), headers)
	x := call("q1")
	x.Headers = []cicadaseam.Header{{Name: headers.CallerService, Value: "desk"}}
	r := do(t, c, x)
	require.NoError(t, r.Err)
	require.Equal(t, "hello", string(r.Body))
	req := <-got
	require.Equal(t, "/x?y=1", req.RequestURI)
	require.Equal(t, "a.example", req.Host)
	require.Equal(t, "i-1", req.Header.Get(headers.ExpectedInstance))
	require.Equal(t, "1500", req.Header.Get(headers.Timeout))
	require.Equal(t, "desk", req.Header.Get(headers.CallerService))
	require.Equal(t, "q1", req.Header.Get(headers.RequestID))
}

// A second response to an earlier request arrives in front of the response to the next
// one. It is skipped. One that arrives before the next request is sent ends the
// connection, see TestBytesAfterAResponseCloseTheConnection.
func TestStrayAnswersArePassedOver(t *testing.T) {
	c := New(startServer(t, func(n int, r *http.Request, nc net.Conn) bool {
		id := r.Header.Get(headers.RequestID)
		stray := ""
		if n == 2 {
			stray = okResponse("q1", "stray")
		}
		_, _ = nc.Write([]byte(stray + okResponse(id, "answer to "+id)))
		return true
	}), headers)
	require.Equal(t, "answer to q1", string(do(t, c, call("q1")).Body))
	require.Equal(t, "answer to q2", string(do(t, c, call("q2")).Body))
	require.Equal(t, int64(1), c.Dials())
}

// A second copy of the response to the first request arrives late: in front of the response to
// the next request on the connection, in one piece or in several. The next request must get its
// own response, also if its ID cannot distinguish the two.
func TestLateSecondCopyIsNotTakenForTheNextResponse(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + headers.Rejected + ": 1\r\nContent-Length: 0\r\n\r\n"
	withoutID := "HTTP/1.1 200 OK\r\n" + headers.Seal + ": s\r\nContent-Length: 3\r\n\r\n"
	tests := []struct {
		name, firstID, nextID string
		first, next           string // responses
		status                int    // of the next response
	}{
		{"other id", "q1", "q2", okResponse("q1", "one"), okResponse("q2", "two"), 200},
		{"equal ids", "q1", "q1", okResponse("q1", "one"), okResponse("q1", "two"), 200},
		{"no ids", "", "", withoutID + "one", withoutID + "two", 200},
		{"no id after an id", "q1", "", okResponse("q1", "one"), withoutID + "two", 200},
		{"refusal without id", "q1", "q2", refusal, okResponse("q2", "two"), 200},
		{"error without id after a refusal without id", "q1", "q2", refusal, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\ntwo", 500},
	}
	for _, x := range tests {
		for _, pieces := range []int{1, 2, 5} {
			t.Run(fmt.Sprintf("%s in %d pieces", x.name, pieces), func(t *testing.T) {
				served := map[net.Conn]int{}
				var mu sync.Mutex
				requests := 0
				c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
					mu.Lock()
					defer mu.Unlock()
					requests++
					if requests == 1 {
						served[nc]++
						_, _ = io.WriteString(nc, x.first)
						return true
					}
					if served[nc] > 0 { // the copy arrives after the connection was taken from the pool
						for i := range pieces {
							_, _ = io.WriteString(nc, x.first[i*len(x.first)/pieces:(i+1)*len(x.first)/pieces])
							time.Sleep(3 * time.Millisecond)
						}
					}
					_, _ = io.WriteString(nc, x.next)
					return true
				}), headers)
				require.NoError(t, do(t, c, call(x.firstID)).Err)
				r := do(t, c, call(x.nextID))
				require.NoError(t, r.Err)
				require.Equal(t, "two", string(r.Body))
				require.Equal(t, x.status, r.Status)
				require.False(t, r.Rejected)
			})
		}
	}
}

// Guards against a refusal that a faulty server writes once more, on a kept connection, and that is
// taken for the answer to a request which the server is running: the caller would be told that it did
// not run, and it would run again elsewhere.
func TestRepeatedRefusalDoesNotProveThatAnotherRequestDidNotRun(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		for name, echoed := range map[string]string{"with its id": headers.RequestID + ": q1\r\n", "without an id": ""} {
			for _, firstRefused := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s, after a refusal %v", status, name, firstRefused), func(t *testing.T) {
					refusal := "HTTP/1.1 " + status + "\r\n" + echoed + headers.Rejected + ": 1\r\nContent-Length: 0\r\n\r\n"
					first := okResponse("q1", "one")
					if firstRefused {
						first = refusal
					}
					seen := map[net.Conn]bool{}
					c := New(startServer(t, func(n int, r *http.Request, nc net.Conn) bool {
						text := first
						if n > 1 {
							text = okResponse(r.Header.Get(headers.RequestID), "two")
						}
						if n > 1 && seen[nc] {
							text = refusal + text
						}
						seen[nc] = true
						_, _ = io.WriteString(nc, text)
						return true
					}), headers)
					require.NoError(t, do(t, c, call("q1")).Err)
					r := do(t, c, call("q2"))
					require.True(t, r.Sent)
					require.False(t, r.Rejected)
					if r.Err == nil {
						require.Equal(t, "two", string(r.Body))
					}
				})
			}
		}
	}
}

// A copy may also arrive after several further requests on the connection.
func TestCopyOfAnOlderResponseIsNotTakenForOneWithTheSameID(t *testing.T) {
	seen := map[net.Conn]bool{}
	c := New(startServer(t, func(n int, r *http.Request, nc net.Conn) bool {
		id := r.Header.Get(headers.RequestID)
		copied := ""
		if n == 4 && seen[nc] {
			copied = okResponse("q1", "copy")
		}
		seen[nc] = true
		_, _ = io.WriteString(nc, copied+okResponse(id, fmt.Sprint(n)))
		return true
	}), headers)
	for i, id := range []string{"q1", "q2", "q3", "q1"} {
		require.Equal(t, fmt.Sprint(i+1), string(do(t, c, call(id)).Body))
	}
}

// A connection with bytes behind a response is not reused.
func TestBytesAfterAResponseCloseTheConnection(t *testing.T) {
	c := New(startServer(t, func(_ int, r *http.Request, nc net.Conn) bool {
		id := r.Header.Get(headers.RequestID)
		_, _ = nc.Write([]byte(okResponse(id, id) + okResponse(id, "again")))
		return true
	}), headers)
	require.Equal(t, "q1", string(do(t, c, call("q1")).Body))
	require.Equal(t, "q2", string(do(t, c, call("q2")).Body))
	require.Equal(t, int64(2), c.Dials())
}

func TestSpoiledAnswersAreErrors(t *testing.T) {
	tests := map[string]string{
		"no seal":    "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\nContent-Length: 2\r\n\r\nhi",
		"no id":      "HTTP/1.1 200 OK\r\n" + headers.Seal + ": s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
		"foreign id": "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": p\r\nConnection: close\r\n\r\nhi",
		"cut short":  "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\n" + headers.Seal + ": s\r\nContent-Length: 9\r\n\r\nhi",
		"cut chunk":  "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\n" + headers.Seal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi",
		"no HTTP":    "\x00\x01garbage\r\n\r\n",
		"nothing":    "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
				_, _ = nc.Write([]byte(text))
				return false
			}), headers)
			r := do(t, c, call("q"))
			require.Error(t, r.Err)
			require.True(t, r.Sent)
			require.False(t, r.Rejected)
		})
	}
}

// Guards against a response that breaks off, anywhere in its head or in a body with a known end, and is
// taken for a complete one with an empty or short body.
func TestResponseThatBreaksOffAnywhereIsAnError(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\n" + headers.Seal + ": s\r\n"
	for name, text := range map[string]string{
		"length":       head + "Content-Length: 12\r\n\r\nhello, world",
		"chunks":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"length last":  "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi",
		"no length":    head + "Connection: close\r\n\r\n",
		"empty body":   head + "Content-Length: 0\r\n\r\n",
		"without body": strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
				_, _ = io.WriteString(nc, text[:sent.Load()])
				return false
			}), headers)
			for n := range len(text) {
				sent.Store(int64(n))
				r := do(t, c, call("q"))
				require.Error(t, r.Err, "%q", text[:n])
				require.True(t, r.Sent)
				require.False(t, r.Rejected)
			}
			sent.Store(int64(len(text)))
			require.NoError(t, do(t, c, call("q")).Err)
		})
	}
}

// A response without a length ends with its connection. If the connection is reset instead, or
// the server is gone afterwards, the response is not complete.
func TestAnswerWithoutLength(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\n" + headers.Seal + ": s\r\n\r\nhello"
	complete := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
		_, _ = nc.Write([]byte(head))
		return false
	}), headers)
	require.Equal(t, "hello", string(do(t, complete, call("q")).Body))
	reset := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
		_, _ = nc.Write([]byte(head))
		time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
		_ = nc.(*net.TCPConn).SetLinger(0)
		return false
	}), headers)
	require.Error(t, do(t, reset, call("q")).Err)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	crashing := New(l.Addr().String(), headers)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = nc.Write([]byte(head))
		_ = l.Close()
		_ = nc.Close()
	}()
	r := do(t, crashing, call("q"))
	require.ErrorIs(t, r.Err, connpool.ErrUnframed)
	require.True(t, r.Sent)
}

// A request counts as rejected only by the header for it or by status 421. A plain 503
// does not show that the request did not run.
func TestOnlyTheBackendServerProvesThatNothingRan(t *testing.T) {
	tests := []struct {
		name, text string
		rejected   bool
	}{
		{"full", "HTTP/1.1 503 Service Unavailable\r\n" + headers.Rejected + ": 1\r\nContent-Length: 0\r\n\r\n", true},
		{"full, without a length", "HTTP/1.1 503 Service Unavailable\r\n" + headers.Rejected + ": 1\r\nConnection: close\r\n\r\nfull", true},
		{"another instance", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", true},
		{"503 without the header", "HTTP/1.1 503 Service Unavailable\r\n" + headers.RequestID + ": q\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
				_, _ = nc.Write([]byte(x.text))
				return true
			}), headers)
			r := do(t, c, call("q"))
			require.NoError(t, r.Err)
			require.Equal(t, x.rejected, r.Rejected)
		})
	}
}

// A backend server may respond before it has read a long body. The connection is not
// reused then: the next request would be read as the rest of the body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	c := New(startServer(t, func(_ int, r *http.Request, nc net.Conn) bool {
		_, _ = nc.Write([]byte("HTTP/1.1 413 Too Large\r\n" + headers.RequestID + ": q\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(50 * time.Millisecond) // without reading the body
		return false
	}), headers)
	x := call("q")
	x.Method = "POST"
	x.Body = []byte(strings.Repeat("x", 8<<20))
	r := do(t, c, x)
	require.NoError(t, r.Err)
	require.Equal(t, 413, r.Status)
	require.Zero(t, c.pool.Idle())
}

// A non-idempotent request does not reuse a connection that was idle for long, since the
// backend server may have dropped it without this side having noticed.
func TestOnceRequestsTakeYoungConnections(t *testing.T) {
	c := New(startServer(t, func(_ int, r *http.Request, nc net.Conn) bool {
		_, _ = nc.Write([]byte(okResponse(r.Header.Get(headers.RequestID), "")))
		return true
	}), headers)
	require.NoError(t, do(t, c, call("q1")).Err)
	idle, err := c.pool.Get(context.Background(), time.Now(), unlimitedIdle, "other")
	require.NoError(t, err)
	c.pool.Put(time.Now().Add(-nonIdempotentMaxIdle-time.Millisecond), idle)
	nonIdempotent := call("q2")
	nonIdempotent.Idempotent = false
	require.NoError(t, do(t, c, nonIdempotent).Err)
	require.Equal(t, int64(2), c.Dials())
	require.NoError(t, do(t, c, call("q3")).Err)
	require.Equal(t, int64(2), c.Dials())
}

func TestNothingIsSentWhenConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	r := do(t, New(addr, headers), call("q"))
	require.Error(t, r.Err)
	require.False(t, r.Sent)
}

func TestCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
		var b [1]byte
		_, _ = nc.Read(b[:]) // returns when the client closes the connection
		close(closed)
		return false
	}), headers)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	r := c.Do(ctx, call("q"), "i-1", time.Second, time.Time{})
	require.Error(t, r.Err)
	require.True(t, r.Sent)
	<-closed
}

func TestKeepAliveTime(t *testing.T) {
	tests := map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=3, Timeout=7": 7 * time.Second, "timeout=x": 0, "timeout=-1": 0}
	for v, want := range tests {
		require.Equal(t, want, keepAliveTime(v), v)
	}
}
