package audits

import (
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/fleet/ledger"
	"cairnlane/internal/lab/fleetsim"
	"cairnlane/internal/state/audit"
)

// Costs are the measured costs of the audit and the times of its answers.
type Costs struct {
	Boxes, Entries                     int
	IndexTime, MaxAnswerTime, ScanTime time.Duration // building the index; the slowest answer from it; one answer without it
	EffectOff, EffectOn                time.Duration // an effect without and with an audit, each the best of several rounds
	BringUp                            [3]time.Duration
	BytesOff, BytesOn                  float64 // size of a voter's ledger per box and hour, in a fleet of 300 boxes
}

// MissedConfigs lists how many configurations a box has missed before the time to bring it up to date is measured.
var MissedConfigs = [3]int{1, 10, 100}

// MeasureCosts measures the costs of the audit, with an index over boxes times entries and effects in dir.
func MeasureCosts(dir string, boxes, entries int) (*Costs, error) {
	c := &Costs{Boxes: boxes, Entries: boxes * entries}
	c.measureIndex(boxes, entries)
	for i, n := range MissedConfigs {
		c.BringUp[i] = fleetsim.CatchUpTime(n)
	}
	c.BytesOff, c.BytesOn = fleetsim.AuditBytes(300, time.Minute)
	return c, c.measureEffects(dir)
}

// measureIndex measures how long it takes to index and query the audits of the given number of boxes.
func (c *Costs) measureIndex(boxes, entries int) {
	var contents []*audit.FolderContents
	for i := range boxes {
		b := &audit.FolderContents{Box: fmt.Sprintf("box%04d", i)}
		for k := range entries {
			e := audit.Entry{N: uint64(k + 1), Kind: audit.Effect, Index: uint64(k * 10), Task: fmt.Sprint("task", k/2%20), Token: uint64(k*boxes + i), Box: b.Box, Chain: "chain", At: time.Duration(k) * time.Second}
			switch {
			case k%100 == 0:
				e.Kind, e.Build = audit.Version, &audit.Build{Fleet: uint64(k / 100)}
			case k%2 == 0:
				e.Kind, e.Ref, e.OK = audit.EffectDone, uint64(k), true
			}
			b.Entries = append(b.Entries, e)
		}
		contents = append(contents, b)
	}
	measure := func(do func()) time.Duration {
		began := time.Now()
		do()
		return time.Since(began)
	}
	var index *audit.Index
	c.IndexTime = measure(func() { index = audit.NewIndex(contents, nil) })
	for _, query := range []func(){func() { index.RunsOfConfig(5, 100) }, func() { index.Effects("task7") }, func() { index.AtIndex(uint64(entries * 5)) }, func() { index.AtTime(time.Hour, time.Minute) }, func() { index.EntriesOf("box0500") }} {
		c.MaxAnswerTime = max(c.MaxAnswerTime, measure(query))
	}
	c.ScanTime = measure(func() { audit.ScanRunsOfConfig(contents, 5) })
}

// measureEffects measures an effect that does nothing, alternately with and without an audit.
func (c *Costs) measureEffects(dir string) error {
	const rounds, effectsPerRound = 5, 4000
	times := map[bool][]time.Duration{}
	for i := range 2 * rounds {
		withAudit := i%2 == 1
		d, err := timeEffects(filepath.Join(dir, fmt.Sprint(i)), withAudit, effectsPerRound)
		if err != nil {
			return err
		}
		times[withAudit] = append(times[withAudit], d/effectsPerRound)
	}
	c.EffectOff, c.EffectOn = slices.Min(times[false]), slices.Min(times[true])
	return nil
}

// timeEffects measures how long n effects take on a fleet of one box.
func timeEffects(dir string, withAudit bool, n int) (time.Duration, error) {
	key := filepath.Join(dir, "fleet.key")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, err
	}
	if err := os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString(make([]byte, 32))), 0o600); err != nil {
		return 0, err
	}
	cfg := fleet.Config{Name: "a", Listen: "127.0.0.1:0", Peers: map[string]string{"a": ""}, KeyFile: key, Dir: filepath.Join(dir, "fleet"), Build: "cost",
		Timing: ledger.Timing{Heartbeat: 20 * time.Millisecond, Election: 100 * time.Millisecond, Poll: 100 * time.Millisecond, BatchDelay: time.Millisecond}, Now: clock.SinceBoot, Logf: func(string, ...any) {}}
	if withAudit {
		log, _, err := audit.Open(filepath.Join(dir, "audit"), "a", audit.DefaultLimits, func() time.Duration { return time.Duration(clock.Wall().UnixNano()) })
		if err != nil {
			return 0, err
		}
		defer log.Close()
		cfg.Audit = log
	}
	f, err := fleet.Open(cfg, new(counters.Set))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if err := f.Init(lease.Terms{Term: 30 * time.Second, Drift: 0.01}, []string{"a"}); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	t, err := f.Acquire(ctx, lease.Request{Task: "x", Slots: 1})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for range n {
		if err := t.Act(time.Millisecond, func(fleet.Permit) error { return nil }); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

// String returns the line of figures.
func (c *Costs) String() string {
	return fmt.Sprintf("figures: boxes=%d entries=%d pass_ms=%d answer_max_ms=%d scan_ms=%d effect_off_us=%.1f effect_on_us=%.1f bring_up_1_ms=%d bring_up_10_ms=%d bring_up_100_ms=%d ledger_bytes_box_hour_off=%.0f ledger_bytes_box_hour_on=%.0f",
		c.Boxes, c.Entries, c.IndexTime.Milliseconds(), c.MaxAnswerTime.Milliseconds(), c.ScanTime.Milliseconds(), float64(c.EffectOff.Nanoseconds())/1000, float64(c.EffectOn.Nanoseconds())/1000,
		c.BringUp[0].Milliseconds(), c.BringUp[1].Milliseconds(), c.BringUp[2].Milliseconds(), c.BytesOff, c.BytesOn)
}

// MissedBounds lists the missed bounds.
func (c *Costs) MissedBounds() (list []string) {
	if c.MaxAnswerTime > time.Second {
		list = append(list, fmt.Sprintf("an answer took %v", c.MaxAnswerTime))
	}
	for i, d := range c.BringUp {
		if d == 0 {
			list = append(list, fmt.Sprintf("a box that missed %d configurations was not brought up to date", MissedConfigs[i]))
		}
	}
	return list
}
