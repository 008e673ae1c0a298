package changefile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/examples"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

func TestExamplesAreValidTrees(t *testing.T) {
	for _, name := range []string{"peachtree.ini", "instituto.ini"} {
		data, err := examples.Files.ReadFile(name)
		require.NoError(t, err)
		f, err := Parse(name, data)
		require.NoError(t, err)
		next := tree.New().Apply(f.Change.Edits)
		require.Empty(t, next.Validate(), name)
		_, err = tree.NewTable(next, cicadaseam.Locality{Deployment: "lisboa", Zone: "oriente"}, 1)
		require.NoError(t, err)
	}
}

func TestParse(t *testing.T) {
	f, err := Parse("c.ini", []byte("[change]\nid = x\nbase = 4\n\n# why\n[scope:*/*/a]\ndeadline = 1s\ndelete = retries, max-body\n[-route:old]\n"))
	require.NoError(t, err)
	require.Equal(t, cicadaseam.Change{ID: "x", Base: 4, Edits: []cicadaseam.Edit{
		{Path: "scope:*/*/a", Key: "deadline", Value: "1s"},
		{Path: "scope:*/*/a", Key: "retries", Delete: true},
		{Path: "scope:*/*/a", Key: "max-body", Delete: true},
		{Path: "route:old", Delete: true},
	}}, f.Change)
	require.Equal(t, "c.ini:7", f.Location(cicadaseam.Fault{Path: "scope:*/*/a", Key: "deadline"}))
	require.Equal(t, "c.ini:6", f.Location(cicadaseam.Fault{Path: "scope:*/*/a"}))
	require.Equal(t, "c.ini:9", f.Location(cicadaseam.Fault{Path: "route:old"}))
}

func TestParseErrors(t *testing.T) {
	cases := map[string]string{
		"[scope:*]\nno value here\n": "c.ini:2: ",
		"deadline = 1s\n":            "c.ini:1: key deadline is before any section",
		"[change]\nbase = x\n":       "c.ini:2: base is not a version number",
		"[change]\nwho = me\n":       "c.ini:2: unknown key who in [change]",
		"[-route:r]\nprefix = /\n":   "c.ini:1: a section that deletes an object has no keys",
		"[change]\nid = x\n":         "c.ini:1: there is nothing to change",
	}
	for text, want := range cases {
		_, err := Parse("c.ini", []byte(text))
		var bad *ParseError
		require.ErrorAs(t, err, &bad, text)
		require.Contains(t, err.Error(), want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[change]\nid = x\n[scope:*]\ndeadline = 1s\n"))
	f.Add([]byte("[-route:old]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("c.ini", data)
		if err == nil {
			require.NotEmpty(t, file.Change.Edits)
		}
	})
}
