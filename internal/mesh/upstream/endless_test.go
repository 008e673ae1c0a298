package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// endless is what a backend server sends: a beginning, and then a part again and again until the
// connection is closed.
type endless struct{ name, begin, part string }

// endlessResponses are the ways in which a backend server can send without end.
func endlessResponses() []endless {
	head := "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": q\r\n" + headers.Seal + ": s\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 8<<10)
	return []endless{
		{"bytes that are no response", "", text},
		{"empty lines", "", "\r\n"},
		{"status line", "HTTP/1.1 200 ", text},
		{"header line", head + "X-Long: ", text},
		{"header fields", head, "X-More: more of the same\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"large interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + text + "\r\n\r\n"},
		{"chunks", chunked, "2000\r\n" + text + "\r\n"},
		{"one chunk", chunked + "ffffffffffff\r\n", text},
		{"small chunks", chunked, "1\r\nx\r\n"},
		{"chunk extension", chunked + "1;", text},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		{"trailer line", chunked + "1\r\nx\r\n0\r\nX-Long: ", text},
		{"trailers", chunked + "1\r\nx\r\n0\r\n", "X-More: more of the same\r\n"},
		{"large length", head + "Content-Length: 99999999999\r\n\r\n", text},
		{"allowed length", head + "Content-Length: 16000000\r\n\r\n", ""}, // then silence
		{"no length", head + "\r\n", text},
		{"stray responses", "", okResponse("p", text)},
		{"large stray responses", "", okResponse("p", strings.Repeat(text, 500))},
		{"error responses after a stray one", okResponse("p", ""), "HTTP/1.1 500 Internal Server Error\r\n" + headers.RequestID + ": p\r\nContent-Length: 0\r\n\r\n"},
	}
}

// A backend server that sends without end, fast or slowly, costs bounded time and memory, and
// its connection is closed.
func TestEndlessResponsesEndInTimeAndMemory(t *testing.T) {
	const (
		// requests is the number of concurrent requests, as many as a backend server may have slots.
		requests = 48
		timeout  = 800 * time.Millisecond
		margin   = 3 * time.Second // on a busy machine
		// maxHeap leaves the rest of the 184 MB of a process for what it does besides. A sidecar
		// has a memory limit, from which on the garbage is collected more often.
		maxHeap, memoryLimit = 110 << 20, 96 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	for _, x := range endlessResponses() {
		for _, slow := range []bool{false, true} {
			name := x.name + ", fast"
			if slow {
				name = x.name + ", slowly"
			}
			t.Run(name, func(t *testing.T) {
				var sending atomic.Int64
				part := []byte(x.part)
				if !slow {
					part = bytes.Repeat(part, 1+(16<<10)/max(len(part), 1))
				}
				c := New(startServer(t, func(_ int, _ *http.Request, nc net.Conn) bool {
					sending.Add(1)
					defer sending.Add(-1)
					sendEndlessly(nc, x.begin, part, slow)
					return false
				}), headers)
				peak := startHeapPeak()
				var wg sync.WaitGroup
				for range requests {
					wg.Add(1)
					go func() {
						defer wg.Done()
						began := time.Now()
						ctx, cancel := context.WithTimeout(context.Background(), timeout)
						defer cancel()
						r := c.Do(ctx, &cicadaseam.MeshCall{ID: "q", Method: "GET", Host: "a.example", RequestURI: "/x", Idempotent: true}, "i-1", timeout, time.Time{})
						if r.Err == nil || time.Since(began) > timeout+margin {
							t.Errorf("after %s: %+v", time.Since(began), r)
						}
					}()
				}
				wg.Wait()
				heap := peak()
				t.Logf("largest heap: %.1f MB", float64(heap)/(1<<20))
				require.LessOrEqual(t, heap, uint64(maxHeap))
				require.Zero(t, bodyBudget.Used())
				require.Zero(t, c.pool.Idle())
				require.Eventually(t, func() bool { return sending.Load() == 0 }, margin, time.Millisecond, "the server still sends")
			})
		}
	}
}

// sendEndlessly sends begin, and then a part again and again until the connection is closed,
// slowly or as fast as the client reads.
func sendEndlessly(nc net.Conn, begin string, part []byte, slow bool) {
	_, err := io.WriteString(nc, begin)
	if len(part) == 0 {
		var b [1]byte
		_, _ = nc.Read(b[:]) // returns when the client closes the connection
		return
	}
	for err == nil {
		if !slow {
			_, err = nc.Write(part)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		for piece := part; len(piece) > 0 && err == nil; piece = piece[min(len(piece), 1000):] {
			_, err = nc.Write(piece[:min(len(piece), 1000)])
		}
	}
}

// startHeapPeak samples the size of the heap until the returned function is called, which returns
// the largest one. The heap of the test before is collected first.
func startHeapPeak() func() uint64 {
	runtime.GC()
	stop, largest := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			select {
			case <-stop:
				largest <- peak
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-largest
	}
}
