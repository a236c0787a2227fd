// Package ledger is what a fleet agrees on: a log of entries that a majority of voters has on its disks, and the state that
// all boxes get by applying it in order. Agreement is etcd's raft library; nothing of that is our own.
//
// The package does no I/O by itself: a Ledger takes messages and the time, and gives back messages. What must be on a disk
// goes through Disk before any message that depends on it. So the same code runs in a process and, a thousand at a time, in
// lab/fleetsim.
package ledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/voters"
)

// Version is of the entries that this build understands. A box applies none of a later one: it could not come to the same
// state as the others. An entry says the least version that it needs, so that builds of several versions are one fleet until
// something is said that the older ones do not know. Since 2 there are roll-outs.
const Version = 2

// versionOf is what a box must understand to apply commands.
func versionOf(list []lease.Command) uint64 {
	for _, c := range list {
		if c.Kind == lease.Carry {
			return 2
		}
	}
	return 1
}

// eraShift leaves each era 2^40 numbers of its own. Indexes and tokens of an era begin above all that earlier ones can have
// given out, also where the ledger that gave them is lost.
const eraShift = 40

// State is what all boxes have the same, byte for byte, after the same index.
type State struct {
	Version uint64                  `cbor:"1,keyasint"`
	Fleet   uint64                  `cbor:"2,keyasint"` // drawn when the fleet was begun; 0: there is none
	Era     uint64                  `cbor:"3,keyasint"` // grows when an operator begins the ledger anew
	Index   uint64                  `cbor:"4,keyasint"` // of the last entry
	Table   *lease.Table            `cbor:"5,keyasint"`
	Want    []string                `cbor:"6,keyasint"` // the boxes that are to vote
	Voters  map[string]voters.Voter `cbor:"7,keyasint"`
	Old     []uint64                `cbor:"8,keyasint"`           // identities in the votes whose box has another one now
	Rollout *rollout.Table          `cbor:"9,keyasint,omitempty"` // nil before the first configuration
}

// Entry is what one place of the log holds.
type Entry struct {
	Version  uint64          `cbor:"1,keyasint"`
	Commands []lease.Command `cbor:"2,keyasint,omitempty"`
	Want     []string        `cbor:"3,keyasint,omitempty"`
}

// ErrVersion says that an entry is of a later build.
var ErrVersion = errors.New("ledger: an entry is of a later build; install it on this box")

// encoding is the canonical one, so that equal states are equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding bounds what a message may claim to hold.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Begin is the state of a fleet at its beginning.
func Begin(fleet uint64, terms lease.Terms, want []string, self string, id uint64) *State {
	s := &State{Version: 1, Fleet: fleet, Era: 1, Index: 1 << eraShift, Table: lease.NewTable(terms), Want: slices.Clone(want),
		Voters: map[string]voters.Voter{self: {ID: id}}}
	s.Table.Token = 1 << eraShift
	return s
}

// Anew is the state from which an operator begins again after a majority was lost: what this box knows, above every number
// that was ever given out, and with nothing granted until all who held something have stopped.
func (s *State) Anew(self string, id uint64) *State {
	n := s.Clone()
	n.Era++
	n.Index = n.Era << eraShift
	n.Table.Close(n.Index, n.Era<<eraShift)
	n.Voters, n.Old = map[string]voters.Voter{self: {ID: id}}, nil
	n.Want = []string{self}
	return n
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	n := *s
	n.Table, n.Want, n.Voters, n.Old = s.Table.Clone(), slices.Clone(s.Want), maps.Clone(s.Voters), slices.Clone(s.Old)
	if s.Rollout != nil {
		n.Rollout = s.Rollout.Clone()
	}
	return &n
}

// Encode returns the state's one form in bytes.
func (s *State) Encode() []byte {
	raw, err := encoding.Marshal(s)
	if err != nil {
		panic(err) // a state holds nothing that cannot be encoded
	}
	return raw
}

// Decode reads a state.
func Decode(raw []byte) (*State, error) {
	s := new(State)
	if err := decoding.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("ledger: a state cannot be read: %w", err)
	}
	if s.Version > Version {
		return nil, ErrVersion
	}
	if s.Table == nil {
		return nil, errors.New("ledger: a state without a table")
	}
	if s.Table.Sessions == nil {
		s.Table.Sessions = map[uint64]*lease.Session{}
	}
	if s.Table.Names == nil {
		s.Table.Names = map[string]uint64{}
	}
	if s.Table.Marks == nil {
		s.Table.Marks = map[string][]lease.Mark{}
	}
	if s.Table.Left == nil {
		s.Table.Left = map[string]lease.Ended{}
	}
	if s.Table.Tasks == nil {
		s.Table.Tasks = map[string]*lease.Task{}
	}
	if s.Rollout != nil && s.Rollout.Boxes == nil {
		s.Rollout.Boxes = map[string]rollout.Standing{}
	}
	if s.Rollout != nil && s.Rollout.Out == nil {
		s.Rollout.Out = map[string]rollout.Out{}
	}
	if s.Voters == nil {
		s.Voters = map[string]voters.Voter{}
	}
	return s, nil
}

// Digest is equal where states are.
func (s *State) Digest() uint64 { return xxhash.Sum64(s.Encode()) }

// Record is an entry as it travels to boxes that follow.
type Record struct {
	Index uint64           `cbor:"1,keyasint"`
	Type  raftpb.EntryType `cbor:"2,keyasint,omitempty"`
	Data  []byte           `cbor:"3,keyasint,omitempty"`
}

// apply takes the next record. It returns the commands in it, and why each was turned down, nil where it was not.
func (s *State) apply(r Record) (list []lease.Command, why []error, err error) {
	switch {
	case r.Index != s.Index+1:
		return nil, nil, fmt.Errorf("ledger: entry %d comes after %d", r.Index, s.Index)
	case r.Type != raftpb.EntryNormal:
		change, ok := confChange(r)
		if ok {
			s.change(change)
		}
	case len(r.Data) > 0:
		var e Entry
		if err := decoding.Unmarshal(r.Data, &e); err != nil {
			return nil, nil, fmt.Errorf("ledger: entry %d cannot be read: %w", r.Index, err)
		}
		if e.Version > Version {
			return nil, nil, ErrVersion
		}
		if len(e.Want) > 0 {
			s.Want = e.Want
		}
		list, why = e.Commands, make([]error, len(e.Commands))
		for i, c := range e.Commands {
			// Each command has a number of its own, so that two sessions begun by one entry differ.
			at := r.Index<<CommandBits | uint64(i)
			if why[i] = s.Table.Apply(at, c); why[i] == nil && c.Kind == lease.Carry {
				why[i] = s.carry(at, c)
			}
		}
	}
	s.Index = r.Index
	return list, why, nil
}

// Conductor is the task whose holder conducts the fleet's roll-out.
const Conductor = "fleet/conductor"

// carry applies what a command of a session carries.
func (s *State) carry(index uint64, c lease.Command) error {
	s.Version = max(s.Version, 2)
	var r rollout.Command
	if err := decoding.Unmarshal([]byte(c.Payload), &r); err != nil {
		return rollout.ErrBad
	}
	box := s.Table.Sessions[c.Session].Box
	if s.Table.Barred[box] && r.Kind != rollout.Tell { // its words about the fleet are not believed
		return lease.ErrBarred
	}
	if s.Rollout == nil {
		s.Rollout = rollout.NewTable()
	}
	of := rollout.Of{Index: index, Box: box, Session: c.Session, Living: s.Table.Names, Known: s.Known()}
	if task := s.Table.Tasks[Conductor]; task != nil {
		of.Conducts = slices.ContainsFunc(task.Holders, func(l lease.Lease) bool { return l.Session == c.Session && !l.Orphan })
	}
	if err := s.Rollout.Apply(r, of); err != nil {
		return err
	}
	switch _, out := s.Rollout.Out[box]; {
	case r.Kind == rollout.ShutOut:
		s.Table.Bar(r.Box)
	case r.Kind == rollout.Tell && !out && s.Table.Barred[box]:
		s.Table.Unbar(box)
	}
	return nil
}

// Known counts the boxes of the fleet, those that died included and those that left in order not.
func (s *State) Known() int {
	n := len(s.Table.Names)
	for _, e := range s.Table.Left {
		if !e.Parted {
			n++
		}
	}
	return n
}

// Carry makes the payload of a command.
func Carry(c rollout.Command) cbor.ByteString {
	raw, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // of our own types
	}
	return cbor.ByteString(raw)
}

// CommandsMost is how many commands one entry holds; see apply.
const CommandsMost = 1 << CommandBits

// CommandBits are the low ones of a command's number: its place in its entry. The rest is the entry's index.
const CommandBits = 8

// confChange reads what a change of voters says of a box. Leaving a joint state says nothing.
func confChange(r Record) (c voters.Change, ok bool) {
	var cc raftpb.ConfChangeV2
	if r.Type != raftpb.EntryConfChangeV2 || proto.Unmarshal(r.Data, &cc) != nil || len(cc.GetContext()) == 0 {
		return c, false
	}
	return c, decoding.Unmarshal(cc.GetContext(), &c) == nil
}

func (s *State) change(c voters.Change) {
	switch c.Role {
	case voters.Learner:
		if v, ok := s.Voters[c.Name]; ok && v.ID != c.ID {
			s.Old = append(s.Old, v.ID)
		}
		s.Voters[c.Name] = voters.Voter{ID: c.ID, Learner: true}
	case voters.Full:
		s.Voters[c.Name] = voters.Voter{ID: c.ID}
	case voters.Removed:
		s.Old = slices.DeleteFunc(s.Old, func(id uint64) bool { return id == c.ID })
		if v, ok := s.Voters[c.Name]; ok && v.ID == c.ID {
			delete(s.Voters, c.Name)
		}
	}
}
