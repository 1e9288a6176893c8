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

// Plot writes an SVG file with p50 and p99 latency in ms and mean coverage over
// time, for one or more reports. names[i] is the label of reports[i]. Errors have
// code CODE_FAILED.
func Plot(file string, names []string, reports []*Report) error {
	latency, coverage := plot.New(), plot.New()
	latency.Title.Text = "Latency from the intended arrival"
	latency.Y.Label.Text = "ms"
	coverage.Title.Text = "Coverage"
	coverage.Y.Label.Text = "share of shards"
	coverage.Y.Min, coverage.Y.Max = 0, 1
	coverage.X.Label.Text = "seconds"
	var latencySeries, coverageSeries []any
	for i, r := range reports {
		var p50, p99, share plotter.XYs
		for _, index := range slices.Sorted(maps.Keys(r.windows)) {
			w := r.windows[index]
			x := float64(index) * windowLength.Seconds()
			p50 = append(p50, plotter.XY{X: x, Y: float64(w.latency.ValueAtQuantile(50)) / 1000})
			p99 = append(p99, plotter.XY{X: x, Y: float64(w.latency.ValueAtQuantile(99)) / 1000})
			if w.answered > 0 {
				share = append(share, plotter.XY{X: x, Y: w.coverageSum / float64(w.answered)})
			}
		}
		if len(p50) == 0 || len(share) == 0 {
			continue
		}
		latencySeries = append(latencySeries, names[i]+" p50", p50, names[i]+" p99", p99)
		coverageSeries = append(coverageSeries, names[i], share)
	}
	if err := plotutil.AddLinePoints(latency, latencySeries...); err != nil {
		return plotError(file, err)
	}
	if err := plotutil.AddLinePoints(coverage, coverageSeries...); err != nil {
		return plotError(file, err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	grid := [][]*plot.Plot{{latency}, {coverage}}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		grid[i][0].Draw(row[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return plotError(file, err)
	}
	_, err = canvas.WriteTo(out)
	if err := errors.Join(err, out.Close()); err != nil {
		return plotError(file, err)
	}
	return nil
}

func plotError(file string, err error) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: "plot " + file}).Because(err)
}
