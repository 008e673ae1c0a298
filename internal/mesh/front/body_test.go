package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// post returns the header of a request with a body of n bytes, or of unknown length if n is negative.
func post(n int) string {
	length := fmt.Sprintf("Content-Length: %d", n)
	if n < 0 {
		length = "Transfer-Encoding: chunked"
	}
	return "POST /a HTTP/1.1\r\nHost: a.example\r\n" + length + "\r\n\r\n"
}

// Guards against bodies that together take more memory than the process has: each is within the limit
// of the configuration. What does not fit is refused unread, and small requests are served meanwhile.
func TestBodiesOfRequestsStayWithinABudget(t *testing.T) {
	const large = 6 << 20
	b := budget.New(8 << 20)
	release, started := make(chan struct{}), make(chan struct{}, 4)
	s, nc, r := startServer(t, func(ctx context.Context, req *dispatch.Request) *dispatch.Reply {
		if len(req.Body) == large {
			started <- struct{}{}
			<-release
		}
		return &dispatch.Reply{Status: 200, Body: []byte(fmt.Sprint(len(req.Body)))}
	}, cicadaseam.Limits{}, WithBudget(b))
	dial := dialer(t, nc)
	_, _ = io.WriteString(nc, post(large)+strings.Repeat("x", large))
	<-started
	require.Equal(t, int64(large), b.Used())

	second, secondReader := dial()
	_, _ = io.WriteString(second, post(large))
	resp, _ := readResponse(t, secondReader)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "before its body is sent")
	require.Equal(t, noMemoryRetryAfter, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)

	chunked, chunkedReader := dial()
	go func() {
		_, _ = io.WriteString(chunked, post(-1))
		for range large / 4096 {
			_, _ = fmt.Fprintf(chunked, "1000\r\n%s\r\n", strings.Repeat("x", 4096))
		}
	}()
	resp, _ = readResponse(t, chunkedReader)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)

	small, smallReader := dial()
	_, _ = io.WriteString(small, post(4)+"abcd")
	_, body := readResponse(t, smallReader)
	require.Equal(t, "4", body)
	_, _ = io.WriteString(small, post(-1)+"3\r\nabc\r\n0\r\n\r\n")
	_, body = readResponse(t, smallReader)
	require.Equal(t, "3", body)

	close(release)
	_, body = readResponse(t, r)
	require.Equal(t, fmt.Sprint(large), body)
	third, thirdReader := dial()
	_, _ = io.WriteString(third, post(large)+strings.Repeat("x", large))
	_, body = readResponse(t, thirdReader)
	require.Equal(t, fmt.Sprint(large), body)

	broken, _ := dial()
	_, _ = io.WriteString(broken, post(large)+"x")
	require.Eventually(t, func() bool { return b.Used() == large }, time.Second, time.Millisecond)
	_ = broken.Close()
	require.Eventually(t, func() bool { return b.Used() == 0 && s.InFlight() == 0 }, time.Second, time.Millisecond, "what is not read is released")
}

// Guards against a caller that is asked for a body for which there is no memory.
func TestBodyThatDoesNotFitIsNotAskedFor(t *testing.T) {
	for _, length := range []string{"Content-Length: 5000", "Transfer-Encoding: chunked"} {
		b := budget.New(8 << 10)
		var taken budget.Reservation
		require.True(t, b.Resize(&taken, 8<<10, time.Now()))
		_, nc, r := startServer(t, echo, cicadaseam.Limits{}, WithBudget(b))
		_, _ = io.WriteString(nc, "POST /a HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n"+length+"\r\n\r\n")
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 503 Service Unavailable\r\n", line)
	}
}
