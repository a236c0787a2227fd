package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cairnlane/policy"
)

const example = "../../examples/config.json"

func readExample(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestLoadExample(t *testing.T) {
	r, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	c := r.Policy
	if r.StopTimeout != 3200*time.Millisecond || r.CoresGauge != 1 || c.Cores != 6 || c.Signal != policy.RankFloor ||
		c.MaxHoldOff != time.Second || c.AnswerSlack != 60*time.Millisecond || len(c.Classes) != 4 || len(r.Tenants) != 3 {
		t.Errorf("read %+v", r)
	}
	if k := c.Classes[3]; k.Semantics != policy.Keyed || k.DedupWindow != 9618*time.Millisecond || k.Worth != 4 {
		t.Errorf("class %+v", k)
	}
}

// TestReloadAppliesOnlyAddresses checks that a reload changes the addresses of the engine and the catalog and keeps
// the rest.
func TestReloadAppliesOnlyAddresses(t *testing.T) {
	r, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(old, new string) (*Replica, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(strings.Replace(readExample(t), old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return r.Reload(path)
	}
	for old, new := range map[string]string{`:4400`: `:4401`, `"seed": "8`: `"seed": "9`, `"cores": 6`: `"cores": 7`} {
		next, err := reload(old, new)
		if err != nil || next.Policy.Cores != 6 || next.Policy.Seed != r.Policy.Seed || (next.Engine != r.Engine) != (new == `:4401`) {
			t.Errorf("%s: %+v, error %v", new, next, err)
		}
	}
	// All other changes are ignored, also those of tenants: they must not appear in the configuration while requests are still
	// decided by the old ones.
	for old, new := range map[string]string{`"hills-college"`: `"hills"`, `"lecture-page"`: `"lectures"`, `"sockets": 1024`: `"sockets": 512`, `"engine": "127.0.0.1:4400"`: `"engine": "127.0.0.1:4401"`} {
		next, err := reload(old, new)
		if err != nil {
			t.Fatal(err)
		}
		next.Engine = r.Engine
		if next.Settings = r.Settings; !reflect.DeepEqual(next, r) {
			t.Errorf("%s: %+v, want %+v", new, next, r)
		}
	}
	for old, new := range map[string]string{`:7001`: `:7002`, `"name": "n0"`: `"name": "n1"`, `{`: `[`} {
		if _, err := reload(old, new); err == nil {
			t.Errorf("a reload with %s is accepted", new)
		}
	}
}

func TestInvalidConfigurationIsReported(t *testing.T) {
	valid := readExample(t)
	for want, change := range map[string][2]string{
		"configuration":     {"{", "["},
		`"name"`:            {`"name": "n0"`, `"name": ""`},
		`"listen"`:          {`"listen": "127.0.0.1:7001"`, `"listen": "here"`},
		`"seed"`:            {`"seed": "`, `"seed": "x`},
		`"stop_ms"`:         {`"stop_ms": 3200`, `"stop_ms": 0`},
		`"limits"`:          {`"sockets": 1024`, `"sockets": -1`},
		"preemption":        {`"preemption": "off"`, `"preemption": "drop"`},
		"calls":             {`"depends-on": "off"`, `"depends-on": "common"`},
		"next tier":         {`"depends-on": "off"`, `"depends-on": "next_hop"`},
		`"index" must be`:   {`"name": "n0"`, `"index": "here", "name": "n0"`},
		`"on_cores"`:        {`"on_cores"`, `"cores_on"`},
		"settings":          {`"cores": 6`, `"cores": "six"`},
		"must be one word":  {`"lecture-page"`, `"lecture page"`},
		"classes 0 and 1":   {`"lecture-page"`, `"segment-fetch"`},
		"tenants 0 and 1":   {`"hills-college"`, `"riverside-uni"`},
		`no "dedup-window"`: {`"dedup-window": 9618000`, `"dedup-window": 0`},
		"class \"note-save": {`"semantics": "idempotency_key"`, `"semantics": "odd"`},
	} {
		invalid := strings.Replace(valid, change[0], change[1], 1)
		if invalid == valid {
			t.Fatalf("the example does not contain %s", change[0])
		}
		if _, err := parse([]byte(invalid)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
	for _, path := range []string{"", "no such file"} {
		if _, err := Load(path); err == nil {
			t.Errorf("no error for path %q", path)
		}
	}
}

// TestSharedIndexSettingsAreAccepted checks that a replica accepts a site whose requests call a shared index.
func TestSharedIndexSettingsAreAccepted(t *testing.T) {
	raw := strings.Replace(readExample(t), `"depends-on": "off"`, `"depends-on": "common"`, 1)
	raw = strings.Replace(raw, `"name": "n0"`, `"index": "127.0.0.1:5432", "name": "n0"`, 1)
	r, err := parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if r.Index != "127.0.0.1:5432" || r.Policy.Dependency != policy.SharedDependency {
		t.Errorf("index %q, dependency %v", r.Index, r.Policy.Dependency)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	raw := strings.Replace(readExample(t), `"name": "n0"`, `"control": "127.0.0.1:9000", "name": "n0"`, 1)
	for _, c := range []struct {
		env     map[string]string
		control string
		fd      int
		err     string
	}{
		{nil, "127.0.0.1:9000", 0, ""},
		{map[string]string{"RELAY_CONTROL": "127.0.0.1:9001"}, "127.0.0.1:9001", 0, ""},
		{map[string]string{"RELAY_INHERITED_FD": "3", "TMPDIR": "/t"}, "127.0.0.1:9000", 3, ""},
		{map[string]string{"RELAY_CONTROL": "here"}, "", 0, "RELAY_CONTROL must be host:port"},
		{map[string]string{"RELAY_INHERITED_FD": "2", "TMPDIR": "/t"}, "", 0, "RELAY_INHERITED_FD must be the number of a descriptor"},
		{map[string]string{"RELAY_INHERITED_FD": "x", "TMPDIR": "/t"}, "", 0, "RELAY_INHERITED_FD must be the number of a descriptor"},
		{map[string]string{"RELAY_INHERITED_FD": "3"}, "", 0, "TMPDIR is not set"},
	} {
		r, err := parse([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		err = r.Environment(func(name string) string { return c.env[name] })
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%v: %v, want %s", c.env, err, c.err)
			}
			continue
		}
		if err != nil || r.AdminAddr != c.control || r.InheritedFD != c.fd || r.SharedFolder != c.env["TMPDIR"] {
			t.Errorf("%v: %v, control %s, descriptor %d, folder %s", c.env, err, r.AdminAddr, r.InheritedFD, r.SharedFolder)
		}
	}
	if _, err := parse([]byte(strings.Replace(raw, "127.0.0.1:9000", "9000", 1))); err == nil || !strings.Contains(err.Error(), `"control" must be host:port`) {
		t.Errorf("invalid control address: %v", err)
	}
}
