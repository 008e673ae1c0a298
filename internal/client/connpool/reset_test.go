package connpool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchangeLong sends a long request to a server that handles its connection with respond, and returns
// the response.
func exchangeLong(t *testing.T, size int, respond func(nc *net.TCPConn)) (Response, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err == nil {
			respond(nc.(*net.TCPConn))
			_ = nc.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	pool := New(l.Addr().String(), time.Second)
	c, err := pool.Get(ctx, time.Now(), time.Second, "q")
	require.NoError(t, err)
	var resp Response
	var readErr error
	head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", size)
	_, reusable := c.Exchange(ctx, size, func() error { return c.WriteRequest([]byte(head), make([]byte, size)) }, func() bool {
		resp, readErr = c.ReadResponse(&http.Request{Method: "POST"}, 1<<20, func(*Response) bool { return true })
		return false
	})
	require.False(t, reusable)
	return resp, readErr
}

const unframedResponse = "HTTP/1.1 200 OK\r\n\r\npart of the body"

// Guards against a response without a length whose connection is reset while its request is written:
// the write gets the error, and the read sees the end of the body.
func TestResetWhileTheRequestIsWrittenIsNoEndOfTheBody(t *testing.T) {
	for i := range 20 {
		resp, err := exchangeLong(t, 32<<20, func(nc *net.TCPConn) {
			_, _ = io.ReadFull(nc, make([]byte, 1<<10))
			_, _ = io.WriteString(nc, unframedResponse)
			time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
			_ = nc.SetLinger(0)
		})
		require.True(t, err != nil || resp.BodyErr != nil, "exchange %d: %q is taken for the whole body", i, resp.Body)
	}
}

// A server may answer without a length before it has read the request, and read on.
func TestEarlyResponseWithoutALengthIsComplete(t *testing.T) {
	const size = 4 << 20
	resp, err := exchangeLong(t, size, func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, unframedResponse)
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, nc)
	})
	require.NoError(t, err)
	require.NoError(t, resp.BodyErr)
	require.Equal(t, "part of the body", string(resp.Body))
}

// Guards against heads that do not fit into the read buffer.
func TestLargeHeadIsRead(t *testing.T) {
	const field = "X-Name: " + "0123456789abcdef0123456789abcdef0123456789abcdef" + "\r\n"
	head := "HTTP/1.1 200 OK\r\n"
	for len(head) < 40<<10 {
		head += field
	}
	resp, err := exchangeLong(t, 10, func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, head+"Content-Length: 2\r\n\r\nok")
		_, _ = io.Copy(io.Discard, nc)
	})
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	require.Greater(t, len(resp.Header.Values("X-Name")), 600)
	_, err = exchangeLong(t, 10, func(nc *net.TCPConn) {
		for range 4 {
			_, _ = io.WriteString(nc, head)
		}
		_, _ = io.Copy(io.Discard, nc)
	})
	require.ErrorIs(t, err, ErrHeadTooLarge)
}

// Guards against a trailer that is none in the protocol behind a body in chunks.
func TestMalformedTrailerIsAnError(t *testing.T) {
	_, err := exchangeLong(t, 10, func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Name\r\n\r\n2\r\nok\r\n0\r\nX Name: v\r\n\r\n")
		_, _ = io.Copy(io.Discard, nc)
	})
	require.Error(t, err)
}
