package main

import (
	"flag"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// oldBinary is the path of the program of an earlier release, or empty for this one.
var oldBinary = flag.String("old", "", "path of an older cicadaseam that is replaced by this one")

// Guards against releases whose nodes do not take calls, members or changes from each other: a fleet
// of an older program is replaced node by node, and then goes back, while callers call through the
// nodes that stay and changes are published by both programs.
func TestNodesAreReplacedOneByOne(t *testing.T) {
	old := binary
	if *oldBinary != "" {
		old = *oldBinary
	}
	_, firstLine := start(t, "logd", "--listen", "127.0.0.1:0")
	logURL := "http://" + regexp.MustCompile(`\S+$`).FindString(strings.TrimSpace(firstLine))
	var nodes []testNode
	for i := range 3 {
		n := newNode(t, i, logURL, "info")
		n.start(t, old, nil)
		nodes = append(nodes, n)
		eventually(t, "the backend address answers", func() bool {
			status, _ := get(n.backendURL+"/", "")
			return status > 0
		})
		start(t, "backend", "--service", "status-portal", "--node", n.backendURL, "--service-time", "20ms")
	}
	require.Contains(t, run(t, 0, "publish", "../../examples/peachtree.ini", "--wait", "--node", nodes[0].operatorURL), "at version 1 or past it")
	awaitServing(t, nodes)
	version := 1
	for _, program := range []string{binary, old} {
		for i := range nodes {
			callers := startCallers(append(append([]testNode(nil), nodes[:i]...), nodes[i+1:]...))
			require.NoError(t, nodes[i].cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, nodes[i].cmd.Wait(), nodes[i].logText())
			nodes[i].start(t, program, nil)
			awaitServing(t, nodes)
			version++
			out := run(t, 0, "publish", "../../examples/peachtree.ini", "--base", strconv.Itoa(version-1), "--wait", "--node", nodes[i].operatorURL)
			require.Contains(t, out, fmt.Sprintf("at version %d or past it", version))
			callers.stop(t)
		}
	}
	for _, n := range nodes {
		require.NotContains(t, run(t, 0, "status", "--node", n.operatorURL), "HALTED")
	}
}

// servingMember matches a live member whose backend server is ready, in the answer of /v1/fleet.
var servingMember = regexp.MustCompile(`"state":"alive","backend":\{[^}]*"state":"ready"`)

// awaitServing waits until all nodes know the backend servers of all and answer calls.
func awaitServing(t *testing.T, nodes []testNode) {
	eventually(t, "all nodes know all backend servers and serve", func() bool {
		for _, n := range nodes {
			_, fleet := get(n.operatorURL+"/v1/fleet", "")
			status, _ := get(n.callURL+"/status/claim", "passenger-token")
			if len(servingMember.FindAllString(fleet, -1)) != len(nodes) || status != 200 {
				return false
			}
		}
		return true
	})
}
