package rig

import (
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/policy"
)

// Traffic is the tenant and the classes that a load uses, taken from a site's settings.
type Traffic struct {
	Tenant string
	Safe   string // a class whose requests may run more than once; empty if all classes are keyed
	Keyed  []KeyedClass
	Calls  bool // runs call the index, which all replicas share
}

// KeyedClass is a class whose requests with the same idempotency key run once within Window. A replica must store the key that long.
type KeyedClass struct {
	Name   string
	Window time.Duration
}

// ErrNoTraffic is returned for settings without a class that a load can use.
var ErrNoTraffic = errors.New("rig: no class usable for a load")

// ReadTraffic reads a replica's configuration file and selects the first tenant, the first safe class and all keyed classes.
func ReadTraffic(config string) (t Traffic, err error) {
	s, err := settings.Read(config)
	if err != nil {
		return t, err
	}
	cfg := s.Policy(0)
	t.Calls = cfg.Dependency == policy.SharedDependency
	if len(cfg.Tenants) > 0 {
		t.Tenant = cfg.Tenants[0].Name
	}
	for _, class := range cfg.Classes {
		switch {
		case class.Semantics == policy.Keyed:
			t.Keyed = append(t.Keyed, KeyedClass{class.Name, class.DedupWindow})
		case class.Semantics == policy.Safe && t.Safe == "":
			t.Safe = class.Name
		}
	}
	if t.Safe == "" && len(t.Keyed) == 0 {
		return t, fmt.Errorf("%w: %s has neither a safe class nor a keyed one", ErrNoTraffic, config)
	}
	return t, nil
}
