package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/config/changefile"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/daemon/api"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/daemon/sidecar"
)

// operatorFlags are the flags of commands that use a node's operator address.
type operatorFlags struct {
	Node  string `arg:"--node" default:"http://127.0.0.1:8082" help:"URL of a node's operator address"`
	Token string `arg:"--token,env:CICADASEAM_TOKEN" help:"bearer token of the operator API"`
}

func (o operatorFlags) client() *api.Client { return api.New(o.Node, o.Token) }

type publishCommand struct {
	operatorFlags
	File    string        `arg:"positional,required" help:"INI file with the change"`
	ID      string        `arg:"--id" help:"id of the change; publishing the same id again returns the same verdict"`
	Base    uint64        `arg:"--base" help:"version that the change is based on; by default the base in the file, or else the node's current version"`
	Wait    bool          `arg:"--wait" help:"wait until all nodes have the version and show the progress"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"timeout of the command"`
}

// verdictError reports a change that was not accepted.
type verdictError struct {
	verdict cicadaseam.Verdict
}

// Error implements error.
func (e *verdictError) Error() string {
	if e.verdict == cicadaseam.VerdictUnknown {
		return "the verdict is unknown: publish again with the same id to learn it"
	}
	return "the change was not accepted: " + e.verdict.String()
}

func (c *publishCommand) run(ctx context.Context, s streams) error {
	f, err := changefile.Load(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := c.client()
	if err := c.fillDefaults(ctx, client, f); err != nil {
		return err
	}
	d, err := client.Publish(ctx, f.Change)
	if err != nil {
		return errors.Wrapf(err, "publish change %s (retry with --id %s)", f.Change.ID, f.Change.ID)
	}
	fmt.Fprintf(s.out, "id       %s\nversion  %d\nverdict  %s\n", d.ID, d.Version, d.Verdict)
	for _, fault := range d.Faults {
		fmt.Fprintf(s.out, "  %s: %s\n", f.Location(fault), fault)
	}
	if d.Verdict != cicadaseam.VerdictAccepted {
		return &verdictError{verdict: d.Verdict}
	}
	if !c.Wait {
		return nil
	}
	return waitForVersion(ctx, client, s.out, d.Version)
}

// fillDefaults sets the id and the base version from the flags, or to defaults where neither
// the flags nor the file give them.
func (c *publishCommand) fillDefaults(ctx context.Context, client *api.Client, f *changefile.File) error {
	if c.ID != "" {
		f.Change.ID = c.ID
	}
	if f.Change.ID == "" {
		f.Change.ID = uuid.NewString()
	}
	if c.Base > 0 {
		f.Change.Base = cicadaseam.Offset(c.Base)
		return nil
	}
	if f.HasBase {
		return nil
	}
	t, err := client.Tree(ctx)
	f.Change.Base = t.Version
	return errors.Wrap(err, "read the current version")
}

// waitForVersion prints how many nodes have reached a version, until all have or the context
// ends.
func waitForVersion(ctx context.Context, client *api.Client, out io.Writer, version cicadaseam.Offset) error {
	const pollInterval = 500 * time.Millisecond
	lastLine := ""
	for {
		p, err := client.Progress(ctx, version)
		if err != nil {
			return errors.Wrap(err, "wait for all nodes")
		}
		if line := fmt.Sprintf("%d of %d nodes are at version %d or past it", p.Reached, p.Total, version); line != lastLine {
			fmt.Fprintln(out, line)
			lastLine = line
		}
		if p.Reached == p.Total {
			return nil
		}
		if !wait.Sleep(ctx, pollInterval) {
			return errors.Newf("%d of %d nodes did not reach version %d in time: %s", p.Total-p.Reached, p.Total, version, strings.Join(p.Behind, ", "))
		}
	}
}

type statusCommand struct {
	operatorFlags
	JSON bool `arg:"--json" help:"write JSON"`
}

func (c *statusCommand) run(ctx context.Context, s streams) error {
	f, err := c.client().Fleet(ctx)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	if c.JSON {
		return writeJSON(s.out, f)
	}
	ready := "ready"
	if !f.Ready {
		ready = "NOT READY"
	}
	response := "no response of the log yet"
	if f.LogAgeSeconds >= 0 {
		response = fmt.Sprintf("last response of the log %.1f s ago", f.LogAgeSeconds)
	}
	fmt.Fprintf(s.out, "seen by %s at %s: %s, %s\n", f.Self.Name, f.At.UTC().Format(time.RFC3339), ready, response)
	if f.Halted != "" {
		fmt.Fprintf(s.out, "HALTED: %s\n", f.Halted)
	}
	members := append([]api.Member{f.Self}, f.Members...)
	sort.SliceStable(members, func(i, j int) bool {
		if members[i].Locality.Zone != members[j].Locality.Zone {
			return members[i].Locality.Zone < members[j].Locality.Zone
		}
		return members[i].Name < members[j].Name
	})
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ZONE\tNODE\tSTATE\tVERSION\tSERVICE\tSLOTS\tBACKEND\tHEARD\tADDRESS")
	for _, m := range members {
		version := "no answer"
		if m.Answered {
			version = fmt.Sprint(m.Version)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.1fs\t%s\n", m.Locality.Zone, m.Name, m.State, version, m.Backend.Service, m.Backend.Slots, m.Backend.State, m.LastHeardSeconds, m.Addr)
	}
	return tw.Flush()
}

type configCommand struct {
	operatorFlags
	Deployment string `arg:"--deployment" help:"deployment"`
	Zone       string `arg:"--zone" help:"availability zone"`
	Service    string `arg:"--service" help:"service"`
	Class      string `arg:"--class" help:"priority class"`
	JSON       bool   `arg:"--json" help:"write JSON"`
}

func (c *configCommand) run(ctx context.Context, s streams) error {
	list, err := c.client().Config(ctx, tree.ScopeTarget{Deployment: c.Deployment, Zone: c.Zone, Service: c.Service, Class: c.Class})
	if err != nil {
		return errors.Wrap(err, "config")
	}
	if c.JSON {
		return writeJSON(s.out, list)
	}
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SETTING\tVALUE\tFROM\tUNIT")
	for _, x := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", x.Key, x.Value, x.Scope, x.Unit)
	}
	return tw.Flush()
}

type reportCommand struct {
	operatorFlags
	Format string `arg:"--format" default:"table" help:"table, json or html"`
}

func (c *reportCommand) run(ctx context.Context, s streams) error {
	if c.Format != "table" && c.Format != "json" && c.Format != "html" {
		return &usageError{reason: "--format must be table, json or html"}
	}
	r, err := c.client().Burn(ctx)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	switch c.Format {
	case "json":
		return r.WriteJSON(s.out)
	case "html":
		return r.WriteHTML(s.out)
	}
	return r.WriteTable(s.out)
}

type settingsCommand struct {
	Sidecar bool   `arg:"--sidecar" help:"print or check the settings of a sidecar instead of a node"`
	Check   string `arg:"--check" help:"check a settings file and print all errors in it"`
}

func (c *settingsCommand) run(_ context.Context, s streams) error {
	if c.Check != "" {
		return c.check(s)
	}
	var n node.Settings
	fields, title := n.Fields(), "# Settings of a cicadaseam node."
	if c.Sidecar {
		var x sidecar.Settings
		fields, title = x.Fields(), "# Settings of a cicadaseam sidecar."
	}
	fmt.Fprintln(s.out, title)
	return settings.Example(s.out, fields)
}

func (c *settingsCommand) check(s streams) error {
	var err error
	if c.Sidecar {
		_, err = sidecar.Load(c.Check)
	} else {
		_, err = node.Load(c.Check)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: the settings are good\n", c.Check)
	return nil
}

func writeJSON(w io.Writer, body any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(body)
}

// readBody returns the body given by a flag: its text, or the content of FILE for @FILE.
func readBody(flag string) ([]byte, error) {
	if flag == "" || flag[0] != '@' {
		return []byte(flag), nil
	}
	data, err := os.ReadFile(flag[1:])
	return data, errors.Wrap(err, "read the body")
}
