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

// Series of the calls phase.
const (
	seriesThrough = iota
	seriesDirect
	seriesCount
	// directShare is the share of direct calls added to the rate.
	directShare = 0.2
)

// windowSeconds is the length of a window. Where the machine under the
// measurement stands still for a moment, one window shows it, and the median of
// windows tells what the others saw.
const windowSeconds = 2

// calls compares calls through nodes with calls to the same backend servers at
// the same time.
func (e *experiment) calls(ctx context.Context) error {
	client := load.NewClient()
	defer client.CloseIdleConnections()
	cfg := load.Config{Rate: int(float64(e.Rate) / (1 - directShare)), Duration: time.Second, Seed: e.Seed}
	if _, err := load.Run(ctx, cfg, client, seriesCount, e.nextCall); err != nil { // opens the connections
		return err
	}
	cfg.Duration = time.Duration(min(e.Seconds, windowSeconds)) * time.Second
	var w windows
	lost := procs.StealTime()
	began := time.Now()
	before, after, err := e.measure(ctx, func() error {
		for range max(1, e.Seconds/windowSeconds) {
			cfg.Seed++
			results, err := load.Run(ctx, cfg, client, seriesCount, e.nextCall)
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
	lostShare := 100 * (procs.StealTime() - lost).Seconds() / time.Since(began).Seconds()
	through, direct := w.whole[seriesThrough], w.whole[seriesDirect]
	cpu := mean(rates(before.CPUSeconds, after.CPUSeconds, 1)) * float64(len(before.CPUSeconds))
	return e.addAll(
		figure{"calls", float64(through.Calls), "calls"},
		figure{"good", float64(through.Succeeded), "calls"},
		figure{"direct p50", millis(direct, 50), "ms"},
		figure{"direct p99", millis(direct, 99), "ms"},
		figure{"added p50", millis(through, 50) - millis(direct, 50), "ms"},
		figure{"added p99", millis(through, 99) - millis(direct, 99), "ms"},
		figure{"added p99, median of windows of 2 s", median(w.added), "ms"},
		figure{"limit of a target after it, lowest", slices.Min(after.ConcurrencyLimits), "calls"},
		figure{"processor lost to other machines", lostShare, "% of a core"},
		figure{"processor for a call, all nodes", 1e6 * cpu / float64(through.Calls), "us"},
		figure{"memory, largest", largest(after.RSSBytes) / (1 << 20), "MB a node"},
	)
}

// windows are the results of a load in parts.
type windows struct {
	whole []load.Result
	added []float64 // added p99 of each, in ms
}

func (w *windows) add(results []load.Result) {
	w.added = append(w.added, millis(results[seriesThrough], 99)-millis(results[seriesDirect], 99))
	if w.whole == nil {
		w.whole = results
		return
	}
	for i, r := range results {
		w.whole[i].Latency.Merge(r.Latency)
		w.whole[i].Calls += r.Calls
		w.whole[i].Succeeded += r.Succeeded
	}
}

func millis(r load.Result, q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(q)) / float64(time.Millisecond)
}

// nextCall returns a call through a random node to a random service, or now
// and then one to a backend server itself.
func (e *experiment) nextCall(rng *rand.Rand) (*http.Request, int, error) {
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
	return req, seriesThrough, nil
}
