// Package config reads the appliance's configuration, which is HCL. What is wrong in it is told all at once, each
// with its file and line and what would be right.
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
	Replica  string `hcl:"replica" validate:"required"` // the file with the site's settings, as the platform gives them
	State    string `hcl:"state" validate:"required"`   // folder for what outlives a restart
	Control  string `hcl:"control,optional"`            // socket for cairnctl; in the state folder if not given
	Recorder bool   `hcl:"recorder,optional"`           // keep a record of how the box stands, in the state folder
	Log      *Log   `hcl:"log,block"`
	TLS      *TLS   `hcl:"tls,block"`
	Fleet    *Fleet `hcl:"fleet,block"`

	Site *settings.Replica // read from Replica
	Path string
}

// Log is how the log is written.
type Log struct {
	Level  string `hcl:"level,optional" validate:"omitempty,oneof=debug info warn error"`
	Format string `hcl:"format,optional" validate:"omitempty,oneof=json text"`
}

// TLS is the listener for TLS and where its certificates come from.
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
	Root      string `hcl:"root,optional"` // PEM file with what to trust it by, if not by the system's roots
	EAB       *EAB   `hcl:"account_binding,block"`
}

// EAB binds the account to one that exists there.
type EAB struct {
	KeyID   string `hcl:"key_id" validate:"required"`
	KeyFile string `hcl:"key_file" validate:"required"` // base64url, mode 0600
	Key     string // read from KeyFile
}

// Certificate is one certificate.
type Certificate struct {
	Name  string   `hcl:"name,label" validate:"required,word"`
	Hosts []string `hcl:"hosts" validate:"required,min=1,max=100,unique,dive,fqdn"`
}

// Fleet is the fleet that the box is one of. The box's name in it is that of the site's settings.
type Fleet struct {
	Listen      string `hcl:"listen" validate:"required,address"`
	KeyFile     string `hcl:"key_file" validate:"required"`                                   // a key a line, mode 0600; two during a change
	Maintenance int    `hcl:"maintenance_slots,optional" validate:"omitempty,min=1,max=1000"` // boxes out of service at a time; 1 if not given
	ElectionMS  int    `hcl:"election_ms,optional" validate:"omitempty,min=50,max=60000"`     // without a leader, before another one is elected
	Peers       []Peer `hcl:"peer,block" validate:"required,min=1,max=1000,unique=Name,dive"`
}

// Peer is a box of the fleet. The box's own may be among them, so that all can have the same list.
type Peer struct {
	Name    string `hcl:"name,label" validate:"required,word"`
	Address string `hcl:"address" validate:"required,address"`
}

// Addresses are the peers' by name.
func (f *Fleet) Addresses() map[string]string {
	m := map[string]string{}
	for _, p := range f.Peers {
		m[p.Name] = p.Address
	}
	return m
}

var word = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// hints say what would be right, by the check that failed.
var hints = map[string]string{
	"required": "must be given", "address": `must be host:port, such as "127.0.0.1:7443"`, "oneof": "must be one of: %s",
	"email": "must be an address such as ops@site.example", "min": "must be %s at least", "max": "must be %s at most",
	"unique": "must not name one twice", "fqdn": "must be a full host name such as box1.site.example",
	"word":  "must be a short name of lower-case letters, digits, dots, dashes and underscores",
	"https": "must be an https URL, such as https://ca.example/directory",
}

// Load reads a file and all that it names. The error, if there is one, lists everything that is wrong.
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
		return nil, list(diags)
	}
	a := &Appliance{Path: path}
	diags = gohcl.DecodeBody(file.Body, nil, a)
	places := map[string]hcl.Range{}
	locate(file.Body, reflect.TypeFor[Appliance](), "Appliance", places)
	if !diags.HasErrors() {
		diags = append(diags, a.check(places)...)
	}
	if diags.HasErrors() {
		return nil, list(diags)
	}
	return a, nil
}

// list joins all that is wrong, a line each.
func list(diags hcl.Diagnostics) error {
	var all []error
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
		all = append(all, errors.New(strings.Join(strings.Fields(text), " ")))
	}
	return errors.Join(all...)
}

// locate notes where each attribute and block stands, under the path that the validator names it by.
func locate(body hcl.Body, t reflect.Type, at string, places map[string]hcl.Range) {
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
			places[at+"."+f.Name] = attr.Expr.Range()
		}
		if kind != "block" {
			continue
		}
		for _, b := range content.Blocks.OfType(name) {
			sub, elem := at+"."+f.Name, f.Type
			if elem.Kind() == reflect.Slice {
				sub, elem = fmt.Sprintf("%s[%d]", sub, n[name]), elem.Elem()
				if n[name] == 0 {
					places[at+"."+f.Name] = b.DefRange
				}
			}
			if elem.Kind() == reflect.Pointer {
				elem = elem.Elem()
			}
			n[name]++
			places[sub] = b.DefRange
			locate(b.Body, elem, sub, places)
		}
	}
}

// place is where something stands, or what it stands in.
func place(places map[string]hcl.Range, at string) *hcl.Range {
	for at != "" {
		if r, ok := places[at]; ok {
			return &r
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	return nil
}

// check validates the values and reads the files that are named.
func (a *Appliance) check(places map[string]hcl.Range) (diags hcl.Diagnostics) {
	wrong := func(at, text string, args ...any) {
		d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(text, args...), Subject: place(places, at)}
		if d.Subject == nil {
			d.Subject = &hcl.Range{Filename: a.Path, Start: hcl.InitialPos}
		}
		diags = append(diags, d)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterValidation("word", func(l validator.FieldLevel) bool { return word.MatchString(l.Field().String()) })
	v.RegisterValidation("https", func(l validator.FieldLevel) bool {
		return strings.HasPrefix(l.Field().String(), "https://") && len(l.Field().String()) > len("https://")
	})
	v.RegisterValidation("address", func(l validator.FieldLevel) bool {
		_, port, err := net.SplitHostPort(l.Field().String())
		n, perr := strconv.ParseUint(port, 10, 16) // port 0 is any that is free
		return err == nil && perr == nil && n <= 65535
	})
	var errs validator.ValidationErrors
	if err := v.StructExcept(a, "Site"); errors.As(err, &errs) {
		for _, e := range errs {
			hint := hints[e.Tag()]
			if strings.Contains(hint, "%s") {
				hint = fmt.Sprintf(hint, e.Param())
			}
			wrong(e.Namespace(), "%s is %q, it %s", attribute(e), fmt.Sprint(e.Value()), hint)
		}
	} else if err != nil {
		wrong("Appliance", "%v", err)
	}
	if a.TLS != nil {
		a.TLS.check(filepath.Dir(a.Path), wrong)
	}
	if a.Fleet != nil {
		a.Fleet.KeyFile = relative(filepath.Dir(a.Path), a.Fleet.KeyFile)
		if _, err := peer.LoadKeys(a.Fleet.KeyFile); err != nil {
			wrong("Appliance.Fleet.KeyFile", "%v", err)
		}
		a.Fleet.Maintenance = max(a.Fleet.Maintenance, 1)
	}
	var err error
	a.Replica = relative(filepath.Dir(a.Path), a.Replica) // it is read anew on SIGHUP
	if a.Site, err = settings.Load(a.Replica); err != nil {
		wrong("Appliance.Replica", "the site's settings: %v", err)
	}
	if a.Fleet != nil && a.Site != nil && !word.MatchString(a.Site.Name) {
		wrong("Appliance.Fleet", "the box is named %q in the site's settings, which %s", a.Site.Name, hints["word"])
	}
	if a.State = relative(filepath.Dir(a.Path), a.State); a.Control == "" {
		a.Control = filepath.Join(a.State, "control.sock")
	} else {
		a.Control = relative(filepath.Dir(a.Path), a.Control)
	}
	if len(a.Control) > 100 {
		wrong("Appliance.Control", "the path of the control socket has %d bytes; the system takes 100, so give a shorter one", len(a.Control))
	}
	return diags
}

func (t *TLS) check(dir string, wrong func(string, string, ...any)) {
	if t.Challenge == "" {
		t.Challenge = "tls-alpn-01"
	}
	if t.Challenge == "http-01" && t.HTTPListen == "" {
		wrong("Appliance.TLS.Challenge", `http-01 needs http_listen, such as ":80", where the authority asks`)
	}
	if t.PerHour > 0 && t.PerWeek > 0 && t.PerWeek < t.PerHour {
		wrong("Appliance.TLS.PerWeek", "orders_per_week is %d, it must be %d at least, which is orders_per_hour", t.PerWeek, t.PerHour)
	}
	for i := range t.Authorities {
		au, at := &t.Authorities[i], fmt.Sprintf("Appliance.TLS.Authorities[%d]", i)
		if au.Root != "" {
			if au.Root = relative(dir, au.Root); !exists(au.Root) {
				wrong(at+".Root", "%s cannot be read; it must be a PEM file with the authority's root", au.Root)
			}
		}
		if au.EAB == nil {
			continue
		}
		au.EAB.KeyFile = relative(dir, au.EAB.KeyFile)
		info, err := os.Stat(au.EAB.KeyFile)
		if err != nil {
			wrong(at+".EAB.KeyFile", "%v", err)
			continue
		}
		if info.Mode().Perm()&0o077 != 0 {
			wrong(at+".EAB.KeyFile", "others may read %s; take the rights away with: chmod 600", au.EAB.KeyFile)
		}
		raw, err := os.ReadFile(au.EAB.KeyFile)
		key := strings.TrimRight(strings.TrimSpace(string(raw)), "=")
		if _, derr := base64.RawURLEncoding.DecodeString(key); err != nil || derr != nil || len(key) < 22 {
			wrong(at+".EAB.KeyFile", "%s must hold the key as base64url, 128 bits at least", au.EAB.KeyFile)
		}
		au.EAB.Key = key
	}
}

// attribute names what failed a check as the file does.
func attribute(e validator.FieldError) string {
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

func relative(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func exists(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	f.Close()
	return true
}
