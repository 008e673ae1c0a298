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

// imports adds to seen the packages of this module that a package rests on.
func imports(t *testing.T, pkg string, seen map[string]bool) {
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
				imports(t, next, seen)
			}
		}
	}
}

// What the platform makes needless is no part of the sidecar: no tree of settings, no
// push trees, no detector, no ledger, nothing of the other node and no stand-in.
func TestNeedlessPartsAreNotLinked(t *testing.T) {
	seen := map[string]bool{}
	imports(t, "internal/daemon/sidecar", seen)
	require.True(t, seen["internal/mesh/dispatch"])
	for pkg := range seen {
		for _, part := range []string{"internal/config/", "internal/member/", "internal/call/", "internal/daemon/node", "internal/fake/", "internal/bench/"} {
			if pkg != "internal/call/quarantine" {
				require.False(t, strings.HasPrefix(pkg, part), pkg)
			}
		}
	}
}
