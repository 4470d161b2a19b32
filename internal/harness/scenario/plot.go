package scenario

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the value by second and its upper bound, of one or more reports of a scenario, into a PNG or SVG file.
func Plot(file string, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = reports[0].Name
	p.X.Label.Text = "s"
	p.Y.Label.Text = "value served in a second"
	p.Y.Min = 0
	p.Legend.Top = false
	line := func(name string, of func(Second) float64, r *Report) []any {
		var xy plotter.XYs
		for i, s := range r.Seconds {
			xy = append(xy, plotter.XY{X: float64(i), Y: of(s)})
		}
		return []any{name, xy}
	}
	list := line("bound", func(s Second) float64 { return s.Bound }, reports[0])
	for _, r := range reports {
		name := r.Policy
		if name == "" {
			name = "module"
		}
		list = append(list, line(name, func(s Second) float64 { return s.Value }, r)...)
	}
	if err := plotutil.AddLines(p, list...); err != nil {
		return err
	}
	return p.Save(9*vg.Inch, 4*vg.Inch, file)
}
