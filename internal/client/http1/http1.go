// Package http1 provides parts of HTTP/1.1 for clients that manage their connections to
// a backend server themselves.
//
// # Usage
//
//	if http1.IsIdle(raw) { ... } // a kept connection may be used again
//	resp, err := http1.ReadFinalResponse(reader, request)
//	headers := http1.EndToEndHeaders(resp.Header)
package http1

import (
	"bufio"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxInterim bounds the interim (1xx) responses before the final one.
const maxInterim = 8

// ReadFinalResponse reads the head of the final response and skips interim ones. The body is left to
// be read. The error is bufio.ErrBufferFull if a head does not fit into the buffer of r, from which
// nothing of it is read then, and a *HeadError if it is no head of a response.
func ReadFinalResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for range maxInterim {
		head, err := PeekHead(r)
		if err != nil {
			return nil, err
		}
		if err := checkHead(head); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the backend server switched protocols without being asked")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.Newf("more than %d interim responses", maxInterim)
}

// IsIdle peeks at a socket without blocking. It reports whether the connection is open
// and has no data to read, as it should be between two requests.
func IsIdle(raw syscall.RawConn) bool {
	var b [1]byte
	var peekErr error
	err := raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EINTR)
}

// IsClosedByPeer reports whether the peer has closed a connection of which not all data has been read.
func IsClosedByPeer(raw syscall.RawConn) bool {
	var info *unix.TCPInfo
	err := raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // nil if it is no TCP socket
	})
	return err != nil || info != nil && (info.State == tcpClose || info.State == tcpCloseWait)
}

// States of a TCP connection, as the kernel numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)
