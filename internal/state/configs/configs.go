// Package configs keeps a box's copies of the fleet's numbered configurations, and which one it has in force, over restarts.
//
//	DIR/SHA256.hcl   a body, by its SHA-256
//	DIR/inforce      number, digest, the place in the ledger and a checksum: the one that this box acts on
//
// A body is whole or not there: it is written beside and renamed, and what does not fit its name is left out at the next start. What
// is in force changes by one rename, after its body is on the disk; a cut at any place leaves the old one or the new one in force.
// Bodies are bounded: beyond bodiesMost those that are not in force go, the oldest first.
package configs

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cairnlane/internal/faultfs"
)

// bodiesMost is how many bodies are kept.
const bodiesMost = 16

const (
	suffix = ".hcl"
	name   = "inforce"
	magic  = "CLIF\x01"
)

// InForce is what a box acts on.
type InForce struct {
	N      uint64 // 0: nothing
	Digest string
	Fleet  uint64 // by whose ledger it is in force, and at which place of it
	Index  uint64
}

// Store is one folder. Its methods may be called from any goroutine.
type Store struct {
	fs  faultfs.FS
	dir string

	mu     sync.Mutex
	now    InForce
	bodies map[string][]byte
	order  []string // oldest first
}

// Digest names a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Open takes up what a folder holds. how says what was found wrong, "" for nothing: a body that is damaged is as if it were not
// there, and a box whose body in force is damaged has nothing in force.
func Open(fs faultfs.FS, dir string) (s *Store, how string, err error) {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("configurations of the fleet: %w", err)
	}
	s = &Store{fs: fs, dir: dir, bodies: map[string][]byte{}}
	list, err := fs.ReadDir(dir)
	if err != nil {
		return nil, "", fmt.Errorf("configurations of the fleet: %w", err)
	}
	var wrong []string
	for _, e := range list {
		digest, ok := strings.CutSuffix(e.Name(), suffix)
		if !ok {
			continue
		}
		body, err := fs.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil || Digest(body) != digest {
			wrong = append(wrong, e.Name()+" is damaged")
			continue
		}
		s.bodies[digest] = body
		s.order = append(s.order, digest)
	}
	raw, err := fs.ReadFile(filepath.Join(dir, name))
	switch {
	case err != nil: // a new folder, or one without anything in force
	default:
		now, derr := decode(raw)
		switch {
		case derr != nil:
			wrong = append(wrong, derr.Error())
		case now.N != 0 && s.bodies[now.Digest] == nil:
			wrong = append(wrong, fmt.Sprintf("the body of %d, which was in force, is missing", now.N))
		default:
			s.now = now
		}
	}
	return s, strings.Join(wrong, "; "), nil
}

var errDamaged = errors.New("what was in force cannot be read")

func encode(f InForce) []byte {
	raw := []byte(magic)
	for _, n := range []uint64{f.N, f.Fleet, f.Index} {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	raw = append(raw, f.Digest...)
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw))
}

func decode(raw []byte) (f InForce, err error) {
	at := len(raw) - 8
	if at < len(magic)+24 || string(raw[:len(magic)]) != magic || binary.BigEndian.Uint64(raw[at:]) != xxhash.Sum64(raw[:at]) {
		return f, errDamaged
	}
	n := func(i int) uint64 { return binary.BigEndian.Uint64(raw[len(magic)+8*i:]) }
	return InForce{N: n(0), Fleet: n(1), Index: n(2), Digest: string(raw[len(magic)+24 : at])}, nil
}

// InForce tells what the box acts on.
func (s *Store) InForce() InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Body returns a body, nil if it is not here. It is not to be changed.
func (s *Store) Body(digest string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[digest]
}

// Put keeps a body. It is on the disk when Put returns without an error.
func (s *Store) Put(body []byte) (digest string, err error) {
	digest = Digest(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies[digest] != nil {
		return digest, nil
	}
	if err := s.write(digest+suffix, body); err != nil {
		return digest, fmt.Errorf("a configuration of the fleet cannot be stored: %w", err)
	}
	s.bodies[digest] = slices.Clone(body)
	s.order = append(s.order, digest)
	for i := 0; len(s.order) > bodiesMost && i < len(s.order); {
		if old := s.order[i]; old == s.now.Digest || old == digest {
			i++
			continue
		}
		s.fs.Remove(filepath.Join(s.dir, s.order[i]+suffix)) // what stays is taken up at the next start
		delete(s.bodies, s.order[i])
		s.order = slices.Delete(s.order, i, i+1)
	}
	return digest, nil
}

// Enter has a configuration be the one in force from when it returns without an error, and not before.
func (s *Store) Enter(f InForce) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.N != 0 && s.bodies[f.Digest] == nil {
		return fmt.Errorf("the body of configuration %d is not here", f.N)
	}
	if err := s.write(name, encode(f)); err != nil {
		return fmt.Errorf("configuration %d cannot be put in force: %w", f.N, err)
	}
	s.now = f
	return nil
}

// write replaces a file as a whole.
func (s *Store) write(file string, data []byte) error {
	at := filepath.Join(s.dir, file)
	if err := s.fs.WriteFile(at+".new", data, 0o600); err != nil {
		s.fs.Remove(at + ".new")
		return err
	}
	if err := s.fs.Rename(at+".new", at); err != nil {
		return err
	}
	return s.fs.SyncDir(s.dir)
}
