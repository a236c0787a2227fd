// Package settings reads the settings of an instance, which both the simulator's first message and the replica's
// configuration contain, and translates them to a policy.Config.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"cairnlane/policy"
)

// Settings holds the settings of an instance. Other names in the input are ignored.
type Settings struct {
	Family struct {
		Cores      int       `json:"cores"`
		Cold       bool      `json:"cold"`
		MemoryKB   float64   `json:"memory-kb"`
		Blowup     float64   `json:"blowup"`
		KeyKB      float64   `json:"key-kb"`
		Meters     []string  `json:"meters"`
		Preemption string    `json:"preemption"`
		Say        string    `json:"say"`
		Heeded     int64     `json:"heeded"`
		DependsOn  string    `json:"depends-on"`
		FairCalls  float64   `json:"fair-calls"`
		CallsOver  int64     `json:"calls-over"`
		StaysFor   int64     `json:"stays-for"`
		ShareFor   int64     `json:"share-for"`
		CallerIdle int64     `json:"caller-idle"`
		Upstreams  int       `json:"upstreams"`
		ClassSkip  []float64 `json:"class-skip-worth"`
		Readiness  bool      `json:"readiness"`
	} `json:"family-info"`
	Guarantees struct {
		AnswerSlack  int64   `json:"answer-slack"`
		Cold         int64   `json:"cold"`
		ColdFrom     float64 `json:"cold-from"`
		DrainGrace   int64   `json:"drain-grace"`
		FallMultiple float64 `json:"fall-multiple"`
	} `json:"guarantees"`
	Lanes []struct {
		Name       string  `json:"name"`
		Aim        int64   `json:"aim"`
		Deadline   int64   `json:"deadline"`
		Window     int64   `json:"dedup-window"`
		Importance float64 `json:"importance"`
		LateWorth  float64 `json:"late-worth"`
		Semantics  string  `json:"semantics"`
	} `json:"lanes"`
	Limits struct {
		MaxRetryAfter int64 `json:"max-retry-after"`
		RetryAfter    bool  `json:"retry-after"`
	} `json:"policy-limits"`
	Callers struct {
		MarksRetry bool `json:"marks-retry"`
	} `json:"callers"`
	Tenants []struct {
		Name     string  `json:"name"`
		Fraction float64 `json:"fraction"`
	} `json:"tenants"`
	Tick    int64  `json:"tick"`
	WorthBy string `json:"worth-by"`
}

var errNoSettings = errors.New(`configuration: "settings" is missing`)

// Decode decodes the settings of an instance.
func Decode(raw json.RawMessage) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	return s, nil
}

// Read reads only the settings from the configuration of a replica at path, without checking the rest.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var f struct{ Settings json.RawMessage }
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errNoSettings
	}
	return Decode(f.Settings)
}

// Micros converts microseconds, the unit of the settings and of the simulator's messages.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

var semanticsByName = map[string]policy.Semantics{
	"read_like": policy.Safe, "idempotency_key": policy.Keyed, "non_idempotent": policy.Unsafe,
}

// Policy translates the settings to a policy.Config.
func (s *Settings) Policy(seed int64) policy.Config {
	fam, g := &s.Family, &s.Guarantees
	c := policy.Config{Seed: seed, Cores: fam.Cores, Cold: fam.Cold, ColdFrom: g.ColdFrom,
		ColdFor: Micros(g.Cold), MemoryKB: fam.MemoryKB, RunMemoryFactor: fam.Blowup, KeyKB: fam.KeyKB,
		MaxRunsPerCore: g.FallMultiple, AnswerSlack: Micros(g.AnswerSlack), DrainGrace: Micros(g.DrainGrace),
		Callers: fam.Upstreams, RetriesMarked: s.Callers.MarksRetry, ListedByHealth: fam.Readiness,
		SignalLifetime: Micros(fam.Heeded), MeanCallLimit: fam.FairCalls, MeanCallWindow: Micros(fam.CallsOver), CallLinger: Micros(fam.StaysFor),
		AnswerReuseTime: Micros(fam.ShareFor), IdleTimeout: Micros(fam.CallerIdle),
		WorthByWork: s.WorthBy == "work"}
	c.Halt = map[string]policy.Preemption{"drop": policy.DropHalt, "pause": policy.PauseHalt}[fam.Preemption]
	c.Signal = map[string]policy.SignalKind{"min_rank": policy.RankFloor, "tokens": policy.CallerTokens,
		"bias": policy.ArrivalChance}[fam.Say]
	c.Dependency = map[string]policy.DependencyKind{"common": policy.SharedDependency,
		"next_hop": policy.NextTier}[fam.DependsOn]
	if s.Limits.RetryAfter {
		c.MaxHoldOff = Micros(s.Limits.MaxRetryAfter)
	}
	for i, l := range s.Lanes {
		cl := policy.Class{Name: l.Name, Aim: Micros(l.Aim), Deadline: Micros(l.Deadline),
			Worth: l.Importance, LateWorth: l.LateWorth, Semantics: semanticsByName[l.Semantics],
			DedupWindow: Micros(l.Window)}
		if i < len(fam.ClassSkip) {
			cl.SkipWorth = fam.ClassSkip[i]
		}
		c.Classes = append(c.Classes, cl)
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, policy.Tenant{Name: t.Name, Fraction: t.Fraction})
	}
	return c
}
