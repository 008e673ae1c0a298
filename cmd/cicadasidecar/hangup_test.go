package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/fake/program"
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(program.Main(m, "cicadasidecar", &binary)) }

// Guards against a SIGHUP that ends a process that has just started and still reads its settings.
func TestHangupDuringTheStartEndsNothing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(binary, file)
	require.NoError(t, cmd.Start())
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process has opened it too
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, settings.Close()) // settings without an entry are invalid
	_ = cmd.Wait()                       // the exit code shows how it ended
	require.Equal(t, 1, cmd.ProcessState.ExitCode(), "%s", cmd.ProcessState)
}
