// Package logging writes JSON logs asynchronously, with rate limits, so that a slow output
// never blocks the code that logs.
//
// # Model
//
// A Writer puts encoded lines into a bounded ring; one goroutine writes them to the output. A
// line that finds the ring full is dropped and counted. Each log message has a budget of lines
// per second, so that a frequent message does not crowd out the others; all messages share a
// budget of bytes per second. At most once a second, a summary line reports how many lines
// were dropped, by message. A stalled output costs log lines and nothing else.
//
// Warnings and errors are limited only by the ring and the byte budget.
//
// # Usage
//
//	log, err := logging.Open(os.Stdout, "info")
//	defer log.Close()
//	log.Info("node started")
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadaseam/cicadaseam/internal/base/ring"
)

const (
	// DefaultLinesPerSecond is the default budget of lines of each message.
	DefaultLinesPerSecond = 200
	// DefaultBytesPerSecond is the default budget of bytes of all lines.
	DefaultBytesPerSecond = 512 << 10
	// ringSize is the number of lines that may wait for the output.
	ringSize = 2048
	// budgetWindow is the interval after which the budgets are renewed.
	budgetWindow = time.Second
	// maxMessages bounds the messages with a budget of their own; the rest share the budget
	// of otherMessages.
	maxMessages   = 256
	otherMessages = "other"
	// closeTimeout bounds how long Close waits for a stalled output.
	closeTimeout = 200 * time.Millisecond
)

// Writer writes log lines within the budgets. It is safe for concurrent use.
type Writer struct {
	out            io.Writer
	ring           *ring.Ring
	linesPerSecond int
	bytesPerSecond int
	now            func() time.Time
	done           chan struct{}
	droppedTotal   atomic.Int64 // lines dropped since the start

	mu          sync.Mutex
	windowStart time.Time
	lineCounts  map[string]int // lines of the window, by message
	byteCount   int            // estimated bytes of the window
	dropCounts  map[string]int // lines dropped since the last summary, by message
}

// Option configures a new Writer.
type Option func(*Writer)

// WithLinesPerSecond sets the budget of lines of each message.
func WithLinesPerSecond(n int) Option { return func(w *Writer) { w.linesPerSecond = n } }

// WithBytesPerSecond sets the budget of bytes of all lines.
func WithBytesPerSecond(n int) Option { return func(w *Writer) { w.bytesPerSecond = n } }

// WithClock replaces the clock for tests.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// New returns a Writer to an output and starts its goroutine.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		out:            out,
		ring:           ring.New(ringSize, ring.Reject),
		linesPerSecond: DefaultLinesPerSecond,
		bytesPerSecond: DefaultBytesPerSecond,
		now:            time.Now,
		done:           make(chan struct{}),
		lineCounts:     map[string]int{},
		dropCounts:     map[string]int{},
	}
	for _, opt := range opts {
		opt(w)
	}
	w.windowStart = w.now()
	go w.writeLines()
	return w
}

// writeLines writes queued lines until the ring is closed. No other goroutine waits for the
// output.
func (w *Writer) writeLines() {
	defer close(w.done)
	for event := range w.ring.Events() {
		if _, err := w.out.Write(event.([]byte)); err != nil {
			w.droppedTotal.Add(1) // the error cannot be logged; only the metric shows it
		}
	}
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Close writes the queued lines and ends the goroutine, unless the output is stalled.
func (w *Writer) Close() {
	w.ring.Close()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// allow reports whether a line with a message is within the budgets, and counts it. Urgent
// lines are exempt from the budget of lines.
func (w *Writer) allow(message string, urgent bool, size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotateWindow()
	if _, known := w.lineCounts[message]; !known && len(w.lineCounts) >= maxMessages {
		message = otherMessages
	}
	if w.byteCount+size > w.bytesPerSecond || !urgent && w.lineCounts[message] >= w.linesPerSecond {
		w.countDrop(message)
		return false
	}
	w.lineCounts[message]++
	w.byteCount += size
	return true
}

// countDrop counts a dropped line. The caller holds w.mu.
func (w *Writer) countDrop(message string) {
	w.dropCounts[message]++
	w.droppedTotal.Add(1)
}

// rotateWindow starts a new window when the current one has ended, and logs what was dropped.
// The caller holds w.mu.
func (w *Writer) rotateWindow() {
	now := w.now()
	if now.Sub(w.windowStart) < budgetWindow {
		return
	}
	w.windowStart = now
	w.byteCount = 0
	clear(w.lineCounts)
	if len(w.dropCounts) == 0 {
		return
	}
	line := dropSummary(now, w.dropCounts)
	clear(w.dropCounts)
	w.ring.Push(line)
}

// dropSummary returns the line that reports dropped lines by message.
func dropSummary(now time.Time, dropped map[string]int) []byte {
	enc := newEncoder()
	fields := []zapcore.Field{zap.Any("dropped", dropped)}
	buf, err := enc.EncodeEntry(zapcore.Entry{Level: zapcore.WarnLevel, Time: now, Message: "log lines dropped"}, fields)
	if err != nil {
		return fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"error\":%q}\n", err)
	}
	defer buf.Free()
	return append([]byte(nil), buf.Bytes()...)
}

func newEncoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return zapcore.NewJSONEncoder(c)
}

// Error returns a field with the text of an error. It leaves out the stack traces that the
// errors carry, which would fill the log.
func Error(err error) zapcore.Field { return zap.String("error", err.Error()) }

// Core returns a zap core that writes entries at or above a level as JSON lines.
func (w *Writer) Core(level zapcore.LevelEnabler) zapcore.Core {
	return &core{LevelEnabler: level, writer: w, enc: newEncoder()}
}

// core is a zapcore.Core that encodes entries and queues them in a Writer.
type core struct {
	zapcore.LevelEnabler
	writer *Writer
	enc    zapcore.Encoder
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}
	return &core{LevelEnabler: c.LevelEnabler, writer: c.writer, enc: enc}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// estimatedLineSize is the size in bytes that the budget counts for each line, since it is
// checked before the line is encoded.
const estimatedLineSize = 300

// Write implements zapcore.Core. It checks the budgets first, so that dropped lines cost no
// encoding.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.writer.allow(e.Message, e.Level >= zapcore.WarnLevel, estimatedLineSize) {
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer buf.Free()
	if !c.writer.ring.Push(append([]byte(nil), buf.Bytes()...)) {
		c.writer.mu.Lock()
		c.writer.countDrop(e.Message)
		c.writer.mu.Unlock()
	}
	return nil
}

// Sync implements zapcore.Core. It does nothing: lines are written as they are logged.
func (c *core) Sync() error { return nil }
