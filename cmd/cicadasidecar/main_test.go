package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The parts that the platform makes unnecessary are not linked: each page of the program
// that is touched takes memory beside every backend server.
func TestNeedlessPartsAreNotLinked(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	const module = "github.com/cicadaseam/cicadaseam/internal/"
	for _, p := range strings.Fields(string(out)) {
		for _, needless := range []string{"daemon/node", "daemon/demo", "config/", "member/", "fake/", "bench/", "report/"} {
			require.False(t, strings.HasPrefix(p, module+needless), p)
		}
	}
	require.Contains(t, string(out), module+"daemon/sidecar")
}
