package cli

import (
	"io"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
)

// daemonLog is the log of a daemon: JSON lines that are dropped, and counted, rather than
// block the daemon.
type daemonLog struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *logging.Writer
}

// openLog returns a log of the lines from a level up.
func openLog(out io.Writer, level string) (*daemonLog, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, &usageError{reason: err.Error()}
	}
	w := logging.New(out)
	return &daemonLog{Logger: zap.New(w.Core(l)), level: l, writer: w}, nil
}

// close writes the lines that are queued.
func (l *daemonLog) close() { l.writer.Close() }
