package burn

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBurnRatesAndAlerts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRecorder()
	record := func(at time.Time, good, bad int) {
		for range good {
			r.Record(at, "portal", "low", true)
		}
		for range bad {
			r.Record(at, "portal", "low", false)
		}
	}
	record(now.Add(-2*time.Hour), 10000, 0) // only in the long windows
	record(now.Add(-20*time.Minute), 900, 100)
	record(now.Add(-time.Minute), 80, 20)
	objective := func(Key) Objective { return Objective{Share: 0.99, Window: 720 * time.Hour} }
	report := NewReport(now, r.Counts(now), objective)
	row := report.Rows[0]
	require.InDelta(t, 20, row.Burn[0], 0.01, "5m: 20 of 100 bad, 1 of 100 allowed")
	require.InDelta(t, 100*120.0/1100, row.Burn[1], 0.01, "30m")
	require.InDelta(t, 100*120.0/1100, row.Burn[2], 0.01, "1h")
	require.InDelta(t, 100*120.0/11100, row.Burn[3], 0.01, "6h")
	require.InDelta(t, 1-100*120.0/11100, row.BudgetLeft, 0.01)
	require.Equal(t, []string{"ticket"}, row.Alerts, "the burn rate over an hour is below 14.4")
	record(now, 0, 200)
	row = NewReport(now, r.Counts(now), objective).Rows[0]
	require.Contains(t, row.Alerts, "page")
	// Almost an hour later the short window has no bad calls, so nothing pages.
	later := now.Add(59 * time.Minute)
	record(later, 100, 0)
	row = NewReport(later, r.Counts(later), objective).Rows[0]
	require.NotContains(t, row.Alerts, "page")
}

func TestOldCountsExpire(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRecorder()
	r.Record(now, "a", "b", false)
	for _, after := range []time.Duration{0, 6 * time.Minute, 40 * time.Minute, 2 * time.Hour, 7 * time.Hour, 80 * time.Hour} {
		counts := r.Counts(now.Add(after))[0]
		for i, w := range Windows {
			want := int64(1)
			if after >= w {
				want = 0
			}
			require.Equal(t, want, counts.Windows[i].Bad, "window %s after %s", w, after)
		}
	}
}

func TestMerge(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a, b := NewRecorder(), NewRecorder()
	a.Record(now, "s", "x", true)
	b.Record(now, "s", "x", false)
	b.Record(now, "s", "y", false)
	merged := Merge(a.Counts(now), b.Counts(now))
	require.Len(t, merged, 2)
	require.Equal(t, Count{Good: 1, Bad: 1}, merged[0].Windows[0])
	var page strings.Builder
	report := NewReport(now, merged, func(Key) Objective { return Objective{Share: 0.9} })
	require.NoError(t, report.WriteHTML(&page))
	require.NotContains(t, page.String(), "http://", "the page is self-contained")
	require.NoError(t, report.WriteJSON(&page))
}
