package main

import "encoding/json"

// perth are settings like those of perth-main: deadlines are sent, and one class is keyed with a window of 9,618 ms.
func perth() map[string]any {
	return decodeSettings(`{
    "callers": {"marks-retry": true}, "family": "server",
    "family-info": {"cores": 6, "cold": false, "memory-kb": 91008.0, "blowup": 16.0, "key-kb": 154.28,
      "meters": ["core_use", "on_cores", "heap_share", "links"], "preemption": "off", "depends-on": "off", "say": "min_rank",
      "heeded": 1000000, "share-for": 0, "caller-idle": 15000000, "upstreams": 3, "readiness": false,
      "passes-deadline": true, "tells-gone": false},
    "guarantees": {"answer-slack": 60000, "cold": 17000000, "cold-from": 0.28, "drain-grace": 2000000, "fall-multiple": 8.0, "tip-after": 1500000},
    "lanes": [
      {"name": "segment-fetch", "aim": 1300000, "deadline": 3200000, "importance": 1.0, "late-worth": 0.0, "semantics": "read_like", "dedup-window": 5000000},
      {"name": "lecture-page", "aim": 2200000, "deadline": 5300000, "importance": 1.0, "late-worth": 0.2, "semantics": "read_like", "dedup-window": 5000000},
      {"name": "exam-revision", "aim": 2200000, "deadline": 5300000, "importance": 2.0, "late-worth": 0.2, "semantics": "read_like", "dedup-window": 5000000},
      {"name": "note-save", "aim": 1300000, "deadline": 3200000, "dedup-window": 9618000, "importance": 4.0, "late-worth": 0.0, "semantics": "idempotency_key"}],
    "policy-limits": {"max-retry-after": 1000000, "retry-after": true},
    "tenants": [{"name": "riverside-uni", "fraction": 0.48}, {"name": "hills-college", "fraction": 0.32}, {"name": "goldfields-tafe", "fraction": 0.2}],
    "tick": 2000, "worth-by": "request"}`)
}

func decodeSettings(text string) (s map[string]any) {
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	return s
}
