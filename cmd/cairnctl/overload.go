package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"cairnlane/internal/decide/shed"
	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/overloads"
	"cairnlane/internal/lab/rig"
)

// overload runs the overload trial. The error lists the missed bounds.
func (o *options) overload(w io.Writer) error {
	t := o.Trial.Overload
	dir, err := rig.TempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := overloads.Trial{Seed: t.Seed, Seeds: t.Seeds, Boxes: t.Boxes, Loads: []float64{0.9, 1.1, 1.5}, Modes: []model.Mode{model.Fleet, model.Alone, model.Disconnected}, Span: t.Span, AddFaults: model.AddCombinedFaults, Outage: t.Outage,
		ConfigFile: t.Site, Dir: dir, Serve: serveCommand(t.Program), Progress: w}.Run()
	if err != nil {
		return err
	}
	return printResult(w, f, f.Log, f.Missed())
}

// overloadCost runs the overload-cost trial. The error lists the missed bounds.
func (o *options) overloadCost(w io.Writer) error {
	t := o.Trial.OverloadCost
	dir, err := rig.TempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := overloads.MeasureCost(overloads.CostConfig{Rounds: t.Rounds, Requests: t.Requests, ConfigFile: t.Site, Dir: dir, Serve: serveCommand(t.Program), Progress: w})
	if err != nil {
		return err
	}
	return printResult(w, f, nil, f.Missed())
}

// days runs the days trial in virtual time. The error lists the missed bounds.
func (o *options) days(w io.Writer) error {
	t := o.Trial.Days
	site, err := model.Open(t.Site)
	if err != nil {
		return err
	}
	var rows []model.Row
	cases := slices.Concat(model.FaultFreeCases, model.FaultCases)
	if t.Steady {
		cases = append(slices.Clone(model.FaultFreeCases), model.FaultCases[len(model.FaultCases)-1])
	}
	for _, boxes := range t.Boxes {
		rows = append(rows, model.Sweep{Site: site, Boxes: boxes, Seeds: t.Seeds, FirstSeed: t.Seed, Span: t.Span, Cases: cases}.Run(w)...)
	}
	model.WriteTable(w, rows)
	if t.Chart != "" {
		if err := model.WriteChart(t.Chart, rows); err != nil {
			return fmt.Errorf("chart: %w", err)
		}
	}
	var missed []string
	for _, boxes := range t.Boxes {
		f := model.Summarize(slices.DeleteFunc(slices.Clone(rows), func(r model.Row) bool { return r.Boxes != boxes }))
		if boxes > shed.MaxFleetSize { // a fleet of this size does not shed as one: it need not gain, but must not be worse than its boxes alone
			f.GainLowerBounds = nil
		}
		missed = append(missed, f.Missed()...)
		fmt.Fprintf(w, "%v boxes=%d\n", f, boxes)
	}
	return printResult(w, "figures: "+fmt.Sprintf("sizes=%d missed=%d", len(t.Boxes), len(missed)), nil, missed)
}
