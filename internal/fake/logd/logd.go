// Package logd serves the in-memory log of package logstore over HTTP, so that nodes in other
// processes can use it.
//
// # Usage
//
//	http.Serve(listener, logd.New(store))
//
// Package logclient is the client of the first three endpoints; the other two are for tests and
// measurements:
//
//	POST /v1/streams/{name}                      append the body
//	GET  /v1/streams/{name}?from=&limit=&wait=   read, 410 when trimmed
//	GET  /v1/bounds/{name}                       first and next offset
//	GET  /v1/stats                               counts of requests
//	PUT  /v1/faults                              set the simulated faults
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

// maxRecordBytes bounds the data of an appended record.
const maxRecordBytes = 32 << 20

// Server is an http.Handler that serves a Store.
type Server struct {
	store *logstore.Store
	mux   *http.ServeMux
}

// New returns a Server of the store.
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	offset, err := s.store.Append(r.Context(), r.PathValue("name"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, logclient.AppendResponse{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(err1, err2, err3); err != nil {
		writeJSON(w, http.StatusBadRequest, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	records, err := s.store.Read(r.Context(), r.PathValue("name"), cicadaseam.Offset(from), limit, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, logclient.ReadResponse{Records: records})
}

func (s *Server) bounds(w http.ResponseWriter, r *http.Request) {
	first, next, err := s.store.Bounds(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, logclient.BoundsResponse{First: first, Next: next})
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.Stats())
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var f logstore.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, logclient.ErrorResponse{Reason: err.Error()})
		return
	}
	s.store.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeError(w http.ResponseWriter, err error) {
	var trimmed *cicadaseam.TrimmedError
	if errors.As(err, &trimmed) {
		writeJSON(w, http.StatusGone, logclient.ErrorResponse{Reason: err.Error(), First: trimmed.First})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, logclient.ErrorResponse{Reason: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client is gone
}
