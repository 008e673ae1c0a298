package runner

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// A backend server that answers the first request on each connection, and
// closes the connection in the middle of the second one. The HTTP client of
// the standard library would send such a request again by itself.
func flakyServer(t *testing.T) (addr string, requests *atomic.Int64) {
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
			go serveTwo(c, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serveTwo(c net.Conn, requests *atomic.Int64) {
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
		addr, requests := flakyServer(t)
		r := New(addr, WithConnections(1))
		call := &cicadaseam.Call{ID: "1", Method: method, Target: "/claims/file", Headers: headers}
		if method == "POST" {
			call.Body = []byte("a claim")
		}
		require.NoError(t, r.Run(context.Background(), call, 1<<20).Err)
		second := r.Run(context.Background(), call, 1<<20)
		require.Error(t, second.Err)
		require.True(t, second.Sent, "a byte reached the backend server: the truth is unknown, not notrun")
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, int64(2), requests.Load(), "%s: the second request was sent again", method)
	}
}

func TestEmptyPostIsSentOnce(t *testing.T) {
	addr, requests := flakyServer(t)
	r := New(addr, WithConnections(1))
	call := &cicadaseam.Call{ID: "1", Method: "POST", Target: "/x", Headers: []cicadaseam.Header{{Name: "Idempotency-Key", Value: "0198"}}}
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
	result := r.Run(context.Background(), &cicadaseam.Call{Method: "POST", Target: "/x", Body: []byte("x")}, 1<<20)
	require.Error(t, result.Err)
	require.False(t, result.Sent)
	require.True(t, r.Refuses(context.Background()))
}

func TestAnswerOverTheLimitIsNotHandedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1000)) // the test looks at what the runner makes of it
	})}
	go func() { _ = server.Serve(l) }() // until the test ends
	t.Cleanup(func() { _ = server.Close() })
	r := New(l.Addr().String())
	result := r.Run(context.Background(), &cicadaseam.Call{Method: "GET", Target: "/x"}, 999)
	require.True(t, result.TooLarge)
	require.Empty(t, result.Body)
	require.NoError(t, r.Run(context.Background(), &cicadaseam.Call{Method: "GET", Target: "/x"}, 1000).Err)
}

func TestHeadersOfTheConnectionAreNotPassedOn(t *testing.T) {
	h := http.Header{}
	h.Set("Connection", "close, X-Hop")
	h.Set("X-Hop", "1")
	h.Set("Cicadaseam-Depth", "9")
	h.Set("Authorization", "Bearer t")
	require.Equal(t, []cicadaseam.Header{{Name: "Authorization", Value: "Bearer t"}}, RequestHeaders(h))
}
