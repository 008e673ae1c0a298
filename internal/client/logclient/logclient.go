// Package logclient accesses the platform's append-only log over HTTP.
//
// # Model
//
// A Client makes one HTTP request for each operation. It never retries an append by
// itself: callers retry with the same ID in the record. Every error except for a trimmed
// read is a *cicadaseam.UnavailableError, after which it is unknown whether an append
// took effect.
//
// # Usage
//
//	log := logclient.New("http://10.0.0.5:9000")
//	offset, err := log.Append(ctx, cicadaseam.StreamConfig, data)
package logclient

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset cicadaseam.Offset `json:"offset"`
}

// ReadResponse is the response to a read.
type ReadResponse struct {
	Records []cicadaseam.Record `json:"records"`
}

// BoundsResponse is the response to a request for the bounds of a stream.
type BoundsResponse struct {
	First cicadaseam.Offset `json:"first"`
	Next  cicadaseam.Offset `json:"next"`
}

// ErrorResponse is the response to a request that failed. First is set when the records
// to read were trimmed.
type ErrorResponse struct {
	Reason string            `json:"reason"`
	First  cicadaseam.Offset `json:"first,omitempty"`
}

// Client implements cicadaseam.Log. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
}

var _ cicadaseam.Log = (*Client)(nil)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// headerTimeout bounds the time until the header of a response arrives, which includes
	// the time that a read waits for records.
	headerTimeout = 15 * time.Second
	// callTimeout bounds a whole call. A response that goes on for longer does not end.
	callTimeout = 2 * headerTimeout
	// maxResponseHead and maxResponseBody bound the parts of a response, in bytes.
	maxResponseHead = 64 << 10
	maxResponseBody = 64 << 20
	// idleTimeout and maxIdleConns bound how long idle connections are kept, and how many.
	idleTimeout  = 30 * time.Second
	maxIdleConns = 16
)

// New returns a client of the log at url.
func New(url string) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxResponseHead,
	}
	client := &http.Client{Transport: boundedTransport{http1.CheckedTransport(transport)}, Timeout: callTimeout}
	return &Client{base: sling.New().Client(client).Base(url)}
}

// boundedTransport bounds the bodies of responses.
type boundedTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBody)
	}
	return resp, err
}

// onceReader hides the type of its reader from net/http, which could otherwise rewind the
// body of an append and send it again by itself.
type onceReader struct {
	*bytes.Reader
}

// Append implements cicadaseam.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (cicadaseam.Offset, error) {
	var out AppendResponse
	s := c.base.New().Post("/v1/streams/" + stream).Body(onceReader{bytes.NewReader(data)})
	err := c.do(ctx, s, "append", stream, 0, &out)
	return out.Offset, err
}

type readQuery struct {
	From  uint64 `url:"from"`
	Limit int    `url:"limit"`
	Wait  string `url:"wait"`
}

// Read implements cicadaseam.Log.
func (c *Client) Read(ctx context.Context, stream string, from cicadaseam.Offset, limit int, wait time.Duration) ([]cicadaseam.Record, error) {
	var out ReadResponse
	s := c.base.New().Get("/v1/streams/" + stream).QueryStruct(readQuery{From: uint64(from), Limit: limit, Wait: wait.String()})
	err := c.do(ctx, s, "read", stream, from, &out)
	return out.Records, err
}

// Bounds implements cicadaseam.Log.
func (c *Client) Bounds(ctx context.Context, stream string) (first, next cicadaseam.Offset, err error) {
	var out BoundsResponse
	err = c.do(ctx, c.base.New().Get("/v1/bounds/"+stream), "bounds", stream, 0, &out)
	return out.First, out.Next, err
}

func (c *Client) do(ctx context.Context, s *sling.Sling, op, stream string, from cicadaseam.Offset, out any) error {
	req, err := s.Request()
	if err != nil {
		return &cicadaseam.UnavailableError{Op: op, Stream: stream, Reason: err.Error()}
	}
	var failed ErrorResponse
	resp, err := s.Do(req.WithContext(ctx), out, &failed)
	if err != nil {
		return &cicadaseam.UnavailableError{Op: op, Stream: stream, Reason: err.Error()}
	}
	if resp.StatusCode == http.StatusGone {
		return &cicadaseam.TrimmedError{Stream: stream, From: from, First: failed.First}
	}
	if resp.StatusCode != http.StatusOK {
		return &cicadaseam.UnavailableError{Op: op, Stream: stream, Reason: failed.Reason}
	}
	return nil
}
