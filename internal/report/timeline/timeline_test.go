package timeline

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// linesOf returns the lines of a request's timeline over all sample logs.
func linesOf(t *testing.T, id string) []string {
	t.Helper()
	tl := New(id)
	files, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		require.NoError(t, tl.Read(f))
		require.NoError(t, f.Close())
	}
	var out bytes.Buffer
	require.NoError(t, tl.Write(&out))
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

func TestTimelinesOfFailedRequests(t *testing.T) {
	tests := []struct {
		name, id string
		// want holds a substring of each line after the first.
		want []string
	}{
		{"refused", "a333767411a2a0a4", []string{"target=sidecar-atl-south-3", "target=local", "target=sidecar-atl-north-5", "request refused"}},
		{"timed out", "48fba5bb7d6354bd", []string{"reason=deadline", "status=504"}},
		{"unknown", "486739778508f567", []string{"sidecar-atl-west-3  backend server failed", "again=true", "sidecar-atl-north-3  backend server failed", "again=false", "status=502"}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			lines := linesOf(t, x.id)
			require.Contains(t, lines[0], x.id)
			require.Len(t, lines, len(x.want)+1)
			for i, want := range x.want {
				require.Contains(t, lines[i+1], want)
			}
		})
	}
}

func TestNestedCallsAreIncluded(t *testing.T) {
	tl := New("q1")
	require.NoError(t, tl.Read(strings.NewReader(strings.Join([]string{
		`no line`,
		`{"ts":"2026-07-21T00:00:02Z","node":"b","msg":"attempt failed","request":"q1.x"}`,
		`  12.5 b {"ts":"2026-07-21T00:00:01Z","node":"a","msg":"attempt failed","request":"q1"}`,
		`{"ts":"2026-07-21T00:00:03Z","node":"c","msg":"attempt failed","request":"q12"}`,
		`{"ts":"broken","node":"c","msg":"attempt failed","request":"q1"}`,
		`{"ts":"2026-07-21T00:00:03Z","node":"c","msg":"attempt`,
	}, "\n"))))
	require.Equal(t, 2, tl.Len())
	var out bytes.Buffer
	require.NoError(t, tl.Write(&out))
	require.Contains(t, out.String(), "1000.000 ms  b  attempt failed")
}
