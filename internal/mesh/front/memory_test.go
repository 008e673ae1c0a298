package front

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// The connections of 500 callers, each idle after a request, take at most a quarter of
// the 64 MB of a process.
func TestMemoryOfConnections(t *testing.T) {
	const callers, maxBytes = 500, 64 << 20 / 4
	_, nc, r := startServer(t, echo, cicadaseam.Limits{})
	addr := nc.RemoteAddr().String()
	ask := func(nc net.Conn, r *bufio.Reader) {
		_, err := io.WriteString(nc, get("/"))
		require.NoError(t, err)
		readResponse(t, r)
	}
	ask(nc, r)
	before := memoryInUse()
	for range callers {
		nc, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		ask(nc, bufio.NewReader(nc))
	}
	used := memoryInUse() - before
	t.Logf("%d connections: %.1f MB, %d bytes each", callers, float64(used)/(1<<20), used/callers)
	require.LessOrEqual(t, used, int64(maxBytes))
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
