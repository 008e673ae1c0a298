// Package mux multiplexes requests over one connection to each peer.
//
// # Model
//
// A Pool holds one connection to each peer that it sends requests to. A request is a message
// with an id, and its answer has the same id. While requests wait for answers and the peer
// sends nothing, the pool sends pings. A connection on which nothing is received within the
// ping timeout is closed, and its requests end with a *LinkError; the next request dials a new
// connection. The cause of one ping timeout may affect other connections, so all of them are
// then pinged. A ping timeout says nothing about the peer itself: only if a new connection
// fails too is the peer unreachable.
//
// A server writes the frames of several answers on a connection in turn, those of the answer with
// the fewest frames left first. A small answer does not wait behind a large one.
//
// # Invariants
//
//   - A request ends with its own complete answer or with an error.
//   - LinkError.Sent is false only if no byte of the request was written, or if the peer refused
//     it before a handler saw it.
//   - Frames of an unknown or finished request are dropped.
//   - A peer is told of each request that was canceled after it was sent, as long as the connection
//     lives.
//
// # Usage
//
//	pool := mux.NewPool(network, timers, mux.WithPingTimeout(time.Second))
//	go pool.Run(ctx)
//	answer, err := pool.Request(ctx, "10.0.0.7:7000", method, payload)
//	server := mux.NewServer(handler)
//	go server.Serve(listener)
package mux

import (
	"context"
	"fmt"
	"time"
)

const (
	// DefaultHeartbeatInterval is the default of WithHeartbeatInterval.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultPingTimeout is the default of WithPingTimeout.
	DefaultPingTimeout = 300 * time.Millisecond
	// DefaultDialTimeout is the default of WithDialTimeout.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout is how long a connection without requests is kept.
	DefaultIdleTimeout = 2 * time.Minute
	// pingIfIdleFor is the time without a request after which the next request on a connection
	// also sends a ping, because the connection may have failed meanwhile.
	pingIfIdleFor = 100 * time.Millisecond
	// defaultWriteTimeout is the default of WithWriteTimeout. A peer that is frozen for a while
	// keeps its connection.
	defaultWriteTimeout = 20 * time.Second
	// sendQueueMessages bounds the messages in the send queue of one connection. Answers are not
	// counted.
	sendQueueMessages = 64
	// maxUnsentBytes bounds the bytes that a socket holds and has not sent, since a small answer
	// has to wait for them. Without it, the socket's buffer may grow to 4 MB, or 3 s at 10 Mbit/s.
	maxUnsentBytes = 16 << 10
	// maxRequestsPerConn bounds, for each connection of a server, the requests that are running
	// and the requests that are only partly received.
	maxRequestsPerConn = 4096
)

// LinkError reports that a request got no answer.
type LinkError struct {
	Peer string
	// Sent is true if the peer may have received a byte of the request and did not refuse it.
	Sent   bool
	Reason string
	// Refused is true if the peer answered that it does not take the request.
	Refused bool
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s: %s (sent=%t)", e.Peer, e.Reason, e.Sent)
}

// RemoteError reports that the peer's handler returned an error, with the text of that error.
type RemoteError struct {
	Peer string
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer %s: %s", e.Peer, e.Text) }

// Handler serves the requests of peers. The context is canceled when the peer cancels the
// request or the connection is lost. The data of the answer is that of all parts, which must not change
// any more.
type Handler interface {
	Serve(ctx context.Context, method uint8, payload []byte) (parts [][]byte, err error)
}

// HandlerFunc adapts a function that returns an answer in one part to a Handler.
type HandlerFunc func(ctx context.Context, method uint8, payload []byte) ([]byte, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, method uint8, payload []byte) ([][]byte, error) {
	data, err := f(ctx, method, payload)
	return [][]byte{data}, err
}

// PartsFunc adapts a function to a Handler.
type PartsFunc func(ctx context.Context, method uint8, payload []byte) ([][]byte, error)

// Serve implements Handler.
func (f PartsFunc) Serve(ctx context.Context, method uint8, payload []byte) ([][]byte, error) {
	return f(ctx, method, payload)
}
