// Package rollout rolls numbered configurations out over a fleet. It has three parts: the Table, a replicated state machine that
// every box applies from the ledger in the same order; the Conductor, which runs on the one box that holds the conductor's
// lease and determines when the next step is due; and the Box, which each box runs locally to apply or reject a version.
//
// Version numbers only increase: returning to an older configuration assigns a new number to the old contents, so a later
// version always has a greater number. The Table holds all state of a roll-out that must survive its conductor. A Step command
// names the wave that it ends, so a repeated step, or one of a conductor that resumes after a pause, has no effect. Durations
// are measured by the conductor's clock from when it first saw a wave; a new conductor starts measuring again, which can only
// make a wave longer. What a box may do for the fleet depends on the version it has in force; package straggler determines
// which boxes are behind.
package rollout

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is the type of a command.
type Kind uint8

// Command kinds. All commands belong to a session of a box, in which each is applied exactly once and in order.
const (
	Put          Kind = iota + 1 // assigns the next number to a configuration
	Start                        // sent by an operator: starts the roll-out of version N
	Step                         // sent by the conductor: ends the wave and starts the next one
	Halt                         // sent by the conductor: rolls back for the reason in Why
	Hold                         // sent by an operator: pauses the roll-out until Resume
	Resume                       // sent by an operator: continues a held roll-out
	Abort                        // sent by an operator: rolls back
	ReportStatus                 // sent by a box: reports its Status
	Lowest                       // sent by an operator: sets the lowest allowed version to N
	ShutOut                      // sent by the straggler detector: shuts out Box if its session is Session
)

var kindNames = [...]string{"", "put", "start", "step", "halt", "hold", "resume", "abort", "tell", "lowest", "shut-out"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is a command to the Table.
type Command struct {
	Kind      Kind    `cbor:"1,keyasint"`
	N         uint64  `cbor:"2,keyasint,omitempty"`
	Digest    string  `cbor:"3,keyasint,omitempty"` // of Put: SHA-256 in hexadecimal
	Size      int     `cbor:"4,keyasint,omitempty"` // bytes
	Needs     uint64  `cbor:"5,keyasint,omitempty"` // lowest build number that supports the configuration
	Plan      *Plan   `cbor:"6,keyasint,omitempty"`
	RolloutID uint64  `cbor:"7,keyasint,omitempty"`
	Wave      int     `cbor:"8,keyasint,omitempty"`
	Why       string  `cbor:"9,keyasint,omitempty"`
	Caller    string  `cbor:"10,keyasint,omitempty"` // who requested the command, as known to the box
	Status    *Status `cbor:"11,keyasint,omitempty"`
	Box       string  `cbor:"12,keyasint,omitempty"`
	Session   uint64  `cbor:"13,keyasint,omitempty"`
	Rules     *Rules  `cbor:"14,keyasint,omitempty"` // of Put: the configuration's rules for stragglers
}

// Rules are a configuration's rules for boxes that are behind.
type Rules struct {
	Grace        time.Duration `cbor:"1,keyasint" json:"grace"` // time between falling behind and being shut out
	Floor        float64       `cbor:"2,keyasint" json:"floor"` // share of all known boxes that must not be shut out or dead
	LeaveService bool          `cbor:"3,keyasint" json:"leave"` // a box that is shut out takes itself out of service
}

// Version is a numbered configuration.
type Version struct {
	N      uint64 `cbor:"1,keyasint" json:"n"`
	Digest string `cbor:"2,keyasint" json:"digest"`
	Size   int    `cbor:"3,keyasint" json:"size"`
	Needs  uint64 `cbor:"4,keyasint" json:"needs"`
	By     string `cbor:"5,keyasint" json:"by"` // box that sent the Put
	Caller string `cbor:"6,keyasint" json:"caller,omitempty"`
	Index  uint64 `cbor:"7,keyasint" json:"index"` // ledger index
	Rules  Rules  `cbor:"8,keyasint" json:"rules"`
}

// Plan holds the parameters of a roll-out.
type Plan struct {
	Canaries    int           `cbor:"1,keyasint" json:"canaries"`    // number of boxes in the first wave
	Share       float64       `cbor:"2,keyasint" json:"share"`       // share of all boxes in each later wave
	ObserveFor  time.Duration `cbor:"3,keyasint" json:"pace_ns"`     // observation time after all boxes of a wave have changed
	Timeout     time.Duration `cbor:"4,keyasint" json:"patience_ns"` // time-out for the boxes of a wave to change
	MaxRejected int           `cbor:"5,keyasint" json:"turned"`      // number of boxes that may reject the version
	MaxDead     int           `cbor:"6,keyasint" json:"died"`        // number of boxes of the waves so far that may be dead
	Slots       int           `cbor:"7,keyasint" json:"slots"`       // number of boxes that may change at a time
	Supersede   bool          `cbor:"8,keyasint" json:"supersede"`   // replace a running roll-out
	KeepLowest  bool          `cbor:"9,keyasint" json:"keep_lowest"` // do not raise the lowest allowed version at the end
	Caller      string        `cbor:"10,keyasint" json:"caller,omitempty"`
}

// DefaultPlan is a conservative plan.
var DefaultPlan = Plan{Canaries: 1, Share: 0.25, ObserveFor: 30 * time.Second, Timeout: 2 * time.Minute, MaxRejected: 0, MaxDead: 1, Slots: 1}

// Validate returns an error if a parameter is invalid.
func (p Plan) Validate() error {
	switch {
	case p.Canaries < 1:
		return fmt.Errorf("canaries must be at least 1, not %d", p.Canaries)
	case !(p.Share > 0 && p.Share <= 1):
		return fmt.Errorf("share of a wave must be above 0 and at most 1, not %v", p.Share)
	case p.ObserveFor < 0 || p.Timeout <= 0:
		return fmt.Errorf("pace must be at least 0 and patience above 0, not %v and %v", p.ObserveFor, p.Timeout)
	case p.MaxRejected < 0 || p.MaxDead < 0 || p.Slots < 1 || p.Slots > 1000:
		return fmt.Errorf("boxes that may reject (%d) or die (%d) must be at least 0, and slots (%d) from 1 to 1000", p.MaxRejected, p.MaxDead, p.Slots)
	}
	return nil
}

// Phase is the state of a roll-out.
type Phase uint8

// Phases. In the first three the roll-out is running.
const (
	Running     Phase = iota + 1 // proceeding wave by wave
	Held                         // paused by an operator
	RollingBack                  // rolling back to the previous version
	Done                         // completed
	RolledBack                   // halted or aborted, and rolled back
	Superseded                   // replaced by another roll-out
)

var phaseNames = [...]string{"", "going", "held", "going back", "done", "returned", "superseded"}

func (p Phase) String() string { return phaseNames[p] }

// MarshalText implements encoding.TextMarshaler. The text is the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name gives the zero Phase.
func (p *Phase) UnmarshalText(text []byte) error {
	*p = Phase(max(0, slices.Index(phaseNames[:], string(text))))
	return nil
}

// Rollout is a roll-out.
type Rollout struct {
	ID    uint64     `cbor:"1,keyasint" json:"id"` // ledger index of the Start command
	From  uint64     `cbor:"2,keyasint" json:"from"`
	To    uint64     `cbor:"3,keyasint" json:"to"`
	Plan  Plan       `cbor:"4,keyasint" json:"plan"`
	Waves [][]string `cbor:"5,keyasint" json:"waves"`
	Wave  int        `cbor:"6,keyasint" json:"wave"` // current wave, from 0
	Phase Phase      `cbor:"7,keyasint" json:"phase"`
	Why   string     `cbor:"8,keyasint" json:"why,omitempty"`
}

// hasReached reports whether the box's wave has started.
func (r *Rollout) hasReached(box string) bool {
	for _, w := range r.Waves[:min(r.Wave+1, len(r.Waves))] {
		if slices.Contains(w, box) {
			return true
		}
	}
	return false
}

// Status is the state that a box reports.
type Status struct {
	Session      uint64 `cbor:"1,keyasint" json:"session"`
	InForce      uint64 `cbor:"2,keyasint" json:"in_force"`              // version in force; 0: none
	Rejected     uint64 `cbor:"3,keyasint" json:"turned_down,omitempty"` // last rejected version
	Reason       string `cbor:"4,keyasint" json:"why,omitempty"`
	BuildNumber  uint64 `cbor:"5,keyasint" json:"build_number"`
	GoodRequests uint64 `cbor:"6,keyasint" json:"good"` // requests of this process that were served in time
	BadRequests  uint64 `cbor:"7,keyasint" json:"bad"`  // requests of this process that were not served in time
}

// ShutOutBox is a box that is shut out.
type ShutOutBox struct {
	Index   uint64 `cbor:"1,keyasint" json:"index"`
	Session uint64 `cbor:"2,keyasint" json:"session"`
	InForce uint64 `cbor:"3,keyasint" json:"in_force"`
	Lowest  uint64 `cbor:"4,keyasint" json:"lowest"`
}

// Bounds of a Table.
const (
	MaxVersions = 128
	MaxFinished = 32
	MaxBoxes    = 4096
	MaxSize     = 256 << 10 // size of a configuration in bytes
	maxTextLen  = 400       // length of a text in bytes
)

// Table is the replicated roll-out state. It depends only on the commands, their senders and their order.
type Table struct {
	Last          uint64                `cbor:"1,keyasint"` // last assigned version number
	Versions      []Version             `cbor:"2,keyasint"` // oldest first
	Target        uint64                `cbor:"3,keyasint"` // version in force on boxes that no roll-out has reached; 0: none
	Lowest        uint64                `cbor:"4,keyasint"` // lowest allowed version
	Current       *Rollout              `cbor:"5,keyasint"` // running roll-out, or nil
	Finished      []Rollout             `cbor:"6,keyasint"` // finished roll-outs, oldest first
	Boxes         map[string]Status     `cbor:"7,keyasint"` // last report of each box
	ShutOutBoxes  map[string]ShutOutBox `cbor:"8,keyasint"` // boxes that are shut out
	LowestChanges []LowestChange        `cbor:"9,keyasint"` // of the lowest allowed version, oldest first
}

// LowestChange is an increase of the lowest allowed version.
type LowestChange struct {
	Lowest uint64 `cbor:"1,keyasint" json:"lowest"`
	Index  uint64 `cbor:"2,keyasint" json:"index"`
}

// DisallowedSince returns the ledger index from which on version n was not allowed any more. It is 0 if the version is still allowed
// or if the change is too old to be kept.
func (t *Table) DisallowedSince(n uint64) uint64 {
	for _, r := range t.LowestChanges {
		if r.Lowest > n {
			return r.Index
		}
	}
	return 0
}

// raiseLowest sets the lowest allowed version.
func (t *Table) raiseLowest(lowest, index uint64) {
	t.Lowest = lowest
	t.LowestChanges = append(slices.Clone(t.LowestChanges[max(0, len(t.LowestChanges)+1-MaxVersions):]), LowestChange{lowest, index})
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Boxes: map[string]Status{}, ShutOutBoxes: map[string]ShutOutBox{}}
}

// Clone returns a copy that shares only immutable data with t.
func (t *Table) Clone() *Table {
	c := *t
	c.Versions, c.Finished, c.Boxes, c.ShutOutBoxes = slices.Clone(t.Versions), slices.Clone(t.Finished), maps.Clone(t.Boxes), maps.Clone(t.ShutOutBoxes)
	if t.Current != nil {
		r := *t.Current // the waves are immutable
		c.Current = &r
	}
	return &c
}

// CommandContext is the context of a command: its sender and the state of the fleet at its ledger index.
type CommandContext struct {
	Index       uint64
	Box         string // sender
	Session     uint64
	IsConductor bool              // the sender holds the conductor's lease
	Living      map[string]uint64 // current session of each box that has one
	KnownBoxes  int               // number of boxes, including dead ones, without those that have left
}

// Reasons for which Apply rejects a command.
var (
	ErrInvalidCommand = errors.New("invalid or unknown command")
	ErrUnknown        = errors.New("no configuration with this number is kept; see 'cairnctl fleet config list'")
	ErrBusy           = errors.New("a roll-out is in progress, or is held; resume, abort or supersede it")
	ErrNotRunning     = errors.New("the roll-out that the command refers to is not in progress")
	ErrAlreadyDone    = errors.New("the command has already taken effect or is not possible in the present phase")
	ErrLease          = errors.New("the sender does not hold the conductor's lease")
	ErrFloor          = errors.New("shutting out another box would leave fewer boxes than the floor")
	ErrNotBehind      = errors.New("the box is not behind, or has a new session")
	ErrInvalidLowest  = errors.New("the number is not above the lowest allowed version, or is above the version in force")
	ErrNotNewer       = errors.New("the number is not above the version in force or being rolled out")
)

// Apply executes a command.
func (t *Table) Apply(c Command, of CommandContext) error {
	switch c.Kind {
	case Put:
		return t.putVersion(c, of)
	case Start:
		return t.startRollout(c, of)
	case ReportStatus:
		return t.storeReport(c, of)
	case ShutOut:
		return t.shutOut(c, of)
	case Lowest:
		if c.N <= t.Lowest || c.N > t.Target {
			return ErrInvalidLowest
		}
		t.raiseLowest(c.N, of.Index)
		return nil
	case Step, Halt, Hold, Resume, Abort:
		return t.changeRollout(c, of)
	}
	return ErrInvalidCommand
}

// putVersion stores a new version and drops the oldest ones that are not in use.
func (t *Table) putVersion(c Command, of CommandContext) error {
	if len(c.Digest) != 64 || c.Size < 0 || c.Size > MaxSize || len(c.Caller) > maxTextLen || c.Rules == nil {
		return ErrInvalidCommand
	}
	t.Last++
	t.Versions = append(t.Versions, Version{N: t.Last, Digest: c.Digest, Size: c.Size, Needs: c.Needs, By: of.Box, Caller: c.Caller, Index: of.Index, Rules: *c.Rules})
	for i := 0; len(t.Versions) > MaxVersions && i < len(t.Versions); {
		if n := t.Versions[i].N; n == t.Target || t.Current != nil && (n == t.Current.To || n == t.Current.From) {
			i++
			continue
		}
		t.Versions = slices.Delete(t.Versions, i, i+1)
	}
	return nil
}

// Version returns the version with the given number, or nil if it is not kept.
func (t *Table) Version(n uint64) *Version {
	for i := range t.Versions {
		if t.Versions[i].N == n {
			return &t.Versions[i]
		}
	}
	return nil
}

// startRollout starts a roll-out.
func (t *Table) startRollout(c Command, of CommandContext) error {
	switch {
	case t.Version(c.N) == nil:
		return ErrUnknown
	case c.Plan == nil || c.Plan.Validate() != nil || len(c.Plan.Caller) > maxTextLen:
		return ErrInvalidCommand
	case t.Current != nil && !c.Plan.Supersede:
		return ErrBusy
	case t.Current == nil && c.N <= t.Target:
		return ErrNotNewer // version numbers only increase: an older configuration needs a new number
	case t.Current != nil && c.N <= t.Current.To:
		return ErrNotNewer
	}
	if t.Current != nil {
		t.endRollout(Superseded)
	}
	t.Current = &Rollout{ID: of.Index, From: t.Target, To: c.N, Plan: *c.Plan, Waves: splitWaves(of.Living, t.ShutOutBoxes, *c.Plan), Phase: Running}
	return nil
}

// splitWaves divides the living boxes that are not shut out into waves, in the order of their names.
func splitWaves(living map[string]uint64, out map[string]ShutOutBox, p Plan) (list [][]string) {
	var names []string
	for _, n := range slices.Sorted(maps.Keys(living)) {
		if _, shut := out[n]; !shut {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return [][]string{{}}
	}
	n, each := min(p.Canaries, len(names)), max(1, int(math.Ceil(p.Share*float64(len(names)))))
	for list = append(list, names[:n]); n < len(names); n += each {
		list = append(list, names[n:min(n+each, len(names))])
	}
	return list
}

// changeRollout applies a command to the running roll-out.
func (t *Table) changeRollout(c Command, of CommandContext) error {
	r := t.Current
	if r == nil || r.ID != c.RolloutID || len(c.Why) > maxTextLen {
		return ErrNotRunning
	}
	if (c.Kind == Step || c.Kind == Halt) && !of.IsConductor {
		return ErrLease
	}
	switch c.Kind {
	case Step:
		switch {
		case r.Phase == Held:
			return ErrBusy
		case c.Wave != r.Wave:
			return ErrAlreadyDone
		case r.Phase == RollingBack:
			t.endRollout(RolledBack)
		case r.Wave+1 < len(r.Waves):
			r.Wave++
		default:
			t.Target = r.To
			if !r.Plan.KeepLowest {
				t.raiseLowest(r.To, of.Index)
			}
			t.endRollout(Done)
		}
	case Halt, Abort:
		if r.Phase == RollingBack {
			return ErrAlreadyDone
		}
		r.Phase, r.Why = RollingBack, c.Why
	case Hold:
		if r.Phase != Running {
			return ErrAlreadyDone
		}
		r.Phase, r.Why = Held, c.Why
	case Resume:
		if r.Phase != Held {
			return ErrAlreadyDone
		}
		r.Phase, r.Why = Running, ""
	}
	return nil
}

// endRollout moves the running roll-out to the finished ones.
func (t *Table) endRollout(p Phase) {
	t.Current.Phase = p
	t.Finished = append(slices.Clone(t.Finished[max(0, len(t.Finished)+1-MaxFinished):]), *t.Current)
	t.Current = nil
}

// WantedVersion returns the version that a box must have in force, 0 for none.
func (t *Table) WantedVersion(box string) uint64 {
	if r := t.Current; r != nil && r.Phase != RollingBack && r.hasReached(box) {
		return r.To
	}
	return t.Target
}

// storeReport stores the report of a box. Reports are accepted only from the box's current session.
func (t *Table) storeReport(c Command, of CommandContext) error {
	s := c.Status
	if s == nil || len(s.Reason) > maxTextLen || s.InForce > t.Last || of.Living[of.Box] != of.Session {
		return ErrInvalidCommand
	}
	if _, ok := t.Boxes[of.Box]; !ok && len(t.Boxes) >= MaxBoxes {
		return ErrInvalidCommand
	}
	n := *s
	n.Session = of.Session
	t.Boxes[of.Box] = n
	if _, out := t.ShutOutBoxes[of.Box]; out && n.InForce >= t.Lowest { // a box that is up to date is let in again
		delete(t.ShutOutBoxes, of.Box)
	}
	return nil
}

// Behind reports whether a box is below the lowest allowed version. A box that has not reported in its session counts as
// behind because its version is unknown.
func (t *Table) Behind(box string, session uint64) bool {
	s, ok := t.Boxes[box]
	return t.Lowest > 0 && (!ok || s.Session != session || s.InForce < t.Lowest)
}

// shutOut shuts a box out, unless it is up to date by now or too few boxes would be left.
func (t *Table) shutOut(c Command, of CommandContext) error {
	if of.Living[c.Box] != c.Session || c.Session == 0 || !t.Behind(c.Box, c.Session) {
		return ErrNotBehind
	}
	if _, out := t.ShutOutBoxes[c.Box]; out {
		return ErrAlreadyDone
	}
	if !t.MayShutOutOne(of.Living, of.KnownBoxes) {
		return ErrFloor
	}
	t.ShutOutBoxes[c.Box] = ShutOutBox{Index: of.Index, Session: c.Session, InForce: t.Boxes[c.Box].InForce, Lowest: t.Lowest}
	return nil
}

// MayShutOutOne reports whether one more box may be shut out: at least one box, and the configured share of all known boxes
// including dead ones, must be left.
func (t *Table) MayShutOutOne(living map[string]uint64, known int) bool {
	left := len(living) - 1
	for box := range t.ShutOutBoxes {
		if _, lives := living[box]; lives {
			left--
		}
	}
	floor := 0.5
	if v := t.Version(t.Target); v != nil {
		floor = v.Rules.Floor
	}
	return left >= 1 && float64(left) >= floor*float64(max(known, len(living)))
}

// Check returns an error if an invariant is violated.
func (t *Table) Check() error {
	switch r := t.Current; {
	case t.Target > t.Last || t.Lowest > t.Target:
		return fmt.Errorf("lowest %d, in force %d, last %d", t.Lowest, t.Target, t.Last)
	case r != nil && (r.From != t.Target || r.To <= r.From || r.Wave < 0 || r.Wave >= len(r.Waves) || r.Phase > RollingBack):
		return fmt.Errorf("invalid roll-out %+v with version %d in force", *r, t.Target)
	case len(t.Versions) > MaxVersions || len(t.Finished) > MaxFinished:
		return fmt.Errorf("%d versions and %d finished roll-outs exceed the bounds", len(t.Versions), len(t.Finished))
	}
	if t.Target != 0 && t.Version(t.Target) == nil {
		return fmt.Errorf("version %d is in force but not kept", t.Target)
	}
	return nil
}
