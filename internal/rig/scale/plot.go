package scale

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotLines  = 8
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot draws the metrics that come to most of their limit at the target, against the number of proxies, as shares of that limit.
// The ending of the path chooses the format.
func (r *Report) Plot(path string) error {
	worst := slices.Clone(r.Fits)
	worst = slices.DeleteFunc(worst, func(f Fit) bool { return f.Limit <= 0 })
	slices.SortFunc(worst, func(a, b Fit) int { return cmp.Compare(b.Share, a.Share) })
	worst = worst[:min(plotLines, len(worst))]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("What control takes of its limits; the target is %d proxies", r.Target.Proxies)
	p.X.Label.Text, p.Y.Label.Text = "proxies", "share of the limit"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for i, fit := range worst {
		if err := addFit(p, i, fit); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func addFit(p *plot.Plot, number int, fit Fit) error {
	points := make(plotter.XYs, 0, len(fit.Sizes))
	for i, size := range fit.Sizes {
		if fit.Values[i] > 0 {
			points = append(points, plotter.XY{X: size, Y: fit.Values[i] / fit.Limit})
		}
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, marks.Color = plotutil.Color(number), plotutil.Color(number)
	marks.Shape = plotutil.Shape(number)
	p.Add(line, marks)
	p.Legend.Add(fit.Metric, line, marks)
	return nil
}
