package report

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTableFitsAndPlots checks the files of results, and that a second experiment in the same
// folder adds to the measurements of the first.
func TestTableFitsAndPlots(t *testing.T) {
	dir := t.TempDir()
	for run := range 2 { // the second run adds to the measurements of the first
		w, err := New(dir)
		require.NoError(t, err)
		for _, n := range []int{16, 64, 128}[run:] {
			require.NoError(t, w.Add(Measurement{Nodes: n, Spread: "tree", Phase: "idle", Name: "bytes", Value: 100 + 2*float64(n), Unit: "B"}))
		}
		require.NoError(t, w.Close())
	}
	table, err := os.ReadFile(filepath.Join(dir, "table.md"))
	require.NoError(t, err)
	require.Contains(t, string(table), "| idle: bytes | B | tree | 132 | 228 | 356 |")
	fits, err := os.ReadFile(filepath.Join(dir, "fits.md"))
	require.NoError(t, err)
	require.Contains(t, string(fits), "| idle: bytes | B | tree | [16 64 128] | 100 | 2 |")
	require.Contains(t, string(fits), "| 1540 |")
	require.FileExists(t, filepath.Join(dir, "plot-00.png"))
}
