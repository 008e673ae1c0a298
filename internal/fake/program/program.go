// Package program builds a program of this module for tests that start it in processes of its own.
//
// # Usage
//
//	var binary string
//
//	func TestMain(m *testing.M) { os.Exit(program.Main(m, "cicadasidecar", &binary)) }
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// module is the path of the commands of this module.
const module = "github.com/cicadaseam/cicadaseam/cmd/"

// failed is the exit code of tests whose program cannot be built.
const failed = 1

// Tests runs the tests of a package. *testing.M implements it.
type Tests interface{ Run() int }

// Main builds the command with a name in a temporary folder, sets binary to its path, runs the tests
// and returns their exit code.
func Main(tests Tests, name string, binary *string) int {
	dir, err := os.MkdirTemp("", name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(dir) }() // what remains is in the system's temporary folder
	*binary = filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", *binary, module+name).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
		return failed
	}
	return tests.Run()
}
