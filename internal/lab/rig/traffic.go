package rig

import (
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/policy"
)

// Traffic is what the requests of a load are: a tenant and classes of a site's settings.
type Traffic struct {
	Tenant string
	Safe   string // a class whose requests may run again; empty where all are keyed
	Keyed  []KeyedClass
	Calls  bool // runs call the index that all replicas share
}

// KeyedClass is a class of which a request with the same key runs once within a window. The rules have a replica keep the key for as long.
type KeyedClass struct {
	Name   string
	Window time.Duration
}

// ErrNoTraffic marks settings of which no load can be made.
var ErrNoTraffic = errors.New("rig: no traffic")

// TrafficOf takes it from a replica's configuration: the first tenant, the first safe class and all keyed ones.
func TrafficOf(config string) (t Traffic, err error) {
	s, err := settings.Read(config)
	if err != nil {
		return t, err
	}
	c := s.Policy(0)
	t.Calls = c.Dependency == policy.SharedDependency
	if len(c.Tenants) > 0 {
		t.Tenant = c.Tenants[0].Name
	}
	for _, k := range c.Classes {
		switch {
		case k.Semantics == policy.Keyed:
			t.Keyed = append(t.Keyed, KeyedClass{k.Name, k.DedupWindow})
		case k.Semantics == policy.Safe && t.Safe == "":
			t.Safe = k.Name
		}
	}
	if t.Safe == "" && len(t.Keyed) == 0 {
		return t, fmt.Errorf("%w: %s has neither a safe class nor a keyed one", ErrNoTraffic, config)
	}
	return t, nil
}
