package wire

import (
	"strings"
	"testing"
)

func TestDecode(t *testing.T) {
	b, err := Decode([]byte(`{"moment":5,"unknown":1,"items":[{"m":"inbound","who":"server/3","ticket":7,` +
		`"class":"a","team":"x","rank":0.5,"due":9,"strange":[1]},{"m":"inbound","who":"server/3","team":0}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if e := b.Events[0]; b.Time != 5 || e.RequestID != 7 || e.Rank != 0.5 || e.Due != 9 {
		t.Errorf("decoded %+v", b)
	}
}

func TestDecodeRejectsMalformedBatches(t *testing.T) {
	for _, line := range []string{"", "x", "[]", "{}", `{"moment":1}`, `{"items":[]}`, `{"moment":"1","items":[]}`,
		`{"moment":1,"items":[{"m":5}]}`} {
		if _, err := Decode([]byte(line)); err == nil {
			t.Errorf("no error for %q", line)
		}
	}
}

func TestEncode(t *testing.T) {
	zero, after := 0.0, int64(10)
	out, err := Encode([]Action{{Name: "signal", Instance: "server/1", Value: &zero}, {Name: "notify-me", Instance: "server/1", After: &after}})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"actions":[{"m":"signal","who":"server/1","x":0},{"m":"notify-me","who":"server/1","after":10}]}` + "\n"
	if string(out) != want {
		t.Errorf("encoded %s", out)
	}
	if out, _ := Encode(nil); strings.TrimSpace(string(out)) != `{"actions":[]}` {
		t.Errorf("encoded empty reply %s", out)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"moment":5,"items":[{"m":"inbound","who":"server/3","ticket":7}]}`))
	f.Add([]byte(`{"moment":5,"items":[{"m":"fired","who":"server/3","usage":{"on_cores":3}}]}`))
	f.Add([]byte(`{"items":null}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if b, err := Decode(line); (b == nil) == (err == nil) {
			t.Errorf("batch %v with error %v", b, err)
		}
	})
}
