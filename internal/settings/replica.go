package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"cairnlane/policy"
)

// Replica is the configuration of one replica process.
type Replica struct {
	Name, Listen, Engine, CatalogAddr string
	Index                             string // the shared index that running requests call; empty at sites without calls
	Seed                              int64
	StopTimeout                       time.Duration // time from the drain notice to the kill
	Limits                            Limits
	Settings                          *Settings
	Policy                            policy.Config
	Tenants                           []string
	CoresGauge                        int    // index of the on_cores gauge among the engine's gauges
	AdminAddr                         string // address of the admin listener; empty for none
	InheritedFD                       int    // descriptor of the listening socket; 0 if the process opens its own
	SharedFolder                      string // folder that both processes of a replacement share; empty if replacement is not possible
}

// Limits are the resource limits of the replica process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads and checks the configuration at path. Its errors name the invalid setting.
func Load(path string) (*Replica, error) {
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set; it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return parse(raw)
}

func checkControl(addr string) error {
	if addr == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("must be host:port, is %q", addr)
	}
	return nil
}

// firstInherited is the lowest descriptor that can be a listening socket; those below are the standard streams.
const firstInherited = 3

// Environment applies the environment variables that the platform sets beside the configuration: the address of the admin
// listener, which differs between the two processes of a replacement, and the listening socket that they share.
func (r *Replica) Environment(get func(name string) string) error {
	if addr := get("RELAY_CONTROL"); addr != "" {
		if err := checkControl(addr); err != nil {
			return fmt.Errorf("RELAY_CONTROL %w", err)
		}
		r.AdminAddr = addr
	}
	if fd := get("RELAY_INHERITED_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < firstInherited {
			return fmt.Errorf("RELAY_INHERITED_FD must be the number of a descriptor, %d or higher, is %q", firstInherited, fd)
		}
		if r.SharedFolder = get("TMPDIR"); r.SharedFolder == "" {
			return errors.New("TMPDIR is not set; with RELAY_INHERITED_FD it names the folder that both processes of a replacement share")
		}
		r.InheritedFD = n
	}
	return nil
}

// Reload reads the configuration at path again for a replica that runs with r. The addresses of the engine, the
// catalog and the index and the stop time may change. The replica's name, address, settings and seed may not, as its
// requests, keys and estimates are kept.
func (r *Replica) Reload(path string) (*Replica, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	next.Seed, next.Policy.Seed = r.Seed, r.Policy.Seed
	next.AdminAddr, next.InheritedFD, next.SharedFolder = r.AdminAddr, r.InheritedFD, r.SharedFolder
	if next.Name != r.Name || next.Listen != r.Listen {
		return nil, fmt.Errorf("configuration: %s at %s cannot become %s at %s without a restart", r.Name, r.Listen, next.Name, next.Listen)
	}
	var changed []string
	for what, same := range map[string]bool{"settings": sameSettings(next, r),
		"tenants": slices.Equal(next.Policy.Tenants, r.Policy.Tenants), "limits": next.Limits == r.Limits} {
		if !same {
			changed = append(changed, what)
		}
	}
	if slices.Sort(changed); len(changed) > 0 {
		log.Printf("configuration: changed %s need a restart; only the addresses and stop_ms are applied", strings.Join(changed, ", "))
		loaded := *next
		*next = *r
		next.Engine, next.CatalogAddr, next.Index, next.StopTimeout = loaded.Engine, loaded.CatalogAddr, loaded.Index, loaded.StopTimeout
	}
	return next, nil
}

// sameSettings reports whether two configurations have the same policy settings, tenants aside.
func sameSettings(a, b *Replica) bool {
	first, second := a.Policy, b.Policy
	first.Tenants, second.Tenants = nil, nil
	return reflect.DeepEqual(first, second) && a.CoresGauge == b.CoresGauge
}

func parse(raw []byte) (*Replica, error) {
	var file struct {
		Name, Listen, Engine, Directory, Seed string
		Control, Index                        string
		StopMS                                float64 `json:"stop_ms"`
		Limits                                Limits
		Settings                              json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if file.Name == "" {
		return nil, errors.New(`configuration: "name" is missing`)
	}
	for key, addr := range map[string]string{"listen": file.Listen, "engine": file.Engine, "directory": file.Directory} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("configuration: %q must be host:port, is %q", key, addr)
		}
	}
	if err := checkControl(file.Control); err != nil {
		return nil, fmt.Errorf(`configuration: "control" %w`, err)
	}
	if _, _, err := net.SplitHostPort(file.Index); file.Index != "" && err != nil {
		return nil, fmt.Errorf(`configuration: "index" must be host:port, is %q`, file.Index)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf(`configuration: "seed" must be up to 16 hex digits, is %q`, file.Seed)
	}
	if !(file.StopMS > 0 && file.StopMS < 1e9) {
		return nil, fmt.Errorf(`configuration: "stop_ms" must be above 0, is %g`, file.StopMS)
	}
	if !(file.Limits.Cores > 0) || file.Limits.MemoryMB <= 0 || file.Limits.Sockets <= 0 {
		return nil, fmt.Errorf(`configuration: "limits" must all be above 0, are %+v`, file.Limits)
	}
	if len(file.Settings) == 0 {
		return nil, errNoSettings
	}
	s, err := Decode(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	r := &Replica{Name: file.Name, Listen: file.Listen, Engine: file.Engine, CatalogAddr: file.Directory, Index: file.Index, Seed: int64(seed),
		StopTimeout: time.Duration(file.StopMS * float64(time.Millisecond)), Limits: file.Limits, Settings: s,
		Policy: s.Policy(int64(seed)), CoresGauge: -1, AdminAddr: file.Control}
	for _, t := range s.Tenants {
		r.Tenants = append(r.Tenants, t.Name)
	}
	for i, m := range s.Family.Meters {
		if m == "on_cores" {
			r.CoresGauge = i
		}
	}
	return r, r.check()
}

// checkNames checks that the names of classes are single words, as the engine's line protocol requires, and that the names of
// classes and of tenants are unique.
func checkNames(s *Settings) error {
	indexByName := map[string]int{}
	for i, l := range s.Lanes {
		if l.Name == "" || strings.ContainsFunc(l.Name, func(c rune) bool { return unicode.IsSpace(c) || unicode.IsControl(c) }) {
			return fmt.Errorf("configuration: the name of class %d (settings, lanes) must be one word, is %q", i, l.Name)
		}
		if first, duplicate := indexByName[l.Name]; duplicate {
			return fmt.Errorf("configuration: classes %d and %d (settings, lanes) are both named %q", first, i, l.Name)
		}
		indexByName[l.Name] = i
	}
	clear(indexByName)
	for i, t := range s.Tenants {
		if first, duplicate := indexByName[t.Name]; duplicate {
			return fmt.Errorf("configuration: tenants %d and %d (settings, tenants) are both named %q", first, i, t.Name)
		}
		indexByName[t.Name] = i
	}
	return nil
}

// check rejects settings that the engine's protocol does not support.
func (r *Replica) check() error {
	if r.Policy.Halt != policy.NoHalt {
		return errors.New("configuration: the engine's protocol does not support preemption, which the settings require")
	}
	switch {
	case r.Policy.Dependency == policy.NextTier:
		return errors.New("configuration: the settings require calls to a next tier, which the engine's protocol does not support")
	case r.Policy.Dependency == policy.SharedDependency && r.Index == "":
		return errors.New(`configuration: the settings require calls to a shared index, but "index" is missing`)
	}
	if err := checkNames(r.Settings); err != nil {
		return err
	}
	for _, l := range r.Settings.Lanes {
		if _, known := semanticsByName[l.Semantics]; !known { // the zero value is Safe, so an unknown class could run twice
			return fmt.Errorf("configuration: class %q has unknown semantics %q", l.Name, l.Semantics)
		}
		if semanticsByName[l.Semantics] == policy.Keyed && l.Window <= 0 {
			return fmt.Errorf(`configuration: class %q has idempotency keys but no "dedup-window" above 0`, l.Name)
		}
	}
	if r.CoresGauge < 0 {
		return errors.New(`configuration: the meters in the settings do not include "on_cores"`)
	}
	return nil
}
