// Package cli implements the command line of cicadaseam.
//
// # Usage
//
//	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit code is 0 when the command succeeded, 1 when it failed, and 2 when its arguments
// are invalid.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cicadaseam/cicadaseam/internal/command/args"
)

// commands holds the parsed subcommand; the other fields are nil.
type commands struct {
	Demo      *demoCommand      `arg:"subcommand:demo" help:"run an example deployment in one process and check the guarantees of the system"`
	Node      *nodeCommand      `arg:"subcommand:node" help:"run a node"`
	Sidecar   *sidecarCommand   `arg:"subcommand:sidecar" help:"run a mesh proxy beside a backend server of the platform"`
	Rollout   *rolloutCommand   `arg:"subcommand:rollout" help:"order a rollout on the platform, or show or abort one"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"show the timeline of one request from the logs of several nodes"`
	Losses    *lossesCommand    `arg:"subcommand:losses" help:"show from the logs of several nodes why requests were not served on time"`
	Logd      *logdCommand      `arg:"subcommand:logd" help:"run the test implementation of the shared log"`
	Backend   *backendCommand   `arg:"subcommand:backend" help:"run a test backend server"`
	Call      *callCommand      `arg:"subcommand:call" help:"make calls through a node"`
	Publish   *publishCommand   `arg:"subcommand:publish" help:"publish a change of the configuration"`
	Status    *statusCommand    `arg:"subcommand:status" help:"show the fleet as one node sees it"`
	Customers *customersCommand `arg:"subcommand:customers" help:"show the quotas of the customers and their use as one sidecar knows them"`
	Config    *configCommand    `arg:"subcommand:config" help:"show the effective settings of a scope and where each comes from"`
	Report    *reportCommand    `arg:"subcommand:report" help:"report the burn rates of the service-level objectives"`
	Version   *versionCommand   `arg:"subcommand:version" help:"show the commit of this program and the formats that it shares with other nodes"`
	Settings  *settingsCommand  `arg:"subcommand:settings" help:"print a commented example of the settings, or check a file"`
}

// Description implements arg.Described.
func (commands) Description() string {
	return "cicadaseam keeps a fleet of mesh proxies on one consistent, current configuration."
}

// Epilogue implements arg.Epilogued.
func (commands) Epilogue() string {
	return `examples:
  cicadaseam demo --deployment instituto --seconds 10
  cicadaseam logd --listen 127.0.0.1:9000
  cicadaseam node examples/peachtree.node.ini
  cicadaseam backend --service status-portal --node http://127.0.0.1:8081
  cicadaseam publish examples/peachtree.ini --wait
  cicadaseam call /status/claim --token passenger-token --count 100
  cicadaseam status
  cicadaseam config --zone atl-north --service status-portal --class passenger
  cicadaseam report --format html > burn.html
  cicadaseam settings > node.ini
  cicadaseam settings --sidecar --check node.ini
  cicadaseam sidecar node.ini
  cicadaseam rollout start desk v2 --duration 30s --store 10.200.1.7:8309
  cicadaseam customers 10.200.0.7:9100
  cicadaseam explain --id 9c41d07be2a35f68 node-1.log node-2.log
  cicadaseam losses node-1.log node-2.log
  cicadaseam version

exit codes: 0 done, 1 failed, 2 bad use`
}

// command is implemented by each subcommand.
type command interface {
	run(ctx context.Context, s streams) error
}

// streams are the outputs of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// usageError reports invalid arguments that the argument parser cannot detect.
type usageError struct {
	reason string
}

// Error implements error.
func (e *usageError) Error() string { return e.reason }

// Main runs the command line and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var c commands
	parser, code := args.Parse("cicadaseam", arguments, &c, out, errOut)
	if parser == nil {
		return code
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(errOut)
		return args.Usage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return exitCode(cmd.run(ctx, streams{out: out, err: errOut}), errOut)
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return args.Done
	}
	fmt.Fprintf(errOut, "cicadaseam: %v\n", err)
	if _, usage := err.(*usageError); usage {
		return args.Usage
	}
	return args.Failed
}
