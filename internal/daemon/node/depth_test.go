package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
)

// setDownstream makes each backend server of a service call a path through its own node
// before it answers, as one service calls another.
func (f *fleet) setDownstream(service, path string) {
	for _, h := range f.hostsOf(service) {
		client := f.clientFrom(h.ip)
		f.cleanup = append(f.cleanup, client.CloseIdleConnections)
		h.backend.SetDownstream(func(ctx context.Context, r *http.Request) error {
			req, err := http.NewRequestWithContext(ctx, "GET", "http://"+h.ip+":8080"+path, nil)
			if err != nil {
				return err
			}
			req.Header.Set("Authorization", r.Header.Get("Authorization"))
			req.Header.Set(runner.HeaderDepth, r.Header.Get(runner.HeaderDepth))
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			if resp.StatusCode != http.StatusOK {
				return errors.Newf("downstream service answered %d", resp.StatusCode)
			}
			return nil
		})
	}
}

// Calls that a backend server makes while it serves a call are not retried, so that
// retries do not multiply with the depth of the call chain.
func TestInnerCallsAreNotRetried(t *testing.T) {
	withFleet(t, 9, 40, func(f *fleet) {
		f.setDownstream("status-portal", "/claims/list")
		f.setDownstream("claims-desk", "/flights/schedule")
		for _, h := range f.hostsOf("flight-records") {
			h.backend.SetFaults(backend.Faults{FailureRate: 0.5})
		}
		const calls = 300
		good := 0
		for i := range calls {
			if f.call(f.hosts[i%9], "GET", "/status/claim", "passenger").status == 200 {
				good++
			}
			time.Sleep(10 * time.Millisecond)
		}
		lastHop := int64(0)
		for _, h := range f.hostsOf("flight-records") {
			lastHop += h.backend.Stats().Runs
		}
		t.Logf("%d calls of depth 3, of which half fail at the last hop: %d requests reached it, %d calls succeeded", calls, lastHop, good)
		require.LessOrEqual(t, lastHop, int64(calls)*12/10+9*3, "at most 1.2 times the calls made, and the initial retries of each entry node")
	})
}

// In overload a class of high priority meets its objective, while a class of low priority
// is shed, which raises an alert in the burn report.
func TestStarvedClassShowsInTheBurnReport(t *testing.T) {
	withFleet(t, 3, 41, func(f *fleet) {
		portal := f.hostsOf("status-portal")[0]
		portal.backend.SetFaults(backend.Faults{ServiceTimeFactor: 50}) // 100 ms, 20 slots: 200 calls a second
		stopHigh := f.startLoad(150, func(i int) reply { return f.call(f.hosts[i%3], "GET", "/status/claim", "solicitor") })
		stopLow := f.startLoad(350, func(i int) reply { return f.call(f.hosts[i%3], "GET", "/status/claim", "passenger") })
		time.Sleep(20 * time.Second)
		high, low := successShare(stopHigh()), successShare(stopLow())
		report := f.hosts[1].node.BurnReport(context.Background())
		t.Logf("succeeded: solicitor %.1f%%, passenger %.1f%%; counts of %d nodes", 100*high, 100*low, report.Heard)
		require.GreaterOrEqual(t, high, 0.99, "the class of high priority is served when capacity is short")
		require.Less(t, low, 0.5)
		require.Equal(t, 3, report.Heard)
		require.Empty(t, report.Missing)
		var table strings.Builder
		require.NoError(t, report.WriteTable(&table))
		t.Log("\n" + table.String())
		for _, row := range report.Rows {
			if row.Key.Service != "status-portal" {
				continue
			}
			if row.Key.Class == "passenger" {
				require.Contains(t, row.Alerts, "page", table.String())
				require.Negative(t, row.BudgetLeft)
			}
			if row.Key.Class == "solicitor" {
				require.NotContains(t, row.Alerts, "page", table.String())
			}
		}
	})
}

// The burn report names the nodes that did not answer the query in time.
func TestBurnReportNamesMissingNodes(t *testing.T) {
	withFleet(t, 6, 42, func(f *fleet) {
		for _, h := range f.hosts[:5] {
			f.net.Partition(h.ip, f.hosts[5].ip)
		}
		began := time.Now()
		report := f.hosts[0].node.BurnReport(context.Background())
		require.Equal(t, []string{f.hosts[5].ip}, report.Missing)
		require.Equal(t, 5, report.Heard)
		require.LessOrEqual(t, time.Since(began), 3*time.Second)
		var page strings.Builder
		require.NoError(t, report.WriteHTML(&page))
		require.Contains(t, page.String(), fmt.Sprintf("Not heard: %s", f.hosts[5].ip))
	})
}

// successShare returns the share of replies with status 200.
func successShare(replies []reply) float64 {
	good := 0
	for _, r := range replies {
		if r.status == 200 {
			good++
		}
	}
	return float64(good) / float64(len(replies))
}
