package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/policy"
)

// Class is a class of requests, as clients ask for it.
type Class struct {
	policy.Class
	Share float64       // of the requests
	Work  time.Duration // mean
	CV    float64       // of the work
	Calls float64       // to the index that the boxes share, mean of a request
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name  string
	Share float64 // of the fleet's quota
}

// Site is what stays the same over days.
type Site struct {
	Machine
	Classes  []Class
	Tenants  []Tenant
	Hot      int           // the tenant that asks for more than its share on days that have one
	Quota    float64       // share of the capacity that the tenants' shares are parts of
	Over     float64       // what traffic beyond a share is worth
	MaxLater time.Duration // the longest advice to stay away that is honoured
	Heeded   time.Duration // how long a router goes by a free value
	ListLag  time.Duration // until routers learn of a box that came or went
	Index    Index         // of no use where the settings know no dependency

	read float64 // reading cost of a request, as a part of the mean work
	told settings.Settings
}

// Index is the dependency that all boxes call.
type Index struct {
	Slots int           // calls at a time; others wait
	Takes time.Duration // a call
}

// WorldFile is the name of a site's description, in the folder of the site's configuration.
const WorldFile = "world.json"

// ErrWorld marks a description that does not fit its site's settings.
var ErrWorld = errors.New(WorldFile)

// world is a site's description: what its settings do not say of clients, machines and dependency.
type world struct {
	// Settings are laid over those of the configuration, for what a lab's box is told otherwise.
	Settings json.RawMessage `json:"settings"`
	Classes  map[string]struct {
		Share  float64 `json:"share"`
		WorkMS float64 `json:"work_ms"`
		CV     float64 `json:"cv"`
		Calls  float64 `json:"calls"`
	} `json:"classes"`
	Tenants   map[string]float64 `json:"tenants"`
	Hot       string             `json:"hot"`
	Quota     float64            `json:"quota"`
	Over      float64            `json:"over_share_worth"`
	ListLagMS float64            `json:"list_lag_ms"`
	Read      float64            `json:"read"`
	ThrashAt  float64            `json:"thrash_at"`
	Thrash    float64            `json:"thrash"`
	Index     struct {
		Slots   int     `json:"slots"`
		TakesMS float64 `json:"takes_ms"`
	} `json:"index"`
}

// Open reads a site: the settings from a replica's configuration, and the description in the same folder. Classes and tenants of the
// description are found by their names; one that is missing, or that the settings do not know, is an ErrWorld.
func Open(config string) (Site, error) {
	told, err := settings.Read(config)
	if err != nil {
		return Site{}, err
	}
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(config), WorldFile))
	if err != nil {
		return Site{}, err
	}
	var w world
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&w); err != nil {
		return Site{}, fmt.Errorf("%w: %w", ErrWorld, err)
	}
	if len(w.Settings) > 0 {
		if err := json.Unmarshal(w.Settings, told); err != nil {
			return Site{}, fmt.Errorf("%w: settings: %w", ErrWorld, err)
		}
	}
	return w.site(told)
}

// millis is a span of a description.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (w world) site(told *settings.Settings) (Site, error) {
	c := told.Policy(0)
	s := Site{Quota: w.Quota, Over: w.Over, MaxLater: c.MaxHoldOff, Heeded: c.SignalLifetime, ListLag: millis(w.ListLagMS), Hot: -1, read: w.Read, told: *told,
		Index:   Index{Slots: w.Index.Slots, Takes: millis(w.Index.TakesMS)},
		Machine: Machine{Cores: c.Cores, ThrashAt: w.ThrashAt, Thrash: w.Thrash, ColdFrom: c.ColdFrom, ColdFor: c.ColdFor}}
	for _, k := range c.Classes {
		of, ok := w.Classes[k.Name]
		if !ok || !(of.WorkMS > 0) || !(of.Share > 0) {
			return Site{}, fmt.Errorf("%w: class %q needs a share and a work above 0", ErrWorld, k.Name)
		}
		s.Classes = append(s.Classes, Class{Class: k, Share: of.Share, Work: millis(of.WorkMS), CV: of.CV, Calls: of.Calls})
	}
	for i, t := range c.Tenants {
		share, ok := w.Tenants[t.Name]
		if !ok {
			return Site{}, fmt.Errorf("%w: tenant %q has no share", ErrWorld, t.Name)
		}
		if s.Tenants = append(s.Tenants, Tenant{t.Name, share}); t.Name == w.Hot {
			s.Hot = i
		}
	}
	switch {
	case len(w.Classes) != len(s.Classes) || len(w.Tenants) != len(s.Tenants):
		return Site{}, fmt.Errorf("%w: it names classes or tenants that the settings do not know", ErrWorld)
	case s.Hot < 0:
		return Site{}, fmt.Errorf("%w: the hot tenant %q is none of the settings'", ErrWorld, w.Hot)
	case s.calls() && (s.Index.Slots <= 0 || s.Index.Takes <= 0):
		return Site{}, fmt.Errorf("%w: the settings know an index that is called, and it has no slots", ErrWorld)
	}
	s.Read = s.reading()
	return s, nil
}

// calls tells whether requests call the index that the boxes share.
func (s Site) calls() bool { return s.told.Policy(0).Dependency == policy.SharedDependency }

func (s Site) reading() time.Duration { return time.Duration(s.read * float64(s.MeanWork())) }

// Faster is the same site at so many times its speed: what requests need and how long clients, routers and cold boxes take. What the
// platform's rules bound stays as it is.
func (s Site) Faster(times float64) Site {
	span := func(d time.Duration) time.Duration { return millis(float64(d) / float64(time.Millisecond) / times) }
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.Work, c.Aim, c.Deadline, c.DedupWindow = span(c.Work), span(c.Aim), span(c.Deadline), span(c.DedupWindow)
		classes[i] = c
	}
	s.Classes = classes
	s.MaxLater, s.Heeded, s.ColdFor, s.Index.Takes = span(s.MaxLater), span(s.Heeded), span(s.ColdFor), span(s.Index.Takes)
	s.Read = s.reading()
	return s
}

// MeanWork is that of a request.
func (s Site) MeanWork() time.Duration {
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Share * float64(c.Work)
	}
	return time.Duration(mean)
}

// Capacity is how many requests a second so many warm boxes serve at the most, each read once.
func (s Site) Capacity(boxes int) float64 {
	return float64(boxes*s.Cores) / (s.MeanWork() + s.Read).Seconds()
}

// Policy is what a box's module is told of the site.
func (s Site) Policy(seed int64, routers int) policy.Config {
	c := s.told.Policy(seed)
	c.Cores, c.ColdFrom, c.ColdFor, c.Callers, c.SignalLifetime, c.MaxHoldOff = s.Cores, s.ColdFrom, s.ColdFor, routers, s.Heeded, s.MaxLater
	c.Classes = nil
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, k.Class)
	}
	return c
}
