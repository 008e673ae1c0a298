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
	lines := logging.New(s.out)
	defer lines.Close()
	level := zap.NewAtomicLevel()
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return &usageError{reason: err.Error()}
	}
	logger := zap.New(lines.Core(level)).With(zap.String("node", settings.Name))
	meter := sidecar.NewMeter()
	store := platform.NewStore(settings.StoreAddr, meter.ObserveStoreCall)
	p := sidecar.Platform{
		Source:             store,
		Directory:          store,
		Headers:            platform.Headers(),
		NewRegistryHandler: func(to *sidecar.Registrar) http.Handler { return platform.NewRegistryHandler(to, logger) },
	}
	n, err := sidecar.New(*settings, p, sidecar.WithLogger(logger), sidecar.WithMeter(meter), sidecar.WithDroppedLines(lines.Dropped))
	if err != nil {
		return err
	}
	go reloads(ctx, n, file, logger, level)
	return n.Run(ctx)
}

// reloads takes the settings anew with each SIGHUP. Bad ones change nothing.
func reloads(ctx context.Context, n *sidecar.Node, file string, logger *zap.Logger, level zap.AtomicLevel) {
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
			logger.Error("settings not reloaded, the old ones hold", logging.Error(err))
			continue
		}
		n.Reload(*settings)
	}
}
