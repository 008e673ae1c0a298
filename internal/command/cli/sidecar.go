package cli

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/daemon/sidecar"
	"github.com/cicadaseam/cicadaseam/platform"
)

type sidecarCommand struct {
	Settings string `arg:"positional" help:"INI file with the settings; without it, the file that the platform names"`
}

// sidecarGCPercent is the garbage collection percentage (GOGC) of a sidecar.
const sidecarGCPercent = 200

func (c *sidecarCommand) run(ctx context.Context, s streams) error {
	debug.SetGCPercent(sidecarGCPercent)
	file := c.Settings
	if file == "" {
		file = platform.SettingsPath()
	}
	settings, err := sidecar.Load(file)
	if err != nil {
		return err
	}
	logs, err := openLog(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	defer logs.close()
	logger := logs.With(zap.String("node", settings.Name))
	meter := sidecar.NewMeter()
	store := platform.NewStore(settings.StoreAddr, meter.ObserveStoreCall)
	p := sidecar.Platform{
		Source:             store,
		Directory:          store,
		Headers:            platform.Headers(),
		NewRegistryHandler: func(r *sidecar.Registrar) http.Handler { return platform.NewRegistryHandler(r, logger) },
	}
	n, err := sidecar.New(*settings, p, sidecar.WithLogger(logger), sidecar.WithMeter(meter), sidecar.WithDroppedLines(logs.writer.Dropped))
	if err != nil {
		return err
	}
	go reloadOnHangup(ctx, n, file, logger, logs.level)
	return n.Run(ctx)
}

// reloadOnHangup loads the settings again on each SIGHUP. Invalid settings change nothing.
func reloadOnHangup(ctx context.Context, n *sidecar.Node, file string, logger *zap.Logger, level zap.AtomicLevel) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		settings, err := sidecar.Load(file)
		if err == nil {
			err = level.UnmarshalText([]byte(settings.LogLevel))
		}
		if err != nil {
			logger.Error("settings not reloaded, the previous ones stay in force", logging.Error(err))
			continue
		}
		n.Reload(*settings)
	}
}
