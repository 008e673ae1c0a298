package sidecar

import "fmt"

// unknownBuild stands for the builds of nodes that do not tell theirs: those of earlier releases, and
// of programs that were built outside of a checkout.
const unknownBuild = "unknown"

// buildMetrics returns the number of live nodes by build, this one included, one per line. During
// an upgrade it shows how many nodes run which program.
func (n *Node) buildMetrics() []string {
	counts := map[string]int{knownBuild(n.build): 1}
	for _, p := range n.fleet.Peers() {
		counts[knownBuild(p.Heartbeat.Build)]++
	}
	var lines []string
	for build, count := range counts {
		lines = append(lines, fmt.Sprintf("builds.%s %d", build, count))
	}
	return lines
}

func knownBuild(commit string) string {
	if commit == "" {
		return unknownBuild
	}
	return commit
}
