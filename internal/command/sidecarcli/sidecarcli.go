// Package sidecarcli implements the command line of cicadasidecar, and the command sidecar
// of cicadaseam.
//
// A sidecar runs beside each backend server, so the size of its program counts. This
// package links only what a sidecar needs.
//
// # Usage
//
//	os.Exit(sidecarcli.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit code is 0 when the process ended after a signal, 1 when it failed, and 2 when
// its arguments are invalid.
package sidecarcli

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/command/args"
	"github.com/cicadaseam/cicadaseam/internal/daemon/sidecar"
	"github.com/cicadaseam/cicadaseam/internal/mesh/epoch"
	"github.com/cicadaseam/cicadaseam/platform"
)

const (
	// sidecarGCPercent is the garbage collection percentage (GOGC) of a sidecar.
	sidecarGCPercent = 200
	// sidecarMemoryLimit is the soft memory limit (GOMEMLIMIT) of a sidecar in bytes. The smallest
	// nodes have 184 MB. A GOMEMLIMIT in the environment replaces it.
	sidecarMemoryLimit = 128 << 20
)

// Args are the arguments of a sidecar.
type Args struct {
	Settings string `arg:"positional" help:"INI file with the settings; without it, the file that the platform names"`
}

// Description implements arg.Described.
func (Args) Description() string {
	return "cicadasidecar runs a mesh proxy beside a backend server of the platform."
}

// Main runs a sidecar and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var a Args
	if parser, code := args.Parse("cicadasidecar", arguments, &a, out, errOut); parser == nil {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, a.Settings, out); err != nil {
		fmt.Fprintf(errOut, "cicadasidecar: %v\n", err)
		return args.Failed
	}
	return args.Done
}

// Run runs a sidecar with the settings of a file, or of the one that the platform names,
// until the context ends. It logs to out.
func Run(ctx context.Context, file string, out io.Writer) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // from the start on: an unhandled one ends the process
	debug.SetGCPercent(sidecarGCPercent)
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(sidecarMemoryLimit)
	}
	if file == "" {
		file = platform.SettingsPath()
	}
	settings, err := sidecar.Load(file)
	if err != nil {
		return err
	}
	log, err := logging.Open(out, settings.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close()
	logger := log.With(zap.String("node", settings.Name))
	meter := sidecar.NewMeter()
	epochs := epoch.New(rand.Float64)
	store := platform.NewStore(settings.StoreAddr, meter.ObserveStoreCall, platform.WithOnEpoch(sidecar.ObserveEpoch(epochs)))
	p := sidecar.Platform{
		Source:             store,
		Directory:          store,
		Rollouts:           store,
		Epochs:             epochs,
		Headers:            platform.Headers(),
		NewRegistryHandler: func(r *sidecar.Registrar) http.Handler { return platform.NewRegistryHandler(r, logger) },
	}
	n, err := sidecar.New(*settings, p, sidecar.WithLogger(logger), sidecar.WithMeter(meter), sidecar.WithDroppedLines(log.Dropped))
	if err != nil {
		return err
	}
	go reloadOnHangup(ctx, hangups, n, file, log, logger)
	return n.Run(ctx)
}

// reloadOnHangup loads the settings again on each signal. Invalid settings change nothing.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, n *sidecar.Node, file string, log *logging.Log, logger *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := sidecar.Load(file)
		if err == nil {
			err = log.Level.UnmarshalText([]byte(settings.LogLevel))
		}
		if err != nil {
			logger.Error("settings not reloaded, the previous ones stay in force", logging.Error(err))
			continue
		}
		n.Reload(*settings)
	}
}
