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

// DesignSize is the number of nodes that the users ask to design for.
const DesignNodes = 720

// Fit is a straight line through the values of a figure over the number of
// nodes.
type Fit struct {
	Sizes     []int
	Intercept float64
	Slope     float64
	// Error is the largest distance of a measured value from the line.
	MaxResidual float64
	// AtDesign is the value of the line at DesignSize.
	AtDesignNodes float64
}

// newFit fits a line; it needs three sizes or more.
func newFit(values map[int]float64) (Fit, bool) {
	const leastSizes = 3
	if len(values) < leastSizes {
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

// writeFits writes the line of each figure that was measured at three sizes.
func (w *Writer) writeFits() error {
	file, err := os.Create(w.path("fits.md"))
	if err != nil {
		return errors.Wrap(err, "write the fits")
	}
	defer file.Close()
	fmt.Fprintf(file, "| figure | unit | spread | sizes | at N=0 | slope a node | largest error | line at N=%d |\n", DesignNodes)
	fmt.Fprintln(file, "| --- | --- | --- | --- | ---: | ---: | ---: | ---: |")
	names, figures, units := w.byFigure()
	for _, name := range names {
		for _, spread := range slices.Sorted(maps.Keys(figures[name])) {
			f, ok := newFit(figures[name][spread])
			if !ok {
				continue
			}
			fmt.Fprintf(file, "| %s | %s | %s | %v | %.4g | %.3g | %.3g | %.4g |\n",
				name, units[name], spread, f.Sizes, f.Intercept, f.Slope, f.MaxResidual, f.AtDesignNodes)
		}
	}
	return nil
}
