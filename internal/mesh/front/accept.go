package front

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// StopAccepting closes a listener. The connections that wait to be accepted are served: when a
// listener is just closed, the kernel resets them, with the requests that their callers have sent.
func (s *Server) StopAccepting(l net.Listener) {
	var waiting []int
	if sc, ok := l.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { waiting = acceptWaiting(int(fd)) }) // fails if the listener is closed
		}
	}
	_ = l.Close() // it accepts no more connections in any case
	s.accepting.Wait()
	for _, fd := range waiting {
		f := os.NewFile(uintptr(fd), "connection")
		nc, err := net.FileConn(f)
		_ = f.Close() // nc has a descriptor of its own
		if err == nil {
			s.startConn(nc)
		}
	}
}

// acceptWaiting accepts the connections that wait at a listening socket, and then makes the socket
// refuse others. Closing the listener would do that only after another goroutine has run, which can
// take milliseconds on a busy machine. A connection that opens between the last two system calls is
// still reset. Setting the length of the accept queue to 0 is no alternative: callers then repeat
// their first packet only after a second.
func acceptWaiting(listener int) []int {
	accepted := acceptAll(listener)
	_ = unix.Shutdown(listener, unix.SHUT_RD) // the listener is closed in any case
	return accepted
}

// acceptAll accepts the connections that wait at a listening socket.
func acceptAll(listener int) (accepted []int) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			accepted = append(accepted, fd)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return accepted // none is left, or there are no descriptors
		}
	}
}
