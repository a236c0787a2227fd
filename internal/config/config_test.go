package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeConfig writes a configuration, with the files that it names beside it, and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string]string{"site.json": string(example), "root.pem": "x", "eab.key": "AAAAAAAAAAAAAAAAAAAAAAAAAAAA",
		"fleet.key": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n", "short.key": "AAAA\n", "appliance.hcl": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "appliance.hcl")
}

const validConfig = `
replica = "site.json"
state   = "state"

log {
  level = "debug"
}

tls {
  listen      = "127.0.0.1:7443"
  self_signed = true
  contact     = ["ops@site.example"]

  authority "main" {
    directory = "https://ca.example/directory"
    root      = "root.pem"
    account_binding {
      key_id   = "k1"
      key_file = "eab.key"
    }
  }
  authority "second" {
    directory = "https://other.example/directory"
  }
  certificate "site" {
    hosts = ["site.example", "www.site.example"]
  }
}

fleet {
  listen   = "127.0.0.1:7600"
  key_file = "fleet.key"
  peer "n0" {
    address = "127.0.0.1:7600"
  }
  peer "n1" {
    address = "127.0.0.1:7601"
  }
}
`

func TestLoad(t *testing.T) {
	path := writeConfig(t, validConfig)
	a, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Dir(path)
	if a.State != filepath.Join(dir, "state") || a.Control != filepath.Join(dir, "state", "control.sock") || a.Site.Name != "n0" ||
		a.TLS.Challenge != "tls-alpn-01" || a.TLS.Authorities[0].EAB.Key == "" || len(a.TLS.Certificates[0].Hosts) != 2 || a.TLS.Authorities[1].Name != "second" || a.Fleet.Maintenance != 1 || a.Fleet.Addresses()["n1"] != "127.0.0.1:7601" {
		t.Errorf("%+v %+v", a, a.TLS)
	}
}

// TestErrorsNameLineAndCorrection checks that each error has its line and the expected value, and that several errors are
// reported at once.
func TestErrorsNameLineAndCorrection(t *testing.T) {
	for name, tc := range map[string]struct {
		from, to string
		errors   []string
	}{
		"syntax":                {`replica = "site.json"`, `replica = `, []string{"appliance.hcl:2: Invalid expression"}},
		"unknown attribute":     {`self_signed = true`, `selfsigned = true`, []string{`:11: Unsupported argument`, `Did you mean "self_signed"?`}},
		"missing":               {`state   = "state"`, ``, []string{`Missing required argument`, `"state"`}},
		"wrong type":            {`self_signed = true`, `self_signed = "perhaps"`, []string{":11: ", "bool"}},
		"level":                 {`"debug"`, `"loud"`, []string{`:6: level is "loud", it must be one of: debug info warn error`}},
		"address":               {`"127.0.0.1:7443"`, `"nowhere"`, []string{`:10: listen is "nowhere", it must be host:port`}},
		"directory without TLS": {`https://ca.example`, `http://ca.example`, []string{`:15: directory is "http://ca.example/directory", it must be an https URL`}},
		"host":                  {`"www.site.example"`, `"no name"`, []string{`:26: hosts is "no name", it must be a full host name`}},
		"contact":               {`"ops@site.example"`, `"ops"`, []string{`:12: contact is "ops", it must be an address`}},
		"authority twice":       {`authority "second"`, `authority "main"`, []string{`it must not contain a name twice`}},
		"label":                 {`certificate "site"`, `certificate "../x"`, []string{`:25: name is "../x", it must be a short name`}},
		"root":                  {`"root.pem"`, `"none.pem"`, []string{`:16: `, "none.pem cannot be read"}},
		"account binding":       {`"eab.key"`, `"none.key"`, []string{`:19: `, "none.key"}},
		"no certificates":       {`certificate "site" {`, `certificates "site" {`, []string{`Unsupported block type`, `Did you mean "certificate"?`}},
		"fleet key":             {`"fleet.key"`, `"none.key"`, []string{`:32: `, "none.key"}},
		"short key":             {`"fleet.key"`, `"short.key"`, []string{`:32: fleet key: line 1 of`, "is not a key of 32 bytes in base64; make one with"}},
		"peer twice":            {`peer "n1"`, `peer "n0"`, []string{`it must not contain a name twice`}},
		"peer's address":        {`"127.0.0.1:7601"`, `"n1"`, []string{`:37: address is "n1", it must be host:port`}},
		"http-01":               {`self_signed = true`, `challenge = "http-01"`, []string{`:11: http-01 needs http_listen`}},
		"budget":                {`self_signed = true`, "orders_per_hour = 9\n orders_per_week = 3", []string{`orders_per_week is 3, it must be 9 at least`}},
		"settings":              {`"site.json"`, `"none.json"`, []string{`:2: the site's settings`, "none.json"}},
		"control":               {`state   = "state"`, "state = \"state\"\ncontrol = \"" + strings.Repeat("x", 120) + `"`, []string{"the system takes 100"}},
		"several": {"listen      = \"127.0.0.1:7443\"\n  self_signed = true", "listen = \"x\"\n self_signed = true\n challenge = \"dns-01\"",
			[]string{`:10: listen is "x"`, `:12: challenge is "dns-01", it must be one of: http-01 tls-alpn-01`}},
	} {
		text := strings.Replace(validConfig, tc.from, tc.to, 1)
		if text == validConfig {
			t.Fatalf("%s: the replacement changes nothing", name)
		}
		_, err := Load(writeConfig(t, text))
		for _, want := range tc.errors {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v\nwant %s", name, err, want)
			}
		}
	}
}

func TestReadableBindingKeyIsRejected(t *testing.T) {
	path := writeConfig(t, validConfig)
	os.Chmod(filepath.Join(filepath.Dir(path), "eab.key"), 0o644)
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "chmod 600") {
		t.Errorf("%v", err)
	}
}

func TestDeployExampleIsValid(t *testing.T) {
	if _, err := Load("../../deploy/appliance.hcl"); err != nil {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, src []byte) {
		if a, err := parse("x/appliance.hcl", src); err == nil && (a.Replica == "" || a.Site == nil) {
			t.Error("a configuration without the site's settings is accepted")
		}
	})
}
