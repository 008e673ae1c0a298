// Package report writes the measurements of an experiment as JSON lines, Markdown tables of the
// values and of linear fits, and PNG plots.
//
// # Usage
//
//	w, err := report.New("out")
//	err = w.Add(report.Measurement{
//		Nodes: 64, Phase: "idle", Name: "control bytes", Value: 700, Unit: "B/s a node",
//	})
//	err = w.Close()
package report

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Measurement is one measured value; results.jsonl has one on each line. Spread is how the
// configuration was distributed in the experiment: tree, poll or gossip.
type Measurement struct {
	Nodes  int     `json:"nodes"`
	Spread string  `json:"spread"`
	Phase  string  `json:"phase"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
}

// Writer collects measurements.
type Writer struct {
	dir          string
	file         *os.File
	measurements []Measurement
}

// New returns a writer of results into a folder, which it creates. Measurements of earlier
// experiments in the folder are kept and included in the tables and plots.
func New(dir string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the folder for results")
	}
	w := &Writer{dir: dir}
	if err := w.loadEarlier(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(w.path("results.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open results")
	}
	w.file = file
	return w, nil
}

func (w *Writer) path(name string) string { return filepath.Join(w.dir, name) }

// loadEarlier reads the measurements of earlier experiments in the folder.
func (w *Writer) loadEarlier() error {
	file, err := os.Open(w.path("results.jsonl"))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read results")
	}
	defer file.Close()
	dec := json.NewDecoder(file)
	for dec.More() {
		var m Measurement
		if err := dec.Decode(&m); err != nil {
			return errors.Wrap(err, "read results")
		}
		w.measurements = append(w.measurements, m)
	}
	return nil
}

// Add appends a measurement to the results.
func (w *Writer) Add(m Measurement) error {
	w.measurements = append(w.measurements, m)
	return errors.Wrap(json.NewEncoder(w.file).Encode(m), "write results")
}

// Close closes the results and writes the tables and plots.
func (w *Writer) Close() error {
	if err := w.file.Close(); err != nil {
		return errors.Wrap(err, "close results")
	}
	if err := w.writeTable(); err != nil {
		return err
	}
	if err := w.writeFits(); err != nil {
		return err
	}
	return w.writePlots()
}

// series holds the values of the measurements of one phase and name, by Measurement.Spread and
// number of nodes. Of several values for the same number of nodes, the last one counts.
type series map[string]map[int]float64

// groupByName groups the measurements by phase and name. The names are in the order of their
// first measurement.
func (w *Writer) groupByName() (names []string, byName map[string]series, units map[string]string) {
	byName, units = map[string]series{}, map[string]string{}
	for _, m := range w.measurements {
		name := m.Phase + ": " + m.Name
		if byName[name] == nil {
			names = append(names, name)
			byName[name] = series{}
			units[name] = m.Unit
		}
		if byName[name][m.Spread] == nil {
			byName[name][m.Spread] = map[int]float64{}
		}
		byName[name][m.Spread][m.Nodes] = m.Value
	}
	return names, byName, units
}

// writeTable writes one row of values for each phase, name and spread, by number of nodes.
func (w *Writer) writeTable() error {
	file, err := os.Create(w.path("table.md"))
	if err != nil {
		return errors.Wrap(err, "create the table")
	}
	defer file.Close()
	sizes := w.sizes()
	fmt.Fprint(file, "| figure | unit | spread |")
	for _, n := range sizes {
		fmt.Fprintf(file, " N=%d |", n)
	}
	fmt.Fprint(file, "\n| --- | --- | --- |")
	for range sizes {
		fmt.Fprint(file, " ---: |")
	}
	fmt.Fprintln(file)
	names, byName, units := w.groupByName()
	for _, name := range names {
		for _, spread := range slices.Sorted(maps.Keys(byName[name])) {
			fmt.Fprintf(file, "| %s | %s | %s |", name, units[name], spread)
			for _, n := range sizes {
				if v, known := byName[name][spread][n]; known {
					fmt.Fprintf(file, " %.4g |", v)
				} else {
					fmt.Fprint(file, "  |")
				}
			}
			fmt.Fprintln(file)
		}
	}
	return nil
}

// sizes returns the measured numbers of nodes, ascending.
func (w *Writer) sizes() []int {
	seen := map[int]bool{}
	var out []int
	for _, m := range w.measurements {
		if !seen[m.Nodes] {
			seen[m.Nodes] = true
			out = append(out, m.Nodes)
		}
	}
	sort.Ints(out)
	return out
}

// writePlots draws one plot for each phase and name, over the number of nodes.
func (w *Writer) writePlots() error {
	names, byName, units := w.groupByName()
	for i, name := range names {
		p := plot.New()
		p.Title.Text = name
		p.X.Label.Text = "nodes"
		p.Y.Label.Text = units[name]
		p.Y.Min = 0
		var plotArgs []any // name and points of each line
		for _, spread := range slices.Sorted(maps.Keys(byName[name])) {
			plotArgs = append(plotArgs, spread, points(byName[name][spread]))
		}
		if err := plotutil.AddLinePoints(p, plotArgs...); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
		if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, w.path(fmt.Sprintf("plot-%02d.png", i))); err != nil {
			return errors.Wrapf(err, "save plot %s", name)
		}
	}
	return nil
}

// points converts values by number of nodes to the points of a plot.
func points(values map[int]float64) plotter.XYs {
	var xys plotter.XYs
	for _, n := range slices.Sorted(maps.Keys(values)) {
		xys = append(xys, plotter.XY{X: float64(n), Y: values[n]})
	}
	return xys
}
