package node_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/examples"
	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
)

const requiredKeys = "[node]\nname = n\nregion = r\ndeployment = d\nzone = z\n[log]\nurl = http://127.0.0.1:9000\n"

func load(t *testing.T, text string) (*node.Settings, error) {
	file := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return node.Load(file)
}

func TestSettingsErrors(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"nothing", "", "[node] name: required key is missing"},
		{"unknown key", requiredKeys + "[member]\nsedes = x\n", "[member] sedes: unknown key"},
		{"unknown section", requiredKeys + "[membre]\nseeds = x\n", "[membre] seeds: unknown key"},
		{"bad duration", requiredKeys + "[link]\nsilence = soon\n", `[link] silence: "soon" is not a duration`},
		{"out of range", requiredKeys + "[link]\nsilence = 1h\n", "[link] silence: 1h0m0s is outside 50ms to 1m0s"},
		{"bad level", requiredKeys + "[logging]\nlevel = loud\n", `[logging] level: "loud" is none of`},
		{"bad address", requiredKeys + "[listen]\ncalls = 8080\n", "[listen] calls: "},
		{"open operator address without a token", requiredKeys + "[listen]\noperator = 0.0.0.0:8082\n", "[operator] token: is required"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := load(t, tc.text)
			var bad *settings.Error
			require.ErrorAs(t, err, &bad)
			require.Contains(t, err.Error(), "node.ini: "+tc.want)
		})
	}
	_, err := load(t, requiredKeys+"[listen]\noperator = 0.0.0.0:8082\n[operator]\ntoken = secret\n")
	require.NoError(t, err)
}

func TestExampleSettingsLoad(t *testing.T) {
	for _, name := range []string{"peachtree.node.ini", "instituto.node.ini"} {
		data, err := examples.Files.ReadFile(name)
		require.NoError(t, err)
		s, err := load(t, string(data))
		require.NoError(t, err)
		require.NotEmpty(t, s.Locality.Zone)
	}
}

func TestPrintedExampleNamesEveryField(t *testing.T) {
	var s node.Settings
	var out bytes.Buffer
	require.NoError(t, settings.Example(&out, s.Fields()))
	for _, f := range s.Fields() {
		require.Contains(t, out.String(), "\n"+f.Key+" = ")
	}
}
