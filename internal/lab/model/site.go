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

// Class is a class of requests with its part of the client load.
type Class struct {
	policy.Class
	Share          float64       // of all requests
	Work           time.Duration // mean processor time of a request
	CV             float64       // coefficient of variation of the work
	MeanIndexCalls float64       // mean number of calls to the shared index per request
}

// Tenant is one of the tenants that share the fleet.
type Tenant struct {
	Name  string
	Share float64 // of the fleet's quota
}

// Site describes what all scenarios of a site have in common.
type Site struct {
	Machine
	Classes        []Class
	Tenants        []Tenant
	HotTenant      int           // index of the tenant whose load is above its share, in scenarios that have one
	Quota          float64       // part of the capacity that is divided into the tenants' shares
	OverShareWorth float64       // factor on the worth of traffic over a tenant's share
	MaxRetryAfter  time.Duration // longest retry-after delay that routers comply with
	SignalLifetime time.Duration // how long a router complies with a published value
	ListDelay      time.Duration // until routers learn of a box that started or died
	Index          Index         // unused if the settings have no dependency

	readShare float64 // cost of reading a request, as a fraction of the mean work
	settings  settings.Settings
}

// Index describes the dependency that all boxes call.
type Index struct {
	Slots        int           // calls served at a time; further ones are queued
	CallDuration time.Duration // duration of a call
}

// DescriptionFile is the file name of a site's description, which stands in the folder of the site's configuration.
const DescriptionFile = "world.json"

// ErrDescription is returned for a description that does not match the site's settings.
var ErrDescription = errors.New(DescriptionFile)

// description is the content of a DescriptionFile: the properties of clients, machines and dependency that the settings do not have.
type description struct {
	// Settings override those of the configuration for boxes in the lab.
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

// Open reads a site: the settings from a replica's configuration and the description from the same folder. Classes and tenants are
// matched by name. It returns an ErrDescription if one is missing in the description or unknown to the settings.
func Open(config string) (Site, error) {
	base, err := settings.Read(config)
	if err != nil {
		return Site{}, err
	}
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(config), DescriptionFile))
	if err != nil {
		return Site{}, err
	}
	var desc description
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&desc); err != nil {
		return Site{}, fmt.Errorf("%w: %w", ErrDescription, err)
	}
	if len(desc.Settings) > 0 {
		if err := json.Unmarshal(desc.Settings, base); err != nil {
			return Site{}, fmt.Errorf("%w: settings: %w", ErrDescription, err)
		}
	}
	return desc.build(base)
}

// millis converts milliseconds into a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// build combines the description with the settings.
func (d description) build(base *settings.Settings) (Site, error) {
	c := base.Policy(0)
	s := Site{Quota: d.Quota, OverShareWorth: d.Over, MaxRetryAfter: c.MaxHoldOff, SignalLifetime: c.SignalLifetime, ListDelay: millis(d.ListLagMS), HotTenant: -1, readShare: d.Read, settings: *base,
		Index:   Index{Slots: d.Index.Slots, CallDuration: millis(d.Index.TakesMS)},
		Machine: Machine{Cores: c.Cores, ThrashAt: d.ThrashAt, Thrash: d.Thrash, ColdFrom: c.ColdFrom, ColdFor: c.ColdFor}}
	for _, k := range c.Classes {
		described, ok := d.Classes[k.Name]
		if !ok || !(described.WorkMS > 0) || !(described.Share > 0) {
			return Site{}, fmt.Errorf("%w: class %q needs a share above 0 and a work_ms above 0", ErrDescription, k.Name)
		}
		s.Classes = append(s.Classes, Class{Class: k, Share: described.Share, Work: millis(described.WorkMS), CV: described.CV, MeanIndexCalls: described.Calls})
	}
	for i, t := range c.Tenants {
		share, ok := d.Tenants[t.Name]
		if !ok {
			return Site{}, fmt.Errorf("%w: tenant %q has no share", ErrDescription, t.Name)
		}
		if s.Tenants = append(s.Tenants, Tenant{t.Name, share}); t.Name == d.Hot {
			s.HotTenant = i
		}
	}
	switch {
	case len(d.Classes) != len(s.Classes) || len(d.Tenants) != len(s.Tenants):
		return Site{}, fmt.Errorf("%w: has %d classes and %d tenants, some of which the settings do not know", ErrDescription, len(d.Classes), len(d.Tenants))
	case s.HotTenant < 0:
		return Site{}, fmt.Errorf("%w: the settings have no tenant %q, which is named as the hot one", ErrDescription, d.Hot)
	case s.callsIndex() && (s.Index.Slots <= 0 || s.Index.CallDuration <= 0):
		return Site{}, fmt.Errorf("%w: the settings have an index dependency, but the index has no slots or no call duration", ErrDescription)
	}
	s.ReadWork = s.readWork()
	return s, nil
}

// callsIndex reports whether requests call the shared index.
func (s Site) callsIndex() bool { return s.settings.Policy(0).Dependency == policy.SharedDependency }

// readWork returns the processor time for reading one request.
func (s Site) readWork() time.Duration { return time.Duration(s.readShare * float64(s.MeanWork())) }

// SpedUp returns the site with all times of requests, clients, routers, cold boxes and the index divided by times. Times that the
// platform's rules set, such as ListDelay, stay unchanged.
func (s Site) SpedUp(times float64) Site {
	span := func(d time.Duration) time.Duration { return millis(float64(d) / float64(time.Millisecond) / times) }
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.Work, c.Aim, c.Deadline, c.DedupWindow = span(c.Work), span(c.Aim), span(c.Deadline), span(c.DedupWindow)
		classes[i] = c
	}
	s.Classes = classes
	s.MaxRetryAfter, s.SignalLifetime, s.ColdFor, s.Index.CallDuration = span(s.MaxRetryAfter), span(s.SignalLifetime), span(s.ColdFor), span(s.Index.CallDuration)
	s.ReadWork = s.readWork()
	return s
}

// MeanWork returns the mean processor time of a request.
func (s Site) MeanWork() time.Duration {
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Share * float64(c.Work)
	}
	return time.Duration(mean)
}

// Capacity returns the maximum number of requests per second that warm boxes serve, if each request is read once.
func (s Site) Capacity(boxes int) float64 {
	return float64(boxes*s.Cores) / (s.MeanWork() + s.ReadWork).Seconds()
}

// Policy returns the configuration of a box's policy module at the site.
func (s Site) Policy(seed int64, routers int) policy.Config {
	c := s.settings.Policy(seed)
	c.Cores, c.ColdFrom, c.ColdFor, c.Callers, c.SignalLifetime, c.MaxHoldOff = s.Cores, s.ColdFrom, s.ColdFor, routers, s.SignalLifetime, s.MaxRetryAfter
	c.Classes = nil
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, k.Class)
	}
	return c
}
