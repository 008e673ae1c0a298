package http1

import (
	"net/http"
	"strings"

	"github.com/cicadaseam/cicadaseam"
)

// HopByHopHeaders are the headers that concern one connection and are not forwarded.
// Content-Length is among them because each sender sets it from the body that it sends.
var HopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
	"Content-Length": true,
}

// EndToEndHeaders returns the headers that are forwarded: all but the hop-by-hop ones and
// those that a Connection header names.
func EndToEndHeaders(h http.Header) []cicadaseam.Header {
	named := map[string]bool{}
	for _, list := range h.Values("Connection") {
		for _, token := range strings.Split(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	out := make([]cicadaseam.Header, 0, len(h))
	for name, values := range h {
		if HopByHopHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, cicadaseam.Header{Name: name, Value: v})
		}
	}
	return out
}
