// Package report writes what an experiment found: JSON lines, Markdown tables of
// the values and of straight lines through them, and PNG plots.
//
// # Usage
//
//	w, err := report.New("out")
//	w.Add(report.Line{Nodes: 64, Phase: "idle", Name: "control bytes", Value: 700, Unit: "B/s a node"})
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

// Line is one figure.
type Measurement struct {
	Nodes  int     `json:"nodes"`
	Spread string  `json:"spread"`
	Phase  string  `json:"phase"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
}

// Writer collects figures.
type Writer struct {
	dir   string
	file  *os.File
	lines []Measurement
}

// New returns a writer into a folder, which is made. Lines of earlier
// experiments in it are kept and count for the table and the plots.
func New(dir string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the folder for results")
	}
	w := &Writer{dir: dir}
	if err := w.load(); err != nil {
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

func (w *Writer) load() error {
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
		var l Measurement
		if err := dec.Decode(&l); err != nil {
			return errors.Wrap(err, "read results")
		}
		w.lines = append(w.lines, l)
	}
	return nil
}

// Add writes a figure.
func (w *Writer) Add(l Measurement) error {
	w.lines = append(w.lines, l)
	return errors.Wrap(json.NewEncoder(w.file).Encode(l), "write results")
}

// Close writes the tables and the plots.
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

// series are the values of one figure by spread and number of nodes. The last
// value of a size counts.
type series map[string]map[int]float64

func (w *Writer) byFigure() (names []string, figures map[string]series, units map[string]string) {
	figures, units = map[string]series{}, map[string]string{}
	for _, l := range w.lines {
		name := l.Phase + ": " + l.Name
		if figures[name] == nil {
			names = append(names, name)
			figures[name] = series{}
			units[name] = l.Unit
		}
		if figures[name][l.Spread] == nil {
			figures[name][l.Spread] = map[int]float64{}
		}
		figures[name][l.Spread][l.Nodes] = l.Value
	}
	return names, figures, units
}

func (w *Writer) writeTable() error {
	file, err := os.Create(w.path("table.md"))
	if err != nil {
		return errors.Wrap(err, "write the table")
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
	names, figures, units := w.byFigure()
	for _, name := range names {
		for _, spread := range slices.Sorted(maps.Keys(figures[name])) {
			fmt.Fprintf(file, "| %s | %s | %s |", name, units[name], spread)
			for _, n := range sizes {
				if v, known := figures[name][spread][n]; known {
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

func (w *Writer) sizes() []int {
	seen := map[int]bool{}
	var out []int
	for _, l := range w.lines {
		if !seen[l.Nodes] {
			seen[l.Nodes] = true
			out = append(out, l.Nodes)
		}
	}
	sort.Ints(out)
	return out
}

// writePlots draws each figure over the number of nodes.
func (w *Writer) writePlots() error {
	names, figures, units := w.byFigure()
	for i, name := range names {
		p := plot.New()
		p.Title.Text = name
		p.X.Label.Text = "nodes"
		p.Y.Label.Text = units[name]
		p.Y.Min = 0
		var args []any
		for _, spread := range slices.Sorted(maps.Keys(figures[name])) {
			args = append(args, spread, points(figures[name][spread]))
		}
		if err := plotutil.AddLinePoints(p, args...); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
		if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, w.path(fmt.Sprintf("plot-%02d.png", i))); err != nil {
			return errors.Wrapf(err, "save plot %s", name)
		}
	}
	return nil
}

func points(values map[int]float64) plotter.XYs {
	var xys plotter.XYs
	for _, n := range slices.Sorted(maps.Keys(values)) {
		xys = append(xys, plotter.XY{X: float64(n), Y: values[n]})
	}
	return xys
}
