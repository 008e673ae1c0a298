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

// Histogram range.
const (
	latencyMax    = int64(60 * time.Second)
	latencyDigits = 3
)

// sent is what a caller was told about one call.
type sent struct {
	token   string
	outcome string
	write   bool
}

// tally is what all callers saw.
type tally struct {
	mu       sync.Mutex
	outcomes map[string]map[string]int // class, then outcome or reason
	through  *hdr.Histogram            // repeatable calls
	once     *hdr.Histogram            // calls that run at most once
	direct   *hdr.Histogram
	sent     []sent
	broken   []string
}

func newTally() *tally {
	return &tally{
		outcomes: map[string]map[string]int{},
		through:  hdr.New(1, latencyMax, latencyDigits),
		once:     hdr.New(1, latencyMax, latencyDigits),
		direct:   hdr.New(1, latencyMax, latencyDigits),
	}
}

func (t *tally) note(class, outcome string, s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcomes[class] == nil {
		t.outcomes[class] = map[string]int{}
	}
	t.outcomes[class][outcome]++
	t.sent = append(t.sent, s)
}

func (t *tally) broke(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
}

func (t *tally) record(h *hdr.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = h.RecordValue(int64(d)) // within the range of the histogram
}

// callers make calls at a rate until their context ends.
type callers struct {
	deployment Deployment
	fleet      *fleet
	tally      *tally
	rate       int // calls a second
	client     *http.Client
}

const (
	writeShare  = 0.2
	directShare = 0.15
	idleConns   = 64
	callTimeout = 10 * time.Second
)

func newCallers(d Deployment, f *fleet, t *tally, rate int) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &callers{deployment: d, fleet: f, tally: t, rate: rate, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// run sends calls in an open loop: a slow answer delays no later call.
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

func (c *callers) pickCaller(x float64) Caller {
	for _, caller := range c.deployment.Callers {
		if x -= caller.TrafficShare; x < 0 {
			return caller
		}
	}
	return c.deployment.Callers[0]
}

// callDirect calls a backend server without any node, as the yardstick.
func (c *callers) callDirect(m *member) {
	if m.backend.Crashed() {
		return
	}
	began := time.Now()
	resp, err := c.client.Get("http://" + m.backend.Addr() + "/direct")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return
	}
	c.tally.record(c.tally.direct, time.Since(began))
}

// call makes one call through a node and checks the answer.
func (c *callers) call(m *member, caller Caller, write bool) {
	token := uuid.NewString()
	req, err := c.request(m, caller, write, token)
	if err != nil {
		c.tally.broke("request not built: %v", err)
		return
	}
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.tally.note(caller.Class, "no answer", sent{token: token, outcome: "unknown", write: write})
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	took := time.Since(began)
	if err != nil {
		c.tally.broke("an answer was cut: %v", err)
		return
	}
	outcome := resp.Header.Get(entry.HeaderOutcome)
	label := outcome
	if reason := resp.Header.Get(entry.HeaderReason); reason != "" {
		label += " (" + reason + ")"
	}
	c.tally.note(caller.Class, label, sent{token: token, outcome: outcome, write: write})
	if resp.StatusCode != http.StatusOK {
		return
	}
	histogram := c.tally.through
	if write {
		histogram = c.tally.once
	}
	c.tally.record(histogram, took)
	c.check(body, token)
}

func (c *callers) request(m *member, caller Caller, write bool, token string) (*http.Request, error) {
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

// check finds an answer that belongs to another call.
func (c *callers) check(body []byte, token string) {
	var e backend.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		c.tally.broke("an answer is not whole: %v", err)
		return
	}
	if e.Token != token {
		c.tally.broke("a caller got the answer to another call: token %s, not %s", e.Token, token)
	}
}

// verify compares what callers were told with what ran.
func (c *callers) verify() {
	runs := c.fleet.runs()
	for _, s := range c.tally.sent {
		n := runs[s.token]
		if s.outcome == "notrun" && n > 0 {
			c.tally.broke("a call said notrun ran %d times", n)
		}
		if s.write && n > 1 {
			c.tally.broke("a call that runs at most once ran %d times", n)
		}
		if s.outcome == "ran" && n == 0 {
			c.tally.broke("a call said ran did not run")
		}
	}
}
