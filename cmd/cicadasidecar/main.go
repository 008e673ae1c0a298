// Command cicadasidecar runs a mesh proxy beside a backend server of the platform. It is the
// command sidecar of cicadaseam in a program of its own, which takes less memory. See
// cicadasidecar --help.
package main

import (
	"os"

	"github.com/cicadaseam/cicadaseam/internal/command/sidecarcli"
)

func main() {
	os.Exit(sidecarcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
