package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/report/timeline"
)

type explainCommand struct {
	ID    string   `arg:"--id,required" help:"id of the request"`
	Files []string `arg:"positional,required" help:"log files of the nodes"`
}

func (c *explainCommand) run(_ context.Context, s streams) error {
	events := timeline.New(c.ID)
	for _, name := range c.Files {
		if err := readLog(name, events.Read); err != nil {
			return err
		}
	}
	if events.Len() == 0 {
		return errors.Newf("no log line about request %s in %d files; requests that succeed on the first attempt are not logged", c.ID, len(c.Files))
	}
	return events.Write(s.out)
}

// readLog passes a log file to a function that reads it.
func readLog(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log file")
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return errors.Wrap(read(f), fmt.Sprintf("read log file %s", name))
}
