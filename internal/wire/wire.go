// Package wire decodes the batches of events that the simulator sends and encodes the replies.
package wire

import (
	"encoding/json"
	"fmt"
)

// Batch is one line of input: events that happen at the same time.
type Batch struct {
	Time   int64   `json:"moment"` // simulated time in microseconds
	Events []Event `json:"items"`
}

// Event is one event of the simulator. Name determines which fields are set. Durations and times are in
// microseconds.
type Event struct {
	Name      string             `json:"m"`
	Instance  string             `json:"who"`
	Seed      int64              `json:"seed"`
	Settings  json.RawMessage    `json:"boot-info"`
	RequestID int64              `json:"ticket"`
	Class     string             `json:"class"`
	Retry     bool               `json:"retry"`
	Caller    int                `json:"neighbour"`
	KB        float64            `json:"kb"`
	Rank      float64            `json:"rank"`
	RepeatOf  int64              `json:"earlier"`
	Expected  int64              `json:"expected"`
	Key       string             `json:"partition-key"`
	ReadWait  int64              `json:"backlog-time"`
	Due       int64              `json:"due"`
	Tenant    TenantName         `json:"team"`
	Status    string             `json:"status"`
	Elapsed   int64              `json:"wait-time"`
	TimerID   uint64             `json:"label"`
	Usage     map[string]float64 `json:"usage"`
}

// Action is one action of a server. Name determines which fields are set. Durations are in microseconds.
type Action struct {
	Name       string   `json:"m"`
	Instance   string   `json:"who"`
	RequestID  int64    `json:"ticket,omitempty"`
	HoldOff    int64    `json:"hold-off,omitempty"`
	DoNotRetry bool     `json:"dont-retry,omitempty"`
	TTL        *int64   `json:"ttl,omitempty"`
	MaxWait    int64    `json:"max-wait,omitempty"`
	Value      *float64 `json:"x,omitempty"`
	Healthy    *bool    `json:"want,omitempty"`
	Cached     bool     `json:"cached,omitempty"`
	TimerID    *uint64  `json:"label,omitempty"`
	After      *int64   `json:"after,omitempty"`
	Text       string   `json:"note-text,omitempty"`
}

// Decode decodes one line of input.
func Decode(line []byte) (*Batch, error) {
	var b struct {
		Moment *int64   `json:"moment"`
		Items  *[]Event `json:"items"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	if b.Moment == nil || b.Items == nil {
		return nil, fmt.Errorf("decode batch: moment or items missing")
	}
	return &Batch{Time: *b.Moment, Events: *b.Items}, nil
}

// Encode returns the reply line for the actions, including its newline.
func Encode(actions []Action) ([]byte, error) {
	if actions == nil {
		actions = []Action{}
	}
	out, err := json.Marshal(struct {
		Actions []Action `json:"actions"`
	}{actions})
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return append(out, '\n'), nil
}

// TenantName is the name of a request's tenant. It is empty if the simulator sends 0 or nothing because its settings
// define no tenants.
type TenantName string

// UnmarshalJSON decodes a name or the number 0.
func (t *TenantName) UnmarshalJSON(raw []byte) error {
	var name string
	if err := json.Unmarshal(raw, &name); err == nil {
		*t = TenantName(name)
		return nil
	}
	var none float64
	if err := json.Unmarshal(raw, &none); err != nil || none != 0 {
		return fmt.Errorf("decode team: must be a name or 0, got %.40s", raw)
	}
	*t = ""
	return nil
}
