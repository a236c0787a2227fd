package configs

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnlane/internal/faultfs"
)

func open(t *testing.T, fs faultfs.FS, dir string) (*Store, string) {
	t.Helper()
	s, how, err := Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, how
}

// change puts two bodies and has the second be in force after the first; what is cut off shows as an error.
func change(s *Store) error {
	a, aerr := s.Put([]byte("one"))
	err := errors.Join(aerr, s.Enter(InForce{N: 1, Digest: a, Fleet: 7, Index: 10}))
	b, berr := s.Put([]byte("two"))
	return errors.Join(err, berr, s.Enter(InForce{N: 2, Digest: b, Fleet: 7, Index: 20}))
}

// TestAKillAnywhereLeavesTheOldOrTheNewOne: the process dies at each operation of the disk, after each share of what it writes.
func TestAKillAnywhereLeavesTheOldOrTheNewOne(t *testing.T) {
	count := faultfs.NewFaulty()
	s, _ := open(t, count, t.TempDir())
	if err := change(s); err != nil {
		t.Fatal(err)
	}
	seen := map[uint64]int{}
	for op := range count.Ops() {
		for _, bytes := range []int{0, 1, 20} {
			dir := t.TempDir()
			fs := faultfs.NewFaulty()
			fs.KillAt(op, bytes)
			if s, _, err := Open(fs, dir); err == nil {
				change(s)
			}
			again, how := open(t, faultfs.Disk{}, dir)
			f := again.InForce()
			if how != "" || f.N > 2 || f.N > 0 && (again.Body(f.Digest) == nil || f.Fleet != 7 || f.Index != 10*f.N) {
				t.Errorf("killed at %d after %d bytes: %+v, %q", op, bytes, f, how)
			}
			seen[f.N]++
			if err := change(again); err != nil || again.InForce().N != 2 {
				t.Errorf("killed at %d: it does not go on: %v", op, err)
			}
		}
	}
	if len(seen) != 3 {
		t.Errorf("the kills leave %v", seen)
	}
}

// TestWhatIsDamagedIsNotThere, and is said.
func TestWhatIsDamagedIsNotThere(t *testing.T) {
	for name, damage := range map[string]func(dir, digest string) error{
		"a body":            func(dir, d string) error { return os.WriteFile(filepath.Join(dir, d+suffix), []byte("tw0"), 0o600) },
		"a body is missing": func(dir, d string) error { return os.Remove(filepath.Join(dir, d+suffix)) },
		"what was in force": func(dir, _ string) error {
			return os.WriteFile(filepath.Join(dir, "inforce"), []byte("CLIF\x01 rubbish"), 0o600)
		},
		"a byte":  func(dir, _ string) error { return flip(filepath.Join(dir, "inforce"), 9) },
		"its end": func(dir, _ string) error { return os.Truncate(filepath.Join(dir, "inforce"), 40) },
	} {
		dir := t.TempDir()
		s, _ := open(t, faultfs.Disk{}, dir)
		if err := change(s); err != nil {
			t.Fatal(err)
		}
		if err := damage(dir, s.InForce().Digest); err != nil {
			t.Fatal(err)
		}
		again, how := open(t, faultfs.Disk{}, dir)
		if again.InForce().N != 0 || how == "" {
			t.Errorf("%s: %+v, %q", name, again.InForce(), how)
		}
	}
}

func flip(path string, at int) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	raw[at] ^= 1
	return os.WriteFile(path, raw, 0o600)
}

// TestBodiesAreBounded, and the one in force stays.
func TestBodiesAreBounded(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, faultfs.Disk{}, dir)
	first, _ := s.Put([]byte("first"))
	if err := s.Enter(InForce{N: 1, Digest: first}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 * bodiesMost {
		if _, err := s.Put(fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	list, _ := os.ReadDir(dir)
	if len(list) > bodiesMost+1 || s.Body(first) == nil {
		t.Errorf("%d files are kept, and the body in force: %v", len(list), s.Body(first) != nil)
	}
	if err := s.Enter(InForce{N: 2, Digest: strings.Repeat("0", 64)}); err == nil || s.InForce().N != 1 {
		t.Errorf("in force without a body: %v", err)
	}
	if err := s.Enter(InForce{}); err != nil || s.InForce().N != 0 {
		t.Errorf("back to nothing: %v", err)
	}
}

// TestWhatTheDiskRefusesIsNotInForce: the old one is, until there is room again.
func TestWhatTheDiskRefusesIsNotInForce(t *testing.T) {
	fs := faultfs.NewFaulty()
	s, _ := open(t, fs, t.TempDir())
	if err := change(s); err != nil {
		t.Fatal(err)
	}
	d, err := s.Put([]byte("three"))
	if err != nil {
		t.Fatal(err)
	}
	fs.Room(0)
	if err := s.Enter(InForce{N: 3, Digest: d}); err == nil || s.InForce().N != 2 {
		t.Errorf("%v, %+v", err, s.InForce())
	}
	if _, err := s.Put([]byte("four")); err == nil {
		t.Error("a body is taken by a full disk")
	}
	fs.Room(-1)
	if err := s.Enter(InForce{N: 3, Digest: d}); err != nil || s.InForce().N != 3 {
		t.Errorf("%v, %+v", err, s.InForce())
	}
}
