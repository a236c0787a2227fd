package audit

import (
	"fmt"
	"html/template"
	"io"
)

// page is the template of a self-contained HTML page: a lane for each box over the ledger index, a colour for each
// configuration number, a tick for each effect, and a cross at each gap.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Audit of the fleet</title>
<style>body{font:14px sans-serif;margin:2em}text{font:12px sans-serif}td,th{padding:2px 10px;text-align:left}</style></head><body>
<h1>Audit of the fleet</h1>
<p>{{len .Lanes}} boxes, {{.Entries}} entries, index {{.From}} to {{.To}} of the ledger. A box's lane shows what it acted as, by the index that it knew. Two boxes
at one index have no order. Ticks are effects, a cross is a gap.</p>
<svg xmlns="http://www.w3.org/2000/svg" width="1100" height="{{.Height}}" role="img">
{{range .Lanes}}<text x="0" y="{{.Text}}">{{.Box}}</text>
{{range .Runs}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="14" fill="{{.Fill}}"><title>{{.Title}}</title></rect>{{end}}
{{range .Ticks}}<rect x="{{.X}}" y="{{.Y}}" width="1" height="{{.W}}" fill="{{.Fill}}"/>{{end}}
{{range .Gaps}}<text x="{{.X}}" y="{{.Y}}" fill="#c00">&#215;<title>{{.Title}}</title></text>{{end}}
{{end}}</svg>
{{if .Faults}}<h2>Not as it was written</h2><ul>{{range .Faults}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Numbers</h2><table><tr><th>Number</th><th>Boxes</th><th>Effects</th></tr>
{{range .Numbers}}<tr><td><span style="background:{{.Fill}}">&nbsp;&nbsp;&nbsp;</span> {{.N}}</td><td>{{.Boxes}}</td><td>{{.Effects}}</td></tr>{{end}}</table>
</body></html>
`))

type pageShape struct {
	X, Y, W     float64
	Fill, Title string
}

type lane struct {
	Box               string
	Text              int
	Runs, Ticks, Gaps []pageShape
}

type number struct {
	N              uint64
	Boxes, Effects int
	Fill           template.CSS
}

const (
	laneLeft, laneWidth, laneHeight = 120.0, 960.0, 22
	maxTicks                        = 400 // ticks drawn per lane, at most
)

func runColour(n uint64) string {
	if n == 0 {
		return "#cccccc"
	}
	return fmt.Sprintf("hsl(%d, 55%%, 65%%)", n*67%360)
}

// WritePage writes an HTML page with the lanes of all boxes and the given faults.
func (x *Index) WritePage(w io.Writer, faults []Fault) error {
	from, to := ^uint64(0), uint64(0)
	for i := range x.boxes {
		for _, e := range x.entries[i] {
			if e.Index > 0 {
				from, to = min(from, e.Index), max(to, e.Index)
			}
		}
	}
	if from > to {
		from, to = 0, 1
	}
	xOf := func(index uint64) float64 {
		return laneLeft + laneWidth*float64(max(index, from)-from)/float64(max(to-from, 1))
	}
	numbers := map[uint64]*number{}
	var d struct {
		Lanes    []lane
		Numbers  []*number
		Faults   []Fault
		Entries  int
		From, To uint64
		Height   int
	}
	for i, box := range x.boxes {
		y := i * laneHeight
		l := lane{Box: box, Text: y + 12}
		for _, r := range x.runs[i] {
			n := numbers[r.Version.Fleet]
			if n == nil {
				n = &number{N: r.Version.Fleet, Fill: template.CSS(runColour(r.Version.Fleet))}
				numbers[r.Version.Fleet] = n
				d.Numbers = append(d.Numbers, n)
			}
			n.Boxes++
			n.Effects += r.Effects
			l.Runs = append(l.Runs, pageShape{X: xOf(r.From), Y: float64(y), W: max(xOf(r.To)-xOf(r.From), 1), Fill: runColour(r.Version.Fleet),
				Title: fmt.Sprintf("%s, number %d, build %d, index %d to %d, %d effects", box, r.Version.Fleet, r.Version.Number, r.From, r.To, r.Effects)})
		}
		step := max(1, len(x.effects[i])/maxTicks)
		for k := 0; k < len(x.effects[i]); k += step {
			e := x.entries[i][x.effects[i][k].entry]
			l.Ticks = append(l.Ticks, pageShape{X: xOf(e.Index), Y: float64(y + 14), W: 4, Fill: "#444444"})
		}
		for _, e := range x.entries[i] {
			if e.Kind == Gap {
				l.Gaps = append(l.Gaps, pageShape{X: xOf(e.Index), Y: float64(y + 12), Title: fmt.Sprintf("%d entries were lost", e.Count)})
			}
		}
		d.Lanes = append(d.Lanes, l)
	}
	d.Faults, d.Entries, d.From, d.To, d.Height = faults, x.Entries(), from, to, len(x.boxes)*laneHeight+10
	return page.Execute(w, d)
}
