// Package alloc allocates large buffers in a process with little memory.
//
// # Model
//
// The garbage collector starts a cycle once the heap has reached its goal. A buffer that is large
// compared with the memory limit is allocated first and collected for afterwards: the process then
// holds it beside all garbage, far above the limit. Bytes collects before it allocates such a buffer,
// if the limit would be exceeded otherwise.
//
// # Usage
//
//	buf := alloc.Bytes(contentLength)
package alloc

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// largeBuffer is the size in bytes from which on garbage may be collected first. Smaller buffers exceed
// the limit by little.
const largeBuffer = 4 << 20

// mu is held from a decision to the allocation, so that two buffers do not use the same room.
var mu sync.Mutex

// Bytes returns a buffer of n bytes.
func Bytes(n int) []byte {
	if n < largeBuffer {
		return make([]byte, n)
	}
	mu.Lock()
	defer mu.Unlock()
	if exceeds(used(), int64(n), debug.SetMemoryLimit(-1)) {
		runtime.GC()
	}
	return make([]byte, n)
}

// Join returns the contents of all parts, which have a size in bytes together, in one buffer.
func Join(parts [][]byte, size int) []byte {
	joined := Bytes(size)[:0]
	for _, p := range parts {
		joined = append(joined, p...)
	}
	return joined
}

// exceeds reports whether a buffer of n bytes exceeds the memory limit of a process that uses a number
// of bytes.
func exceeds(used, n, limit int64) bool { return limit != math.MaxInt64 && used+n > limit }

// used returns the bytes that the runtime holds, without free ones: it returns those to the system
// itself when it is at its limit.
func used() int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64() - samples[2].Value.Uint64())
}
