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

// site is the example's configuration with its classes and tenants under other names and in another order.
type site struct {
	names map[string]string // by the example's
	order func(n, i int) int
	edit  func(family map[string]any)
}

var example = site{names: map[string]string{}, order: func(_, i int) int { return i }, edit: func(map[string]any) {}}

func (s site) name(of string) string {
	if n, ok := s.names[of]; ok {
		return n
	}
	return of
}

// load writes the site's configuration and loads it, as a replica would.
func (s site) load(t *testing.T) *settings.Replica {
	t.Helper()
	raw, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var f map[string]any
	if err := json.Unmarshal(raw, &f); err != nil {
		t.Fatal(err)
	}
	in := f["settings"].(map[string]any)
	for _, key := range []string{"lanes", "tenants"} {
		old := in[key].([]any)
		list := make([]any, len(old))
		for i, item := range old {
			m := item.(map[string]any)
			m["name"] = s.name(m["name"].(string))
			list[s.order(len(old), i)] = m
		}
		in[key] = list
	}
	s.edit(in)
	if raw, err = json.Marshal(f); err != nil {
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

// course is a replica on a course of events that is drawn from a seed, and what it decided.
type course struct {
	*replica.Replica
	site    site
	clock   *testkit.Clock
	up      bool
	running []string
	told    []string
}

func (c *course) say(format string, a ...any) {
	c.told = append(c.told, fmt.Sprintf("%v ", c.clock.Now()-testkit.Start)+fmt.Sprintf(format, a...))
}
func (c *course) RequestGauges() bool                { return false }
func (c *course) Feed(txn string, _ []byte) bool     { c.say("feed %s", txn); return true }
func (c *course) Skip(txn string, notice int64) bool { c.say("skip %s %d", txn, notice); return true }
func (c *course) Run(txn, class string, _ []byte) bool {
	if c.up {
		c.running = append(c.running, txn)
		for old, new := range c.site.names {
			if class == new {
				class = old
				break
			}
		}
		c.say("run %s of %s", txn, class)
	}
	return c.up
}

// reply is a try's.
type reply struct {
	c   *course
	txn string
}

func (r reply) Answer(a replica.Answer) {
	r.c.say("%s: %d %q %v %v %v", r.txn, a.Kind, a.Body, a.RetryAfter, a.GiveUp, a.Signal)
}

// play has the site's replica go through the course and returns what it decided, under the example's names.
func (s site) play(t *testing.T, seed uint64) []string {
	t.Helper()
	cfg := s.load(t)
	c := &course{site: s, clock: testkit.NewClock(), up: true}
	var err error
	c.Replica, err = replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.OnCores, MaxResultBytes: 1 << 12}, c.clock, c, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	c.Attached(0, func() {})
	random := rand.New(rand.NewPCG(seed, 1))
	classes := []string{"segment-fetch", "lecture-page", "exam-revision", "note-save"}
	tenants := []string{"riverside-uni", "hills-college", "goldfields-tafe"}
	taken := 0
	for n := range 3000 {
		switch k := random.IntN(20); {
		case k < 11:
			q := replica.Request{Txn: fmt.Sprintf("%016x", n), Class: classes[random.IntN(4)], Tenant: tenants[random.IntN(3)], Caller: random.IntN(4),
				Retry: random.IntN(6) == 0, KB: 8 + 50*random.Float64(), Rank: random.Float64(), WaitLimit: time.Duration(500+random.IntN(4000)) * time.Millisecond}
			q.ArrivedAt = c.clock.Unix().Add(-time.Duration(random.IntN(300)) * time.Millisecond)
			q.IdempotencyKey = fmt.Sprint(q.Class, random.IntN(60))
			q.Body = []byte(q.IdempotencyKey)
			q.Class, q.Tenant, q.Reply = s.name(q.Class), s.name(q.Tenant), reply{c, q.Txn}
			if err := c.Arrive(q); err == nil {
				taken++
			} else {
				c.say("turned down")
			}
		case k < 17 && len(c.running) > 0:
			txn := c.running[0]
			c.running = c.running[1:]
			c.Done(txn, []policy.Outcome{policy.Succeeded, policy.Succeeded, policy.Succeeded, policy.Failed}[random.IntN(4)], time.Duration(100+random.IntN(400))*time.Millisecond, []byte("of "+txn))
		case k == 17:
			c.Gauges([]float64{0, 8 * random.Float64(), 0, 0})
		case k == 18 && n%11 == 0:
			if c.up = !c.up; c.up {
				c.Attached(c.clock.Now()-20*time.Millisecond, func() {})
			}
		default:
			c.clock.Advance(time.Duration(1+random.IntN(40)) * time.Millisecond)
		}
	}
	c.Drain(cfg.Stop)
	c.clock.Advance(10 * time.Second)
	if taken < 1000 || c.Unanswered() != 0 {
		t.Errorf("%d requests taken, %d owed", taken, c.Unanswered())
	}
	return c.told
}

// differ tells where two courses part.
func differ(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("decision %d: %s, and %s", i, a[i], b[i])
		}
	}
	if len(a) != len(b) {
		return fmt.Sprintf("%d and %d decisions", len(a), len(b))
	}
	return ""
}

var (
	// renamed has long names, one that begins with another's, and a class named like the example's other one.
	renamed = site{names: map[string]string{"segment-fetch": "note", "lecture-page": "note-index-of-all-that-was-ever-said-in-any-lecture-held-at-any-of-the-campuses",
		"exam-revision": "segment-fetch", "note-save": "é-quiz", "riverside-uni": "south", "hills-college": "south-annexe", "goldfields-tafe": strings.Repeat("far-", 40)},
		order: func(n, i int) int { return (i + n - 1) % n }, edit: example.edit}
	// other has other figures and no safe class but one.
	other = site{names: renamed.names, order: func(n, i int) int { return n - 1 - i }, edit: func(in map[string]any) {
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

// TestNamesAndOrderDecideNothing plays one course under the example's names and under others in another order, and demands
// the same decisions, renamed.
func TestNamesAndOrderDecideNothing(t *testing.T) {
	for seed := range uint64(4) {
		if at := differ(example.play(t, seed), renamed.play(t, seed)); at != "" {
			t.Errorf("seed %d: %s", seed, at)
		}
	}
}

// TestNothingOfOneSiteIsSeenInAnother plays two sites in one process, in turn. Each decides as in a process of its own.
func TestNothingOfOneSiteIsSeenInAnother(t *testing.T) {
	sites := map[string]site{"example": example, "other": other}
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
			t.Errorf("%s decides otherwise here than in a process of its own", name)
		}
	}
	if len(seen) != 2 {
		t.Errorf("%d ways to decide at two sites", len(seen))
	}
}

// TestThePlatformsProgramNamesNoSite looks for the names of any site in what the platform's program is built from.
func TestThePlatformsProgramNamesNoSite(t *testing.T) {
	cfg := example.load(t)
	names := []string{"perth-main", "swan coast", "malaga", "kewdale"}
	for _, c := range cfg.Policy.Classes {
		names = append(names, c.Name)
	}
	names = append(names, cfg.Tenants...)
	files, err := packages("cairnlane/cmd/cairnlane")
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
				t.Errorf("%s names %q", file, name)
			}
		}
	}
}

// packages lists the sources of a program that are ours.
func packages(program string) ([]string, error) {
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if eq .Module.Path "cairnlane"}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`, program).Output()
	return strings.Fields(string(out)), err
}
