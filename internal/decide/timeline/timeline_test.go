package timeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

const s = time.Second

// scenario describes the events in a fleet, in seconds from its start.
type scenario struct {
	boxes, seconds int
	crash          map[int][2]int // by box: crash, restart
	drain          map[int][3]int // by box: drain notice, end (or -1 for a kill), restart
	slow           map[int][2]int
	burst          [2]int
	reject         [2]int
	retries        [2]int
	engine         map[int][2]int
	reload         map[int]int
	silent         map[int][2]int // by box: start and end of the missing records
}

func within(t int, span [2]int) bool { return span[1] > 0 && t >= span[0] && t < span[1] }

func (d scenario) play(seed uint64) []Box {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []Box
	for b := range d.boxes {
		box := Box{Name: fmt.Sprintf("n%d", b)}
		life := &Incarnation{Name: "a"}
		at := func(t int) time.Duration {
			return testkit.StartTime + time.Duration(t)*s + time.Duration(b)*37*time.Millisecond
		}
		add := func(e Event) { life.Events = append(life.Events, e) }
		add(Event{At: at(0), Kind: Started})
		end := func() { box.Incarnations = append(box.Incarnations, *life) }
		down := false
		for t := 1; t < d.seconds; t++ {
			if c, ok := d.crash[b]; ok {
				if t == c[0] {
					end()
					down = true
				}
				if t == c[1] {
					life, down = &Incarnation{Name: "b"}, false
					add(Event{At: at(t), Kind: Started, Cold: true})
					add(Event{At: at(t + 10), Kind: Warmed})
				}
			}
			if c, ok := d.drain[b]; ok {
				if t == c[0] {
					add(Event{At: at(t), Kind: Drain})
				}
				if t == c[0]+3 {
					if c[1] >= 0 {
						add(Event{At: at(t), Kind: Ended})
					}
					end()
					down = true
				}
				if t == c[2] {
					life, down = &Incarnation{Name: "c"}, false
					add(Event{At: at(t), Kind: Started})
				}
			}
			if down {
				continue
			}
			if c, ok := d.engine[b]; ok && (t == c[0] || t == c[1]) {
				add(Event{At: at(t), Kind: Link, OK: t == c[1]})
			}
			if c, ok := d.reload[b]; ok && t == c {
				add(Event{At: at(t), Kind: Reload, OK: true})
			}
			e := Event{At: at(t), Kind: Second, Read: 40 + r.IntN(5), Running: 8}
			if within(t, d.burst) {
				e.Read = e.Read * 3 / 2
			}
			if within(t, d.retries) {
				e.Retries = e.Read
				e.Read *= 2
			}
			if within(t, d.reject) {
				e.Rejected = e.Read / 3
			}
			e.Served = e.Read - e.Rejected
			if within(t, d.slow[b]) {
				e.Served /= 6
			}
			e.InAim = e.Served
			if !within(t, d.silent[b]) {
				add(e)
			} else if t == d.silent[b][1]-1 {
				life.Gaps = append(life.Gaps, Gap{From: at(d.silent[b][0] - 1), To: at(t + 1), MissingRecords: uint64(d.silent[b][1] - d.silent[b][0]), Reason: "absent"})
			}
		}
		if !down {
			end()
		}
		list = append(list, box)
	}
	return list
}

// summaries formats the findings as text, with times in seconds from the start.
func summaries(list []Finding) (out []string) {
	for _, f := range list {
		who := strings.Join(f.Boxes, "+")
		if len(f.Boxes) > 3 {
			who = fmt.Sprint(len(f.Boxes), " boxes")
		}
		out = append(out, fmt.Sprintf("%s %s %.0f-%.0f", f.Kind, who, (f.From-testkit.StartTime).Seconds(), (f.To-testkit.StartTime).Seconds()))
	}
	return out
}

func TestScenariosGiveExpectedFindings(t *testing.T) {
	for name, c := range map[string]struct {
		day  scenario
		want []string
	}{
		"no event":          {scenario{boxes: 8, seconds: 90}, nil},
		"a crash":           {scenario{boxes: 8, seconds: 90, crash: map[int][2]int{2: {40, 55}}}, []string{"crash n2 39-39", "cold start n2 55-65"}},
		"a drain":           {scenario{boxes: 8, seconds: 90, drain: map[int][3]int{1: {30, 33, 40}}}, []string{"drain n1 30-33"}},
		"a killed drain":    {scenario{boxes: 8, seconds: 90, drain: map[int][3]int{1: {30, -1, 40}}}, []string{"killed in drain n1 30-32"}},
		"a deploy":          {scenario{boxes: 4, seconds: 90, drain: map[int][3]int{0: {20, 23, 26}, 1: {26, 29, 32}, 2: {32, 35, 38}}}, []string{"deploy n0+n1+n2 20-35", "drain n0 20-23", "drain n1 26-29", "drain n2 32-35"}},
		"two crashes":       {scenario{boxes: 8, seconds: 90, crash: map[int][2]int{2: {40, 55}, 5: {42, 56}}}, []string{"crash n2 39-39", "crashes together n2+n5 39-41", "crash n5 41-41", "cold start n2 55-65", "cold start n5 56-66"}},
		"a slow box":        {scenario{boxes: 8, seconds: 90, slow: map[int][2]int{3: {40, 60}}}, []string{"slow box n3 42-61"}},
		"a burst":           {scenario{boxes: 8, seconds: 90, burst: [2]int{40, 47}}, []string{"burst 8 boxes 40-47"}},
		"slow box in burst": {scenario{boxes: 8, seconds: 90, burst: [2]int{40, 47}, slow: map[int][2]int{3: {35, 60}}}, []string{"slow box n3 37-61", "burst 8 boxes 40-47"}},
		"overload":          {scenario{boxes: 8, seconds: 90, reject: [2]int{50, 60}}, []string{"overload 8 boxes 50-60"}},
		"retry storm":       {scenario{boxes: 8, seconds: 90, retries: [2]int{50, 60}}, []string{"retry storm 8 boxes 50-60"}},
		"engine away":       {scenario{boxes: 8, seconds: 90, engine: map[int][2]int{6: {30, 36}}}, []string{"engine away n6 30-36"}},
		"a reload":          {scenario{boxes: 8, seconds: 90, reload: map[int]int{6: 30}}, []string{"reload n6 30-30"}},
		"missing records":   {scenario{boxes: 8, seconds: 90, silent: map[int][2]int{4: {30, 40}}}, []string{"records missing n4 29-40"}},
	} {
		for seed := range uint64(5) {
			got := Find(c.day.play(seed), Settings{})
			var want []string
			for i, w := range c.want {
				want = append(want, w)
				if i < len(got) && near(summaries(got[i : i+1])[0], w) { // within one second
					want[i] = summaries(got[i : i+1])[0]
				}
			}
			if !slices.Equal(summaries(got), want) {
				t.Errorf("%s, seed %d:\n got %q\nwant %q", name, seed, summaries(got), c.want)
			}
		}
	}
}

// near reports whether two summaries are equal apart from at most one second at each end.
func near(a, b string) bool {
	var kind [2]string
	var from, to [2]int
	for i, text := range []string{a, b} {
		at := strings.LastIndex(text, " ")
		kind[i] = text[:at]
		fmt.Sscanf(text[at+1:], "%d-%d", &from[i], &to[i])
	}
	return kind[0] == kind[1] && max(from[0]-from[1], from[1]-from[0], to[0]-to[1], to[1]-to[0]) <= 1
}

// TestMissingRecordsLowerConfidence checks that a finding across a gap has a lower confidence and names the missing
// records.
func TestMissingRecordsLowerConfidence(t *testing.T) {
	whole := scenario{boxes: 8, seconds: 90, burst: [2]int{40, 47}, engine: map[int][2]int{4: {38, 50}}}
	withGap := whole
	withGap.silent = map[int][2]int{4: {41, 45}}
	sure, unsure := map[Kind]Finding{}, map[Kind]Finding{}
	for _, f := range Find(whole.play(1), Settings{}) {
		sure[f.Kind] = f
	}
	for _, f := range Find(withGap.play(1), Settings{}) {
		unsure[f.Kind] = f
	}
	for _, k := range []Kind{Burst, NoEngine} {
		a, b := sure[k], unsure[k]
		if b.Confidence >= a.Confidence || !strings.Contains(strings.Join(b.Evidence, " "), "missing") {
			t.Errorf("%s: confidence %v with all records and %v with a gap, evidence %v", k, a.Confidence, b.Confidence, b.Evidence)
		}
	}
	if _, ok := unsure[Missing]; !ok {
		t.Error("no finding reports the gap")
	}
}

func TestBoxWithoutRecordsAndTruncatedTail(t *testing.T) {
	boxes := scenario{boxes: 4, seconds: 60}.play(1)
	boxes[1].Incarnations[0].Events = boxes[1].Incarnations[0].Events[:20]
	boxes[1].Incarnations[0].Gaps = []Gap{{From: boxes[1].Incarnations[0].Events[19].At, Reason: "cut"}}
	got := Find(boxes, Settings{Expected: []string{"n0", "n9"}})
	if s := summaries(got); !slices.Equal(s, []string{"no records n9 0-59", "crash n1 19-19"}) {
		t.Fatalf("%q", s)
	}
	if f := got[1]; f.Confidence > 0.5 || !strings.Contains(strings.Join(f.Evidence, " "), "not known") {
		t.Errorf("truncated records are reported as a crash with confidence %v: %v", f.Confidence, f.Evidence)
	}
}

// TestSkewWidensFindingsOfSeveralBoxes checks that clock skew extends the intervals of findings of several boxes.
func TestSkewWidensFindingsOfSeveralBoxes(t *testing.T) {
	boxes := scenario{boxes: 8, seconds: 90, burst: [2]int{40, 47}, drain: map[int][3]int{1: {30, 33, 40}, 2: {34, 37, 44}}}.play(1)
	plain, wide := Find(boxes, Settings{}), Find(boxes, Settings{MaxSkew: 3 * s})
	if len(plain) != len(wide) {
		t.Fatalf("%d and %d findings", len(plain), len(wide))
	}
	find := func(list []Finding, k Kind) Finding {
		return list[slices.IndexFunc(list, func(f Finding) bool { return f.Kind == k })]
	}
	for _, k := range []Kind{Burst, Deploy} {
		a, b := find(plain, k), find(wide, k)
		if a.From-b.From != 3*s || b.To-a.To != 3*s {
			t.Errorf("%s: interval %v-%v became %v-%v", k, a.From, a.To, b.From, b.To)
		}
	}
}

// TestEarliestFindingIsMarkedFirst checks that of overlapping findings the earliest is marked.
func TestEarliestFindingIsMarkedFirst(t *testing.T) {
	list := Find(scenario{boxes: 8, seconds: 120, burst: [2]int{40, 50}, reject: [2]int{42, 55}, reload: map[int]int{0: 100}}.play(1), Settings{})
	var first []Kind
	for _, f := range list {
		if f.First {
			first = append(first, f.Kind)
		}
	}
	if !slices.Equal(first, []Kind{Burst, Reloaded}) {
		t.Errorf("marked as first: %v of %q", first, summaries(list))
	}
}

// TestRandomRecordsGiveOrderedFindings feeds random incarnations: no panic, valid and ordered findings, every gap reported.
func TestRandomRecordsGiveOrderedFindings(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		boxes := make([]Box, rapid.IntRange(1, 5).Draw(rt, "boxes"))
		gaps := 0
		for i := range boxes {
			boxes[i] = Box{Name: fmt.Sprint("n", i), Incarnations: []Incarnation{{Name: "a"}}}
		}
		now := testkit.StartTime
		pick := func(rt *rapid.T) *Box { return &boxes[rapid.IntRange(0, len(boxes)-1).Draw(rt, "box")] }
		return map[string]func(*rapid.T){
			"event": func(rt *rapid.T) {
				b := pick(rt)
				l := &b.Incarnations[len(b.Incarnations)-1]
				now += time.Duration(rapid.IntRange(-500, 3000).Draw(rt, "ms")) * time.Millisecond
				l.Events = append(l.Events, Event{At: now, Kind: EventKind(rapid.IntRange(1, 8).Draw(rt, "kind")), OK: rapid.Bool().Draw(rt, "ok"),
					Read: rapid.IntRange(0, 50).Draw(rt, "read"), Served: rapid.IntRange(0, 50).Draw(rt, "served"), Running: rapid.IntRange(0, 9).Draw(rt, "running")})
			},
			"life": func(rt *rapid.T) {
				b := pick(rt)
				b.Incarnations = append(b.Incarnations, Incarnation{Name: fmt.Sprint(len(b.Incarnations))})
			},
			"gap": func(rt *rapid.T) {
				b := pick(rt)
				l := &b.Incarnations[len(b.Incarnations)-1]
				l.Gaps = append(l.Gaps, Gap{From: now, To: now + s, Reason: "absent"})
				gaps++
			},
			"": func(rt *rapid.T) {
				list, n := Find(boxes, Settings{MaxSkew: s}), 0
				for i, f := range list {
					if i > 0 && f.From < list[i-1].From || len(f.Boxes) == 0 || len(f.Evidence) == 0 || f.Confidence <= 0 || f.Confidence > 1 {
						rt.Fatalf("finding %+v", f)
					}
					if f.Kind == Missing {
						n++
					}
				}
				if n != gaps {
					rt.Fatalf("%d gaps, %d reported", gaps, n)
				}
			},
		}
	})
}
