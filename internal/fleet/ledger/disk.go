package ledger

import (
	"cmp"
	"errors"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Saved is what a disk holds for one box.
//
// Promised: a Save that returned nil is there after any stop; one that did not return is there whole or not at all. A box
// that has lost its disk has lost its identity with it.
type Saved struct {
	// ID is this box's identity in the votes. It is 0 when the disk is new, or when it is a copy of another one: only the
	// snapshot then holds something, which is what was agreed on once.
	ID       uint64
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot // with an encoded State; nil or of index 0 when there is none
	Entries  []*raftpb.Entry  // after the snapshot, without a gap
}

// Write is what is saved at once. What is nil stays as it was.
type Write struct {
	ID       uint64 // not 0: forget all that was saved, and be this from now on
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	// Entries replace all that the disk has from the first of them on.
	Entries []*raftpb.Entry
	// Compact forgets entries up to it.
	Compact uint64
}

// Disk keeps it. Calls come one at a time.
type Disk interface {
	Load() (Saved, error)
	Save(w Write) error
}

// ErrFull is what a Memory gives that is to fail.
var ErrFull = errors.New("ledger: no space left")

// Memory is a Disk in memory, for tests and for the emulator. What it holds is copied in and out as bytes, as a disk does.
type Memory struct {
	Full    bool  // refuse to save
	Moved   bool  // it is a copy of another disk
	Saves   int   // that were done
	Written int64 // bytes of entries
	id      uint64
	hard    []byte
	snap    []byte
	log     []kept // in order, without a gap
}

type kept struct {
	index uint64
	raw   []byte
}

// Load implements Disk.
func (m *Memory) Load() (s Saved, err error) {
	if s.ID = m.id; m.Moved {
		s.ID = 0
	}
	if m.hard != nil {
		s.Hard = new(raftpb.HardState)
		if err := proto.Unmarshal(m.hard, s.Hard); err != nil {
			return s, err
		}
	}
	if m.snap != nil {
		s.Snapshot = new(raftpb.Snapshot)
		if err := proto.Unmarshal(m.snap, s.Snapshot); err != nil {
			return s, err
		}
	}
	for _, k := range m.log {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(k.raw, e); err != nil {
			return s, err
		}
		s.Entries = append(s.Entries, e)
	}
	return s, nil
}

// Save implements Disk.
func (m *Memory) Save(w Write) error {
	if m.Full {
		return ErrFull
	}
	m.Saves++
	for _, e := range w.Entries {
		m.Written += int64(len(e.GetData()))
	}
	if w.ID != 0 {
		m.Moved = false
		m.id, m.hard, m.snap, m.log = w.ID, nil, nil, nil
	}
	if w.Hard != nil {
		m.hard = encode(w.Hard)
	}
	if w.Snapshot != nil {
		m.snap = encode(w.Snapshot)
	}
	if len(w.Entries) > 0 {
		m.log = m.log[:m.find(w.Entries[0].GetIndex())]
	}
	for _, e := range w.Entries {
		m.log = append(m.log, kept{e.GetIndex(), encode(e)})
	}
	if w.Compact > 0 {
		m.log = slices.Clone(m.log[m.find(w.Compact+1):])
	}
	return nil
}

// find is the place of the first entry that is not below an index.
func (m *Memory) find(index uint64) int {
	at, _ := slices.BinarySearchFunc(m.log, index, func(k kept, i uint64) int { return cmp.Compare(k.index, i) })
	return at
}

// Copy returns another disk with the same content, as a folder that is copied or put back from a backup.
func (m *Memory) Copy() *Memory {
	return &Memory{id: m.id, hard: m.hard, snap: m.snap, log: slices.Clone(m.log), Moved: true} // what was saved is not changed
}

func encode(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // of the library's own types
	}
	return raw
}

// Lose empties the disk, as one that is replaced.
func (m *Memory) Lose() { *m = Memory{Full: m.Full} }
