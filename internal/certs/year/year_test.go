package year

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/fake/authority"
)

// TestFaultsOver24DaysFailNoHandshake is a short form of `make year`.
func TestFaultsOver24DaysFailNoHandshake(t *testing.T) {
	dir := t.TempDir()
	f, err := Run(Config{Seed: 1, Days: 24, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.MissedBounds(); len(missed) > 0 || f.Kills == 0 || f.Drains == 0 || f.FullDisks == 0 {
		t.Errorf("missed: %s\n%s", strings.Join(missed, ", "), f)
	}
	csv, svg := filepath.Join(dir, "year.csv"), filepath.Join(dir, "year.svg")
	if err := f.WriteCSV(csv); err != nil {
		t.Error(err)
	}
	if err := f.WriteSVG(svg); err != nil {
		t.Error(err)
	}
	for path, want := range map[string]string{csv: "hours_left", svg: "<svg"} {
		if data, err := os.ReadFile(path); err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestMissedBoundsListsEachBound checks that each bound can be missed and is then reported.
func TestMissedBoundsListsEachBound(t *testing.T) {
	good := Figures{Handshakes: 1, Requests: 1, Swaps: 1}
	if len(good.MissedBounds()) > 0 {
		t.Errorf("figures within all bounds miss %v", good.MissedBounds())
	}
	for name, change := range map[string]func(*Figures){"handshakes_failed": func(f *Figures) { f.HandshakesFailed = 1 }, "ended_twice": func(f *Figures) { f.EndedTwice = 1 },
		"lost": func(f *Figures) { f.Lost = 1 }, "expired_s": func(f *Figures) { f.Expired = time.Second }, "most_calls_in_an_hour over 150": func(f *Figures) { f.MostInAnHour = 151 },
		"no requests": func(f *Figures) { f.Requests = 0 }} {
		f := good
		if change(&f); strings.Join(f.MissedBounds(), "") != name {
			t.Errorf("%s: MissedBounds returns %v", name, f.MissedBounds())
		}
	}
}

// TestBaselineExpiresOnlyInLongOutages checks the baseline with an outage that ends before the expiry and a longer one.
func TestBaselineExpiresOnlyInLongOutages(t *testing.T) {
	from := time.Unix(1_764_576_000, 0)
	outage := func(d time.Duration) Script {
		return Script{{From: from.Add(4 * day), To: from.Add(4*day + d), Kind: "down", fault: func(authority.Op) authority.Fault { return authority.Fault{DropRequest: true} }}}
	}
	if expired, orders, _ := baseline(outage(40*time.Hour), from, from.Add(10*day), 6*day); expired != 0 || orders < 40 {
		t.Errorf("outage of 40 hours: expired for %v, %d orders", expired, orders)
	}
	if expired, _, most := baseline(outage(60*time.Hour), from, from.Add(10*day), 6*day); expired < 11*time.Hour || expired > 13*time.Hour || most < 50 {
		t.Errorf("outage of 60 hours: expired for %v, %d orders in a week", expired, most)
	}
}

func TestScriptIsDeterministicForASeed(t *testing.T) {
	from := time.Unix(0, 0)
	a := drawScript(rand.New(rand.NewPCG(7, 7)), from, from.Add(365*day), 3*day, 9*day)
	b := drawScript(rand.New(rand.NewPCG(7, 7)), from, from.Add(365*day), 3*day, 9*day)
	if len(a) < 20 || len(a) != len(b) {
		t.Fatalf("%d and %d windows", len(a), len(b))
	}
	for i := range a {
		if a[i].From != b[i].From || a[i].Kind != b[i].Kind || i > 0 && a[i].From.Before(a[i-1].To) {
			t.Errorf("window %d differs or overlaps the one before: %v", i, a[i])
		}
	}
}
