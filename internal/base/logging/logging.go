// Package logging writes decision logs without ever holding up who decides.
//
// # Model
//
// A Writer takes encoded lines into a bounded ring; one duty hands them to the
// output. A line that finds the ring full is dropped and counted. Each kind of
// line, told by its message, has a budget of lines a second, so that one kind in
// great number leaves room for the others; all together have a budget of bytes.
// Once a second what was dropped is written in a line of its own. A stalled output
// loses lines and nothing else.
//
// Warnings and errors are bounded by the ring and the bytes alone.
//
// # Usage
//
//	w := logging.New(os.Stdout)
//	defer w.Close()
//	logger := zap.New(w.Core(level))
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

// Defaults.
const (
	// DefaultLines is the budget of one kind of line, in lines a second.
	DefaultLinesPerSecond = 200
	// DefaultBytes is the budget of all lines, in bytes a second.
	DefaultBytesPerSecond = 512 << 10
	ringLines             = 2048
	window                = time.Second
	// maxKinds bounds the kinds that are counted; the rest share one budget.
	maxKinds  = 256
	otherKind = "other"
	// closeWait bounds how long Close waits for a stalled output.
	closeWait = 200 * time.Millisecond
)

// Writer bounds and writes lines. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	ring  *ring.Ring
	lines int
	bytes int
	now   func() time.Time
	done  chan struct{}
	lost  atomic.Int64 // all lines ever dropped

	mu      sync.Mutex
	began   time.Time
	kinds   map[string]int
	spent   int
	dropped map[string]int
}

// Option changes a new Writer.
type Option func(*Writer)

// WithLines sets the budget of one kind of line, in lines a second.
func WithLinesPerSecond(n int) Option { return func(w *Writer) { w.lines = n } }

// WithBytes sets the budget of all lines, in bytes a second.
func WithBytesPerSecond(n int) Option { return func(w *Writer) { w.bytes = n } }

// WithClock replaces the clock, for tests.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// New returns a writer to an output and starts its duty.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		out:     out,
		ring:    ring.New(ringLines, ring.Reject),
		lines:   DefaultLinesPerSecond,
		bytes:   DefaultBytesPerSecond,
		now:     time.Now,
		done:    make(chan struct{}),
		kinds:   map[string]int{},
		dropped: map[string]int{},
	}
	for _, opt := range opts {
		opt(w)
	}
	w.began = w.now()
	go w.run()
	return w
}

// run hands lines to the output. It alone waits for it.
func (w *Writer) run() {
	defer close(w.done)
	for event := range w.ring.Events() {
		if _, err := w.out.Write(event.([]byte)); err != nil {
			w.lost.Add(1) // nobody can be told but the metrics
		}
	}
}

// Lost returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.lost.Load() }

// Close writes what is queued and ends the duty, unless the output is stalled.
func (w *Writer) Close() {
	w.ring.Close()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// allow reports whether a line of a kind is within the budgets.
func (w *Writer) allow(kind string, urgent bool, size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll()
	if _, known := w.kinds[kind]; !known && len(w.kinds) >= maxKinds {
		kind = otherKind
	}
	if w.spent+size > w.bytes || !urgent && w.kinds[kind] >= w.lines {
		w.drop(kind)
		return false
	}
	w.kinds[kind]++
	w.spent += size
	return true
}

// drop counts a lost line. The lock is held.
func (w *Writer) drop(kind string) {
	w.dropped[kind]++
	w.lost.Add(1)
}

// roll begins a new window and tells what the last one dropped. The lock is held.
func (w *Writer) roll() {
	now := w.now()
	if now.Sub(w.began) < window {
		return
	}
	w.began = now
	w.spent = 0
	clear(w.kinds)
	if len(w.dropped) == 0 {
		return
	}
	line := summary(now, w.dropped)
	clear(w.dropped)
	w.ring.Push(line)
}

func summary(now time.Time, dropped map[string]int) []byte {
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

// Error returns the field of an error: its text alone, since the stacks that errors
// carry would fill the log.
func Error(err error) zapcore.Field { return zap.String("error", err.Error()) }

// Core returns the zap core that writes JSON lines of a level and above.
func (w *Writer) Core(level zapcore.LevelEnabler) zapcore.Core {
	return &core{LevelEnabler: level, writer: w, enc: newEncoder()}
}

// core encodes entries for a Writer.
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

// usualLine is the size that a line is taken to have before it is encoded.
const usualLine = 300

// Write implements zapcore.Core. The budget is asked first, so that a line that is
// dropped costs no encoding.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.writer.allow(e.Message, e.Level >= zapcore.WarnLevel, usualLine) {
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer buf.Free()
	if !c.writer.ring.Push(append([]byte(nil), buf.Bytes()...)) {
		c.writer.mu.Lock()
		c.writer.drop(e.Message)
		c.writer.mu.Unlock()
	}
	return nil
}

// Sync implements zapcore.Core. Lines are written as they come.
func (c *core) Sync() error { return nil }
