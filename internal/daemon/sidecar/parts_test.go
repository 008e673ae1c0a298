package sidecar

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/cicadaseam/cicadaseam/"

// collectImports adds a package and the packages of this module that it imports, directly
// or not, to seen.
func collectImports(t *testing.T, pkg string, seen map[string]bool) {
	if seen[pkg] {
		return
	}
	seen[pkg] = true
	files, err := filepath.Glob(filepath.Join("../../..", pkg, "*.go"))
	require.NoError(t, err)
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, x := range parsed.Imports {
			path, err := strconv.Unquote(x.Path.Value)
			require.NoError(t, err)
			if next, own := strings.CutPrefix(path, module); own {
				collectImports(t, next, seen)
			}
		}
	}
}

// The sidecar does not link what the platform makes unnecessary: the configuration tree,
// the push trees, the failure detector, the ledger, the full node and the test doubles. Of
// the packages in internal/call it uses only quarantine.
func TestUnneededPackagesAreNotLinked(t *testing.T) {
	seen := map[string]bool{}
	collectImports(t, "internal/daemon/sidecar", seen)
	require.True(t, seen["internal/mesh/dispatch"])
	for pkg := range seen {
		for _, prefix := range []string{"internal/config/", "internal/member/", "internal/call/", "internal/daemon/node", "internal/fake/", "internal/bench/"} {
			if pkg != "internal/call/quarantine" {
				require.False(t, strings.HasPrefix(pkg, prefix), pkg)
			}
		}
	}
}
