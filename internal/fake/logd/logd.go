// Package logd serves the stand-in log by HTTP, so that nodes in other
// processes can use it.
//
// # Usage
//
//	http.Serve(listener, logd.New(store))
//
// The interface is what package logclient calls:
//
//	POST /v1/streams/{name}                      append the body
//	GET  /v1/streams/{name}?from=&limit=&wait=   read, 410 when trimmed
//	GET  /v1/bounds/{name}                       first and next offset
//	GET  /v1/stats                               what was asked so far
//	PUT  /v1/faults                              set the faults
package logd

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/logclient"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

const maxRecord = 32 << 20

// Server is an http.Handler over a store.
type Server struct {
	store *logstore.Store
	mux   *http.ServeMux
}

// New returns a server.
func New(store *logstore.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/streams/{name}", s.append)
	s.mux.HandleFunc("GET /v1/streams/{name}", s.read)
	s.mux.HandleFunc("GET /v1/bounds/{name}", s.bounds)
	s.mux.HandleFunc("GET /v1/stats", s.stats)
	s.mux.HandleFunc("PUT /v1/faults", s.faults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		reply(w, http.StatusRequestEntityTooLarge, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	at, err := s.store.Append(r.Context(), r.PathValue("name"), data)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, logclient.AppendResponse{Offset: at})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(err1, err2, err3); err != nil {
		reply(w, http.StatusBadRequest, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	records, err := s.store.Read(r.Context(), r.PathValue("name"), cicadaseam.Offset(from), limit, wait)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, logclient.ReadResponse{Records: records})
}

func (s *Server) bounds(w http.ResponseWriter, r *http.Request) {
	first, next, err := s.store.Bounds(r.Context(), r.PathValue("name"))
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, logclient.BoundsResponse{First: first, Next: next})
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.store.Stats())
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var f logstore.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	s.store.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func replyError(w http.ResponseWriter, err error) {
	var trimmed *cicadaseam.TrimmedError
	if errors.As(err, &trimmed) {
		reply(w, http.StatusGone, logclient.ErrorResponse{Reason: err.Error(), First: trimmed.First})
		return
	}
	reply(w, http.StatusServiceUnavailable, logclient.ErrorResponse{Reason: err.Error()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may be gone
}
