package alloc

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

var sink []byte

// Guards against garbage that is collected only after a large buffer was allocated beside it.
func TestGarbageIsCollectedBeforeALargeBufferIsAllocated(t *testing.T) {
	const limit, live, small, garbage, large = 128 << 20, 40 << 20, 64 << 10, 90 << 20, 60 << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	defer debug.SetGCPercent(debug.SetGCPercent(200)) // as in a sidecar
	kept := make([]byte, live)
	runtime.GC()
	for used() < garbage {
		sink = make([]byte, small)
	}
	stop := samplePeak()
	buf := Bytes(large)
	require.LessOrEqual(t, stop(), int64(limit))
	require.Len(t, buf, large)
	runtime.KeepAlive(kept)
}

// samplePeak samples the used bytes until the function that it returns is called, which returns the most.
func samplePeak() (stop func() int64) {
	peak := make(chan int64)
	go func() {
		most := used()
		for {
			select {
			case peak <- most:
				return
			default:
				most = max(most, used())
			}
		}
	}()
	return func() int64 { return <-peak }
}

func TestExceeds(t *testing.T) {
	require.True(t, exceeds(100, 29, 128))
	require.False(t, exceeds(100, 28, 128))
	require.False(t, exceeds(100, 28, math.MaxInt64), "no limit is set")
}
