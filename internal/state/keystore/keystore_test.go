package keystore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnlane/internal/faultfs"
	"cairnlane/internal/testkit"
)

var testTime = time.Unix(0, int64(testkit.StartTime)).UTC()

func open(t *testing.T, files faultfs.FS, root string) *Store {
	t.Helper()
	s, err := Open(files, root)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func generation(n int) Generation {
	return Generation{Key: []byte(fmt.Sprintf("key %d", n)), Chain: [][]byte{{1, byte(n)}, {2}}, Authority: "main", Stored: testTime}
}

// TestTruncationAtAnyByteFallsBackToPrevious truncates the newest file of each kind after every byte, and flips a bit in
// every byte. A reader must find the file before it.
func TestTruncationAtAnyByteFallsBackToPrevious(t *testing.T) {
	root := filepath.Join(t.TempDir(), "store")
	s := open(t, faultfs.Disk{}, root)
	for n := 1; n <= 2; n++ {
		for _, err := range []error{s.PutGeneration("site", generation(n)), s.PutAccount("main", Account{URL: fmt.Sprint("u", n)}),
			s.PutOrder("site", Order{URL: fmt.Sprint("o", n), Begun: testTime})} {
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	read := func() string {
		g, n, err1 := s.Generation("site")
		a, err2 := s.Account("main")
		o, err3 := s.Order("site")
		if err := errors.Join(err1, err2, err3); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d %s %s %s", n, g.Key, a.URL, o.URL)
	}
	cuts := 0
	for file, want := range map[string]string{"certs/site/gen-00000002": "1 key 1 u2 o2", "accounts/main/account-00000002": "2 key 2 u1 o2",
		"certs/site/order-00000002": "2 key 2 u2 o1"} {
		path := filepath.Join(root, file)
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for n := range whole {
			if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
				t.Fatal(err)
			}
			if got := read(); got != want {
				t.Fatalf("%s truncated after %d bytes: %s, want %s", file, n, got, want)
			}
			flipped := append([]byte(nil), whole...)
			if flipped[n] ^= 0x40; n != 4 && n != 5 { // bytes of the format version: a newer version is an error of its own
				if err := os.WriteFile(path, flipped, 0o600); err != nil {
					t.Fatal(err)
				}
				if got := read(); got != want {
					t.Fatalf("%s with byte %d flipped: %s, want %s", file, n, got, want)
				}
			}
			cuts++
		}
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if got := read(); got != "2 key 2 u2 o2" || cuts < 100 {
		t.Errorf("restored: %s, after %d truncations", got, cuts)
	}
}

// TestKillOrFullDiskAtAnyStepKeepsStoredValue lets each disk operation of a put fail, and then puts again.
func TestKillOrFullDiskAtAnyStepKeepsStoredValue(t *testing.T) {
	count := faultfs.NewFaulty()
	s := open(t, count, filepath.Join(t.TempDir(), "store"))
	for n := 1; n <= 5; n++ {
		if err := s.PutGeneration("site", generation(n)); err != nil {
			t.Fatal(err)
		}
	}
	ops := count.OpCount()
	for at := range ops {
		for _, torn := range []int{-1, 0, 1, 20, 40, 1 << 20} { // -1: full disk; otherwise bytes written before the kill
			root := filepath.Join(t.TempDir(), "store")
			files, stored := faultfs.NewFaulty(), 0
			if torn < 0 {
				files.NoSpaceAt(at)
			} else {
				files.KillAt(at, torn)
			}
			s := open(t, files, root)
			attempted := 0
			for n := 1; n <= 5; n++ {
				attempted = n
				if err := s.PutGeneration("site", generation(n)); err == nil {
					stored = n
				} else if torn >= 0 {
					break
				}
			}
			again := open(t, faultfs.Disk{}, root)
			g, _, err := again.Generation("site")
			if stored == 0 && errors.Is(err, ErrNotFound) {
				continue
			}
			var got int
			fmt.Sscanf(string(g.Key), "key %d", &got)
			if err != nil || got < stored || got > attempted {
				t.Fatalf("operation %d, %d bytes: found generation %d (%v), last stored %d, last attempted %d", at, torn, got, err, stored, attempted)
			}
			if err := again.PutGeneration("site", generation(9)); err != nil {
				t.Fatal(err)
			}
			if g, _, _ := again.Generation("site"); string(g.Key) != "key 9" {
				t.Fatalf("after the fault: got %s, want key 9", g.Key)
			}
		}
	}
	if ops < 15 {
		t.Errorf("got %d operations, want at least 15", ops)
	}
}

// TestFullDiskRecovers fills the disk temporarily: the old generation stays, and the new one can be stored once there is
// space again.
func TestFullDiskRecovers(t *testing.T) {
	files := faultfs.NewFaulty()
	s := open(t, files, filepath.Join(t.TempDir(), "store"))
	if err := s.PutGeneration("site", generation(1)); err != nil {
		t.Fatal(err)
	}
	for room := range 40 {
		files.LimitSpace(room)
		if err := s.PutGeneration("site", generation(2)); err == nil {
			t.Fatalf("put succeeded with %d bytes free", room)
		}
		if g, n, err := s.Generation("site"); err != nil || n != 1 || string(g.Key) != "key 1" {
			t.Fatalf("with %d bytes free: generation %d, %v", room, n, err)
		}
	}
	files.LimitSpace(-1)
	if err := s.PutGeneration("site", generation(2)); err != nil {
		t.Fatal(err)
	}
	entries, _ := os.ReadDir(filepath.Join(s.root, "certs", "site"))
	if len(entries) != 2 {
		t.Errorf("%d files are left, want 2: %v", len(entries), entries)
	}
}

func TestFilesReadableByOthersAreRejected(t *testing.T) {
	root := filepath.Join(t.TempDir(), "store")
	s := open(t, faultfs.Disk{}, root)
	if err := s.PutGeneration("site", generation(1)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, "certs", "site", "gen-00000001")
	os.Chmod(path, 0o640)
	if _, _, err := s.Generation("site"); !errors.Is(err, ErrNotPrivate) {
		t.Errorf("key file readable by the group: %v", err)
	}
	os.Chmod(path, 0o600)
	os.Chmod(root, 0o755)
	if _, err := Open(faultfs.Disk{}, root); !errors.Is(err, ErrNotPrivate) {
		t.Errorf("store accessible to all: %v", err)
	}
}

func TestNewerFormatIsAnError(t *testing.T) {
	root := filepath.Join(t.TempDir(), "store")
	s := open(t, faultfs.Disk{}, root)
	if err := errors.Join(s.PutGeneration("site", generation(1)), s.PutGeneration("site", generation(2))); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, "certs", "site", "gen-00000002")
	data, _ := os.ReadFile(path)
	data[5] = formatVersion + 1
	os.WriteFile(path, data, 0o600)
	if _, _, err := s.Generation("site"); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("newest file has a later format: %v", err)
	}
}

func TestLockIsExclusiveAndReleasedOnClose(t *testing.T) {
	root := filepath.Join(t.TempDir(), "store")
	a, b := open(t, faultfs.Disk{}, root), open(t, faultfs.Disk{}, root)
	if err := errors.Join(a.Lock(), a.Lock()); err != nil {
		t.Fatal(err)
	}
	if err := b.Lock(); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: %v", err)
	}
	if err := a.PutGeneration("site", generation(1)); err != nil {
		t.Fatal(err)
	}
	if g, _, err := b.Generation("site"); err != nil || string(g.Key) != "key 1" {
		t.Errorf("second store reads %q, %v", g.Key, err)
	}
	a.Close()
	if err := errors.Join(b.Lock(), b.Close(), b.Close()); err != nil {
		t.Errorf("after the first store was closed: %v", err)
	}
}

func TestNamesCannotEscapeTheStore(t *testing.T) {
	s := open(t, faultfs.Disk{}, filepath.Join(t.TempDir(), "store"))
	for _, name := range []string{"", ".", "..", "../x", "a/b", `a\b`, "a\x00"} {
		if err := s.PutAccount(name, Account{}); err == nil {
			t.Errorf("%q is accepted", name)
		}
	}
	if _, _, err := s.Generation("site"); !errors.Is(err, ErrNotFound) {
		t.Errorf("empty store: %v", err)
	}
}

func TestOldFilesAreRemoved(t *testing.T) {
	s := open(t, faultfs.Disk{}, filepath.Join(t.TempDir(), "store"))
	for n := range 20 {
		if err := s.PutGeneration("site", generation(n)); err != nil {
			t.Fatal(err)
		}
	}
	if entries, _ := os.ReadDir(filepath.Join(s.root, "certs", "site")); len(entries) != maxKept {
		t.Errorf("%d files, want %d", len(entries), maxKept)
	}
	if _, n, err := s.Generation("site"); n != 20 || err != nil {
		t.Errorf("generation %d, %v", n, err)
	}
}

func FuzzDecode(f *testing.F) {
	whole, err := encode(1, generation(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Fuzz(func(t *testing.T, data []byte) {
		var g Generation
		if err := decode(1, data, &g); err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerFormat) {
			t.Errorf("unexpected error: %v", err)
		}
	})
}
