package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
	"github.com/cicadaseam/cicadaseam/internal/report/lossreport"
)

type lossesCommand struct {
	Files []string `arg:"positional,required" help:"log files of the nodes"`
}

func (c *lossesCommand) run(_ context.Context, s streams) error {
	summary := lossreport.New()
	for _, name := range c.Files {
		if err := readLog(name, summary.Read); err != nil {
			return err
		}
	}
	if summary.Lines() == 0 {
		return errors.Newf("no line %q in %d files: all requests were served on time, or the files are not logs of nodes", losses.Message, len(c.Files))
	}
	return summary.Write(s.out)
}
