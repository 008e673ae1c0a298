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

// Defaults of the options, and limits of a Writer.
const (
	// DefaultAppendInterval is the least time between two appends to one shard. With 8
	// shards, it allows for at most 200 appends a second.
	DefaultAppendInterval = 42 * time.Millisecond
	// DefaultKeyLifetime is how long a key is accepted after it was made. The lifetime
	// must be well below the retention of the log.
	DefaultKeyLifetime = 12 * time.Hour
	// maxBatchOps bounds the operations in one record.
	maxBatchOps = 500
	// logTimeout bounds one append with the reads that follow it, and one catch-up.
	logTimeout = 700 * time.Millisecond
	// maxReadRecords bounds the records of one read from the log.
	maxReadRecords = 1000
	// queueCapacity bounds the queued operations of one shard.
	queueCapacity = 2048
)

// Result is the result of an operation. For a claim, it is zero when the attempt was
// voided before it won.
type Result struct {
	// Won is set when the attempt may start.
	Won bool `msgpack:"w"`
	// Expired is set when the key is too old to be accepted.
	Expired bool `msgpack:"e"`
	// Holder is the claim that holds the key. Unless Won is set, it is another attempt's.
	Holder *Claim `msgpack:"h,omitempty"`
}

// UnavailableError reports that the result of an operation was not learned. A claim may
// still reach the log, so its attempt must never start and is to be voided.
type UnavailableError struct {
	Shard  int
	Reason string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger shard %d: no verdict: %s", e.Shard, e.Reason)
}

// Counters counts the operations submitted to a writer, its appends to the log and reads
// from it, and the batches that failed.
type Counters struct {
	Ops     atomic.Int64
	Appends atomic.Int64
	Reads   atomic.Int64
	Errors  atomic.Int64
}

// Writer writes the shards for which operations are submitted to this node. It is safe for
// concurrent use.
type Writer struct {
	log            cicadaseam.Log
	appendInterval time.Duration
	keyLifetime    time.Duration
	logger         *zap.Logger
	counters       Counters

	mu     sync.Mutex
	queues [NumShards]chan request // nil until first used
	ctx    context.Context         // of Run; nil before it
	wg     sync.WaitGroup
}

// request is a submitted operation.
type request struct {
	op       Op
	response chan response
	ctx      context.Context // of the submitter
}

// response is the result of a request, or the error that prevented it.
type response struct {
	result Result
	err    error
}

// Option configures a new Writer.
type Option func(*Writer)

// WithAppendInterval sets the least time between two appends to one shard.
func WithAppendInterval(d time.Duration) Option { return func(w *Writer) { w.appendInterval = d } }

// WithKeyLifetime sets how long a key is accepted after it was made.
func WithKeyLifetime(d time.Duration) Option { return func(w *Writer) { w.keyLifetime = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(w *Writer) { w.logger = l } }

// NewWriter returns a writer. It refuses operations until Run is called.
func NewWriter(log cicadaseam.Log, opts ...Option) *Writer {
	w := &Writer{log: log, appendInterval: DefaultAppendInterval, keyLifetime: DefaultKeyLifetime, logger: zap.NewNop()}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Counters returns the counters of the writer.
func (w *Writer) Counters() *Counters { return &w.counters }

// Run accepts operations until the context ends, and then waits for the goroutines of the
// shards.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	<-ctx.Done()
	w.wg.Wait()
}

// Submit performs an operation and returns its result.
func (w *Writer) Submit(ctx context.Context, op Op) (Result, error) {
	w.counters.Ops.Add(1)
	return w.submit(ctx, op.Key.Shard(), op)
}

// KeepAlive appends a record to the stream of a shard that has records, so that the
// stream is never trimmed completely.
func (w *Writer) KeepAlive(ctx context.Context, shard int) error {
	_, err := w.submit(ctx, shard, Op{Kind: OpKeepAlive})
	return err
}

// submit queues an operation for a shard and waits for its result.
func (w *Writer) submit(ctx context.Context, shard int, op Op) (Result, error) {
	queue := w.queue(shard)
	if queue == nil {
		return Result{}, &UnavailableError{Shard: shard, Reason: "writer is not running"}
	}
	r := request{op: op, response: make(chan response, 1), ctx: ctx}
	select {
	case queue <- r:
	default:
		return Result{}, &UnavailableError{Shard: shard, Reason: "queue is full"}
	}
	select {
	case resp := <-r.response:
		return resp.result, resp.err
	case <-ctx.Done():
		return Result{}, &UnavailableError{Shard: shard, Reason: context.Cause(ctx).Error()}
	}
}

// queue returns the queue of a shard. Its first call for a shard starts the goroutine that
// writes the shard. It returns nil when the writer is not running.
func (w *Writer) queue(shard int) chan<- request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return nil
	}
	if w.queues[shard] == nil {
		w.queues[shard] = make(chan request, queueCapacity)
		sw := &shardWriter{writer: w, shard: shard, stream: fmt.Sprintf("%s%d", cicadaseam.StreamLedgerPrefix, shard), state: NewShard()}
		w.wg.Add(1)
		go sw.run(w.ctx, w.queues[shard])
	}
	return w.queues[shard]
}

// shardWriter reads and writes one shard at this node, in a goroutine of its own.
type shardWriter struct {
	writer     *Writer
	shard      int
	stream     string
	state      *Shard
	caughtUp   bool // the stream was read to its end since the last failed append
	lastAppend time.Time
}

func (sw *shardWriter) run(ctx context.Context, queue <-chan request) {
	defer sw.writer.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := sw.collect(ctx, first, queue)
			sw.process(ctx, batch)
		}
	}
}

// collect waits until appendInterval has passed since the last append, and returns the
// requests that arrived until then, at most maxBatchOps.
func (sw *shardWriter) collect(ctx context.Context, first request, queue <-chan request) []request {
	batch := []request{first}
	remaining := sw.writer.appendInterval - time.Since(sw.lastAppend)
	if remaining <= 0 {
		return sw.drainQueue(batch, queue)
	}
	wait := time.NewTimer(remaining)
	defer wait.Stop()
	for len(batch) < maxBatchOps {
		select {
		case r := <-queue:
			batch = append(batch, r)
		case <-wait.C:
			return sw.drainQueue(batch, queue)
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// drainQueue adds the queued requests to a batch, up to maxBatchOps, without waiting.
func (sw *shardWriter) drainQueue(batch []request, queue <-chan request) []request {
	for len(batch) < maxBatchOps {
		select {
		case r := <-queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// process responds to each request of a batch.
func (sw *shardWriter) process(ctx context.Context, batch []request) {
	if err := sw.catchUp(ctx); err != nil {
		sw.fail(batch, err)
		return
	}
	pending := sw.answerDecided(batch)
	if len(pending) == 0 {
		return
	}
	sw.lastAppend = time.Now()
	if err := sw.append(ctx, pending); err != nil {
		sw.caughtUp = false // the record may be in the stream although its append failed
		sw.fail(pending, err)
		return
	}
	for _, r := range pending {
		r.response <- response{result: sw.result(r.op)}
	}
}

// answerDecided responds to the requests whose result the stream already contains, and to
// those that were canceled while they were queued. It returns the rest, which are to be
// appended.
func (sw *shardWriter) answerDecided(batch []request) []request {
	var pending []request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.response <- response{err: &UnavailableError{Shard: sw.shard, Reason: "gave up in the queue"}}
			continue
		}
		if r.op.Kind == OpKeepAlive {
			pending = sw.addKeepAlive(pending, r)
			continue
		}
		if sw.decided(r.op) {
			r.response <- response{result: sw.result(r.op)}
			continue
		}
		pending = append(pending, r)
	}
	return pending
}

// decided reports whether the stream already contains the result of an operation. It does
// not for a key that expired after the last record: the operation is appended, and the
// bound in the new record decides for every reader that the key has expired.
func (sw *shardWriter) decided(op Op) bool {
	if sw.state.Expired(op.Key) {
		return true
	}
	if op.Key.Timestamp <= sw.expiry() {
		return false
	}
	return op.Kind == OpClaim && sw.state.Lookup(op.Key) != nil
}

// expiry returns the time, in Unix milliseconds, through which keys have expired by now.
func (sw *shardWriter) expiry() int64 { return time.Now().Add(-sw.writer.keyLifetime).UnixMilli() }

// addKeepAlive adds a keep-alive to the requests to append, unless the stream is empty.
func (sw *shardWriter) addKeepAlive(pending []request, r request) []request {
	if sw.state.LastOffset() == 0 {
		r.response <- response{}
		return pending
	}
	return append(pending, r)
}

// result returns the result of an operation that has been applied or decided.
func (sw *shardWriter) result(op Op) Result {
	if sw.state.Expired(op.Key) {
		return Result{Expired: true}
	}
	holder := sw.state.Lookup(op.Key)
	if op.Kind == OpVoid || holder == nil {
		return Result{}
	}
	return Result{Won: holder.AttemptID == op.AttemptID, Holder: holder}
}

// fail responds to all requests of a batch with an UnavailableError.
func (sw *shardWriter) fail(batch []request, err error) {
	sw.writer.counters.Errors.Add(1)
	sw.writer.logger.Warn("ledger batch failed", zap.Int("shard", sw.shard), zap.Int("ops", len(batch)), zap.Error(err))
	for _, r := range batch {
		r.response <- response{err: &UnavailableError{Shard: sw.shard, Reason: err.Error()}}
	}
}

// catchUp reads the stream to its end, unless that has been done since the last failed
// append.
func (sw *shardWriter) catchUp(ctx context.Context) error {
	if sw.caughtUp {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, next, err := sw.writer.log.Bounds(ctx, sw.stream)
	if err != nil {
		return err
	}
	if err := sw.readTo(ctx, next-1); err != nil {
		return err
	}
	sw.caughtUp = true
	return nil
}

// readTo reads and applies the records up to an offset.
func (sw *shardWriter) readTo(ctx context.Context, to cicadaseam.Offset) error {
	for sw.state.LastOffset() < to {
		sw.writer.counters.Reads.Add(1)
		records, err := sw.writer.log.Read(ctx, sw.stream, sw.state.LastOffset()+1, maxReadRecords, 0)
		var trimmed *cicadaseam.TrimmedError
		if errors.As(err, &trimmed) {
			sw.state.ResetTrimmed(trimmed.First, time.Now().Add(MaxClockSkew).UnixMilli())
			continue
		}
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return errors.Newf("stream ends at %d before %d", sw.state.LastOffset(), to)
		}
		for _, r := range records {
			if err := sw.state.Apply(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// append appends a batch and applies the stream up to its record. Records that other
// writers appended in between are applied first.
func (sw *shardWriter) append(ctx context.Context, batch []request) error {
	// The expiry bound counts toward MaxTimestamp, since it stands for the keys of a
	// trimmed part of the stream.
	b := &Batch{
		ExpiredThrough: sw.expiry(),
		MaxTimestamp:   max(sw.state.MaxTimestamp(), sw.state.ExpiredThrough()),
		ReadThrough:    sw.state.LastOffset(),
	}
	for _, r := range batch {
		b.Ops = append(b.Ops, r.op)
	}
	data, err := Encode(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	sw.writer.counters.Appends.Add(1)
	at, err := sw.writer.log.Append(ctx, sw.stream, data)
	if err != nil {
		return err
	}
	if at == sw.state.LastOffset()+1 {
		return sw.state.Apply(cicadaseam.Record{Offset: at, Data: data})
	}
	return sw.readTo(ctx, at)
}
