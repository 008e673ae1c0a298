// Package mux carries many requests over one connection to each peer.
//
// # Model
//
// A Pool holds one connection to each peer that it has talked to. A request is
// a message with an id; its answer has the same id. Heartbeats travel inside
// the connection while requests wait. A connection on which nothing is heard
// for the silence time is closed, and its requests end with a *LinkError; the
// next request dials a new one. What silences one connection may have silenced
// others, so all of them are then pinged. The peer itself is doubted only when
// a new connection fails too.
//
// # Invariants
//
//   - A request ends with its own whole answer or with an error.
//   - LinkError.Sent is false only when no byte of the request was written.
//   - Frames of an unknown or ended request are dropped.
//
// # Usage
//
//	pool := mux.NewPool(network, timers, mux.WithSilence(time.Second))
//	answer, err := pool.Request(ctx, "10.0.0.7:7000", method, payload)
//	server := mux.NewServer(handler)
//	go server.Serve(listener)
package mux

import (
	"context"
	"fmt"
	"time"
)

// Defaults.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultPingTimeout       = 300 * time.Millisecond
	DefaultDialTimeout       = 500 * time.Millisecond
	DefaultIdleTimeout       = 2 * time.Minute
	// pingAfterIdle is how long a connection may be unused before a request on
	// it brings a ping along.
	pingAfterIdle = 100 * time.Millisecond
	// ringFrames bounds the messages queued on one connection.
	ringFrames = 64
	// maxServing bounds the requests that one connection may have running.
	maxServing = 4096
)

// LinkError reports a request without an answer.
type LinkError struct {
	Peer string
	// Sent is true when a byte of the request may have reached the peer.
	Sent   bool
	Reason string
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s: %s (sent=%t)", e.Peer, e.Reason, e.Sent)
}

// RemoteError reports that the peer's handler failed.
type RemoteError struct {
	Peer string
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer %s: %s", e.Peer, e.Text) }

// Handler serves requests of peers. The context ends when the peer cancels the
// request or the connection is lost.
type Handler interface {
	Serve(ctx context.Context, method uint8, payload []byte) ([]byte, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, method uint8, payload []byte) ([]byte, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, method uint8, payload []byte) ([]byte, error) {
	return f(ctx, method, payload)
}
