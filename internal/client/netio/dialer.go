package netio

import (
	"net"
	"syscall"
	"time"
)

// Keep-alive probes find a connection that went silent for good. They cost a few
// bytes a second on idle connections only.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long sent bytes may go unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections end soon when the other side is gone.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAliveConfig(),
		Control:         func(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c) },
	}
}

// Probes returns the keep-alive probes of connections in use.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Watch bounds how long bytes sent on a socket may go unacknowledged.
func SetUserTimeout(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
