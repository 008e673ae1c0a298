package netio

import "syscall"

// readBufferBytes is the receive buffer of an accepted connection. What a process has received and not
// read counts as its memory. It carries 8 MB a second over a round trip of 16 ms.
const readBufferBytes = 128 << 10

// BoundReadBuffer sets the receive buffer of a listening socket, which its connections inherit. It has
// the form of net.ListenConfig.Control.
func BoundReadBuffer(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBufferBytes)
	})
	if err != nil {
		return err
	}
	return optErr
}
