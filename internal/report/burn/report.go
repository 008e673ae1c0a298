package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Objective is the share of calls that are to be good, over a window.
type Objective struct {
	Share  float64       `json:"share"`
	Window time.Duration `json:"window"`
}

// pair is a long and a short window with the burn rate that alerts.
type pair struct {
	name  string
	long  int // index in Windows
	short int
	rate  float64
}

// pairs are the usual multi-window pairs: the budget of 30 days is gone in two
// days at 14.4, and in five days at 6.
var pairs = []pair{
	{name: "page", long: 2, short: 0, rate: 14.4},
	{name: "page-slow", long: 3, short: 1, rate: 6},
	{name: "ticket", long: 4, short: 3, rate: 1},
}

// Row is one line of a report.
type Row struct {
	Key       Key       `json:"key"`
	Objective Objective `json:"objective"`
	// Good and Bad are over the longest window.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// BudgetLeft is the share of the error budget that is left, below 0 when
	// it is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Burn are the burn rates over each of Windows.
	Burn []float64 `json:"burn"`
	// Alerts name the pairs that fire.
	Alerts []string `json:"alerts"`
	Steps  []Count  `json:"steps"`
}

// Report is the burn of all objectives of a fleet.
type Report struct {
	At time.Time `json:"at"`
	// Version is the configuration that the objectives come from.
	Version uint64 `json:"version"`
	Heard   int    `json:"heard"`
	// Missing are the nodes that did not answer in time.
	Missing []string `json:"missing"`
	Rows    []Row    `json:"rows"`
}

// Objectives gives the objective of a key.
type Objectives func(Key) Objective

// NewReport computes the burn of merged counts.
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
	for _, p := range pairs {
		if row.Burn[p.long] >= p.rate && row.Burn[p.short] >= p.rate {
			row.Alerts = append(row.Alerts, p.name)
		}
	}
	return row
}

// WriteTable writes the report for a terminal.
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

// WriteJSON writes the report for programs.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
