package release

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a build that names a commit from which it was not built.
func TestCommitOfBuild(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef"}
	require.Equal(t, "0123456", commitOf([]debug.BuildSetting{revision, {Key: "vcs.modified", Value: "false"}}))
	require.Equal(t, "0123456+", commitOf([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, revision}))
	require.Empty(t, commitOf([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}}))
}
