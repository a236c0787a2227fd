package settings_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

// site is a variant of the example's configuration: its classes and tenants may have other names and another order.
type site struct {
	names map[string]string // by the example's name; others are unchanged
	order func(n, i int) int
	edit  func(family map[string]any)
}

var exampleSite = site{names: map[string]string{}, order: func(_, i int) int { return i }, edit: func(map[string]any) {}}

func (s site) name(of string) string {
	if n, ok := s.names[of]; ok {
		return n
	}
	return of
}

// load writes the site's configuration to a file and loads it.
func (s site) load(t *testing.T) *settings.Replica {
	t.Helper()
	raw, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		t.Fatal(err)
	}
	instance := config["settings"].(map[string]any)
	for _, key := range []string{"lanes", "tenants"} {
		old := instance[key].([]any)
		list := make([]any, len(old))
		for i, item := range old {
			m := item.(map[string]any)
			m["name"] = s.name(m["name"].(string))
			list[s.order(len(old), i)] = m
		}
		instance[key] = list
	}
	s.edit(instance)
	if raw, err = json.Marshal(config); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// scenario is a replica with a fake engine, for random events that are drawn from a seed. It records the replica's decisions.
type scenario struct {
	*replica.Replica
	site      site
	clock     *testkit.Clock
	engineUp  bool
	running   []string
	decisions []string
}

func (c *scenario) record(format string, a ...any) {
	c.decisions = append(c.decisions, fmt.Sprintf("%v ", c.clock.Now()-testkit.StartTime)+fmt.Sprintf(format, a...))
}
func (c *scenario) RequestGauges() bool            { return false }
func (c *scenario) Feed(txn string, _ []byte) bool { c.record("feed %s", txn); return true }
func (c *scenario) Skip(txn string, notice int64) bool {
	c.record("skip %s %d", txn, notice)
	return true
}
func (c *scenario) Run(txn, class string, _ []byte) bool {
	if c.engineUp {
		c.running = append(c.running, txn)
		for old, new := range c.site.names {
			if class == new {
				class = old
				break
			}
		}
		c.record("run %s of %s", txn, class)
	}
	return c.engineUp
}

// reply records the answer of an attempt.
type reply struct {
	c   *scenario
	txn string
}

func (r reply) Answer(a replica.Answer) {
	r.c.record("%s: %d %q %v %v %v", r.txn, a.Kind, a.Body, a.RetryAfter, a.DoNotRetry, a.Signal)
}

// play runs the site's replica through random events and returns its decisions, under the example's names.
func (s site) play(t *testing.T, seed uint64) []string {
	t.Helper()
	cfg := s.load(t)
	sc := &scenario{site: s, clock: testkit.NewClock(), engineUp: true}
	var err error
	sc.Replica, err = replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.CoresGauge, MaxResultBytes: 1 << 12}, sc.clock, sc, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	sc.Attached(0, func() {})
	random := rand.New(rand.NewPCG(seed, 1))
	classes := []string{"segment-fetch", "lecture-page", "exam-revision", "note-save"}
	tenants := []string{"riverside-uni", "hills-college", "goldfields-tafe"}
	accepted := 0
	for n := range 3000 {
		switch k := random.IntN(20); {
		case k < 11:
			q := replica.Request{Txn: fmt.Sprintf("%016x", n), Class: classes[random.IntN(4)], Tenant: tenants[random.IntN(3)], Caller: random.IntN(4),
				Retry: random.IntN(6) == 0, KB: 8 + 50*random.Float64(), Rank: random.Float64(), WaitLimit: time.Duration(500+random.IntN(4000)) * time.Millisecond}
			q.ArrivedAt = sc.clock.Time().Add(-time.Duration(random.IntN(300)) * time.Millisecond)
			q.IdempotencyKey = fmt.Sprint(q.Class, random.IntN(60))
			q.Body = []byte(q.IdempotencyKey)
			q.Class, q.Tenant, q.Reply = s.name(q.Class), s.name(q.Tenant), reply{sc, q.Txn}
			if err := sc.Arrive(q); err == nil {
				accepted++
			} else {
				sc.record("rejected as malformed")
			}
		case k < 17 && len(sc.running) > 0:
			txn := sc.running[0]
			sc.running = sc.running[1:]
			sc.Done(txn, []policy.Outcome{policy.Succeeded, policy.Succeeded, policy.Succeeded, policy.Failed}[random.IntN(4)], time.Duration(100+random.IntN(400))*time.Millisecond, []byte("of "+txn))
		case k == 17:
			sc.Gauges([]float64{0, 8 * random.Float64(), 0, 0})
		case k == 18 && n%11 == 0:
			if sc.engineUp = !sc.engineUp; sc.engineUp {
				sc.Attached(sc.clock.Now()-20*time.Millisecond, func() {})
			}
		default:
			sc.clock.Advance(time.Duration(1+random.IntN(40)) * time.Millisecond)
		}
	}
	sc.Drain(cfg.StopTimeout)
	sc.clock.Advance(10 * time.Second)
	if accepted < 1000 || sc.Unanswered() != 0 {
		t.Errorf("%d requests accepted, %d unanswered", accepted, sc.Unanswered())
	}
	return sc.decisions
}

// firstDifference describes the first difference of two lists of decisions, or returns an empty string.
func firstDifference(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("decision %d: %s and %s", i, a[i], b[i])
		}
	}
	if len(a) != len(b) {
		return fmt.Sprintf("%d and %d decisions", len(a), len(b))
	}
	return ""
}

var (
	// renamedSite has long names, one that is the prefix of another, and a class with the name of another of the example's classes.
	renamedSite = site{names: map[string]string{"segment-fetch": "note", "lecture-page": "note-index-of-all-that-was-ever-said-in-any-lecture-held-at-any-of-the-campuses",
		"exam-revision": "segment-fetch", "note-save": "é-quiz", "riverside-uni": "south", "hills-college": "south-annexe", "goldfields-tafe": strings.Repeat("far-", 40)},
		order: func(n, i int) int { return (i + n - 1) % n }, edit: exampleSite.edit}
	// otherSite has other settings and only one safe class.
	otherSite = site{names: renamedSite.names, order: func(n, i int) int { return n - 1 - i }, edit: func(in map[string]any) {
		for i, l := range in["lanes"].([]any) {
			m := l.(map[string]any)
			m["aim"], m["deadline"], m["importance"] = 400000.0+100000*float64(i), 1200000.0+200000*float64(i), float64(1+i)
			if i < 3 {
				m["semantics"], m["dedup-window"] = "idempotency_key", 2500000.0+1000000*float64(i)
			}
		}
		in["family-info"].(map[string]any)["cores"] = 3.0
	}}
)

// TestNamesAndOrderDoNotAffectDecisions plays the same events with the example's names and with other names in another order. The
// decisions must be the same.
func TestNamesAndOrderDoNotAffectDecisions(t *testing.T) {
	for seed := range uint64(4) {
		if at := firstDifference(exampleSite.play(t, seed), renamedSite.play(t, seed)); at != "" {
			t.Errorf("seed %d: %s", seed, at)
		}
	}
}

// TestSitesInOneProcessAreIndependent plays two sites alternately in one process. Each must decide as in a process of its own.
func TestSitesInOneProcessAreIndependent(t *testing.T) {
	sites := map[string]site{"example": exampleSite, "other": otherSite}
	if alone, ok := sites[os.Getenv("CAIRNLANE_TEST_SITE")]; ok {
		fmt.Printf("decides %x\n", sha256.Sum256([]byte(strings.Join(alone.play(t, 1), "\n"))))
		return
	}
	seen := map[string]bool{}
	for _, name := range []string{"example", "other", "example", "other"} {
		cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), "CAIRNLANE_TEST_SITE="+name)
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		here := fmt.Sprintf("decides %x\n", sha256.Sum256([]byte(strings.Join(sites[name].play(t, 1), "\n"))))
		if seen[here] = true; !strings.Contains(string(out), here) {
			t.Errorf("%s decides differently than in a process of its own", name)
		}
	}
	if len(seen) != 2 {
		t.Errorf("%d different lists of decisions for two sites, want 2", len(seen))
	}
}

// TestPlatformProgramContainsNoSiteNames searches the sources of the platform's program for the names of sites.
func TestPlatformProgramContainsNoSiteNames(t *testing.T) {
	cfg := exampleSite.load(t)
	names := []string{"perth-main", "swan coast", "malaga", "kewdale"}
	for _, c := range cfg.Policy.Classes {
		names = append(names, c.Name)
	}
	names = append(names, cfg.Tenants...)
	files, err := sourceFiles("cairnlane/cmd/cairnlane")
	if err != nil || len(files) < 40 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range append(files, "../../deploy/balancer.toml") {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.Contains(strings.ToLower(string(raw)), name) {
				t.Errorf("%s contains the site name %q", file, name)
			}
		}
	}
}

// sourceFiles lists the source files of a program that belong to this module.
func sourceFiles(program string) ([]string, error) {
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if eq .Module.Path "cairnlane"}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`, program).Output()
	return strings.Fields(string(out)), err
}
