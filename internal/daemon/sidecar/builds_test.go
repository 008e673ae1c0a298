package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a heartbeat whose build adds lines to the metrics, or ever more names.
func TestOnlyCommitsBecomeNamesOfMetrics(t *testing.T) {
	for build, want := range map[string]string{
		"0c31ddb": "0c31ddb", "0c31ddb+": "0c31ddb+", "": unknownBuild, "v1": unknownBuild, "0c31ddb\npeers 0": unknownBuild, "0c31ddb 7": unknownBuild,
	} {
		require.Equal(t, want, knownBuild(build), build)
	}
}
