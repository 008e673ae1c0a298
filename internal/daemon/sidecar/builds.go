package sidecar

import (
	"fmt"
	"regexp"
)

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

// commitPattern matches the builds that release.Commit returns. Other texts do not become names of
// metrics.
var commitPattern = regexp.MustCompile(`^[0-9a-f]{1,40}\+?$`)

// knownBuild returns a build, or unknownBuild if it is not the name of a commit.
func knownBuild(build string) string {
	if !commitPattern.MatchString(build) {
		return unknownBuild
	}
	return build
}
