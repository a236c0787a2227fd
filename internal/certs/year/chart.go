package year

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteSVG writes a chart of the remaining lifetime of each certificate over the year, with the faults at its first
// authority as bars below the axis.
func (f *Figures) WriteSVG(path string) error {
	p := plot.New()
	p.Title.Text = "Remaining lifetime, with the faults of the first authority under it"
	p.X.Label.Text, p.Y.Label.Text = "day", "days left"
	p.Legend.Top = true
	if len(f.Points) == 0 {
		return fmt.Errorf("no points to draw: the simulation has not run")
	}
	start := f.Points[0].At
	colors := []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 44, G: 160, B: 44, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255}}
	for i, l := range lifetimes {
		var line plotter.XYs
		for _, pt := range f.Points {
			if pt.Name == l.name {
				line = append(line, plotter.XY{X: pt.At.Sub(start).Hours() / 24, Y: pt.Left.Hours() / 24})
			}
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		drawn.Color = colors[i]
		p.Add(drawn)
		p.Legend.Add(fmt.Sprintf("%s (%v days)", l.name, l.life.Hours()/24), drawn)
		for _, w := range f.Outages[l.name] {
			y := -3 - 3*float64(i)
			bar, err := plotter.NewLine(plotter.XYs{{X: w.From.Sub(start).Hours() / 24, Y: y}, {X: w.To.Sub(start).Hours() / 24, Y: y}})
			if err != nil {
				return err
			}
			bar.Color, bar.Width = colors[i], vg.Points(4)
			p.Add(bar)
		}
	}
	return p.Save(28*vg.Centimeter, 14*vg.Centimeter, path)
}
