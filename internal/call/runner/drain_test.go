package runner

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// Guards against a call that has its slot, waits for a connection, and is sent when the backend server
// has been drained and may be gone.
func TestCallThatWaitsForAConnectionIsNotSentAfterADrain(t *testing.T) {
	var arrived atomic.Int64
	answer := make(chan struct{})
	addr, _ := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			arrived.Add(1)
			<-answer
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	r := New(addr, WithMaxConnections(1))
	run := func() Result {
		return r.Run(context.Background(), &cicadaseam.Call{Method: "GET", RequestURI: "/x"}, 1<<10)
	}
	first, second := make(chan Result, 1), make(chan Result, 1)
	go func() { first <- run() }()
	require.Eventually(t, func() bool { return arrived.Load() == 1 }, time.Second, time.Millisecond)
	go func() { second <- run() }()
	time.Sleep(20 * time.Millisecond) // it waits
	r.Drain()
	waited := <-second
	require.ErrorIs(t, waited.Err, ErrDraining)
	require.False(t, waited.Sent)
	close(answer)
	require.NoError(t, (<-first).Err, "what runs is not cut off")
	require.Equal(t, int64(1), arrived.Load())
}
