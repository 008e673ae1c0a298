package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/cicadaseam/cicadaseam/internal/call/entry"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
)

// Range, in nanoseconds, and precision of the latency histograms.
const (
	maxLatency        = int64(60 * time.Second)
	significantDigits = 3
)

// callRecord is a call and the outcome that its caller received.
type callRecord struct {
	token   string // unique to the call
	outcome string // "unknown" for a call without an answer
	write   bool   // the call must run at most once
}

// results collects what all callers observed.
type results struct {
	mu          sync.Mutex
	outcomes    map[string]map[string]int // by class, then outcome and reason
	throughNode *hdr.Histogram            // latency of idempotent calls through a node
	atMostOnce  *hdr.Histogram            // latency of calls that run at most once
	direct      *hdr.Histogram            // latency of calls to a backend server without a node
	calls       []callRecord
	violations  []string // of the guarantees of the system
}

func newResults() *results {
	return &results{
		outcomes:    map[string]map[string]int{},
		throughNode: hdr.New(1, maxLatency, significantDigits),
		atMostOnce:  hdr.New(1, maxLatency, significantDigits),
		direct:      hdr.New(1, maxLatency, significantDigits),
	}
}

// recordOutcome counts the outcome of a call under a label and keeps the call for verifyOutcomes.
func (r *results) recordOutcome(class, label string, call callRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes[class] == nil {
		r.outcomes[class] = map[string]int{}
	}
	r.outcomes[class][label]++
	r.calls = append(r.calls, call)
}

func (r *results) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *results) recordLatency(h *hdr.Histogram, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = h.RecordValue(int64(latency)) // within the range of the histogram
}

// callers makes calls at a fixed rate until its context ends.
type callers struct {
	deployment Deployment
	fleet      *fleet
	results    *results
	rate       int // calls per second
	client     *http.Client
}

const (
	// writeShare is the fraction of the calls of callers with a WritePath that run at most once.
	writeShare = 0.2
	// directShare is the fraction of all calls that go to a backend server directly.
	directShare         = 0.15
	maxIdleConnsPerHost = 64
	callTimeout         = 10 * time.Second
)

func newCallers(d Deployment, f *fleet, r *results, rate int) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	return &callers{deployment: d, fleet: f, results: r, rate: rate, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// run makes calls in an open loop, in which a slow answer delays no later call, and waits for all
// answers.
func (c *callers) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(7, 7))
	ticker := time.NewTicker(time.Second / time.Duration(c.rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m := c.fleet.members[rng.IntN(len(c.fleet.members))]
		caller := c.pickCaller(rng.Float64())
		write := caller.WritePath != "" && rng.Float64() < writeShare
		direct := rng.Float64() < directShare
		wg.Add(1)
		go func() {
			defer wg.Done()
			if direct {
				c.callDirect(m)
				return
			}
			c.call(m, caller, write)
		}()
	}
}

// pickCaller maps a random number from [0, 1) to a caller, by the traffic shares.
func (c *callers) pickCaller(x float64) Caller {
	for _, caller := range c.deployment.Callers {
		if x -= caller.TrafficShare; x < 0 {
			return caller
		}
	}
	return c.deployment.Callers[0]
}

// callDirect calls a backend server without a node, as the baseline for the added latency.
func (c *callers) callDirect(m *member) {
	if m.backend.Crashed() {
		return
	}
	start := time.Now()
	resp, err := c.client.Get("http://" + m.backend.Addr() + "/direct")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return
	}
	c.results.recordLatency(c.results.direct, time.Since(start))
}

// call makes one call through a node, records its outcome and checks the answer.
func (c *callers) call(m *member, caller Caller, write bool) {
	token := uuid.NewString()
	req, err := c.newRequest(m, caller, write, token)
	if err != nil {
		c.results.addViolation("cannot build a request: %v", err)
		return
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.results.recordOutcome(caller.Class, "no answer", callRecord{token: token, outcome: "unknown", write: write})
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	latency := time.Since(start)
	if err != nil {
		c.results.addViolation("an answer was truncated: %v", err)
		return
	}
	outcome := resp.Header.Get(entry.HeaderOutcome)
	label := outcome
	if reason := resp.Header.Get(entry.HeaderReason); reason != "" {
		label += " (" + reason + ")"
	}
	c.results.recordOutcome(caller.Class, label, callRecord{token: token, outcome: outcome, write: write})
	if resp.StatusCode != http.StatusOK {
		return
	}
	histogram := c.results.throughNode
	if write {
		histogram = c.results.atMostOnce
	}
	c.results.recordLatency(histogram, latency)
	c.checkEcho(body, token)
}

// newRequest builds a call that carries the token, and an idempotency key if it is a write.
func (c *callers) newRequest(m *member, caller Caller, write bool, token string) (*http.Request, error) {
	method, path, body := http.MethodGet, caller.ReadPath, []byte(nil)
	if write {
		method, path, body = http.MethodPost, caller.WritePath, []byte(`{"filing":"`+token+`"}`)
	}
	req, err := http.NewRequest(method, "http://"+m.node.Addrs().Calls+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+caller.Token)
	req.Header.Set(backend.HeaderToken, token)
	if write {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		req.Header.Set(entry.HeaderIdempotencyKey, key.String())
	}
	return req, nil
}

// checkEcho checks that an answer is complete and belongs to the call with this token.
func (c *callers) checkEcho(body []byte, token string) {
	var echo backend.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		c.results.addViolation("an answer is incomplete: %v", err)
		return
	}
	if echo.Token != token {
		c.results.addViolation("a caller received the answer to another call: token %s, want %s", echo.Token, token)
	}
}

// verifyOutcomes compares the outcomes that callers received with the runs at the backend servers.
func (c *callers) verifyOutcomes() {
	runCounts := c.fleet.runCounts()
	for _, call := range c.results.calls {
		n := runCounts[call.token]
		if call.outcome == "notrun" && n > 0 {
			c.results.addViolation("a call with outcome notrun ran %d times", n)
		}
		if call.write && n > 1 {
			c.results.addViolation("an at-most-once call ran %d times", n)
		}
		if call.outcome == "ran" && n == 0 {
			c.results.addViolation("a call with outcome ran did not run")
		}
	}
}
