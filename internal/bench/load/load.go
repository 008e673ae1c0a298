// Package load drives calls in an open loop.
//
// # Model
//
// Calls begin at times that are fixed beforehand, however slow the answers
// are, and latency counts from the time at which a call was meant to begin.
// That corrects for coordinated omission: a stall is seen by every call that
// should have been made during it.
//
// # Usage
//
//	results, err := load.Run(ctx, load.Config{Rate: 1000, Length: 10 * time.Second, Seed: 1}, client, 1, target)
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

// Config is a load.
type Config struct {
	Rate     int // calls a second
	Duration time.Duration
	Seed     uint64
}

// Target returns the next request to make and the series that it counts for.
// Series of one load are measured at the same time, so that a machine whose
// speed drifts does not favour one of them.
type RequestFunc func(rng *rand.Rand) (req *http.Request, series int, err error)

// Result is what came of a load.
type Result struct {
	Latency      *hdr.Histogram // nanoseconds
	Calls        int
	Succeeded    int
	StatusCounts map[int]int
}

// Histogram range.
const (
	latencyMax    = int64(time.Minute)
	latencyDigits = 3
	workers       = 512
)

// job is one call and when it is to begin.
type job struct {
	at     time.Time
	req    *http.Request
	series int
}

// Run makes the calls of a number of series and waits for all answers.
func Run(ctx context.Context, cfg Config, client *http.Client, series int, target RequestFunc) ([]Result, error) {
	results := make([]Result, series)
	for i := range results {
		results[i] = Result{Latency: hdr.New(1, latencyMax, latencyDigits), StatusCounts: map[int]int{}}
	}
	var mu sync.Mutex
	jobs := make(chan job, cfg.Rate)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				status := do(client, j.req)
				took := time.Since(j.at)
				mu.Lock()
				results[j.series].add(status, took)
				mu.Unlock()
			}
		}()
	}
	err := schedule(ctx, cfg, jobs, target)
	close(jobs)
	wg.Wait()
	return results, err
}

func (r *Result) add(status int, took time.Duration) {
	r.Calls++
	r.StatusCounts[status]++
	if status == http.StatusOK {
		r.Succeeded++
	}
	_ = r.Latency.RecordValue(int64(took)) // within the range of the histogram
}

// schedule hands out jobs at random times with the mean rate.
func schedule(ctx context.Context, cfg Config, jobs chan<- job, target RequestFunc) error {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	next := time.Now()
	end := next.Add(cfg.Duration)
	for next.Before(end) && ctx.Err() == nil {
		req, series, err := target(rng)
		if err != nil {
			return err
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		jobs <- job{at: next, req: req, series: series}
		next = next.Add(time.Duration(rng.ExpFloat64() / float64(cfg.Rate) * float64(time.Second)))
	}
	return nil
}

func do(client *http.Client, req *http.Request) int {
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

// NewClient returns a client that keeps many connections.
func NewClient() *http.Client {
	const perHost = 256
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: perHost, MaxIdleConns: 16 * perHost}}
}
