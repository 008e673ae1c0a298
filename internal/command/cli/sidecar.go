package cli

import (
	"context"

	"github.com/cicadaseam/cicadaseam/internal/command/sidecarcli"
)

type sidecarCommand struct {
	sidecarcli.Args
}

func (c *sidecarCommand) run(ctx context.Context, s streams) error {
	return sidecarcli.Run(ctx, c.Settings, s.out)
}
