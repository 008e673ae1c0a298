// Package load generates open-loop load and measures latency.
//
// # Model
//
// Calls are scheduled in advance at random intervals, independent of how long answers take, and
// the latency of a call counts from its scheduled start. This avoids coordinated omission: a stall
// shows in the latency of every call that was scheduled during it.
//
// # Usage
//
//	cfg := load.Config{Rate: 1000, Duration: 10 * time.Second, Seed: 1}
//	results, err := load.Run(ctx, cfg, load.NewClient(), 1, nextRequest)
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes a load.
type Config struct {
	Rate     int // mean calls per second
	Duration time.Duration
	Seed     uint64 // seed of the intervals and of RequestFunc
}

// RequestFunc returns the next request and the index of the series that it counts for. The series
// of a load are measured at the same time, so that drift in the speed of the machine affects
// them alike.
type RequestFunc func(rng *rand.Rand) (req *http.Request, series int, err error)

// Result holds the measurements of one series.
type Result struct {
	Latency      *hdr.Histogram // nanoseconds
	Calls        int
	Succeeded    int         // calls with status 200
	StatusCounts map[int]int // calls by HTTP status, 0 for calls without an answer
}

const (
	// maxLatency and significantDigits are the range, in nanoseconds, and the precision of the
	// histograms.
	maxLatency        = int64(time.Minute)
	significantDigits = 3
	// maxInFlight bounds the calls in flight.
	maxInFlight = 512
)

// job is a call and its scheduled start.
type job struct {
	scheduled time.Time
	req       *http.Request
	series    int
}

// Run makes the calls of a load, waits for all answers, and returns the results of each of
// seriesCount series. At most maxInFlight calls run at once; the others start late, which counts
// as latency.
func Run(ctx context.Context, cfg Config, client *http.Client, seriesCount int, nextRequest RequestFunc) ([]Result, error) {
	results := make([]Result, seriesCount)
	for i := range results {
		results[i] = Result{Latency: hdr.New(1, maxLatency, significantDigits), StatusCounts: map[int]int{}}
	}
	var mu sync.Mutex
	jobs := make(chan job, cfg.Rate)
	var wg sync.WaitGroup
	for range maxInFlight {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				status := send(client, j.req)
				latency := time.Since(j.scheduled)
				mu.Lock()
				results[j.series].record(status, latency)
				mu.Unlock()
			}
		}()
	}
	err := schedule(ctx, cfg, jobs, nextRequest)
	close(jobs)
	wg.Wait()
	return results, err
}

// record adds an answer; status 0 is a call without one.
func (r *Result) record(status int, latency time.Duration) {
	r.Calls++
	r.StatusCounts[status]++
	if status == http.StatusOK {
		r.Succeeded++
	}
	_ = r.Latency.RecordValue(int64(latency)) // within the range of the histogram
}

// schedule sends jobs at exponentially distributed random intervals with the configured mean rate,
// until the duration has passed or the context ends.
func schedule(ctx context.Context, cfg Config, jobs chan<- job, nextRequest RequestFunc) error {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	next := time.Now()
	end := next.Add(cfg.Duration)
	for next.Before(end) && ctx.Err() == nil {
		req, series, err := nextRequest(rng)
		if err != nil {
			return err
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		jobs <- job{scheduled: next, req: req, series: series}
		next = next.Add(time.Duration(rng.ExpFloat64() / float64(cfg.Rate) * float64(time.Second)))
	}
	return nil
}

// send makes a call, reads the body to its end, and returns the status, or 0 on an error.
func send(client *http.Client, req *http.Request) int {
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// NewClient returns a client that keeps many idle connections to each host.
func NewClient() *http.Client {
	const maxIdlePerHost = 256
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, MaxIdleConns: 16 * maxIdlePerHost}}
}
