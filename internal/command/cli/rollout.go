package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
	"github.com/cicadaseam/cicadaseam/platform"
)

// rolloutCommand holds the parsed subcommand; the other fields are nil.
type rolloutCommand struct {
	Start  *rolloutStart  `arg:"subcommand:start" help:"order a rollout"`
	Status *rolloutStatus `arg:"subcommand:status" help:"show the orders and how far they are"`
	Abort  *rolloutAbort  `arg:"subcommand:abort" help:"roll a rollout back"`
}

func (c *rolloutCommand) run(ctx context.Context, s streams) error {
	switch {
	case c.Start != nil:
		return c.Start.run(ctx, s)
	case c.Status != nil:
		return c.Status.run(ctx, s)
	case c.Abort != nil:
		return c.Abort.run(ctx, s)
	}
	return &usageError{reason: "rollout needs one of start, status and abort"}
}

// rolloutTimeout bounds the calls of one command to the store.
const rolloutTimeout = 10 * time.Second

func openStore(addr string) *platform.Store {
	return platform.NewStore(addr, func(string, string) {})
}

type rolloutStart struct {
	Service  string        `arg:"positional,required" help:"service whose requests move"`
	Version  string        `arg:"positional,required" help:"version of the backend servers that take over"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time from the order to its deadline"`
	Store    string        `arg:"--store" help:"address of the platform's store; without it, the record is printed"`
}

func (c *rolloutStart) run(ctx context.Context, s streams) error {
	order := cicadaseam.RolloutOrder{Service: c.Service, Version: c.Version, Duration: c.Duration}
	if err := rollout.Validate(order); err != nil {
		return &usageError{reason: err.Error()}
	}
	return writeOrder(ctx, s.out, c.Store, order)
}

// writeOrder writes an order to the store at an address, or prints its record without one.
func writeOrder(ctx context.Context, out io.Writer, addr string, order cicadaseam.RolloutOrder) error {
	key, value, err := platform.EncodeOrder(order)
	if err != nil {
		return err
	}
	if addr != "" {
		ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
		defer cancel()
		if err := openStore(addr).WriteOrder(ctx, order); err != nil {
			return errors.Wrapf(err, "write %s", key)
		}
	}
	fmt.Fprintf(out, "%s %s\n", key, value)
	return nil
}

type rolloutStatus struct {
	Store string `arg:"--store,required" help:"address of the platform's store"`
}

func (c *rolloutStatus) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	store := openStore(c.Store)
	orders, err := newestOrders(ctx, store)
	if err != nil {
		return err
	}
	statuses, _, err := store.RolloutStatuses(ctx)
	if err != nil {
		return errors.Wrap(err, "read the statuses")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tDURATION\tSTATE\tSINCE")
	for _, o := range orders {
		state, since := "ordered", ""
		for _, x := range statuses {
			if x.Service == o.Service && x.Version == o.Version && (x.Duration == 0 || x.Duration == o.Duration) {
				state = x.State.String()
				if !x.Since.IsZero() {
					since = x.Since.UTC().Format(time.RFC3339)
				}
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", o.Service, o.Version, o.Duration, state, since)
	}
	return w.Flush()
}

// newestOrders returns the newest order of each service.
func newestOrders(ctx context.Context, store *platform.Store) ([]cicadaseam.RolloutOrder, error) {
	d, err := store.Newest(ctx)
	return d.Orders, errors.Wrap(err, "read the orders")
}

// noOrderError reports that a service has no rollout order.
type noOrderError struct{ service string }

// Error implements error.
func (e *noOrderError) Error() string { return "there is no rollout order for " + e.service }

type rolloutAbort struct {
	Service string `arg:"positional,required" help:"service whose rollout is rolled back"`
	Store   string `arg:"--store,required" help:"address of the platform's store"`
	Print   bool   `arg:"--print" help:"print the record and do not write it"`
}

func (c *rolloutAbort) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	orders, err := newestOrders(ctx, openStore(c.Store))
	if err != nil {
		return err
	}
	for _, o := range orders {
		if o.Service != c.Service {
			continue
		}
		o.Abort = true
		addr := c.Store
		if c.Print {
			addr = ""
		}
		return writeOrder(ctx, s.out, addr, o)
	}
	return &noOrderError{c.Service}
}
