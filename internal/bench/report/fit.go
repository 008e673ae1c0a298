package report

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// DesignNodes is the number of nodes that the system is designed for.
const DesignNodes = 720

// Fit is a linear regression of the values of one name and spread over the number of nodes.
type Fit struct {
	Sizes     []int   // measured numbers of nodes, ascending
	Intercept float64 // value of the line at 0 nodes
	Slope     float64 // increase per node
	// MaxResidual is the largest distance of a measured value from the line.
	MaxResidual float64
	// AtDesignNodes is the value of the line at DesignNodes.
	AtDesignNodes float64
}

// newFit fits a line to values by number of nodes; it reports false for fewer than three sizes.
func newFit(values map[int]float64) (Fit, bool) {
	const minSizes = 3
	if len(values) < minSizes {
		return Fit{}, false
	}
	f := Fit{Sizes: slices.Sorted(maps.Keys(values))}
	var xs, ys []float64
	for _, n := range f.Sizes {
		xs = append(xs, float64(n))
		ys = append(ys, values[n])
	}
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	for i := range xs {
		f.MaxResidual = math.Max(f.MaxResidual, math.Abs(ys[i]-f.Intercept-f.Slope*xs[i]))
	}
	f.AtDesignNodes = f.Intercept + f.Slope*DesignNodes
	return f, true
}

// writeFits writes one row for each phase, name and spread with at least three sizes.
func (w *Writer) writeFits() error {
	file, err := os.Create(w.path("fits.md"))
	if err != nil {
		return errors.Wrap(err, "create the table of fits")
	}
	defer file.Close()
	fmt.Fprintf(file, "| figure | unit | spread | sizes | at N=0 | slope a node | largest error | line at N=%d |\n", DesignNodes)
	fmt.Fprintln(file, "| --- | --- | --- | --- | ---: | ---: | ---: | ---: |")
	names, byName, units := w.groupByName()
	for _, name := range names {
		for _, spread := range slices.Sorted(maps.Keys(byName[name])) {
			f, ok := newFit(byName[name][spread])
			if !ok {
				continue
			}
			fmt.Fprintf(file, "| %s | %s | %s | %v | %.4g | %.3g | %.3g | %.4g |\n",
				name, units[name], spread, f.Sizes, f.Intercept, f.Slope, f.MaxResidual, f.AtDesignNodes)
		}
	}
	return nil
}
