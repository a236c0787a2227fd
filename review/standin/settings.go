package main

import "math/rand/v2"

// ammanSettings are settings in the form of the page WIRE with figures of the second site.
func ammanSettings() map[string]any {
	lane := func(name string, aim, deadline int, late float64, semantics string, window int) map[string]any {
		return map[string]any{"name": name, "aim": aim * 1000, "deadline": deadline * 1000, "importance": 1.0, "late-worth": late,
			"semantics": semantics, "dedup-window": window * 1000}
	}
	tenant := func(name string, fraction float64) map[string]any {
		return map[string]any{"name": name, "fraction": fraction, "quota-per-s": 250 * fraction}
	}
	return map[string]any{
		"callers": map[string]any{"marks-retry": true}, "family": "server",
		"family-info": map[string]any{"blowup": 8.0, "caller-idle": 30000000, "calls-over": 5000000, "class-calls": []bool{true, false, true},
			"class-skip-worth": []float64{0.5, 0, 0}, "cold": false, "cores": 6, "deep-checks": true, "depends-on": "common",
			"fair-calls": 40.0, "heeded": 1000000, "key-kb": 12.0, "memory-kb": 40000.0,
			"meters": []string{"core_use", "on_cores", "heap_share", "links"}, "passes-deadline": false, "preemption": "off",
			"readiness": false, "say": "min_rank", "share-for": 0, "stays-for": 200000, "tells-gone": true, "upstreams": 3},
		"guarantees": map[string]any{"answer-slack": 80000, "cold": 16000000, "cold-from": 0.33, "drain-grace": 2000000,
			"fall-multiple": 5.0, "tip-after": 1500000},
		"index": 6,
		"lanes": []any{lane("view-full", 2800, 9200, 0, "read_like", 5000), lane("make-tiles", 2300, 5800, 0, "read_like", 5000),
			lane("save-caption", 2300, 9200, 0.2, "idempotency_key", 27627)},
		"load-info":  map[string]any{"names": []string{"inflight", "qps", "latency_ms"}, "source": "inline"},
		"localities": []string{"amman-north", "amman-west"}, "locality": "amman-north", "over-share-worth": 0.05,
		"policy-limits": map[string]any{"cpu-us-per-request": 0.0, "cpu-us-per-s": 60000, "max-retry-after": 1000000, "retry-after": true},
		"servers":       12, "stages": []string{"image-servers"},
		"tenants": []any{tenant("heritage-hall", 0.43), tenant("old-city", 0.14), tenant("desert-finds", 0.14),
			tenant("coin-room", 0.14), tenant("textile-house", 0.14)},
		"tick": 5000, "tier": 0, "worth-by": "request"}
}

const hexDigits = "0123456789abcdef"

// hex returns n random hex digits.
func hex(random *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = hexDigits[random.IntN(16)]
	}
	return string(b)
}
