package model

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteChart draws the gain of the fleet over boxes alone into an SVG file: one point per case, with its 95% interval over paired seeds.
func WriteChart(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Gain in a day's worth: boxes as a fleet over boxes alone"
	p.X.Label.Text = "gain with its 95% interval over paired seeds"
	var points plotter.XYs
	var errs plotter.XErrors
	var names []string
	for i, r := range rows {
		gain, half := r.Gain(Fleet, Alone)
		if math.IsInf(half, 0) {
			half = 0
		}
		y := float64(len(rows) - 1 - i)
		points = append(points, plotter.XY{X: gain, Y: y})
		errs = append(errs, struct{ Low, High float64 }{half, half})
		names = append([]string{fmt.Sprintf("%d boxes, %.0f%%: %s", r.Boxes, 100*r.LoadFactor, r.Name)}, names...)
	}
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYer
		plotter.XErrorer
	}{points, errs})
	if err != nil {
		return err
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(rows)) - 0.5}})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), zero, bars, dots)
	p.NominalY(names...)
	return p.Save(9*vg.Inch, vg.Length(len(rows)+4)*0.22*vg.Inch, path)
}
