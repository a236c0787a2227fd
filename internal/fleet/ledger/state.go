// Package ledger implements the replicated log of a fleet: entries that a majority of voters has stored on disk, and the state
// that all boxes compute by applying the entries in order. Consensus is provided by etcd's raft library.
//
// The package does no network I/O and reads no clock: a Ledger is given messages and the time, and returns messages. Data that
// must be durable is saved through Disk before any message that depends on it is returned. The same code therefore runs in a
// process and, with a thousand instances, in lab/fleetsim.
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

// Version is the highest version of entries that this build supports. A box does not apply entries of later versions, because
// its state would diverge from that of the others. An entry carries the minimum version that it requires, so builds of several
// versions can form a fleet until a command is used that the older ones do not support. Version 2 added roll-outs.
const Version = 2

// versionOf returns the minimum version that is required to apply the commands.
func versionOf(list []lease.Command) uint64 {
	for _, c := range list {
		if c.Kind == lease.CarryPayload {
			return 2
		}
	}
	return 1
}

// eraShift reserves 2^40 numbers for each era. The indexes and tokens of an era start above all that earlier eras can have
// issued, even if the ledger that issued them is lost.
const eraShift = 40

// State is the replicated state. Its encoding is identical on all boxes after the same index.
type State struct {
	Version     uint64                  `cbor:"1,keyasint"`
	Fleet       uint64                  `cbor:"2,keyasint"` // random ID of the fleet; 0: no fleet
	Era         uint64                  `cbor:"3,keyasint"` // increases when an operator restarts the ledger
	Index       uint64                  `cbor:"4,keyasint"` // last applied entry
	Table       *lease.Table            `cbor:"5,keyasint"`
	Want        []string                `cbor:"6,keyasint"` // names of the boxes that are to vote
	Voters      map[string]voters.Voter `cbor:"7,keyasint"`
	ReplacedIDs []uint64                `cbor:"8,keyasint"`           // identities that are still members although their box has a new one
	Rollout     *rollout.Table          `cbor:"9,keyasint,omitempty"` // nil before the first configuration
}

// Entry is the data of one log entry.
type Entry struct {
	Version  uint64          `cbor:"1,keyasint"`
	Commands []lease.Command `cbor:"2,keyasint,omitempty"`
	Want     []string        `cbor:"3,keyasint,omitempty"`
}

// ErrVersion is returned for an entry or a state of a later version.
var ErrVersion = errors.New("ledger: entry or state was written by a later build; install that build on this box")

// encoding is the deterministic encoding, so that equal states have equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding limits the sizes that a message may declare.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// NewState returns the initial state of a fleet.
func NewState(fleet uint64, terms lease.Terms, want []string, self string, id uint64) *State {
	s := &State{Version: 1, Fleet: fleet, Era: 1, Index: 1 << eraShift, Table: lease.NewTable(terms), Want: slices.Clone(want),
		Voters: map[string]voters.Voter{self: {ID: id}}}
	s.Table.Token = 1 << eraShift
	return s
}

// NextEra returns the state from which the ledger is restarted after the loss of a majority: the state of this box, with indexes
// and tokens above all that were ever issued, and with grants suspended until all former holders have stopped acting.
func (s *State) NextEra(self string, id uint64) *State {
	n := s.Clone()
	n.Era++
	n.Index = n.Era << eraShift
	n.Table.SuspendGrants(n.Index, n.Era<<eraShift)
	n.Voters, n.ReplacedIDs = map[string]voters.Voter{self: {ID: id}}, nil
	n.Want = []string{self}
	return n
}

// Clone returns a copy that shares only immutable data with s.
func (s *State) Clone() *State {
	n := *s
	n.Table, n.Want, n.Voters, n.ReplacedIDs = s.Table.Clone(), slices.Clone(s.Want), maps.Clone(s.Voters), slices.Clone(s.ReplacedIDs)
	if s.Rollout != nil {
		n.Rollout = s.Rollout.Clone()
	}
	return &n
}

// Encode returns the deterministic encoding of the state.
func (s *State) Encode() []byte {
	raw, err := encoding.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return raw
}

// Decode decodes a state.
func Decode(raw []byte) (*State, error) {
	s := new(State)
	if err := decoding.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("ledger: decode state: %w", err)
	}
	if s.Version > Version {
		return nil, ErrVersion
	}
	if s.Table == nil {
		return nil, errors.New("ledger: decode state: table missing")
	}
	if s.Table.Sessions == nil {
		s.Table.Sessions = map[uint64]*lease.Session{}
	}
	if s.Table.CurrentSessions == nil {
		s.Table.CurrentSessions = map[string]uint64{}
	}
	if s.Table.Marks == nil {
		s.Table.Marks = map[string][]lease.Mark{}
	}
	if s.Table.EndedSessions == nil {
		s.Table.EndedSessions = map[string]lease.EndedSession{}
	}
	if s.Table.Tasks == nil {
		s.Table.Tasks = map[string]*lease.Task{}
	}
	if s.Rollout != nil && s.Rollout.Boxes == nil {
		s.Rollout.Boxes = map[string]rollout.Status{}
	}
	if s.Rollout != nil && s.Rollout.ShutOutBoxes == nil {
		s.Rollout.ShutOutBoxes = map[string]rollout.ShutOutBox{}
	}
	if s.Voters == nil {
		s.Voters = map[string]voters.Voter{}
	}
	return s, nil
}

// Digest returns a hash of the encoded state.
func (s *State) Digest() uint64 { return xxhash.Sum64(s.Encode()) }

// Record is an entry as it is sent to followers.
type Record struct {
	Index uint64           `cbor:"1,keyasint"`
	Type  raftpb.EntryType `cbor:"2,keyasint,omitempty"`
	Data  []byte           `cbor:"3,keyasint,omitempty"`
}

// apply applies the next record. It returns the commands in it and, for each, the reason of its rejection, or nil.
func (s *State) apply(r Record) (list []lease.Command, results []error, err error) {
	switch {
	case r.Index != s.Index+1:
		return nil, nil, fmt.Errorf("ledger: entry %d is out of order after entry %d", r.Index, s.Index)
	case r.Type != raftpb.EntryNormal:
		change, ok := confChange(r)
		if ok {
			s.changeVoters(change)
		}
	case len(r.Data) > 0:
		var e Entry
		if err := decoding.Unmarshal(r.Data, &e); err != nil {
			return nil, nil, fmt.Errorf("ledger: decode entry %d: %w", r.Index, err)
		}
		if e.Version > Version {
			return nil, nil, ErrVersion
		}
		if len(e.Want) > 0 {
			s.Want = e.Want
		}
		list, results = e.Commands, make([]error, len(e.Commands))
		for i, c := range e.Commands {
			// Each command has a unique index, so that two sessions started by one entry have different IDs.
			at := r.Index<<CommandBits | uint64(i)
			if results[i] = s.Table.Apply(at, c); results[i] == nil && c.Kind == lease.CarryPayload {
				results[i] = s.applyPayload(at, c)
			}
		}
	}
	s.Index = r.Index
	return list, results, nil
}

// Conductor is the task whose holder runs the conductor of the fleet's roll-out.
const Conductor = "fleet/conductor"

// applyPayload applies the payload of a CarryPayload command.
func (s *State) applyPayload(index uint64, c lease.Command) error {
	s.Version = max(s.Version, 2)
	var r rollout.Command
	if err := decoding.Unmarshal([]byte(c.Payload), &r); err != nil {
		return rollout.ErrInvalidCommand
	}
	box := s.Table.Sessions[c.Session].Box
	if s.Table.Barred[box] && r.Kind != rollout.ReportStatus { // a barred box may only report its own state
		return lease.ErrBarred
	}
	if s.Rollout == nil {
		s.Rollout = rollout.NewTable()
	}
	of := rollout.CommandContext{Index: index, Box: box, Session: c.Session, Living: s.Table.CurrentSessions, KnownBoxes: s.Known()}
	if task := s.Table.Tasks[Conductor]; task != nil {
		of.IsConductor = slices.ContainsFunc(task.Holders, func(l lease.Lease) bool { return l.Session == c.Session && !l.Orphan })
	}
	if err := s.Rollout.Apply(r, of); err != nil {
		return err
	}
	switch _, out := s.Rollout.ShutOutBoxes[box]; {
	case r.Kind == rollout.ShutOut:
		s.Table.Bar(r.Box)
	case r.Kind == rollout.ReportStatus && !out && s.Table.Barred[box]:
		s.Table.Unbar(box)
	}
	return nil
}

// Known returns the number of boxes of the fleet, including dead ones, without those that have left in order.
func (s *State) Known() int {
	n := len(s.Table.CurrentSessions)
	for _, e := range s.Table.EndedSessions {
		if !e.LeftInOrder {
			n++
		}
	}
	return n
}

// EncodePayload encodes a roll-out command as the payload of a CarryPayload command.
func EncodePayload(c rollout.Command) cbor.ByteString {
	raw, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return cbor.ByteString(raw)
}

// MaxCommands is the maximum number of commands in an entry; see State.apply.
const MaxCommands = 1 << CommandBits

// CommandBits is the number of low bits of a command's index that hold its position in the entry. The other bits hold the
// index of the entry.
const CommandBits = 8

// confChange decodes a change of voters. ok is false for an entry that only leaves a joint configuration.
func confChange(r Record) (c voters.Change, ok bool) {
	var cc raftpb.ConfChangeV2
	if r.Type != raftpb.EntryConfChangeV2 || proto.Unmarshal(r.Data, &cc) != nil || len(cc.GetContext()) == 0 {
		return c, false
	}
	return c, decoding.Unmarshal(cc.GetContext(), &c) == nil
}

// changeVoters applies a change of voters.
func (s *State) changeVoters(c voters.Change) {
	switch c.Role {
	case voters.Learner:
		if v, ok := s.Voters[c.Name]; ok && v.ID != c.ID {
			s.ReplacedIDs = append(s.ReplacedIDs, v.ID)
		}
		s.Voters[c.Name] = voters.Voter{ID: c.ID, Learner: true}
	case voters.FullVoter:
		s.Voters[c.Name] = voters.Voter{ID: c.ID}
	case voters.Removed:
		s.ReplacedIDs = slices.DeleteFunc(s.ReplacedIDs, func(id uint64) bool { return id == c.ID })
		if v, ok := s.Voters[c.Name]; ok && v.ID == c.ID {
			delete(s.Voters, c.Name)
		}
	}
}
