package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Objective is a service-level objective: the share of calls that must be good over a window.
// Share must be below 1, since burn rates are relative to the share of calls that may be bad.
type Objective struct {
	Share  float64       `json:"share"`
	Window time.Duration `json:"window"`
}

// alertRule fires if the burn rates over a long and a short window are at least minBurn.
type alertRule struct {
	name        string
	longWindow  int // index in Windows
	shortWindow int // index in Windows
	minBurn     float64
}

// alertRules are the usual multi-window, multi-burn-rate rules: a budget of 30 days is spent in
// two days at a burn rate of 14.4, and in five days at 6.
var alertRules = []alertRule{
	{name: "page", longWindow: 2, shortWindow: 0, minBurn: 14.4},
	{name: "page-slow", longWindow: 3, shortWindow: 1, minBurn: 6},
	{name: "ticket", longWindow: 4, shortWindow: 3, minBurn: 1},
}

// Row is one line of a report.
type Row struct {
	Key       Key       `json:"key"`
	Objective Objective `json:"objective"`
	// Good and Bad are over the longest window.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// BudgetLeft is the share of the error budget that is left. It is negative if the budget
	// is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Burn are the burn rates over each of Windows.
	Burn []float64 `json:"burn"`
	// Alerts are the names of the alert rules that fire.
	Alerts []string `json:"alerts"`
	Steps  []Count  `json:"steps"`
}

// Report holds the burn rates of all objectives of a fleet.
type Report struct {
	At time.Time `json:"at"`
	// Version is the version of the configuration that the objectives come from.
	Version uint64 `json:"version"`
	// Heard is the number of nodes whose counts are included.
	Heard int `json:"heard"`
	// Missing are the nodes that did not answer in time.
	Missing []string `json:"missing"`
	Rows    []Row    `json:"rows"`
}

// Objectives returns the objective of a key.
type Objectives func(Key) Objective

// NewReport computes the burn rates of merged counts. It leaves Version, Heard and Missing to
// the caller.
func NewReport(at time.Time, counts []Counts, objectives Objectives) Report {
	r := Report{At: at}
	for _, c := range counts {
		r.Rows = append(r.Rows, newRow(c, objectives(c.Key)))
	}
	return r
}

func newRow(c Counts, o Objective) Row {
	row := Row{Key: c.Key, Objective: o, Steps: c.Steps}
	allowed := 1 - o.Share
	for _, w := range c.Windows {
		row.Burn = append(row.Burn, w.BadShare()/allowed)
	}
	longest := c.Windows[len(c.Windows)-1]
	row.Good, row.Bad = longest.Good, longest.Bad
	row.BudgetLeft = 1 - longest.BadShare()/allowed
	for _, rule := range alertRules {
		if row.Burn[rule.longWindow] >= rule.minBurn && row.Burn[rule.shortWindow] >= rule.minBurn {
			row.Alerts = append(row.Alerts, rule.name)
		}
	}
	return row
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "service-level burn at %s, version %d, %d nodes heard\n", r.At.UTC().Format(time.RFC3339), r.Version, r.Heard)
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "NOT HEARD (%d): %s\n", len(r.Missing), strings.Join(r.Missing, ", "))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tCLASS\tOBJECTIVE\tGOOD\tBAD\tBUDGET LEFT\tBURN 5m\t30m\t1h\t6h\t3d\tALERTS")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%.3f%%\t%d\t%d\t%.1f%%", row.Key.Service, row.Key.Class, 100*row.Objective.Share, row.Good, row.Bad, 100*row.BudgetLeft)
		for _, b := range row.Burn {
			fmt.Fprintf(tw, "\t%.1f", b)
		}
		fmt.Fprintf(tw, "\t%s\n", alertText(row.Alerts))
	}
	return tw.Flush()
}

func alertText(alerts []string) string {
	if len(alerts) == 0 {
		return "-"
	}
	return strings.Join(alerts, ",")
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
