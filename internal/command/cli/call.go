package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/cicadaseam/cicadaseam/internal/call/entry"
)

type callCommand struct {
	Path     string        `arg:"positional,required" help:"path of the request"`
	Node     string        `arg:"--node" default:"http://127.0.0.1:8080" help:"URL of a node's address for callers"`
	Token    string        `arg:"--token,required" help:"the caller's bearer token"`
	Method   string        `arg:"--method" default:"GET" help:"HTTP method"`
	Body     string        `arg:"--body" help:"body, or @FILE"`
	Key      string        `arg:"--key" help:"Idempotency-Key, a UUID of version 7; new makes one for each call"`
	Count    int           `arg:"--count" default:"1" help:"number of calls"`
	Parallel int           `arg:"--parallel" default:"1" help:"calls at once"`
	Timeout  time.Duration `arg:"--timeout" default:"10s" help:"longest wait for an answer"`
}

// callTotals counts answers.
type callTotals struct {
	mu       sync.Mutex
	outcomes map[string]int
	latency  *hdr.Histogram
	failed   int
}

func (c *callCommand) run(ctx context.Context, s streams) error {
	if c.Count < 1 || c.Parallel < 1 {
		return &usageError{reason: "--count and --parallel are at least 1"}
	}
	body, err := readBody(c.Body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: c.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: c.Parallel}}
	if c.Count == 1 {
		return c.one(ctx, client, body, s.out)
	}
	return c.many(ctx, client, body, s.out)
}

func (c *callCommand) request(ctx context.Context, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.Node+c.Path, bytes.NewReader(body))
	if err != nil {
		return nil, &usageError{reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	key := c.Key
	if key == "new" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		key = id.String()
	}
	if key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	return req, nil
}

// one makes a call and shows its whole answer.
func (c *callCommand) one(ctx context.Context, client *http.Client, body []byte, out io.Writer) error {
	req, err := c.request(ctx, body)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	fmt.Fprintf(out, "status   %s\noutcome  %s %s\nversion  %s\n", resp.Status, resp.Header.Get(entry.HeaderOutcome), resp.Header.Get(entry.HeaderReason), resp.Header.Get(entry.HeaderVersion))
	if after := resp.Header.Get("Retry-After"); after != "" {
		fmt.Fprintf(out, "retry    after %s s\n", after)
	}
	fmt.Fprintf(out, "\n%s", answer)
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("the call was answered %s", resp.Status)
	}
	return nil
}

// many makes calls in parallel and shows counts and latencies.
func (c *callCommand) many(ctx context.Context, client *http.Client, body []byte, out io.Writer) error {
	totals := &callTotals{outcomes: map[string]int{}, latency: hdr.New(1, int64(time.Minute), 3)}
	work := make(chan struct{})
	var wg sync.WaitGroup
	for range c.Parallel {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range work {
				c.count(ctx, client, body, totals)
			}
		}()
	}
	for range c.Count {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	labels := make([]string, 0, len(totals.outcomes))
	for label := range totals.outcomes {
		labels = append(labels, label)
	}
	sort.Strings(labels)
	for _, label := range labels {
		fmt.Fprintf(out, "%6d  %s\n", totals.outcomes[label], label)
	}
	fmt.Fprintf(out, "latency p50 %s p99 %s max %s\n", time.Duration(totals.latency.ValueAtQuantile(50)), time.Duration(totals.latency.ValueAtQuantile(99)), time.Duration(totals.latency.Max()))
	if totals.failed > 0 {
		return errors.Newf("%d of %d calls were not answered by a backend server", totals.failed, c.Count)
	}
	return nil
}

func (c *callCommand) count(ctx context.Context, client *http.Client, body []byte, totals *callTotals) {
	req, err := c.request(ctx, body)
	if err != nil {
		return
	}
	began := time.Now()
	resp, err := client.Do(req)
	label := "no answer"
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // read to its end
		label = fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get(entry.HeaderOutcome), resp.Header.Get(entry.HeaderReason))
	}
	totals.mu.Lock()
	defer totals.mu.Unlock()
	totals.outcomes[label]++
	_ = totals.latency.RecordValue(int64(time.Since(began))) // within the range of the histogram
	if err != nil || resp.StatusCode >= http.StatusBadRequest {
		totals.failed++
	}
}
