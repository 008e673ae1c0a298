// Package crowd provides the clients and the measurements for tests in which clients that exceed the
// limits, or stop in the middle of a request, crowd a process.
//
// # Usage
//
//	usage := crowd.Watch(pid, addr)
//	defer usage.Stop()
//	c := crowd.Start(addr, 300, func(c *crowd.Client) { c.Send(head + unfinishedBody) })
//	usage.Settle()
//	memory, descriptors := usage.Peaks()
//	c.Leave()
package crowd

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Client is one client of a crowd. It sends what its test says, and then keeps its connection open.
type Client struct {
	Index int // in the crowd
	nc    net.Conn
}

// Send writes text. It reports whether that succeeded.
func (c *Client) Send(text string) bool {
	_, err := io.WriteString(c.nc, text)
	return err == nil
}

// AwaitEnd reads until the process closes the connection or ended is closed.
func (c *Client) AwaitEnd(ended <-chan struct{}) {
	const pollInterval = 100 * time.Millisecond
	buf := make([]byte, 4<<10)
	for {
		select {
		case <-ended:
			return
		default:
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(pollInterval)) // the next read reports a failure
		if _, err := c.nc.Read(buf); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// SmallestFields returns header lines of the smallest fields, with different names. Together they take
// a little less than a size in bytes.
func SmallestFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const n = len(letters)
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%n], letters[i/n%n], letters[i/n/n%n])
	}
	return b.String()
}

// Crowd is a number of clients that are connected at the same time.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

// sendTimeout bounds how long a client sends. What it cannot send until then, because the process does
// not read it, it never sends.
const sendTimeout = 10 * time.Second

// Start connects a number of clients to addr, and waits until each has sent what it sends. They read
// nothing, and stay connected until Leave.
func Start(addr string, number int, send func(c *Client)) *Crowd {
	cr := &Crowd{}
	for i := range number {
		cr.wg.Add(1)
		go func() {
			defer cr.wg.Done()
			cr.run(addr, i, send)
		}()
	}
	cr.wg.Wait()
	return cr
}

func (cr *Crowd) run(addr string, index int, send func(c *Client)) {
	nc, err := (&net.Dialer{Timeout: sendTimeout}).Dial("tcp", addr)
	if err != nil {
		return // the process may refuse a client
	}
	cr.mu.Lock()
	cr.conns = append(cr.conns, nc)
	cr.mu.Unlock()
	_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails if the connection is broken
	send(&Client{Index: index, nc: nc})
}

// Leave closes the connections of the crowd.
func (cr *Crowd) Leave() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, nc := range cr.conns {
		_ = nc.Close() // the process may have closed it
	}
	cr.conns = nil
}
