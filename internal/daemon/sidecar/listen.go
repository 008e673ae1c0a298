package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
)

const (
	// listenRetryInterval is the pause after an attempt to listen on an address that is
	// still in use, and maxListenAttempts the number of attempts.
	listenRetryInterval = 50 * time.Millisecond
	maxListenAttempts   = 40
)

// listen opens the TCP listeners. It retries an address for a while, since the previous
// process may still hold it.
func (n *Node) listen() error {
	s := &n.settings
	for _, x := range []struct {
		listener *net.Listener
		addr     string
	}{
		{&n.listeners.links, s.LinkAddr}, {&n.listeners.registry, s.RegistryAddr}, {&n.listeners.ready, s.ReadyAddr},
		{&n.listeners.calls, s.CallAddr}, {&n.listeners.metrics, s.MetricsAddr},
	} {
		if x.addr == "" {
			continue
		}
		l, err := listenWithRetry(x.addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", x.addr)
		}
		*x.listener = l
	}
	return nil
}

func listenWithRetry(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: netio.KeepAliveConfig()}
	var l net.Listener
	err := retryWhileInUse(func() (err error) {
		l, err = config.Listen(context.Background(), "tcp", addr)
		return err
	})
	return l, err
}

// listenForHeartbeats opens the UDP socket for heartbeats, with the same retries: the previous
// process closes it last.
func (n *Node) listenForHeartbeats() (cicadaseam.PacketConn, error) {
	var conn cicadaseam.PacketConn
	err := retryWhileInUse(func() (err error) {
		conn, err = netio.New().ListenPacket(n.settings.LinkAddr)
		return err
	})
	return conn, errors.Wrapf(err, "listen for heartbeats on %s", n.settings.LinkAddr)
}

// retryWhileInUse calls listen until it succeeds, or maxListenAttempts times. It returns the last
// error.
func retryWhileInUse(listen func() error) error {
	var err error
	for range maxListenAttempts {
		if err = listen(); err == nil {
			return nil
		}
		time.Sleep(listenRetryInterval)
	}
	return err
}

// closeListeners closes the listeners and the HTTP servers.
func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.calls, n.listeners.ready, n.listeners.registry, n.listeners.links, n.listeners.metrics} {
		if l != nil {
			_ = l.Close() // no connection is accepted any more
		}
	}
	for _, s := range n.servers {
		s.Close() // the answers that matter have been written
	}
}
