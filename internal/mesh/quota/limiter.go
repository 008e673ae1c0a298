package quota

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// Send sends a request to the node at an address and returns its answer. ended is set if the
// address refuses connections. Implementations are safe for concurrent use.
type Send func(ctx context.Context, addr string, r *Request) (answer Answer, ended bool, err error)

// Limiter decides on the requests that a node receives, and serves the requests of other nodes. It
// is safe for concurrent use.
type Limiter struct {
	send   Send
	logger *zap.Logger
	config Config
	limits func(customer string) (Limit, bool)
	now    func() time.Time

	mu   sync.Mutex
	node *Node
	// pending bounds the asks that no request waits for.
	pending chan struct{}
	logged  logBudget
}

// Option changes a new Limiter.
type Option func(*Limiter)

// WithConfig sets how strictly quotas bind. A Window of 0 stands for DefaultConfig.
func WithConfig(c Config) Option {
	return func(l *Limiter) {
		if c.Window > 0 {
			l.config = c
		}
	}
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(l *Limiter) { l.logger = logger } }

// maxPending bounds the unanswered asks that no request waits for.
const maxPending = 1024

// New returns the limiter of the node at addr, which has just started. limits returns the quota of
// a customer by the revision in force, and false if there is no such customer.
func New(addr, node string, limits func(customer string) (Limit, bool), send Send, opts ...Option) *Limiter {
	l := &Limiter{send: send, logger: zap.NewNop(), config: DefaultConfig, limits: limits, now: time.Now, pending: make(chan struct{}, maxPending)}
	for _, opt := range opts {
		opt(l)
	}
	l.node = NewNode(l.now(), addr, node, l.config, limits)
	return l
}

// Run applies the membership at each tick until the context ends.
func (l *Limiter) Run(ctx context.Context, ticks <-chan time.Time, membership func(now time.Time) Membership) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now := l.now()
		m := membership(now)
		l.mu.Lock()
		asks := l.node.Update(now, m)
		l.mu.Unlock()
		for _, ask := range asks {
			l.background(ask)
		}
	}
}

// Acquire takes a token for a request of a customer. It waits for the owner for a moment at most.
func (l *Limiter) Acquire(ctx context.Context, c *cicadaseam.Customer) Decision {
	if c == nil || c.Rate <= 0 {
		return Decision{OK: true}
	}
	limit := LimitOf(c)
	l.mu.Lock()
	step := l.node.Take(l.now(), limit)
	l.mu.Unlock()
	for !step.Decided {
		step = l.ask(ctx, step.Ask)
	}
	if step.Ask != nil {
		l.background(step.Ask)
	}
	if !step.Decision.OK {
		l.logRefusal(limit, step.Decision)
	}
	return step.Decision
}

// Return returns the token of a request that did not run.
func (l *Limiter) Return(c *cicadaseam.Customer, d Decision) {
	if c == nil || c.Rate <= 0 || !d.OK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Return(l.now(), LimitOf(c), d)
}

// Serve serves the request of another node.
func (l *Limiter) Serve(r *Request) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Serve(l.now(), r)
}

// Counts returns the counts since the start.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.counts
}

// result is the outcome of an ask.
type result struct {
	answer Answer
	ended  bool
	err    error
}

// ask sends an ask and returns what follows, after askTimeout at the latest.
func (l *Limiter) ask(ctx context.Context, ask *Ask) Step {
	// The answer is awaited even if the caller goes: it may carry a token.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	var r result
	r.answer, r.ended, r.err = l.send(ctx, ask.Addr, &ask.Request)
	return l.apply(ask, r)
}

func (l *Limiter) apply(ask *Ask, r result) Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.err == nil {
		return Step{Decided: true, Decision: l.node.Answered(l.now(), ask, r.answer)}
	}
	f := Unanswered
	if r.ended {
		f = Ended
	}
	return l.node.Failed(l.now(), ask, f)
}

// background sends an ask for which no request waits.
func (l *Limiter) background(ask *Ask) {
	select {
	case l.pending <- struct{}{}:
	default:
		l.apply(ask, result{err: context.DeadlineExceeded})
		return
	}
	go func() {
		defer func() { <-l.pending }()
		ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
		defer cancel()
		var r result
		r.answer, r.ended, r.err = l.send(ctx, ask.Addr, &ask.Request)
		l.apply(ask, r)
	}()
}

// logBudget bounds the log lines of a node.
type logBudget struct {
	second time.Time
	lines  int
}

const (
	// logPeriod is the least time between two lines about one customer, and maxLogLines the most
	// lines in a second.
	logPeriod   = 5 * time.Second
	maxLogLines = 10
)

// logRefusal logs a refusal, unless there were many lines recently.
func (l *Limiter) logRefusal(limit Limit, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a := l.node.accounts[limit.Name]
	if a == nil || now.Sub(a.loggedAt) < logPeriod {
		return
	}
	if now.Sub(l.logged.second) >= time.Second {
		l.logged = logBudget{second: now}
	}
	if l.logged.lines++; l.logged.lines > maxLogLines {
		return
	}
	a.loggedAt = now
	l.logger.Info("quota refused", zap.String("customer", limit.Name), zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.String("owner", l.node.view.Owner(now, a.hash)), zap.Duration("retry-after", d.RetryAfter), zap.Int("use", a.use.add(now, l.config.Window, 0)),
		zap.Int64("granted", a.granted), zap.Int64("over-quota", a.overQuota), zap.Int64("no-owner", a.noOwner), zap.Int("known", l.node.view.Known(now)))
}
