package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// site is a deployment: the settings of its replicas and what the stand-ins need of them.
type site struct {
	settings map[string]any
	reads    []string      // classes that may run again, in the order of the settings
	keyed    string        // the keyed class
	window   time.Duration // in which a keyed request may come again
	tenants  []string
}

// readSite reads the settings that the cases use.
func readSite() (*site, error) {
	const path = "review/probe/perth.json"
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &site{}
	var known struct {
		Lanes []struct {
			Name, Semantics string
			Window          int64 `json:"dedup-window"`
		}
		Tenants []struct{ Name string }
	}
	if err := errors.Join(json.Unmarshal(raw, &s.settings), json.Unmarshal(raw, &known)); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, l := range known.Lanes {
		if l.Semantics == "idempotency_key" {
			s.keyed, s.window = l.Name, time.Duration(l.Window)*time.Microsecond
		} else {
			s.reads = append(s.reads, l.Name)
		}
	}
	for _, t := range known.Tenants {
		s.tenants = append(s.tenants, t.Name)
	}
	if len(s.reads) < 3 || s.keyed == "" || len(s.tenants) < 2 {
		return nil, fmt.Errorf("%s: three classes of reads, a keyed class and two tenants are needed", path)
	}
	return s, nil
}
