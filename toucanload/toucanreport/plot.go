package toucanreport

import (
	"errors"
	"maps"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
)

// Plot writes latency and coverage over time of one or more reports to an SVG
// file; names are those of the reports.
func Plot(file string, names []string, reports []*Report) error {
	latency, coverage := plot.New(), plot.New()
	latency.Title.Text = "Latency from the intended arrival"
	latency.Y.Label.Text = "ms"
	coverage.Title.Text = "Coverage"
	coverage.Y.Label.Text = "share of shards"
	coverage.Y.Min, coverage.Y.Max = 0, 1
	coverage.X.Label.Text = "seconds"
	var lines, shares []any
	for i, r := range reports {
		var p50, p99, share plotter.XYs
		for _, at := range slices.Sorted(maps.Keys(r.windows)) {
			w := r.windows[at]
			x := float64(at) * interval.Seconds()
			p50 = append(p50, plotter.XY{X: x, Y: float64(w.latency.ValueAtQuantile(50)) / 1000})
			p99 = append(p99, plotter.XY{X: x, Y: float64(w.latency.ValueAtQuantile(99)) / 1000})
			if w.done > 0 {
				share = append(share, plotter.XY{X: x, Y: w.covered / float64(w.done)})
			}
		}
		if len(p50) == 0 || len(share) == 0 {
			continue
		}
		lines = append(lines, names[i]+" p50", p50, names[i]+" p99", p99)
		shares = append(shares, names[i], share)
	}
	if err := plotutil.AddLinePoints(latency, lines...); err != nil {
		return notPlotted(file, err)
	}
	if err := plotutil.AddLinePoints(coverage, shares...); err != nil {
		return notPlotted(file, err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	grid := [][]*plot.Plot{{latency}, {coverage}}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		grid[i][0].Draw(row[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return notPlotted(file, err)
	}
	_, err = canvas.WriteTo(out)
	if err := errors.Join(err, out.Close()); err != nil {
		return notPlotted(file, err)
	}
	return nil
}

func notPlotted(file string, err error) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: "plot " + file}).Because(err)
}
