package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestRateLimitFollowsTheNewestAnswer(t *testing.T) {
	type answer struct {
		sent, arrived time.Duration
		field         string
	}
	tests := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"named", []answer{{0, 1, "5"}}, 5},
		{"lowered by any answer", []answer{{0, 2, "5"}, {1, 3, "2"}}, 2},
		{"overtaken answer without a limit", []answer{{0, 3, "5"}, {1, 4, ""}}, 5},
		{"overtaken answer with a higher limit", []answer{{0, 3, "5"}, {1, 4, "9"}}, 5},
		{"raised", []answer{{0, 3, "5"}, {4, 5, "9"}}, 9},
		{"ended", []answer{{0, 3, "5"}, {4, 5, ""}}, 0},
		{"named again since the request was sent", []answer{{0, 3, "5"}, {3, 6, "5"}, {4, 7, ""}}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n Named
			for _, a := range tt.answers {
				_, err := n.Update(start.Add(a.arrived), Answer{SentAt: start.Add(a.sent), Field: a.field, Certain: true})
				require.NoError(t, err)
			}
			require.Equal(t, tt.want, n.PerSecond)
		})
	}
}

func TestRateLimitHeaderIsParsed(t *testing.T) {
	for v, want := range map[string]float64{"": 0, "11.2": 11.2, "1": 1, "0": minPerSecond, "0.01": minPerSecond} {
		got, err := parse(v)
		require.NoError(t, err, v)
		require.Equal(t, want, got, v)
	}
	for _, v := range []string{"-1", "NaN", "+Inf", "many", "5 per second", "1e999"} {
		_, err := parse(v)
		require.Error(t, err, v)
	}
}
