package front

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// Guards against handlers of the standard library that see another request, or whose response or
// panic is lost.
func TestHTTPHandlerServesHandlersOfTheStandardLibrary(t *testing.T) {
	m := http.NewServeMux()
	m.HandleFunc("PUT /things/{id}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		w.Header().Set("X-Id", r.PathValue("id")+r.URL.Query().Get("q")+r.Host)
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	})
	m.HandleFunc("GET /panic", func(http.ResponseWriter, *http.Request) { panic("on purpose") })
	_, nc, r := startServer(t, HTTPHandler(m, zap.NewNop()), cicadaseam.Limits{})
	_, _ = io.WriteString(nc, "PUT /things/i-1?q=2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"+get("/panic")+get("/none"))
	resp, body := readResponse(t, r)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.Equal(t, "i-12a.example", resp.Header.Get("X-Id"))
	require.Equal(t, "body", body)
	resp, _ = readResponse(t, r)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	resp, _ = readResponse(t, r)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}
