package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnknownSectionsAndKeysAreProblems(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		problems   []Problem
	}{
		{"known", "[retry]\nratio = 0.2\n", nil},
		{"unknown key", "[retry]\nration = 0.2\n", []Problem{{"retry", "ration", "unknown key"}}},
		{"unknown section with a key", "[retries]\nratio = 0.2\n", []Problem{{"retries", "ratio", "unknown key"}}},
		{"empty unknown section", "[retries]\n[retry]\n", []Problem{{"retries", "-", "unknown section"}}},
		{"empty known section", "[retry]\n", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var ratio float64
			err := LoadBytes("test.ini", []byte(tt.text), []Field{Float(&ratio, "retry", "ratio", 0.1, 0, 1, "", "")})
			if tt.problems == nil {
				require.NoError(t, err)
				return
			}
			var invalid *Error
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, tt.problems, invalid.Problems)
		})
	}
}
