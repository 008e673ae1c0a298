// Command cicadabench runs N nodes as plain processes on loopback, drives
// calls, changes and faults, and writes what it measured. It ends all that it
// started. See cicadabench --help.
package main

import (
	"os"

	"github.com/cicadaseam/cicadaseam/internal/command/benchcli"
)

func main() {
	os.Exit(benchcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
