// Package rollout decides how a fleet goes from one numbered configuration to the next. Three parts work together: the Table,
// which all boxes apply from the ledger in the same order; the Conductor, which one box at a time is by lease and which says
// when the next step is due; and the Box, which each box has for itself and which takes a version, or turns it down.
//
// What it rests on. Numbers only grow: going back to an older configuration is a new number with the old contents, so that
// "later" always means a greater number. All of a roll-out that must outlive its conductor stands in the Table, and a step names
// the wave that it ends: a step said twice, or by a conductor that was stopped and wakes, does nothing the second time. Times
// are the conductor's own, counted from when it saw a wave begin; the next one counts anew, which makes a wave longer, never
// shorter. What a box may do for the fleet is bound to the version it has in force; see package straggler for who is behind.
package rollout

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is what a command does.
type Kind uint8

// The commands. All come in a session of a box, which gives each exactly one effect, in order.
const (
	Put     Kind = iota + 1 // a configuration gets the next number
	Start                   // an operator: roll number N out
	Step                    // the conductor: the wave is through
	Halt                    // the conductor: go back, because of Why
	Hold                    // an operator: no further step until Resume
	Resume                  // an operator
	Abort                   // an operator: go back
	Tell                    // a box: how it stands
	Lowest                  // an operator: the lowest number that is allowed, N
	ShutOut                 // the judge of stragglers: Box, as its Session
)

var kinds = [...]string{"", "put", "start", "step", "halt", "hold", "resume", "abort", "tell", "lowest", "shut-out"}

func (k Kind) String() string {
	if int(k) < len(kinds) && k > 0 {
		return kinds[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one change of the Table.
type Command struct {
	Kind     Kind      `cbor:"1,keyasint"`
	N        uint64    `cbor:"2,keyasint,omitempty"`
	Digest   string    `cbor:"3,keyasint,omitempty"` // of Put: SHA-256 in hexadecimal
	Size     int       `cbor:"4,keyasint,omitempty"` // bytes
	Needs    uint64    `cbor:"5,keyasint,omitempty"` // the least number of a build that understands it
	Plan     *Plan     `cbor:"6,keyasint,omitempty"`
	Roll     uint64    `cbor:"7,keyasint,omitempty"`
	Wave     int       `cbor:"8,keyasint,omitempty"`
	Why      string    `cbor:"9,keyasint,omitempty"`
	Caller   string    `cbor:"10,keyasint,omitempty"` // who told the box, as the box knows
	Standing *Standing `cbor:"11,keyasint,omitempty"`
	Box      string    `cbor:"12,keyasint,omitempty"`
	Session  uint64    `cbor:"13,keyasint,omitempty"`
	Rules    *Rules    `cbor:"14,keyasint,omitempty"` // of Put: what this configuration says of stragglers
}

// Rules are what a configuration says of boxes that are behind it.
type Rules struct {
	Grace time.Duration `cbor:"1,keyasint" json:"grace"` // between being behind and being shut out
	Floor float64       `cbor:"2,keyasint" json:"floor"` // the share of all known boxes that must be left
	Leave bool          `cbor:"3,keyasint" json:"leave"` // a box that is shut out takes itself out of service
}

// Version is a numbered configuration.
type Version struct {
	N      uint64 `cbor:"1,keyasint" json:"n"`
	Digest string `cbor:"2,keyasint" json:"digest"`
	Size   int    `cbor:"3,keyasint" json:"size"`
	Needs  uint64 `cbor:"4,keyasint" json:"needs"`
	By     string `cbor:"5,keyasint" json:"by"` // the box that took it
	Caller string `cbor:"6,keyasint" json:"caller,omitempty"`
	Index  uint64 `cbor:"7,keyasint" json:"index"` // of the ledger
	Rules  Rules  `cbor:"8,keyasint" json:"rules"`
}

// Plan is how a roll-out goes.
type Plan struct {
	Canaries  int           `cbor:"1,keyasint" json:"canaries"`    // boxes of the first wave
	Share     float64       `cbor:"2,keyasint" json:"share"`       // of all boxes, in each wave after it
	Pace      time.Duration `cbor:"3,keyasint" json:"pace_ns"`     // a wave is looked at for so long once all of it is through
	Patience  time.Duration `cbor:"4,keyasint" json:"patience_ns"` // for boxes that do not come along
	Turned    int           `cbor:"5,keyasint" json:"turned"`      // boxes that may turn it down
	Died      int           `cbor:"6,keyasint" json:"died"`        // boxes of the reached waves that may be gone when a wave ends
	Slots     int           `cbor:"7,keyasint" json:"slots"`       // boxes that change at a time
	Supersede bool          `cbor:"8,keyasint" json:"supersede"`   // take the place of one that runs
	Keep      bool          `cbor:"9,keyasint" json:"keep_lowest"` // leave the lowest allowed number as it is
	Caller    string        `cbor:"10,keyasint" json:"caller,omitempty"`
}

// DefaultPlan is a careful one.
var DefaultPlan = Plan{Canaries: 1, Share: 0.25, Pace: 30 * time.Second, Patience: 2 * time.Minute, Turned: 0, Died: 1, Slots: 1}

// Check tells what is wrong with a plan.
func (p Plan) Check() error {
	switch {
	case p.Canaries < 1:
		return errors.New("the first wave needs one box at the least")
	case !(p.Share > 0 && p.Share <= 1):
		return fmt.Errorf("a wave is a share of all boxes above 0 and up to 1, not %v", p.Share)
	case p.Pace < 0 || p.Patience <= 0:
		return errors.New("a pace is not below 0, and patience is above")
	case p.Turned < 0 || p.Died < 0 || p.Slots < 1 || p.Slots > 1000:
		return errors.New("boxes that may turn it down or die are 0 or more, and 1 to 1000 change at a time")
	}
	return nil
}

// Phase is how a roll-out stands.
type Phase uint8

// The phases. The first three are of one that runs.
const (
	Going      Phase = iota + 1 // wave after wave
	Held                        // by an operator
	Back                        // boxes go back to what was in force
	Done                        // in force on all that live
	Returned                    // it was halted or aborted, and all are back
	Superseded                  // another one took its place
)

var phases = [...]string{"", "going", "held", "going back", "done", "returned", "superseded"}

func (p Phase) String() string { return phases[p] }

// MarshalText has phases written by name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (p *Phase) UnmarshalText(text []byte) error {
	*p = Phase(max(0, slices.Index(phases[:], string(text))))
	return nil
}

// Roll is a roll-out.
type Roll struct {
	ID    uint64     `cbor:"1,keyasint" json:"id"` // the ledger's index of its start
	From  uint64     `cbor:"2,keyasint" json:"from"`
	To    uint64     `cbor:"3,keyasint" json:"to"`
	Plan  Plan       `cbor:"4,keyasint" json:"plan"`
	Waves [][]string `cbor:"5,keyasint" json:"waves"`
	Wave  int        `cbor:"6,keyasint" json:"wave"` // the one under way, from 0
	Phase Phase      `cbor:"7,keyasint" json:"phase"`
	Why   string     `cbor:"8,keyasint" json:"why,omitempty"`
}

// reached tells whether a box's wave has begun.
func (r *Roll) reached(box string) bool {
	for _, w := range r.Waves[:min(r.Wave+1, len(r.Waves))] {
		if slices.Contains(w, box) {
			return true
		}
	}
	return false
}

// Standing is how a box says that it stands.
type Standing struct {
	Session uint64 `cbor:"1,keyasint" json:"session"`
	InForce uint64 `cbor:"2,keyasint" json:"in_force"` // 0: none
	Turned  uint64 `cbor:"3,keyasint" json:"turned_down,omitempty"`
	Why     string `cbor:"4,keyasint" json:"why,omitempty"`
	Number  uint64 `cbor:"5,keyasint" json:"build_number"` // of its build
	Good    uint64 `cbor:"6,keyasint" json:"good"`         // requests that were served in time, in this process
	Bad     uint64 `cbor:"7,keyasint" json:"bad"`          // that were not
}

// Out is a box that is shut out.
type Out struct {
	Index   uint64 `cbor:"1,keyasint" json:"index"`
	Session uint64 `cbor:"2,keyasint" json:"session"`
	InForce uint64 `cbor:"3,keyasint" json:"in_force"`
	Lowest  uint64 `cbor:"4,keyasint" json:"lowest"`
}

// The bounds of a Table.
const (
	VersionsKept = 128
	PastKept     = 32
	BoxesMost    = 4096
	SizeMost     = 256 << 10 // bytes of a configuration
	textMost     = 400
)

// Table is what the fleet agrees on. It depends on nothing but the commands, who says them, and their order.
type Table struct {
	Last     uint64              `cbor:"1,keyasint"` // number given out
	Versions []Version           `cbor:"2,keyasint"` // oldest first
	Target   uint64              `cbor:"3,keyasint"` // in force where no roll-out says otherwise; 0: none
	Lowest   uint64              `cbor:"4,keyasint"` // that is allowed
	Roll     *Roll               `cbor:"5,keyasint"` // the one that runs
	Past     []Roll              `cbor:"6,keyasint"`
	Boxes    map[string]Standing `cbor:"7,keyasint"`
	Out      map[string]Out      `cbor:"8,keyasint"`
	Rises    []Rise              `cbor:"9,keyasint"` // of the lowest number, oldest first
}

// Rise is where the lowest allowed number rose.
type Rise struct {
	Lowest uint64 `cbor:"1,keyasint" json:"lowest"`
	Index  uint64 `cbor:"2,keyasint" json:"index"`
}

// NotFrom is the index from which on a number was allowed no more; 0 if it still is, or if it was too long ago.
func (t *Table) NotFrom(n uint64) uint64 {
	for _, r := range t.Rises {
		if r.Lowest > n {
			return r.Index
		}
	}
	return 0
}

// rise has no lower number be allowed.
func (t *Table) rise(lowest, index uint64) {
	t.Lowest = lowest
	t.Rises = append(slices.Clone(t.Rises[max(0, len(t.Rises)+1-VersionsKept):]), Rise{lowest, index})
}

// NewTable returns an empty one.
func NewTable() *Table { return &Table{Boxes: map[string]Standing{}, Out: map[string]Out{}} }

// Clone returns a copy that shares nothing that changes.
func (t *Table) Clone() *Table {
	c := *t
	c.Versions, c.Past, c.Boxes, c.Out = slices.Clone(t.Versions), slices.Clone(t.Past), maps.Clone(t.Boxes), maps.Clone(t.Out)
	if t.Roll != nil {
		r := *t.Roll // its waves never change
		c.Roll = &r
	}
	return &c
}

// Of says who a command comes from, and what the ledger knows of the fleet at its place.
type Of struct {
	Index    uint64
	Box      string // whose session it came in
	Session  uint64
	Conducts bool              // its box holds the conductor's lease
	Living   map[string]uint64 // the newest session of each box that has one
	Known    int               // boxes, the dead included and those that left excepted
}

// Why a command was turned down.
var (
	ErrBad     = errors.New("not a command that this box knows")
	ErrUnknown = errors.New("no configuration of this number is kept; 'cairnctl fleet config list' lists them")
	ErrBusy    = errors.New("a roll-out is under way; hold, abort or supersede it")
	ErrNone    = errors.New("no roll-out is under way, or another one than is meant")
	ErrDone    = errors.New("this step was made already")
	ErrLease   = errors.New("the box does not hold the conductor's lease")
	ErrFloor   = errors.New("too few boxes would be left")
	ErrCurrent = errors.New("the box is not behind, or is another incarnation")
	ErrOlder   = errors.New("the number is not above the lowest, or not in force")
	ErrSame    = errors.New("this number is in force already")
)

// Apply carries out a command.
func (t *Table) Apply(c Command, of Of) error {
	switch c.Kind {
	case Put:
		return t.put(c, of)
	case Start:
		return t.start(c, of)
	case Tell:
		return t.tell(c, of)
	case ShutOut:
		return t.shutOut(c, of)
	case Lowest:
		if c.N <= t.Lowest || c.N > t.Target {
			return ErrOlder
		}
		t.rise(c.N, of.Index)
		return nil
	case Step, Halt, Hold, Resume, Abort:
		return t.change(c, of)
	}
	return ErrBad
}

func (t *Table) put(c Command, of Of) error {
	if len(c.Digest) != 64 || c.Size < 0 || c.Size > SizeMost || len(c.Caller) > textMost || c.Rules == nil {
		return ErrBad
	}
	t.Last++
	t.Versions = append(t.Versions, Version{N: t.Last, Digest: c.Digest, Size: c.Size, Needs: c.Needs, By: of.Box, Caller: c.Caller, Index: of.Index, Rules: *c.Rules})
	for i := 0; len(t.Versions) > VersionsKept && i < len(t.Versions); {
		if n := t.Versions[i].N; n == t.Target || t.Roll != nil && (n == t.Roll.To || n == t.Roll.From) {
			i++
			continue
		}
		t.Versions = slices.Delete(t.Versions, i, i+1)
	}
	return nil
}

// Version returns a configuration by number; nil if it is not kept.
func (t *Table) Version(n uint64) *Version {
	for i := range t.Versions {
		if t.Versions[i].N == n {
			return &t.Versions[i]
		}
	}
	return nil
}

func (t *Table) start(c Command, of Of) error {
	switch {
	case t.Version(c.N) == nil:
		return ErrUnknown
	case c.Plan == nil || c.Plan.Check() != nil || len(c.Plan.Caller) > textMost:
		return ErrBad
	case t.Roll != nil && !c.Plan.Supersede:
		return ErrBusy
	case t.Roll == nil && c.N <= t.Target:
		return ErrSame // numbers only grow: going back is a new number
	case t.Roll != nil && c.N <= t.Roll.To:
		return ErrSame
	}
	if t.Roll != nil {
		t.end(Superseded)
	}
	t.Roll = &Roll{ID: of.Index, From: t.Target, To: c.N, Plan: *c.Plan, Waves: waves(of.Living, t.Out, *c.Plan), Phase: Going}
	return nil
}

// waves divides the boxes that live and are not shut out, in one order on all boxes.
func waves(living map[string]uint64, out map[string]Out, p Plan) (list [][]string) {
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

// change moves the roll-out that runs.
func (t *Table) change(c Command, of Of) error {
	r := t.Roll
	if r == nil || r.ID != c.Roll || len(c.Why) > textMost {
		return ErrNone
	}
	if (c.Kind == Step || c.Kind == Halt) && !of.Conducts {
		return ErrLease
	}
	switch c.Kind {
	case Step:
		switch {
		case r.Phase == Held:
			return ErrBusy
		case c.Wave != r.Wave:
			return ErrDone
		case r.Phase == Back:
			t.end(Returned)
		case r.Wave+1 < len(r.Waves):
			r.Wave++
		default:
			t.Target = r.To
			if !r.Plan.Keep {
				t.rise(r.To, of.Index)
			}
			t.end(Done)
		}
	case Halt, Abort:
		if r.Phase == Back {
			return ErrDone
		}
		r.Phase, r.Why = Back, c.Why
	case Hold:
		if r.Phase != Going {
			return ErrDone
		}
		r.Phase, r.Why = Held, c.Why
	case Resume:
		if r.Phase != Held {
			return ErrDone
		}
		r.Phase, r.Why = Going, ""
	}
	return nil
}

func (t *Table) end(p Phase) {
	t.Roll.Phase = p
	t.Past = append(slices.Clone(t.Past[max(0, len(t.Past)+1-PastKept):]), *t.Roll)
	t.Roll = nil
}

// Wants is the number that a box is to have in force; 0 where nothing is asked of it.
func (t *Table) Wants(box string) uint64 {
	if r := t.Roll; r != nil && r.Phase != Back && r.reached(box) {
		return r.To
	}
	return t.Target
}

// tell keeps what a box says of itself. It is believed of the box's newest session alone.
func (t *Table) tell(c Command, of Of) error {
	s := c.Standing
	if s == nil || len(s.Why) > textMost || s.InForce > t.Last || of.Living[of.Box] != of.Session {
		return ErrBad
	}
	if _, ok := t.Boxes[of.Box]; !ok && len(t.Boxes) >= BoxesMost {
		return ErrBad
	}
	n := *s
	n.Session = of.Session
	t.Boxes[of.Box] = n
	if _, out := t.Out[of.Box]; out && n.InForce >= t.Lowest { // back in by itself, once it is up to date
		delete(t.Out, of.Box)
	}
	return nil
}

// Behind tells whether a box is below the lowest allowed number. One that has told nothing in its session is: nobody knows
// what it acts on.
func (t *Table) Behind(box string, session uint64) bool {
	s, ok := t.Boxes[box]
	return t.Lowest > 0 && (!ok || s.Session != session || s.InForce < t.Lowest)
}

// shutOut shuts a box out, unless it has come along meanwhile or too few would be left.
func (t *Table) shutOut(c Command, of Of) error {
	if of.Living[c.Box] != c.Session || c.Session == 0 || !t.Behind(c.Box, c.Session) {
		return ErrCurrent
	}
	if _, out := t.Out[c.Box]; out {
		return ErrDone
	}
	if !t.Spare(of.Living, of.Known) {
		return ErrFloor
	}
	t.Out[c.Box] = Out{Index: of.Index, Session: c.Session, InForce: t.Boxes[c.Box].InForce, Lowest: t.Lowest}
	return nil
}

// Spare tells whether one more box may be shut out: of all known boxes, the dead included, the configuration's share is left.
func (t *Table) Spare(living map[string]uint64, known int) bool {
	left := len(living) - 1
	for box := range t.Out {
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

// Check tells which invariant does not hold; nil means that all do.
func (t *Table) Check() error {
	switch r := t.Roll; {
	case t.Target > t.Last || t.Lowest > t.Target:
		return fmt.Errorf("lowest %d, in force %d, last %d", t.Lowest, t.Target, t.Last)
	case r != nil && (r.From != t.Target || r.To <= r.From || r.Wave < 0 || r.Wave >= len(r.Waves) || r.Phase > Back):
		return fmt.Errorf("roll-out %+v with %d in force", *r, t.Target)
	case len(t.Versions) > VersionsKept || len(t.Past) > PastKept:
		return errors.New("more is kept than the bounds say")
	}
	if t.Target != 0 && t.Version(t.Target) == nil {
		return fmt.Errorf("%d is in force and not kept", t.Target)
	}
	return nil
}
