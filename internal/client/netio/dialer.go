package netio

import (
	"net"
	"syscall"
	"time"
)

const (
	// Keep-alive probes detect a connection whose other side is gone. After probeIdle
	// without traffic, a probe is sent each probeInterval; the connection fails when
	// probeCount of them are not acknowledged. They cost a few bytes a second, on idle
	// connections only.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long sent bytes may go unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
	// tcpNotSentLowat is the socket option TCP_NOTSENT_LOWAT, which package syscall lacks.
	tcpNotSentLowat = 25
)

// NewDialer returns a dialer whose connections fail soon after the other side is gone.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAliveConfig(),
		Control:         func(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c) },
	}
}

// KeepAliveConfig returns the configuration of the keep-alive probes.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// SetUnsentLimit bounds the bytes that a socket holds and has not sent. A write that would exceed
// it blocks.
func SetUnsentLimit(c syscall.RawConn, bytes int) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, bytes)
	})
	if err != nil {
		return err
	}
	return optErr
}

// SetUserTimeout bounds how long bytes sent on a socket may go unacknowledged before the
// connection fails.
func SetUserTimeout(c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}
