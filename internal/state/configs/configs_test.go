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
	s, problems, err := Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, problems
}

// changeTwice stores two bodies and puts one after the other in force. An injected fault is returned as an error.
func changeTwice(s *Store) error {
	a, aerr := s.Put([]byte("one"))
	err := errors.Join(aerr, s.SetInForce(InForce{N: 1, Digest: a, Fleet: 7, Index: 10}))
	b, berr := s.Put([]byte("two"))
	return errors.Join(err, berr, s.SetInForce(InForce{N: 2, Digest: b, Fleet: 7, Index: 20}))
}

// TestKillAtAnyOperationLeavesOldOrNewInForce kills the process at each disk operation, after different numbers of
// written bytes.
func TestKillAtAnyOperationLeavesOldOrNewInForce(t *testing.T) {
	count := faultfs.NewFaulty()
	s, _ := open(t, count, t.TempDir())
	if err := changeTwice(s); err != nil {
		t.Fatal(err)
	}
	seen := map[uint64]int{}
	for op := range count.OpCount() {
		for _, bytes := range []int{0, 1, 20} {
			dir := t.TempDir()
			fs := faultfs.NewFaulty()
			fs.KillAt(op, bytes)
			if s, _, err := Open(fs, dir); err == nil {
				changeTwice(s)
			}
			again, problems := open(t, faultfs.Disk{}, dir)
			f := again.InForce()
			if problems != "" || f.N > 2 || f.N > 0 && (again.Body(f.Digest) == nil || f.Fleet != 7 || f.Index != 10*f.N) {
				t.Errorf("killed at %d after %d bytes: %+v, %q", op, bytes, f, problems)
			}
			seen[f.N]++
			if err := changeTwice(again); err != nil || again.InForce().N != 2 {
				t.Errorf("killed at %d: change after restart: %v", op, err)
			}
		}
	}
	if len(seen) != 3 {
		t.Errorf("numbers in force after the kills: %v, want 3 different ones", seen)
	}
}

// TestDamagedFilesAreIgnoredAndReported checks that damage to a body or to the inforce file leaves nothing in force and
// is reported.
func TestDamagedFilesAreIgnoredAndReported(t *testing.T) {
	for name, damage := range map[string]func(dir, digest string) error{
		"damaged body": func(dir, d string) error { return os.WriteFile(filepath.Join(dir, d+suffix), []byte("tw0"), 0o600) },
		"missing body": func(dir, d string) error { return os.Remove(filepath.Join(dir, d+suffix)) },
		"damaged inforce file": func(dir, _ string) error {
			return os.WriteFile(filepath.Join(dir, "inforce"), []byte("CLIF\x01 rubbish"), 0o600)
		},
		"flipped byte":           func(dir, _ string) error { return flipBit(filepath.Join(dir, "inforce"), 9) },
		"truncated inforce file": func(dir, _ string) error { return os.Truncate(filepath.Join(dir, "inforce"), 40) },
	} {
		dir := t.TempDir()
		s, _ := open(t, faultfs.Disk{}, dir)
		if err := changeTwice(s); err != nil {
			t.Fatal(err)
		}
		if err := damage(dir, s.InForce().Digest); err != nil {
			t.Fatal(err)
		}
		again, problems := open(t, faultfs.Disk{}, dir)
		if again.InForce().N != 0 || problems == "" {
			t.Errorf("%s: %+v, %q", name, again.InForce(), problems)
		}
	}
}

func flipBit(path string, at int) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	raw[at] ^= 1
	return os.WriteFile(path, raw, 0o600)
}

// TestBodiesAreBounded checks that old bodies are removed and the one in force is kept.
func TestBodiesAreBounded(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, faultfs.Disk{}, dir)
	first, _ := s.Put([]byte("first"))
	if err := s.SetInForce(InForce{N: 1, Digest: first}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxBodies {
		if _, err := s.Put(fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	list, _ := os.ReadDir(dir)
	if len(list) > maxBodies+1 || s.Body(first) == nil {
		t.Errorf("%d files stored, body in force present: %v", len(list), s.Body(first) != nil)
	}
	if err := s.SetInForce(InForce{N: 2, Digest: strings.Repeat("0", 64)}); err == nil || s.InForce().N != 1 {
		t.Errorf("put in force without a body: %v", err)
	}
	if err := s.SetInForce(InForce{}); err != nil || s.InForce().N != 0 {
		t.Errorf("put nothing in force: %v", err)
	}
}

// TestFailedWriteIsNotInForce checks that the old configuration stays in force while the disk is full.
func TestFailedWriteIsNotInForce(t *testing.T) {
	fs := faultfs.NewFaulty()
	s, _ := open(t, fs, t.TempDir())
	if err := changeTwice(s); err != nil {
		t.Fatal(err)
	}
	d, err := s.Put([]byte("three"))
	if err != nil {
		t.Fatal(err)
	}
	fs.LimitSpace(0)
	if err := s.SetInForce(InForce{N: 3, Digest: d}); err == nil || s.InForce().N != 2 {
		t.Errorf("%v, %+v", err, s.InForce())
	}
	if _, err := s.Put([]byte("four")); err == nil {
		t.Error("Put succeeded on a full disk")
	}
	fs.LimitSpace(-1)
	if err := s.SetInForce(InForce{N: 3, Digest: d}); err != nil || s.InForce().N != 3 {
		t.Errorf("%v, %+v", err, s.InForce())
	}
}
