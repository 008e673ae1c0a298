package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/daemon/sidecar"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
)

type customersCommand struct {
	Address string        `arg:"positional,required" help:"metrics address of a sidecar"`
	JSON    bool          `arg:"--json" help:"write JSON"`
	Timeout time.Duration `arg:"--timeout" default:"5s" help:"timeout of the command"`
}

func (c *customersCommand) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	p, err := fetchCustomers(ctx, c.Address)
	if err != nil {
		return errors.Wrap(err, "customers")
	}
	if c.JSON {
		return writeJSON(s.out, p)
	}
	return printCustomers(s.out, p)
}

// fetchCustomers reads the page of a sidecar at its metrics address.
func fetchCustomers(ctx context.Context, address string) (*quota.Page, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+sidecar.CustomersPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %s", address, resp.Status)
	}
	p := &quota.Page{}
	return p, errors.Wrap(json.NewDecoder(resp.Body).Decode(p), "decode the page")
}

func printCustomers(out io.Writer, p *quota.Page) error {
	fmt.Fprintf(out, "seen by %s: %d known nodes, share of the rates %.3f, window %g s\n", p.Node, p.KnownNodes, p.Share, p.Window)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CUSTOMER\tRATE/S\tBURST\tUSE\tGRANTED\tOVER-QUOTA\tNO-OWNER\tNOT-RUN\tFLEET USE\tTOKENS\tOWNER")
	for i := range p.Customers {
		printUsage(tw, &p.Customers[i])
	}
	if p.Others > 0 {
		rest := p.Rest
		rest.Customer = fmt.Sprintf("(%d others)", p.Others)
		printUsage(tw, &rest)
	}
	return tw.Flush()
}

func printUsage(w io.Writer, u *quota.Usage) {
	fleetUse, tokens := "-", "-"
	if u.Owned != nil {
		fleetUse, tokens = fmt.Sprint(u.Owned.Use), fmt.Sprintf("%.1f", u.Owned.Tokens)
	}
	fmt.Fprintf(w, "%s\t%.6g\t%.6g\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", u.Customer, u.Rate, u.Burst, u.Use, u.Granted, u.OverQuota, u.NoOwner, u.NotRun, fleetUse, tokens, u.Owner)
}
