package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// HTTPHandler returns a Handler that passes requests to a handler of the standard library, for
// addresses that need the bounds of a Server. The response is written when h returns; a panic of h is
// logged and answered with status 500.
func HTTPHandler(h http.Handler, logger *zap.Logger) Handler {
	return func(ctx context.Context, r *dispatch.Request) (reply *dispatch.Reply) {
		request, err := newHTTPRequest(ctx, r)
		if err != nil {
			return &dispatch.Reply{Status: http.StatusBadRequest}
		}
		defer func() {
			if p := recover(); p != nil {
				logger.Error("panic in a handler", zap.String("path", r.Path), zap.String("panic", fmt.Sprint(p)), zap.Stack("stack"))
				reply = &dispatch.Reply{Status: http.StatusInternalServerError}
			}
		}()
		w := &replyWriter{header: http.Header{}}
		h.ServeHTTP(w, request)
		return w.reply()
	}
}

// newHTTPRequest returns a request in the form of the standard library.
func newHTTPRequest(ctx context.Context, r *dispatch.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.RequestURI)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: r.Method, URL: u, RequestURI: r.RequestURI, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Host: r.Host, Header: r.Header, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
	return request.WithContext(ctx), nil
}

// replyWriter is an http.ResponseWriter that keeps the response.
type replyWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *replyWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

func (w *replyWriter) reply() *dispatch.Reply {
	w.WriteHeader(http.StatusOK)
	return &dispatch.Reply{Status: w.status, Headers: http1.EndToEndHeaders(w.header), Body: w.body.Bytes()}
}
