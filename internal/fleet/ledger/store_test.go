package ledger

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

func snapshot(index uint64, data string) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte(data), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: new(uint64(1)), ConfState: &raftpb.ConfState{Voters: []uint64{7}}}}
}

// content is the content of a disk in comparable form.
type content struct {
	id, vote, snap uint64
	entries        []string
}

// loadContent loads a disk and returns its content.
func loadContent(t *testing.T, d Disk) content {
	t.Helper()
	s, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	p := content{id: s.ID, vote: s.Hard.GetVote(), snap: s.Snapshot.GetMetadata().GetIndex()}
	for _, e := range s.Entries {
		p.entries = append(p.entries, string(e.GetData()))
	}
	return p
}

// TestDiskKeepsSavedData applies the same writes to a Store, which is reopened after each one, and to a Memory.
func TestDiskKeepsSavedData(t *testing.T) {
	dir := t.TempDir()
	memory := new(Memory)
	for i, c := range []struct {
		w    Write
		want content
	}{
		{Write{ID: 7}, content{id: 7}},
		{Write{Hard: &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(7))}}, content{id: 7, vote: 7}},
		{Write{Entries: []*raftpb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}}, content{7, 7, 0, []string{"a", "b", "c"}}},
		{Write{Entries: []*raftpb.Entry{entry(2, 2, "B")}}, content{7, 7, 0, []string{"a", "B"}}},
		{Write{Entries: []*raftpb.Entry{entry(3, 2, "C"), entry(4, 2, "D")}, Hard: &raftpb.HardState{Vote: new(uint64(9))}}, content{7, 9, 0, []string{"a", "B", "C", "D"}}},
		{Write{Snapshot: snapshot(3, "s"), Compact: 2}, content{7, 9, 3, []string{"C", "D"}}},
		{Write{Compact: 9}, content{7, 9, 3, nil}},
		{Write{ID: 8}, content{id: 8}},
	} {
		store, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		for name, d := range map[string]Disk{"store": store, "memory": memory} {
			if err := d.Save(c.w); err != nil {
				t.Fatal(err)
			}
			if got := loadContent(t, d); !reflect.DeepEqual(got, c.want) {
				t.Errorf("write %d, %s: %+v, want %+v", i, name, got, c.want)
			}
		}
		store.Close()
		if store, err = OpenStore(dir); err != nil {
			t.Fatal(err)
		}
		if got := loadContent(t, store); !reflect.DeepEqual(got, c.want) {
			t.Errorf("write %d, reopened: %+v, want %+v", i, got, c.want)
		}
		store.Close()
	}
}

func TestCopiedStoreLosesVotingIdentity(t *testing.T) {
	dir := t.TempDir()
	from, to := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	store, err := OpenStore(from)
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(store.Save(Write{ID: 7, Hard: &raftpb.HardState{Vote: new(uint64(7))}, Snapshot: snapshot(3, "s"), Entries: []*raftpb.Entry{entry(4, 1, "x")}}), store.Close(), os.MkdirAll(to, 0o700))
	raw, rerr := os.ReadFile(filepath.Join(from, FileName))
	if err = errors.Join(err, rerr, os.WriteFile(filepath.Join(to, FileName), raw, 0o600)); err != nil {
		t.Fatal(err)
	}
	copied, err := OpenStore(to)
	if err != nil {
		t.Fatal(err)
	}
	defer copied.Close()
	s, err := copied.Load()
	if err != nil || s.ID != 0 || s.Hard != nil || len(s.Entries) > 0 || string(s.Snapshot.GetData()) != "s" {
		t.Errorf("copy holds %+v, error %v; want only the snapshot", s, err)
	}
	if err := copied.Save(Write{ID: 8}); err != nil {
		t.Fatal(err)
	}
	if got := loadContent(t, copied); got.id != 8 {
		t.Errorf("%+v", got)
	}
	moved := filepath.Join(dir, "c") // a moved folder is still the same disk
	if err := os.Rename(from, moved); err != nil {
		t.Fatal(err)
	}
	store, err = OpenStore(moved)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if got := loadContent(t, store); got.id != 7 {
		t.Errorf("moved folder holds %+v", got)
	}
}

func TestStoreIsOpenedByOneProcessOnly(t *testing.T) {
	lockTimeout = 50e6
	dir := t.TempDir()
	store, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if _, err := OpenStore(dir); !errors.Is(err, errOtherProcess) {
		t.Errorf("second OpenStore returned %v", err)
	}
}

func TestStoreSizeIsBounded(t *testing.T) {
	store, err := OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.db.NoSync = true // only the size matters here
	store.Save(Write{ID: 7})
	data := string(make([]byte, 200))
	for i := uint64(1); i <= 40_000; i += 100 {
		var list []*raftpb.Entry
		for k := range uint64(100) {
			list = append(list, entry(i+k, 1, data))
		}
		w := Write{Entries: list}
		if i > compactAfter {
			w.Snapshot, w.Compact = snapshot(i, data), i-keepEntries
		}
		if err := store.Save(w); err != nil {
			t.Fatal(err)
		}
	}
	if n := store.Size(); n > 4<<20 {
		t.Errorf("store of 40,000 entries of 200 bytes, of which %d are kept, has %d bytes", keepEntries, n)
	}
}
