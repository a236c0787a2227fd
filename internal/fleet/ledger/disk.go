package ledger

import (
	"cmp"
	"errors"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// StoredData is the content of a box's disk.
//
// A Save that returned nil is durable; one that did not return is stored completely or not at all. A box that has lost its
// disk has lost its identity as well.
type StoredData struct {
	// ID is this box's voting identity. It is 0 if the disk is new or a copy of another one. A copy is only used for its
	// snapshot, which holds committed state.
	ID       uint64
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot // contains an encoded State; nil or with index 0 if there is none
	Entries  []*raftpb.Entry  // log entries without gaps; may start before the index of the snapshot
}

// Write holds data that is saved atomically. Nil fields are left unchanged on the disk.
type Write struct {
	ID       uint64 // if not 0: delete all saved data and use this identity
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	// Entries replace all entries on the disk from the index of the first one on.
	Entries []*raftpb.Entry
	// Compact deletes the entries up to and including this index.
	Compact uint64
}

// Disk stores the data of a Ledger. Its methods are not called concurrently.
type Disk interface {
	Load() (StoredData, error)
	Save(w Write) error
}

// ErrFull is returned by a Memory whose Full is set.
var ErrFull = errors.New("ledger: no space left")

// Memory is a Disk in memory for tests and simulations. Like a real disk, it stores copies of the data as bytes.
type Memory struct {
	Full    bool  // Save returns ErrFull
	Copied  bool  // the disk is a copy of another one
	Saves   int   // number of saves
	Written int64 // total size of the saved entries in bytes
	id      uint64
	hard    []byte
	snap    []byte
	log     []storedEntry // in order, without gaps
}

// storedEntry is a stored entry.
type storedEntry struct {
	index uint64
	raw   []byte
}

// Load implements Disk.
func (m *Memory) Load() (s StoredData, err error) {
	if s.ID = m.id; m.Copied {
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
		m.Copied = false
		m.id, m.hard, m.snap, m.log = w.ID, nil, nil, nil
	}
	if w.Hard != nil {
		m.hard = encode(w.Hard)
	}
	if w.Snapshot != nil {
		m.snap = encode(w.Snapshot)
	}
	if len(w.Entries) > 0 {
		m.log = m.log[:m.search(w.Entries[0].GetIndex())]
	}
	for _, e := range w.Entries {
		m.log = append(m.log, storedEntry{e.GetIndex(), encode(e)})
	}
	if w.Compact > 0 {
		m.log = slices.Clone(m.log[m.search(w.Compact+1):])
	}
	return nil
}

// search returns the position of the first entry whose index is at least the given one.
func (m *Memory) search(index uint64) int {
	at, _ := slices.BinarySearchFunc(m.log, index, func(k storedEntry, i uint64) int { return cmp.Compare(k.index, i) })
	return at
}

// Copy returns another disk with the same content, like a folder that was copied or restored from a backup.
func (m *Memory) Copy() *Memory {
	return &Memory{id: m.id, hard: m.hard, snap: m.snap, log: slices.Clone(m.log), Copied: true} // shallow copies are enough: stored bytes are never modified
}

// encode returns the deterministic encoding of a message of the Raft library.
func encode(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // cannot happen: the library's types can be encoded
	}
	return raw
}

// Erase empties the disk, as if it had been replaced.
func (m *Memory) Erase() { *m = Memory{Full: m.Full} }
