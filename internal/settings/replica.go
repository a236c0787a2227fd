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

// Replica is the configuration of one real replica.
type Replica struct {
	Name, Listen, Engine, Directory string
	Index                           string // the shared index that running requests call; empty at sites without calls
	Seed                            int64
	Stop                            time.Duration // from the notice to leave to the kill
	Limits                          Limits
	Settings                        *Settings
	Policy                          policy.Config
	Tenants                         []string
	OnCores                         int    // the place of that gauge among the engine's gauges
	Control                         string // the operators' address; empty where there is none
	Inherited                       int    // descriptor of the listening socket; 0 if the process opens its own
	Folder                          string // that both processes of a replacement share; empty where none is possible
}

// Limits belong to the program.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the configuration at path. Its errors name what is wrong in it.
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

// firstInherited is the lowest descriptor that can be a listening socket: those before it are the standard streams.
const firstInherited = 3

// Environment takes what the platform tells a process beside the configuration: the operators' address, which is
// another one for each process of a replacement, and the listening socket that they share.
func (r *Replica) Environment(get func(name string) string) error {
	if addr := get("RELAY_CONTROL"); addr != "" {
		if err := checkControl(addr); err != nil {
			return fmt.Errorf("RELAY_CONTROL %w", err)
		}
		r.Control = addr
	}
	if fd := get("RELAY_INHERITED_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < firstInherited {
			return fmt.Errorf("RELAY_INHERITED_FD must be the number of a descriptor, %d or above, is %q", firstInherited, fd)
		}
		if r.Folder = get("TMPDIR"); r.Folder == "" {
			return errors.New("TMPDIR is not set; with RELAY_INHERITED_FD it names the folder that both processes of a replacement share")
		}
		r.Inherited = n
	}
	return nil
}

// Reload reads the configuration at path anew for a replica that serves under r. The addresses of the
// engine and the catalog may change; what the replica is and how it decides may not, since its requests,
// keys and estimates go on. The seed is new with each start only.
func (r *Replica) Reload(path string) (*Replica, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	next.Seed, next.Policy.Seed = r.Seed, r.Policy.Seed
	next.Control, next.Inherited, next.Folder = r.Control, r.Inherited, r.Folder
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
		log.Printf("configuration: other %s need a restart; only the addresses are taken", strings.Join(changed, ", "))
		taken := *next
		*next = *r
		next.Engine, next.Directory, next.Index, next.Stop = taken.Engine, taken.Directory, taken.Index, taken.Stop
	}
	return next, nil
}

// sameSettings compares what two configurations tell the module, tenants apart.
func sameSettings(a, b *Replica) bool {
	first, second := a.Policy, b.Policy
	first.Tenants, second.Tenants = nil, nil
	return reflect.DeepEqual(first, second) && a.OnCores == b.OnCores
}

func parse(raw []byte) (*Replica, error) {
	var f struct {
		Name, Listen, Engine, Directory, Seed string
		Control, Index                        string
		StopMS                                float64 `json:"stop_ms"`
		Limits                                Limits
		Settings                              json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if f.Name == "" {
		return nil, errors.New(`configuration: "name" is missing`)
	}
	for key, addr := range map[string]string{"listen": f.Listen, "engine": f.Engine, "directory": f.Directory} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("configuration: %q must be host:port, is %q", key, addr)
		}
	}
	if err := checkControl(f.Control); err != nil {
		return nil, fmt.Errorf(`configuration: "control" %w`, err)
	}
	if _, _, err := net.SplitHostPort(f.Index); f.Index != "" && err != nil {
		return nil, fmt.Errorf(`configuration: "index" must be host:port, is %q`, f.Index)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf(`configuration: "seed" must be up to 16 hex digits, is %q`, f.Seed)
	}
	if !(f.StopMS > 0 && f.StopMS < 1e9) {
		return nil, fmt.Errorf(`configuration: "stop_ms" must be above 0, is %g`, f.StopMS)
	}
	if !(f.Limits.Cores > 0) || f.Limits.MemoryMB <= 0 || f.Limits.Sockets <= 0 {
		return nil, fmt.Errorf(`configuration: "limits" must all be above 0, are %+v`, f.Limits)
	}
	if len(f.Settings) == 0 {
		return nil, errNoSettings
	}
	s, err := Decode(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	r := &Replica{Name: f.Name, Listen: f.Listen, Engine: f.Engine, Directory: f.Directory, Index: f.Index, Seed: int64(seed),
		Stop: time.Duration(f.StopMS * float64(time.Millisecond)), Limits: f.Limits, Settings: s,
		Policy: s.Policy(int64(seed)), OnCores: -1, Control: f.Control}
	for _, t := range s.Tenants {
		r.Tenants = append(r.Tenants, t.Name)
	}
	for i, m := range s.Family.Meters {
		if m == "on_cores" {
			r.OnCores = i
		}
	}
	return r, r.check()
}

// names checks those of classes and tenants: each is one word on the engine's link, and stands for one thing.
func names(s *Settings) error {
	seen := map[string]int{}
	for i, l := range s.Lanes {
		if l.Name == "" || strings.ContainsFunc(l.Name, func(c rune) bool { return unicode.IsSpace(c) || unicode.IsControl(c) }) {
			return fmt.Errorf("configuration: the name of class %d (settings, lanes) must be one word, is %q", i, l.Name)
		}
		if first, twice := seen[l.Name]; twice {
			return fmt.Errorf("configuration: classes %d and %d (settings, lanes) are both named %q", first, i, l.Name)
		}
		seen[l.Name] = i
	}
	clear(seen)
	for i, t := range s.Tenants {
		if first, twice := seen[t.Name]; twice {
			return fmt.Errorf("configuration: tenants %d and %d (settings, tenants) are both named %q", first, i, t.Name)
		}
		seen[t.Name] = i
	}
	return nil
}

// check turns down what the engine's protocol at this site cannot carry out.
func (r *Replica) check() error {
	if r.Policy.Halt != policy.NoHalt {
		return errors.New("configuration: the engine's protocol has no preemption, the settings want it")
	}
	switch {
	case r.Policy.Dependency == policy.NextTier:
		return errors.New("configuration: the settings want calls to a next tier, which the engine's protocol has not")
	case r.Policy.Dependency == policy.SharedDependency && r.Index == "":
		return errors.New(`configuration: the settings want calls to a shared index, and "index" is missing`)
	}
	if err := names(r.Settings); err != nil {
		return err
	}
	for _, l := range r.Settings.Lanes {
		if _, known := semantics[l.Semantics]; !known { // taken for safe, it could run twice
			return fmt.Errorf("configuration: class %q has unknown semantics %q", l.Name, l.Semantics)
		}
		if semantics[l.Semantics] == policy.Keyed && l.Window <= 0 {
			return fmt.Errorf(`configuration: class %q may come again and has no "dedup-window" above 0`, l.Name)
		}
	}
	if r.OnCores < 0 {
		return errors.New(`configuration: the settings list no gauge "on_cores"`)
	}
	return nil
}
