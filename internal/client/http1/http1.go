// Package http1 has what every client of a backend server needs of HTTP/1.1 on a
// connection of its own.
//
// # Usage
//
//	if http1.Quiet(raw) { ... } // a kept connection may be used again
//	resp, err := http1.ReadHead(reader, request)
//	headers := http1.EndToEnd(resp.Header)
package http1

import (
	"bufio"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
)

// maxInterim bounds the interim answers before the final one.
const maxInterim = 8

// ReadHead reads the head of the final answer. Interim ones are passed over.
func ReadFinalResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the backend server changes the protocol unasked")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.Newf("more than %d interim answers", maxInterim)
}

// Quiet peeks at a socket without waiting. Nothing to read is what an open connection
// between two requests has to show.
func IsIdle(raw syscall.RawConn) bool {
	var b [1]byte
	var peeked error
	err := raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EINTR)
}
