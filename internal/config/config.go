// Package config reads the appliance's configuration, which is written in HCL. All errors in it are reported at once,
// each with its file and line and the expected value.
package config

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cairnlane/internal/fleet/peer"
	"cairnlane/internal/settings"
)

// Appliance is the configuration of one box.
type Appliance struct {
	Replica  string `hcl:"replica" validate:"required"` // file with the site's settings, as the platform supplies them
	State    string `hcl:"state" validate:"required"`   // folder for the data that is kept across restarts
	Control  string `hcl:"control,optional"`            // socket for cairnctl; control.sock in the state folder by default
	Recorder bool   `hcl:"recorder,optional"`           // record the box's state over time, in the state folder
	Log      *Log   `hcl:"log,block"`
	TLS      *TLS   `hcl:"tls,block"`
	Fleet    *Fleet `hcl:"fleet,block"`

	Site *settings.Replica // read from Replica
	Path string
}

// Log configures the log.
type Log struct {
	Level  string `hcl:"level,optional" validate:"omitempty,oneof=debug info warn error"`
	Format string `hcl:"format,optional" validate:"omitempty,oneof=json text"`
}

// TLS configures the TLS listener and the source of its certificates.
type TLS struct {
	Listen       string        `hcl:"listen" validate:"required,address"`
	Challenge    string        `hcl:"challenge,optional" validate:"omitempty,oneof=http-01 tls-alpn-01"`
	HTTPListen   string        `hcl:"http_listen,optional" validate:"omitempty,address"` // for http-01
	SelfSigned   bool          `hcl:"self_signed,optional"`
	Contact      []string      `hcl:"contact,optional" validate:"dive,email"`
	Authorities  []Authority   `hcl:"authority,block" validate:"required,min=1,unique=Name,dive"`
	Certificates []Certificate `hcl:"certificate,block" validate:"required,min=1,unique=Name,dive"`
	PerHour      int           `hcl:"orders_per_hour,optional" validate:"omitempty,min=1,max=300"`
	PerWeek      int           `hcl:"orders_per_week,optional" validate:"omitempty,min=1,max=5000"`
}

// Authority is an ACME server.
type Authority struct {
	Name      string `hcl:"name,label" validate:"required,word"`
	Directory string `hcl:"directory" validate:"required,https"`
	Root      string `hcl:"root,optional"` // PEM file with its root certificate; the system's roots by default
	EAB       *EAB   `hcl:"account_binding,block"`
}

// EAB is the external account binding of an ACME account.
type EAB struct {
	KeyID   string `hcl:"key_id" validate:"required"`
	KeyFile string `hcl:"key_file" validate:"required"` // base64url, mode 0600
	Key     string // read from KeyFile
}

// Certificate is a certificate to obtain.
type Certificate struct {
	Name  string   `hcl:"name,label" validate:"required,word"`
	Hosts []string `hcl:"hosts" validate:"required,min=1,max=100,unique,dive,fqdn"`
}

// Fleet is the fleet that the box belongs to. The box's name in it is the name in the site's settings.
type Fleet struct {
	Listen      string `hcl:"listen" validate:"required,address"`
	KeyFile     string `hcl:"key_file" validate:"required"`                                   // one key per line, mode 0600; two keys during a change
	Maintenance int    `hcl:"maintenance_slots,optional" validate:"omitempty,min=1,max=1000"` // maximum number of boxes out of service at a time; 1 by default
	ElectionMS  int    `hcl:"election_ms,optional" validate:"omitempty,min=50,max=60000"`     // time without a leader before an election
	Peers       []Peer `hcl:"peer,block" validate:"required,min=1,max=1000,unique=Name,dive"`
}

// Peer is a box of the fleet. The list may include the box itself, so that all boxes can use the same list.
type Peer struct {
	Name    string `hcl:"name,label" validate:"required,word"`
	Address string `hcl:"address" validate:"required,address"`
}

// Addresses returns the peers' addresses by name.
func (f *Fleet) Addresses() map[string]string {
	m := map[string]string{}
	for _, p := range f.Peers {
		m[p.Name] = p.Address
	}
	return m
}

var shortName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// hints describe the expected value for each validation tag.
var hints = map[string]string{
	"required": "must be given", "address": `must be host:port, such as "127.0.0.1:7443"`, "oneof": "must be one of: %s",
	"email": "must be an address such as ops@site.example", "min": "must be %s at least", "max": "must be %s at most",
	"unique": "must not contain a name twice", "fqdn": "must be a full host name such as box1.site.example",
	"word":  "must be a short name of lower-case letters, digits, dots, dashes and underscores",
	"https": "must be an https URL, such as https://ca.example/directory",
}

// Load reads a configuration and the files that it names. The error lists everything that is wrong.
func Load(path string) (*Appliance, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parse(path, src)
}

func parse(path string, src []byte) (*Appliance, error) {
	file, diags := hclparse.NewParser().ParseHCL(src, path)
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	a := &Appliance{Path: path}
	diags = gohcl.DecodeBody(file.Body, nil, a)
	ranges := map[string]hcl.Range{}
	recordRanges(file.Body, reflect.TypeFor[Appliance](), "Appliance", ranges)
	if !diags.HasErrors() {
		diags = append(diags, a.check(ranges)...)
	}
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	return a, nil
}

// joinDiagnostics converts the errors among diagnostics to one error, with a line for each.
func joinDiagnostics(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		if d.Subject != nil {
			text = fmt.Sprintf("%s:%d: %s", d.Subject.Filename, d.Subject.Start.Line, text)
		}
		errs = append(errs, errors.New(strings.Join(strings.Fields(text), " ")))
	}
	return errors.Join(errs...)
}

// recordRanges records the source range of each attribute and block under the path that the validator uses for it.
func recordRanges(body hcl.Body, t reflect.Type, path string, ranges map[string]hcl.Range) {
	schema, _ := gohcl.ImpliedBodySchema(reflect.New(t).Elem().Interface())
	content, _, _ := body.PartialContent(schema)
	if content == nil {
		return
	}
	n := map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, kind, _ := strings.Cut(f.Tag.Get("hcl"), ",")
		if name == "" {
			continue
		}
		if attr := content.Attributes[name]; attr != nil {
			ranges[path+"."+f.Name] = attr.Expr.Range()
		}
		if kind != "block" {
			continue
		}
		for _, b := range content.Blocks.OfType(name) {
			sub, elem := path+"."+f.Name, f.Type
			if elem.Kind() == reflect.Slice {
				sub, elem = fmt.Sprintf("%s[%d]", sub, n[name]), elem.Elem()
				if n[name] == 0 {
					ranges[path+"."+f.Name] = b.DefRange
				}
			}
			if elem.Kind() == reflect.Pointer {
				elem = elem.Elem()
			}
			n[name]++
			ranges[sub] = b.DefRange
			recordRanges(b.Body, elem, sub, ranges)
		}
	}
}

// rangeOf returns the range of the field at path, or of the innermost enclosing one that has a range.
func rangeOf(ranges map[string]hcl.Range, path string) *hcl.Range {
	for path != "" {
		if r, ok := ranges[path]; ok {
			return &r
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			break
		}
		path = path[:end]
	}
	return nil
}

// check validates the values and reads the files that they name.
func (a *Appliance) check(ranges map[string]hcl.Range) (diags hcl.Diagnostics) {
	report := func(at, text string, args ...any) {
		d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(text, args...), Subject: rangeOf(ranges, at)}
		if d.Subject == nil {
			d.Subject = &hcl.Range{Filename: a.Path, Start: hcl.InitialPos}
		}
		diags = append(diags, d)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterValidation("word", func(l validator.FieldLevel) bool { return shortName.MatchString(l.Field().String()) })
	v.RegisterValidation("https", func(l validator.FieldLevel) bool {
		return strings.HasPrefix(l.Field().String(), "https://") && len(l.Field().String()) > len("https://")
	})
	v.RegisterValidation("address", func(l validator.FieldLevel) bool {
		_, port, err := net.SplitHostPort(l.Field().String())
		n, perr := strconv.ParseUint(port, 10, 16) // port 0 stands for any free port
		return err == nil && perr == nil && n <= 65535
	})
	var errs validator.ValidationErrors
	if err := v.StructExcept(a, "Site"); errors.As(err, &errs) {
		for _, e := range errs {
			hint := hints[e.Tag()]
			if strings.Contains(hint, "%s") {
				hint = fmt.Sprintf(hint, e.Param())
			}
			report(e.Namespace(), "%s is %q, it %s", attributeName(e), fmt.Sprint(e.Value()), hint)
		}
	} else if err != nil {
		report("Appliance", "%v", err)
	}
	if a.TLS != nil {
		a.TLS.check(filepath.Dir(a.Path), report)
	}
	if a.Fleet != nil {
		a.Fleet.KeyFile = resolvePath(filepath.Dir(a.Path), a.Fleet.KeyFile)
		if _, err := peer.LoadKeys(a.Fleet.KeyFile); err != nil {
			report("Appliance.Fleet.KeyFile", "%v", err)
		}
		a.Fleet.Maintenance = max(a.Fleet.Maintenance, 1)
	}
	var err error
	a.Replica = resolvePath(filepath.Dir(a.Path), a.Replica) // kept, as SIGHUP reads the file again
	if a.Site, err = settings.Load(a.Replica); err != nil {
		report("Appliance.Replica", "the site's settings: %v", err)
	}
	if a.Fleet != nil && a.Site != nil && !shortName.MatchString(a.Site.Name) {
		report("Appliance.Fleet", "the box is named %q in the site's settings, which %s", a.Site.Name, hints["word"])
	}
	if a.State = resolvePath(filepath.Dir(a.Path), a.State); a.Control == "" {
		a.Control = filepath.Join(a.State, "control.sock")
	} else {
		a.Control = resolvePath(filepath.Dir(a.Path), a.Control)
	}
	if len(a.Control) > 100 {
		report("Appliance.Control", "the path of the control socket has %d bytes; the system takes 100 at most; choose a shorter path", len(a.Control))
	}
	return diags
}

func (t *TLS) check(dir string, report func(string, string, ...any)) {
	if t.Challenge == "" {
		t.Challenge = "tls-alpn-01"
	}
	if t.Challenge == "http-01" && t.HTTPListen == "" {
		report("Appliance.TLS.Challenge", `http-01 needs http_listen, such as ":80", where the authority sends its validation requests`)
	}
	if t.PerHour > 0 && t.PerWeek > 0 && t.PerWeek < t.PerHour {
		report("Appliance.TLS.PerWeek", "orders_per_week is %d, it must be %d at least, which is orders_per_hour", t.PerWeek, t.PerHour)
	}
	for i := range t.Authorities {
		au, at := &t.Authorities[i], fmt.Sprintf("Appliance.TLS.Authorities[%d]", i)
		if au.Root != "" {
			if au.Root = resolvePath(dir, au.Root); !readable(au.Root) {
				report(at+".Root", "%s cannot be read; it must be a PEM file with the authority's root", au.Root)
			}
		}
		if au.EAB == nil {
			continue
		}
		au.EAB.KeyFile = resolvePath(dir, au.EAB.KeyFile)
		info, err := os.Stat(au.EAB.KeyFile)
		if err != nil {
			report(at+".EAB.KeyFile", "%v", err)
			continue
		}
		if info.Mode().Perm()&0o077 != 0 {
			report(at+".EAB.KeyFile", "other users can access %s; restrict it with: chmod 600", au.EAB.KeyFile)
		}
		raw, err := os.ReadFile(au.EAB.KeyFile)
		key := strings.TrimRight(strings.TrimSpace(string(raw)), "=")
		if _, derr := base64.RawURLEncoding.DecodeString(key); err != nil || derr != nil || len(key) < 22 {
			report(at+".EAB.KeyFile", "%s must contain the key in base64url, with at least 128 bits", au.EAB.KeyFile)
		}
		au.EAB.Key = key
	}
}

// attributeName returns the HCL name of the field that failed a validation.
func attributeName(e validator.FieldError) string {
	t := reflect.TypeFor[Appliance]()
	name := ""
	for _, part := range strings.Split(e.StructNamespace(), ".")[1:] {
		field, _, _ := strings.Cut(part, "[")
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		f, ok := t.FieldByName(field)
		if !ok {
			return e.Field()
		}
		name, _, _ = strings.Cut(f.Tag.Get("hcl"), ",")
		t = f.Type
	}
	return name
}

func resolvePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func readable(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	f.Close()
	return true
}
