package mux

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// startEchoServer starts a server on a loopback address that answers with the payload.
func startEchoServer(t *testing.T, opts ...ServerOption) (*Server, string) {
	return startServer(t, func(_ context.Context, _ uint8, p []byte) ([]byte, error) { return p, nil }, opts...)
}

// startServer starts a server on a loopback address, and closes it when the test ends.
func startServer(t *testing.T, h HandlerFunc, opts ...ServerOption) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(h, opts...)
	go s.Serve(l)
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return s, l.Addr().String()
}

// dialPeer opens a connection and sends its first frame.
func dialPeer(t *testing.T, addr string) (net.Conn, *frame.Writer) {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	w := frame.NewWriter(nc)
	require.NoError(t, w.Write(&frame.Frame{Kind: frame.Hello, Method: frame.ProtocolVersion}))
	require.NoError(t, w.Flush())
	return nc, w
}

func requireClosed(t *testing.T, nc net.Conn, what string) {
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := nc.Read(make([]byte, 1))
	require.Error(t, err, what)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, what)
}

// Guards against connections that send nothing and use up the descriptors of a node, and against peers
// that lose theirs to them.
func TestSilentConnectionsGiveWay(t *testing.T) {
	s, addr := startEchoServer(t)
	peer, w := dialPeer(t, addr)
	require.Eventually(t, func() bool { return s.numSilent() == 0 }, time.Second, time.Millisecond)
	first, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer first.Close()
	require.Eventually(t, func() bool { return s.numSilent() == 1 }, time.Second, time.Millisecond)
	for range maxSilent {
		nc, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer nc.Close()
	}
	requireClosed(t, first, "the oldest silent connection")
	require.NoError(t, w.Write(&frame.Frame{Kind: frame.Request, ID: 1, End: true}))
	require.NoError(t, w.Flush())
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(peer, make([]byte, 4))
	require.NoError(t, err, "the peer is answered")
}

func (s *Server) numSilent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.silent)
}

// Guards against more connections of peers than are allowed: the one that was used least recently
// goes.
func TestConnectionsOfPeersAreBounded(t *testing.T) {
	s, addr := startEchoServer(t, WithMaxConns(2))
	first, w := dialPeer(t, addr)
	require.Eventually(t, func() bool { return s.numSilent() == 0 }, time.Second, time.Millisecond)
	second, _ := dialPeer(t, addr)
	require.Eventually(t, func() bool { return s.numSilent() == 0 }, time.Second, time.Millisecond)
	require.NoError(t, w.Write(&frame.Frame{Kind: frame.Ping, End: true}))
	require.NoError(t, w.Flush())
	_, err := io.ReadFull(first, make([]byte, 4))
	require.NoError(t, err)
	dialPeer(t, addr)
	requireClosed(t, second, "the one that was used least recently")
}

// beginRequest sends the first frame of a request of 500 KiB, waits until it is in the budget, and
// returns the connection and the other frames.
func beginRequest(t *testing.T, addr string, b *budget.Budget) (net.Conn, *frame.Writer, []*frame.Frame) {
	const size = 500 << 10
	nc, w := dialPeer(t, addr)
	frames := frame.Split(frame.Request, 1, 1, make([]byte, size))
	require.NoError(t, w.Write(frames[0]))
	require.NoError(t, w.Flush())
	require.Eventually(t, func() bool { return b.Used() == size }, time.Second, time.Millisecond)
	return nc, w, frames[1:]
}

// Guards against requests whose frames stop to arrive and that hold the budget of all.
func TestStalledRequestOfAPeerGivesWay(t *testing.T) {
	b := budget.New(1 << 20)
	_, addr := startEchoServer(t, WithBudget(b))
	stalled, _, _ := beginRequest(t, addr, b)
	var r budget.Reservation
	require.True(t, b.Resize(&r, 500<<10, time.Now().Add(time.Minute)))
	requireClosed(t, stalled, "no frame of it may ever arrive")
}

// Guards against a request that is passed to a handler though its memory was given to another one.
func TestRevokedRequestOfAPeerIsRefused(t *testing.T) {
	b := budget.New(1 << 20)
	_, addr := startEchoServer(t, WithBudget(b))
	nc, w, frames := beginRequest(t, addr, b)
	var r budget.Reservation
	require.True(t, b.Resize(&r, 400<<10, time.Now()))
	for _, f := range frames {
		require.NoError(t, w.Write(f))
	}
	require.NoError(t, w.Flush())
	var answer frame.Frame
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	require.NoError(t, frame.NewReader(nc).Read(&answer))
	require.Equal(t, frame.Refused, answer.Kind)
	require.Equal(t, int64(400<<10), b.Used())
}
