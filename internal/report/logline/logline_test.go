package logline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a broken line that ends the reading of a log, and against a prefix of a log
// collector that hides a line.
func TestReadSkipsWhatIsNoLine(t *testing.T) {
	log := `ed","request":"q"}
12.3 node-1 {"ts":"2026-12-04T10:00:00.5Z","level":"info","node":"node-1","msg":"refused","request":"q","targets":2}
{"ts":"2026-12-04T10:00:01Z","node":"node-1","msg":"refused","request":"other"}
{"ts":"yesterday","msg":"refused","request":"q"}
{"ts":"2026-12-04T10:00:02Z","msg":"refused","request":"q"`
	var lines []Line
	require.NoError(t, Read(strings.NewReader(log), `"q"`, func(l Line) { lines = append(lines, l) }))
	require.Len(t, lines, 1)
	require.Equal(t, "node-1", lines[0].Node)
	require.Equal(t, "refused", lines[0].Message)
	require.Equal(t, map[string]any{"request": "q", "targets": 2.0}, lines[0].Fields)
	require.Equal(t, 500, lines[0].Time.Nanosecond()/1e6)
}
