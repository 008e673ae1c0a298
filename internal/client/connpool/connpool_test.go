package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// bare hides the socket of a connection, as one of another kind than TCP has none.
type bare struct{ net.Conn }

// serve answers each request on each connection and returns the address.
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

func ok(nc net.Conn) { _, _ = io.WriteString(nc, answer) }

// ask makes one request and returns its answer and whether the connection was kept.
func ask(t *testing.T, p *Pool, now time.Time, limit time.Duration) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := p.Get(ctx, now, limit)
	require.NoError(t, err)
	var a Response
	var failed error
	sent, reusable := c.Exchange(ctx, 0, func() error { return c.WriteRequest([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil) }, func() bool {
		a, failed = c.ReadResponse(&http.Request{Method: "GET"}, 10)
		return failed == nil && !a.Close
	})
	require.True(t, sent)
	if reusable {
		p.Put(now, c)
	}
	return a, reusable, failed
}

func TestConnectionsAreKeptForTheirLife(t *testing.T) {
	const life = 10 * time.Second
	plain := func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		return bare{nc}, err
	}
	now := time.Now()
	for _, x := range []struct {
		name  string
		opts  []Option
		after time.Duration
		limit time.Duration
		dials int64
	}{
		{"young", nil, life, life, 1},
		{"old", nil, life + 1, time.Hour, 2},
		{"over the limit of the request", nil, 3 * time.Second, 2 * time.Second, 2},
		{"without a socket", []Option{WithDialer(plain)}, life, life, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := New(serve(t, ok), life, x.opts...)
			_, kept, err := ask(t, p, now, x.limit)
			require.NoError(t, err)
			require.True(t, kept)
			a, _, err := ask(t, p, now.Add(x.after), x.limit)
			require.NoError(t, err)
			require.Equal(t, "ok", string(a.Body))
			require.Equal(t, x.dials, p.Dials())
		})
	}
}

func TestClosedPoolKeepsNothing(t *testing.T) {
	p := New(serve(t, ok), time.Minute)
	now := time.Now()
	_, kept, err := ask(t, p, now, time.Minute)
	require.NoError(t, err)
	require.True(t, kept)
	require.Equal(t, 1, p.Idle())
	p.Close()
	require.Zero(t, p.Idle())
	_, _, err = ask(t, p, now, time.Minute)
	require.NoError(t, err)
	require.Zero(t, p.Idle())
}

// A server that never ends its head, or says more than it is asked for, costs bounded
// memory and an error.
func TestAnswersAreBounded(t *testing.T) {
	endless := func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(nc, "X-More: and more of the same, and more of the same\r\n"); err != nil {
				return
			}
		}
	}
	p := New(serve(t, endless), time.Minute)
	_, kept, err := ask(t, p, time.Now(), time.Minute)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.False(t, kept)
	large := New(serve(t, func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901")
	}), time.Minute)
	_, kept, err = ask(t, large, time.Now(), time.Minute)
	require.ErrorIs(t, err, ErrResponseTooLarge)
	require.False(t, kept)
}

func TestContextThatEndsEndsTheExchange(t *testing.T) {
	p := New(serve(t, func(net.Conn) {}), time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, time.Now(), time.Minute)
	require.NoError(t, err)
	_, reusable := c.Exchange(ctx, 0, func() error { return c.WriteRequest([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil) }, func() bool {
		cancel()
		_, err := c.ReadResponse(&http.Request{Method: "GET"}, 10)
		return err == nil
	})
	require.False(t, reusable)
}
