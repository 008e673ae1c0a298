package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/report/timeline"
)

type explainCommand struct {
	ID    string   `arg:"--id,required" help:"id of the request"`
	Files []string `arg:"positional,required" help:"logs of the nodes"`
}

func (c *explainCommand) run(_ context.Context, s streams) error {
	found := timeline.New(c.ID)
	for _, name := range c.Files {
		if err := readInto(found, name); err != nil {
			return err
		}
	}
	if found.Len() == 0 {
		return errors.Newf("no line about request %s in %d files; requests that went well on the first try have none", c.ID, len(c.Files))
	}
	return found.Write(s.out)
}

func readInto(found *timeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	defer func() { _ = f.Close() }() // it was only read
	return errors.Wrap(found.Read(f), fmt.Sprintf("log %s", name))
}
