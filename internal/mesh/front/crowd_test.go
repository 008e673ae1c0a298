package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// Guards against an ordinary caller whose connection is closed before one of a crowd.
func TestConnectionsOfACrowdGiveWayFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	old, young := now.Add(-time.Minute), now.Add(-time.Second)
	inOrder := []connState{
		{receiving: true, used: true, since: old},
		{receiving: true, used: true, since: now.Add(-stallTime - time.Millisecond)},
		{since: old},
		{since: young},
		{used: true, since: old},
		{used: true, since: young},
		{receiving: true, used: true, since: now.Add(-stallTime)},
		{receiving: true, used: true, since: young},
	}
	for i := range inOrder {
		for j := range inOrder {
			require.Equal(t, i < j, inOrder[i].givesWayBefore(inOrder[j], now), "%d, %d", i, j)
		}
	}
	for _, s := range []connState{{inFlight: 1, used: true, since: old}, {inFlight: 1, receiving: true, used: true, since: old}} {
		require.Equal(t, rankProtected, s.rank(now))
	}
}

// Guards against heads whose fields take far more memory than their bytes and are not counted, and
// against ordinary ones that are.
func TestHeadsAreCountedByTheirFields(t *testing.T) {
	ordinary := []byte(post(4) + strings.Repeat("X-Name: a value of some length\r\n", 10))
	require.Zero(t, headSize(ordinary, false))
	require.Greater(t, headSize(ordinary, true), int64(len(ordinary)), "behind another request it is not the only one")
	fields := []byte(strings.Repeat("a:\r\n", 4096))
	require.Greater(t, headSize(fields, false), int64(1<<20))
}

// dialer returns a function that opens connections to the server of nc.
func dialer(t *testing.T, nc net.Conn) func() (net.Conn, *bufio.Reader) {
	return func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", nc.RemoteAddr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		return c, bufio.NewReader(c)
	}
}

// Guards against connections that use up the descriptors: the newest caller is served, one whose
// request is in progress keeps its connection, and one whose request was arriving is told that it did
// not run.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 8
	release := make(chan struct{})
	s, nc, r := startServer(t, func(_ context.Context, req *dispatch.Request) *dispatch.Reply {
		if req.Path == "/slow" {
			<-release
		}
		return &dispatch.Reply{Status: 200}
	}, cicadaseam.Limits{}, WithMaxConns(most))
	dial := dialer(t, nc)
	_, _ = io.WriteString(nc, get("/slow"))
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	var arriving []*bufio.Reader
	for range most - 1 {
		c, cr := dial()
		_, _ = io.WriteString(c, post(10)+"x")
		arriving = append(arriving, cr)
		require.Eventually(t, func() bool { return countReceiving(s) == len(arriving) }, time.Second, time.Millisecond)
	}
	c, cr := dial()
	_, _ = io.WriteString(c, get("/"))
	resp, _ := readResponse(t, cr)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, _ = readResponse(t, arriving[0])
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the oldest one")
	require.Equal(t, noMemoryRetryAfter, resp.Header.Get("Retry-After"))
	require.Equal(t, int64(1), s.Evictions())
	close(release)
	resp, _ = readResponse(t, r)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// countReceiving returns how many connections have received a part of a request.
func countReceiving(s *Server) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if state, _ := c.state(); state.receiving {
			n++
		}
	}
	return n
}

// Guards against bodies that stop short of their end and hold the budget: a request that needs less
// gets it, and their callers are told that theirs did not run.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	const large = 600 << 10
	b := budget.New(1 << 20)
	s, nc, _ := startServer(t, echo, cicadaseam.Limits{}, WithBudget(b))
	dial := dialer(t, nc)
	unfinished, ur := dial()
	_, _ = io.WriteString(unfinished, post(large)+strings.Repeat("x", large-1))
	require.Eventually(t, func() bool { return b.Used() == large }, time.Second, time.Millisecond)
	c, cr := dial()
	_, _ = io.WriteString(c, post(200<<10)+strings.Repeat("x", 200<<10))
	resp, _ := readResponse(t, cr)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, _ = readResponse(t, ur)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, int64(1), b.Revoked())
	require.Eventually(t, func() bool { return b.Used() == 0 && s.InFlight() == 0 }, time.Second, time.Millisecond)
}

// Guards against bytes of the next requests that are lost behind a head that does not fit into the
// read buffer.
func TestRequestsBehindALargeHeadAreServed(t *testing.T) {
	_, nc, r := startServer(t, func(_ context.Context, req *dispatch.Request) *dispatch.Reply {
		return &dispatch.Reply{Status: 200, Body: []byte(fmt.Sprintf("%s %d %s", req.Path, len(req.Header), req.Body))}
	}, cicadaseam.Limits{})
	var fields strings.Builder
	for i := range 500 {
		fmt.Fprintf(&fields, "X-%d: a value\r\n", i)
	}
	var sent strings.Builder
	for i := range 10 {
		fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: 5000\r\n\r\n%s", i, fields.String(), strings.Repeat("b", 5000))
		sent.WriteString(get(fmt.Sprintf("/%d", i)))
	}
	go func() { _, _ = io.WriteString(nc, sent.String()) }()
	for i := range 10 {
		_, body := readResponse(t, r)
		require.Equal(t, fmt.Sprintf("/%d 501 %s", i, strings.Repeat("b", 5000)), body)
		_, body = readResponse(t, r)
		require.Equal(t, fmt.Sprintf("/%d 0 ", i), body)
	}
}

// Guards against a request that is passed on, though its connection has just been closed for a new one:
// it may not be repeated, and its caller would get no answer.
func TestNoRequestBeginsOnAConnectionThatGaveWay(t *testing.T) {
	s := New(echo, WithMaxConns(1))
	nc, caller := net.Pipe()
	defer caller.Close()
	c := newConn(s, nc)
	c.used = true
	s.conns[c] = true
	require.True(t, s.evictFor(time.Now()))
	require.False(t, c.beginRequest())

	nc, caller = net.Pipe()
	defer caller.Close()
	c = newConn(s, nc)
	require.True(t, c.beginRequest())
	require.False(t, c.closeUnlessBusy())
	require.False(t, c.closing)
}
