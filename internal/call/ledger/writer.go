package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// Defaults.
const (
	// DefaultInterval is the time between two appends of one shard. Eight
	// shards at this interval stay within 200 appends a second.
	DefaultAppendInterval = 42 * time.Millisecond
	// DefaultWindow is how long a key lives. It is to be well below the
	// retention of the log.
	DefaultKeyLifetime = 12 * time.Hour
	// maxOps bounds the operations in one record.
	maxOps        = 500
	appendTimeout = 700 * time.Millisecond
	readLimit     = 1000
	queueOps      = 2048
)

// Result is the verdict on a claim.
type Result struct {
	// Won is set when the attempt may start.
	Won bool `msgpack:"w"`
	// Expired is set when the key is too old to be taken.
	Expired bool `msgpack:"e"`
	// Holder is the claim that holds the key when another attempt won.
	Holder *Claim `msgpack:"h,omitempty"`
}

// UnavailableError reports that no verdict was learned. The claim may still
// land: the attempt must never start, and is to be voided.
type UnavailableError struct {
	Shard  int
	Reason string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger shard %d: no verdict: %s", e.Shard, e.Reason)
}

// Counters count what a writer did.
type Counters struct {
	Ops     atomic.Int64
	Appends atomic.Int64
	Reads   atomic.Int64
	Errors  atomic.Int64
}

// Writer writes the shards that this node is asked to write.
type Writer struct {
	log      cicadaseam.Log
	interval time.Duration
	window   time.Duration
	logger   *zap.Logger
	counts   Counters

	mu     sync.Mutex
	duties [Shards]chan request
	ctx    context.Context
	wg     sync.WaitGroup
}

type request struct {
	op   Op
	done chan answer
	ctx  context.Context
}

type answer struct {
	result Result
	err    error
}

// Option changes a new Writer.
type Option func(*Writer)

// WithInterval sets the time between two appends of one shard.
func WithAppendInterval(d time.Duration) Option { return func(w *Writer) { w.interval = d } }

// WithWindow sets how long a key lives.
func WithKeyLifetime(d time.Duration) Option { return func(w *Writer) { w.window = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(w *Writer) { w.logger = l } }

// NewWriter returns a writer. It does nothing before Run.
func NewWriter(log cicadaseam.Log, opts ...Option) *Writer {
	w := &Writer{log: log, interval: DefaultAppendInterval, window: DefaultKeyLifetime, logger: zap.NewNop()}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Counters returns the counters of the writer.
func (w *Writer) Counters() *Counters { return &w.counts }

// Run lets the writer work until the context ends, and waits for its duties.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	<-ctx.Done()
	w.wg.Wait()
}

// Submit asks for an operation and waits for its verdict.
func (w *Writer) Submit(ctx context.Context, op Op) (Result, error) {
	w.counts.Ops.Add(1)
	return w.submit(ctx, op.Key.Shard(), op)
}

// Keep keeps the stream of a shard from being trimmed whole.
func (w *Writer) Keep(ctx context.Context, shard int) error {
	_, err := w.submit(ctx, shard, Op{Kind: OpKeep})
	return err
}

func (w *Writer) submit(ctx context.Context, shard int, op Op) (Result, error) {
	queue := w.duty(shard)
	if queue == nil {
		return Result{}, &UnavailableError{Shard: shard, Reason: "writer is not running"}
	}
	r := request{op: op, done: make(chan answer, 1), ctx: ctx}
	select {
	case queue <- r:
	default:
		return Result{}, &UnavailableError{Shard: shard, Reason: "queue is full"}
	}
	select {
	case a := <-r.done:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, &UnavailableError{Shard: shard, Reason: context.Cause(ctx).Error()}
	}
}

// duty returns the queue of a shard and starts its duty at the first use.
func (w *Writer) duty(shard int) chan<- request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return nil
	}
	if w.duties[shard] == nil {
		w.duties[shard] = make(chan request, queueOps)
		d := &duty{w: w, shard: shard, stream: fmt.Sprintf("%s%d", cicadaseam.StreamLedgerPrefix, shard), state: NewShard()}
		w.wg.Add(1)
		go d.run(w.ctx, w.duties[shard])
	}
	return w.duties[shard]
}

// duty is the one goroutine that folds and writes a shard at this node.
type duty struct {
	w      *Writer
	shard  int
	stream string
	state  *Shard
	loaded bool
	last   time.Time
}

func (d *duty) run(ctx context.Context, queue <-chan request) {
	defer d.w.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := d.collect(ctx, first, queue)
			d.serve(ctx, batch)
		}
	}
}

// collect waits until the interval since the last append is over and takes all
// that came meanwhile.
func (d *duty) collect(ctx context.Context, first request, queue <-chan request) []request {
	batch := []request{first}
	left := d.w.interval - time.Since(d.last)
	if left <= 0 {
		return d.drainQueue(batch, queue)
	}
	wait := time.NewTimer(left)
	defer wait.Stop()
	for len(batch) < maxOps {
		select {
		case r := <-queue:
			batch = append(batch, r)
		case <-wait.C:
			return d.drainQueue(batch, queue)
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (d *duty) drainQueue(batch []request, queue <-chan request) []request {
	for len(batch) < maxOps {
		select {
		case r := <-queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// serve gives each request of a batch its verdict.
func (d *duty) serve(ctx context.Context, batch []request) {
	if err := d.load(ctx); err != nil {
		d.fail(batch, err)
		return
	}
	pending := d.answerKnown(batch)
	if len(pending) == 0 {
		return
	}
	d.last = time.Now()
	if err := d.append(ctx, pending); err != nil {
		d.loaded = false // the next batch reads first: the answer may be lost
		d.fail(pending, err)
		return
	}
	for _, r := range pending {
		r.done <- answer{result: d.verdict(r.op)}
	}
}

// answerKnown answers what the stream has already decided, and drops requests
// whose asker gave up before anything was written.
func (d *duty) answerKnown(batch []request) []request {
	var pending []request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.done <- answer{err: &UnavailableError{Shard: d.shard, Reason: "gave up in the queue"}}
			continue
		}
		if r.op.Kind == OpKeep {
			pending = d.keep(pending, r)
			continue
		}
		if d.decided(r.op) {
			r.done <- answer{result: d.verdict(r.op)}
			continue
		}
		pending = append(pending, r)
	}
	return pending
}

// decided reports whether the stream has given its verdict already. A key that
// has grown old since the last record is asked again: the floor of the new
// record is the verdict on it, for every reader.
func (d *duty) decided(op Op) bool {
	if d.state.Expired(op.Key) {
		return true
	}
	if op.Key.Stamp <= d.floor() {
		return false
	}
	return op.Kind == OpClaim && d.state.Lookup(op.Key) != nil
}

// floor is the time at or before which keys are too old by now.
func (d *duty) floor() int64 { return time.Now().Add(-d.w.window).UnixMilli() }

// keep appends only where there is something to keep.
func (d *duty) keep(pending []request, r request) []request {
	if d.state.Position() == 0 {
		r.done <- answer{}
		return pending
	}
	return append(pending, r)
}

func (d *duty) verdict(op Op) Result {
	if d.state.Expired(op.Key) {
		return Result{Expired: true}
	}
	holder := d.state.Lookup(op.Key)
	if op.Kind == OpVoid || holder == nil {
		return Result{}
	}
	return Result{Won: holder.AttemptID == op.AttemptID, Holder: holder}
}

func (d *duty) fail(batch []request, err error) {
	d.w.counts.Errors.Add(1)
	d.w.logger.Warn("ledger batch without a verdict", zap.Int("shard", d.shard), zap.Int("ops", len(batch)), zap.Error(err))
	for _, r := range batch {
		r.done <- answer{err: &UnavailableError{Shard: d.shard, Reason: err.Error()}}
	}
}

// load reads the stream to its end when this duty does not know it.
func (d *duty) load(ctx context.Context) error {
	if d.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, next, err := d.w.log.Bounds(ctx, d.stream)
	if err != nil {
		return err
	}
	if err := d.readTo(ctx, next-1); err != nil {
		return err
	}
	d.loaded = true
	return nil
}

// readTo folds records up to an offset.
func (d *duty) readTo(ctx context.Context, to cicadaseam.Offset) error {
	for d.state.Position() < to {
		d.w.counts.Reads.Add(1)
		records, err := d.w.log.Read(ctx, d.stream, d.state.Position()+1, readLimit, 0)
		var trimmed *cicadaseam.TrimmedError
		if errors.As(err, &trimmed) {
			d.state.Skip(trimmed.First, time.Now().Add(FutureAllowance).UnixMilli())
			continue
		}
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return errors.Newf("stream ends at %d before %d", d.state.Position(), to)
		}
		for _, r := range records {
			if err := d.state.Apply(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// append writes a batch and folds the stream up to its record, so that records
// of other writers in between count first.
func (d *duty) append(ctx context.Context, batch []request) error {
	b := &Batch{
		Floor: d.floor(),
		High:  max(d.state.High(), d.state.Floor()),
		Seen:  d.state.Position(),
	}
	for _, r := range batch {
		b.Ops = append(b.Ops, r.op)
	}
	data, err := Encode(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	d.w.counts.Appends.Add(1)
	at, err := d.w.log.Append(ctx, d.stream, data)
	if err != nil {
		return err
	}
	if at == d.state.Position()+1 {
		return d.state.Apply(cicadaseam.Record{Offset: at, Data: data})
	}
	return d.readTo(ctx, at)
}
