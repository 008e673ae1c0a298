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
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

type callCommand struct {
	Path     string        `arg:"positional,required" help:"path of the request"`
	Node     string        `arg:"--node" default:"http://127.0.0.1:8080" help:"URL of the address where a node takes calls"`
	Token    string        `arg:"--token,required" help:"the caller's bearer token"`
	Method   string        `arg:"--method" default:"GET" help:"HTTP method"`
	Body     string        `arg:"--body" help:"body, or @FILE"`
	Key      string        `arg:"--key" help:"Idempotency-Key, a version 7 UUID; new generates one for each call"`
	Count    int           `arg:"--count" default:"1" help:"number of calls"`
	Parallel int           `arg:"--parallel" default:"1" help:"number of calls in flight at once"`
	Timeout  time.Duration `arg:"--timeout" default:"10s" help:"timeout of each call"`
}

// callTotals counts the answers to many calls by status and outcome.
type callTotals struct {
	mu       sync.Mutex
	outcomes map[string]int // by status, outcome and reason
	latency  *hdr.Histogram // nanoseconds
	failed   int            // calls without an answer or with an error status
}

func (c *callCommand) run(ctx context.Context, s streams) error {
	if c.Count < 1 || c.Parallel < 1 {
		return &usageError{reason: "--count and --parallel must be at least 1"}
	}
	body, err := readBody(c.Body)
	if err != nil {
		return err
	}
	if _, err := c.newRequest(ctx, body); err != nil {
		return err
	}
	client := &http.Client{Timeout: c.Timeout, Transport: http1.CheckedTransport(&http.Transport{MaxIdleConnsPerHost: c.Parallel})}
	if c.Count == 1 {
		return c.callOnce(ctx, client, body, s.out)
	}
	return c.callMany(ctx, client, body, s.out)
}

// newRequest builds a request with the credential and the idempotency key of the flags.
func (c *callCommand) newRequest(ctx context.Context, body []byte) (*http.Request, error) {
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

// callOnce makes one call and prints the whole answer.
func (c *callCommand) callOnce(ctx context.Context, client *http.Client, body []byte, out io.Writer) error {
	req, err := c.newRequest(ctx, body)
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
		return errors.Wrap(err, "read the answer")
	}
	fmt.Fprintf(out, "status   %s\noutcome  %s %s\nversion  %s\n", resp.Status, resp.Header.Get(entry.HeaderOutcome), resp.Header.Get(entry.HeaderReason), resp.Header.Get(entry.HeaderVersion))
	if after := resp.Header.Get("Retry-After"); after != "" {
		fmt.Fprintf(out, "retry    after %s s\n", after)
	}
	fmt.Fprintf(out, "\n%s", answer)
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("the call was answered with status %s", resp.Status)
	}
	return nil
}

// callMany makes calls in parallel and prints counts and latencies.
func (c *callCommand) callMany(ctx context.Context, client *http.Client, body []byte, out io.Writer) error {
	totals := &callTotals{outcomes: map[string]int{}, latency: hdr.New(1, int64(time.Minute), 3)}
	jobs := make(chan struct{})
	var wg sync.WaitGroup
	for range c.Parallel {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range jobs {
				c.callAndCount(ctx, client, body, totals)
			}
		}()
	}
	for range c.Count {
		jobs <- struct{}{}
	}
	close(jobs)
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
		return errors.Newf("%d of %d calls got no answer or an error status", totals.failed, c.Count)
	}
	return nil
}

// callAndCount makes one call and adds its result to the totals.
func (c *callCommand) callAndCount(ctx context.Context, client *http.Client, body []byte, totals *callTotals) {
	start := time.Now()
	label := "no answer"
	var resp *http.Response
	req, err := c.newRequest(ctx, body)
	if err == nil {
		resp, err = client.Do(req)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // the body was read to its end
		label = fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get(entry.HeaderOutcome), resp.Header.Get(entry.HeaderReason))
	}
	totals.mu.Lock()
	defer totals.mu.Unlock()
	totals.outcomes[label]++
	_ = totals.latency.RecordValue(int64(time.Since(start))) // within the range of the histogram
	if err != nil || resp.StatusCode >= http.StatusBadRequest {
		totals.failed++
	}
}
