package cli

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/daemon/sidecar"
	"github.com/cicadaseam/cicadaseam/platform"
)

type sidecarCommand struct {
	Settings string `arg:"positional" help:"INI file with the settings; the platform names it when left out"`
}

// sidecarCollect is the headroom of the garbage collector, in percent.
const sidecarCollect = 200

func (c *sidecarCommand) run(ctx context.Context, s streams) error {
	debug.SetGCPercent(sidecarCollect)
	file := c.Settings
	if file == "" {
		file = platform.SettingsPath()
	}
	settings, err := sidecar.Load(file)
	if err != nil {
		return err
	}
	logger, err := newLogger(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	store := platform.NewStore(settings.Store, func(string, string) {})
	p := sidecar.Platform{
		Source:    store,
		Directory: store,
		Headers:   platform.Headers(),
		Registry:  func(to *sidecar.Instances) http.Handler { return platform.NewRegistry(to, logger) },
	}
	n, err := sidecar.New(*settings, p, sidecar.WithLogger(logger.With(zap.String("node", settings.Name))))
	if err != nil {
		return err
	}
	go reloads(ctx, n, file, logger)
	return n.Run(ctx)
}

// reloads takes the settings anew with each SIGHUP. Bad ones change nothing.
func reloads(ctx context.Context, n *sidecar.Node, file string, logger *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		settings, err := sidecar.Load(file)
		if err != nil {
			logger.Error("settings not reloaded, the old ones hold", zap.Error(err))
			continue
		}
		n.Reload(*settings)
	}
}
