// Command cicadabench runs N nodes as processes on loopback, drives calls, configuration changes
// and faults, and writes the measurements. It ends all processes that it started. See
// cicadabench --help.
package main

import (
	"os"

	"github.com/cicadaseam/cicadaseam/internal/command/benchcli"
)

func main() {
	os.Exit(benchcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
