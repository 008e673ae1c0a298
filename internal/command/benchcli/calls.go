package benchcli

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/bench/load"
	"github.com/cicadaseam/cicadaseam/internal/bench/plan"
	"github.com/cicadaseam/cicadaseam/internal/bench/procs"
)

// Series of the calls phase, and the share of the direct one.
const (
	seriesThroughNode = iota
	seriesDirect
	seriesCount
	// directShare is the fraction of all calls that go to a backend server directly. They come
	// on top of the rate of the calls through nodes.
	directShare = 0.2
)

// windowSeconds is the length of a measurement window. If the machine stalls for a moment, only
// one window is affected, and the median over the windows shows the latency without the stall.
const windowSeconds = 2

// calls measures the latency that a node adds: it compares calls through nodes with direct calls
// to the same backend servers at the same time.
func (e *experiment) calls(ctx context.Context) error {
	client := load.NewClient()
	defer client.CloseIdleConnections()
	cfg := load.Config{Rate: int(float64(e.Rate) / (1 - directShare)), Duration: time.Second, Seed: e.Seed}
	if _, err := load.Run(ctx, cfg, client, seriesCount, e.nextRequest); err != nil { // warm-up: opens the connections
		return err
	}
	cfg.Duration = time.Duration(min(e.Seconds, windowSeconds)) * time.Second
	var w windows
	stealBefore := procs.StealTime()
	start := time.Now()
	before, after, err := e.measure(ctx, func() error {
		for range max(1, e.Seconds/windowSeconds) {
			cfg.Seed++
			results, err := load.Run(ctx, cfg, client, seriesCount, e.nextRequest)
			if err != nil {
				return err
			}
			w.add(results)
		}
		return nil
	})
	if err != nil {
		return err
	}
	stealPercent := 100 * (procs.StealTime() - stealBefore).Seconds() / time.Since(start).Seconds()
	throughNode, direct := w.total[seriesThroughNode], w.total[seriesDirect]
	cpuSeconds := mean(rates(before.CPUSeconds, after.CPUSeconds, 1)) * float64(len(before.CPUSeconds))
	return e.recordAll(
		measurement{"calls", float64(throughNode.Calls), "calls"},
		measurement{"good", float64(throughNode.Succeeded), "calls"},
		measurement{"direct p50", millis(direct, 50), "ms"},
		measurement{"direct p99", millis(direct, 99), "ms"},
		measurement{"added p50", millis(throughNode, 50) - millis(direct, 50), "ms"},
		measurement{"added p99", millis(throughNode, 99) - millis(direct, 99), "ms"},
		measurement{"added p99, median of windows of 2 s", median(w.addedP99), "ms"},
		measurement{"limit of a target after it, lowest", slices.Min(after.ConcurrencyLimits), "calls"},
		measurement{"processor lost to other machines", stealPercent, "% of a core"},
		measurement{"processor for a call, all nodes", 1e6 * cpuSeconds / float64(throughNode.Calls), "us"},
		measurement{"memory, largest", maxOf(after.RSSBytes) / (1 << 20), "MB a node"},
	)
}

// windows collects the results of a load that runs in windows.
type windows struct {
	total    []load.Result // by series, over all windows
	addedP99 []float64     // by window, in milliseconds
}

// add adds the results of one window, by series.
func (w *windows) add(results []load.Result) {
	w.addedP99 = append(w.addedP99, millis(results[seriesThroughNode], 99)-millis(results[seriesDirect], 99))
	if w.total == nil {
		w.total = results
		return
	}
	for i, r := range results {
		w.total[i].Latency.Merge(r.Latency)
		w.total[i].Calls += r.Calls
		w.total[i].Succeeded += r.Succeeded
	}
}

// millis returns a percentile of the latency in milliseconds.
func millis(r load.Result, percentile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(percentile)) / float64(time.Millisecond)
}

// nextRequest returns a request through a random node to a random service or, for directShare of
// the calls, a direct request to a random backend server.
func (e *experiment) nextRequest(rng *rand.Rand) (*http.Request, int, error) {
	n := e.fleet.Nodes[rng.IntN(len(e.fleet.Nodes))]
	if rng.Float64() < directShare {
		req, err := http.NewRequest(http.MethodGet, "http://"+n.Backend.Addr()+"/direct", nil)
		return req, seriesDirect, err
	}
	path := plan.Path(rng.IntN(min(plan.Services, e.Nodes)))
	req, err := http.NewRequest(http.MethodGet, n.CallURL+path, nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+plan.Token)
	return req, seriesThroughNode, nil
}
