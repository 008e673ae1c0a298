// Command cicadaseam runs and operates the nodes of a service mesh, which all act on one
// configuration. See cicadaseam --help.
package main

import (
	"os"

	"github.com/cicadaseam/cicadaseam/internal/command/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
