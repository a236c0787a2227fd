package rig

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

const (
	lectures = "../../../examples/config.json"
	images   = "../../../examples/images/config.json"
)

// TestTrafficFromSettings checks that the tenant and the classes are selected by their properties, not by their place in the lists.
func TestTrafficFromSettings(t *testing.T) {
	const allKeyed = `{"settings":{"lanes":[{"name":"b","semantics":"idempotency_key","dedup-window":3000000}]}}`
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(allKeyed), 0o600); err != nil {
		t.Fatal(err)
	}
	for config, want := range map[string]Traffic{
		lectures: {Tenant: "riverside-uni", Safe: "segment-fetch", Keyed: []KeyedClass{{"note-save", 9618 * time.Millisecond}}},
		images:   {Tenant: "map-room", Safe: "view-scan", Keyed: []KeyedClass{{"save-label", 27600 * time.Millisecond}, {"move-scan", 18500 * time.Millisecond}}, Calls: true},
		path:     {Keyed: []KeyedClass{{"b", 3 * time.Second}}},
	} {
		if got, err := ReadTraffic(config); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v; want %+v", config, got, err, want)
		}
	}
	if err := os.WriteFile(path, []byte(`{"settings":{"lanes":[{"name":"c","semantics":"non_idempotent"}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadTraffic(path); !errors.Is(err, ErrNoTraffic) {
		t.Errorf("settings without a usable class: got error %v, want %v", err, ErrNoTraffic)
	}
}
