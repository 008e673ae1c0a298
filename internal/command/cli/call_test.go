package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/command/args"
)

func TestInvalidRequestsAreUsageErrors(t *testing.T) {
	for _, tt := range []struct {
		name      string
		arguments []string
	}{
		{"method, one call", []string{"--method", "NO METHOD", "/x"}},
		{"method, many calls", []string{"--method", "NO METHOD", "--count", "3", "/x"}},
		{"node, many calls", []string{"--node", "::", "--count", "3", "/x"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Main(append([]string{"call", "--token", "t"}, tt.arguments...), &out, &errOut)
			require.Equal(t, args.Usage, code, errOut.String())
			require.NotEmpty(t, errOut.String())
		})
	}
}
