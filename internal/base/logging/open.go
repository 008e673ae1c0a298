package logging

import (
	"io"

	"go.uber.org/zap"
)

// Log is the log of a daemon.
type Log struct {
	*zap.Logger
	Level  zap.AtomicLevel
	writer *Writer
}

// Open returns a log of the lines from a level up.
func Open(out io.Writer, level string) (*Log, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	w := New(out)
	return &Log{Logger: zap.New(w.Core(l)), Level: l, writer: w}, nil
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 { return l.writer.Dropped() }

// Close writes the lines that are queued, unless the output is stalled.
func (l *Log) Close() { l.writer.Close() }
