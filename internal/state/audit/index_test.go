package audit

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// folderFromScript builds the contents of a box's log folder from a script of words: "v7@100" is version 7 at index 100, "e5/7@120" an
// effect under token 5 and version 7. The words "m", "x" and "f" say that the last effect was made, not made or failed;
// "end" ends the process.
func folderFromScript(box, words string) *FolderContents {
	b := &FolderContents{Box: box}
	last, index := uint64(0), uint64(0)
	for i, w := range strings.Fields(words) {
		e := Entry{N: uint64(i + 1), Box: box, Chain: box + "-chain", At: time.Duration(i) * time.Hour}
		e.Index = index
		var n, k uint64
		switch {
		case w == "m":
			e.Kind, e.Ref, e.OK = EffectDone, last, true
		case w == "x":
			e.Kind, e.Ref, e.Text = EffectDone, last, "not made: late"
		case w == "f":
			e.Kind, e.Ref, e.Text = EffectDone, last, "refused"
		case w == "end":
			e.Kind = End
		case w[0] == 'v':
			fmt.Sscanf(w, "v%d@%d", &n, &e.Index)
			e.Kind, e.Build = Version, &Build{Fleet: n}
		default:
			fmt.Sscanf(w, "e%d/%d@%d", &n, &k, &e.Index)
			e.Kind, e.Task, e.Token, e.Under, last = Effect, "t", n, k, e.N
		}
		index = e.Index
		b.Entries = append(b.Entries, e)
	}
	return b
}

func testIndex() *Index {
	return NewIndex([]*FolderContents{
		folderFromScript("b", "v1@10 e2/1@15 m v2@30 e4/2@31 f"),
		folderFromScript("a", "v1@11 e1/1@12 m e3/1@35 m v2@50 e3/2@51 x end"),
		folderFromScript("c", "v2@29 v2@40 e5/2@41"),
	}, map[string][]ChainHead{"a": {{Chain: "a-chain", N: 1, Index: 20}, {Chain: "a-chain", N: 6, Index: 60}}, "b": {{Chain: "b-chain", N: 4, Index: 33}}})
}

func TestIndexAnswersQuestions(t *testing.T) {
	x := testIndex()
	got := map[string]string{}
	for _, index := range []uint64{5, 15, 25, 32, 35, 55, 61} {
		var s []string
		for _, w := range x.AtIndex(index) {
			s = append(s, fmt.Sprintf("%s%d %v", w.Box, w.Version.Fleet, w.Sure))
		}
		got[fmt.Sprint("at ", index)] = strings.Join(s, ", ")
	}
	for _, hours := range []int{0, 4, 20} {
		var s []string
		for _, w := range x.AtTime(time.Duration(hours)*time.Hour+30*time.Minute, time.Minute) {
			s = append(s, fmt.Sprintf("%s%d %v %v", w.Box, w.Version.Fleet, w.Sure, w.Stopped))
		}
		got[fmt.Sprint("hour ", hours)] = strings.Join(s, ", ")
	}
	if w := x.AtTime(5*time.Hour, 2*time.Hour); !w[0].Sure && !w[1].Sure {
		got["near a change"] = "not sure"
	}
	for _, n := range []uint64{1, 2, 3} {
		var s []string
		for _, r := range x.RunsOfConfig(n, 30) {
			s = append(s, fmt.Sprintf("%s %d-%d %v %d %d", r.Box, r.From, r.To, r.Until, r.Effects, r.Late))
		}
		got[fmt.Sprint("version ", n)] = strings.Join(s, ", ")
	}
	var s []string
	for _, a := range x.Effects("t") {
		s = append(s, fmt.Sprintf("%d %s%d %s %v", a.Token, a.Box, a.Under, a.Outcome, a.OrderUnknown))
	}
	got["effects"] = strings.Join(s, ", ")
	got["box"] = fmt.Sprint(len(x.EntriesOf("a")), len(x.EntriesOf("z")), len(x.RunsOf("c")), len(x.RunsOf("z")), x.Entries(), x.Boxes())
	for what, want := range map[string]string{
		"at 5":          "", // before the first entry of any box
		"at 15":         "a1 false, b1 false",
		"at 25":         "a1 true, b1 false", // a chain head proves that a had changed by then
		"at 32":         "a1 true, b2 false, c2 false",
		"at 35":         "a1 true, b2 true, c2 false",
		"at 55":         "a2 false, b2 true, c2 false",
		"at 61":         "a2 true, b2 true, c2 false",
		"hour 0":        "a1 true false, b1 true false, c2 true false",
		"hour 4":        "a1 true false, b2 true false, c2 true false",
		"hour 20":       "a2 true true, b2 true false, c2 true false",
		"near a change": "not sure",
		"version 1":     "b 10-30 true 1 0, a 11-50 true 2 1", // a ran an effect on 1 although it knew index 30
		"version 2":     "c 29-41 false 1 1, b 30-31 false 1 1, a 50-51 false 1 0",
		"version 3":     "",
		"effects":       "1 a1 made false, 2 b1 made false, 3 a1 made false, 3 a2 not made false, 4 b2 failed false, 5 c2 not known false",
		"box":           "9 0 1 0 18 [a b c]",
	} {
		if got[what] != want {
			t.Errorf("%s:\n got %s\nwant %s", what, got[what], want)
		}
	}
	if list := ScanRunsOfConfig([]*FolderContents{folderFromScript("b", "v1@10 e2/1@15 m v2@30 e4/2@31 f")}, 2); len(list) != 1 || list[0].Effects != 1 {
		t.Errorf("%+v", list)
	}
}

// TestPageIsSelfContainedAndEscaped checks that the page loads no other file and that log contents are not interpreted
// as markup.
func TestPageIsSelfContainedAndEscaped(t *testing.T) {
	x := NewIndex([]*FolderContents{folderFromScript("<b>", "v1@10 e2/1@15 m v2@30")}, nil)
	var out bytes.Buffer
	if err := x.WritePage(&out, []Fault{{Box: "<script>", What: "cut"}}); err != nil {
		t.Fatal(err)
	}
	s := out.String()
	if !strings.Contains(s, "<svg") || strings.Contains(s, "<script>") || strings.Contains(s, "<b>") || strings.Contains(s, "src=") || strings.Contains(s, "href=") || strings.Count(s, "<rect") != 3 {
		t.Error(s)
	}
}
