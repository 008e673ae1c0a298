// Package packtest compares the messages of this build with samples that earlier releases wrote.
//
// The samples of a release are in testdata/messages/RELEASE of the package that tests a message, one
// file each, in hexadecimal. They are never changed: a release that changes a message on purpose
// gets a directory of its own, and the test says what it still sends to earlier releases.
//
// # Usage
//
//	packtest.Check(t, "call", &cicadaseam.MeshCall{ID: "q"})
//
//	go test ./internal/daemon/sidecar -run Samples -write-samples RELEASE
package packtest

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// directory holds a directory for each release.
const directory = "testdata/messages"

var writeSamples = flag.String("write-samples", "", "write the samples of the release with this name instead of comparing them")

// Check checks that the samples of all releases decode to a message, and that its encoding is that
// of each release.
func Check(t *testing.T, name string, message any) {
	t.Helper()
	data, err := pack.Marshal(message)
	require.NoError(t, err)
	CheckEncoded(t, name, data, func(sample []byte) {
		decoded := reflect.New(reflect.TypeOf(message).Elem())
		require.NoError(t, pack.Unmarshal(sample, decoded.Interface()))
		require.Equal(t, message, decoded.Interface())
	})
}

// CheckEncoded is Check for a message that is encoded as data, whose samples are decoded and
// compared by decode.
func CheckEncoded(t *testing.T, name string, data []byte, decode func(sample []byte)) {
	t.Helper()
	if *writeSamples != "" {
		file := filepath.Join(directory, *writeSamples, name+".hex")
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(hex.EncodeToString(data)+"\n"), 0o600))
		return
	}
	files, err := filepath.Glob(filepath.Join(directory, "*", name+".hex"))
	require.NoError(t, err)
	require.NotEmpty(t, files, "no release has a sample of this message")
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		sample, err := hex.DecodeString(strings.TrimSpace(string(text)))
		require.NoError(t, err, file)
		require.Equal(t, sample, data, "releases with %s cannot read what this build sends", file)
		decode(sample)
	}
}
