// Package configs persists a box's copies of the fleet's numbered configurations, and which of them is in force.
//
//	DIR/SHA256.hcl   a configuration body, named by its SHA-256
//	DIR/inforce      number, digest, ledger position and a checksum of the configuration in force
//
// A body is either complete or absent: it is written to a temporary file and renamed, and a body that does not match its
// name is ignored at the next start. The configuration in force changes by one rename, after its body is on the disk; an
// interruption at any point leaves the old or the new one in force. The number of bodies is bounded: beyond maxBodies,
// bodies that are not in force are removed, oldest first.
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

// maxBodies is the maximum number of stored bodies.
const maxBodies = 16

const (
	suffix      = ".hcl"
	inForceFile = "inforce"
	magic       = "CLIF\x01"
)

// InForce identifies the configuration that a box runs.
type InForce struct {
	N      uint64 // 0: none
	Digest string
	Fleet  uint64 // fleet whose ledger put it in force, and at which index
	Index  uint64
}

// Store is a folder of configurations. Its methods may be called from any goroutine.
type Store struct {
	fs  faultfs.FS
	dir string

	mu      sync.Mutex
	inForce InForce
	bodies  map[string][]byte
	order   []string // oldest first
}

// Digest returns the hex SHA-256 that names a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Open loads the contents of a folder. problems lists the damaged files, "" if there are none: a damaged body is treated
// as absent, and a box whose body in force is damaged has no configuration in force.
func Open(fs faultfs.FS, dir string) (s *Store, problems string, err error) {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("open fleet configurations: %w", err)
	}
	s = &Store{fs: fs, dir: dir, bodies: map[string][]byte{}}
	list, err := fs.ReadDir(dir)
	if err != nil {
		return nil, "", fmt.Errorf("open fleet configurations: %w", err)
	}
	var found []string
	for _, e := range list {
		digest, ok := strings.CutSuffix(e.Name(), suffix)
		if !ok {
			continue
		}
		body, err := fs.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil || Digest(body) != digest {
			found = append(found, e.Name()+" is damaged")
			continue
		}
		s.bodies[digest] = body
		s.order = append(s.order, digest)
	}
	raw, err := fs.ReadFile(filepath.Join(dir, inForceFile))
	switch {
	case err != nil: // new folder, or no configuration in force
	default:
		inForce, derr := decode(raw)
		switch {
		case derr != nil:
			found = append(found, derr.Error())
		case inForce.N != 0 && s.bodies[inForce.Digest] == nil:
			found = append(found, fmt.Sprintf("body of configuration %d, which was in force, is missing or damaged", inForce.N))
		default:
			s.inForce = inForce
		}
	}
	return s, strings.Join(found, "; "), nil
}

var errDamaged = errors.New("inforce file is damaged")

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

// InForce returns the configuration in force.
func (s *Store) InForce() InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Body returns a body, or nil if it is not stored. The caller must not modify it.
func (s *Store) Body(digest string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[digest]
}

// Put stores a body. It is on the disk when Put returns without an error.
func (s *Store) Put(body []byte) (digest string, err error) {
	digest = Digest(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies[digest] != nil {
		return digest, nil
	}
	if err := s.write(digest+suffix, body); err != nil {
		return digest, fmt.Errorf("store fleet configuration %s: %w", digest, err)
	}
	s.bodies[digest] = slices.Clone(body)
	s.order = append(s.order, digest)
	for i := 0; len(s.order) > maxBodies && i < len(s.order); {
		if old := s.order[i]; old == s.inForce.Digest || old == digest {
			i++
			continue
		}
		s.fs.Remove(filepath.Join(s.dir, s.order[i]+suffix)) // if this fails, the file is loaded again at the next start
		delete(s.bodies, s.order[i])
		s.order = slices.Delete(s.order, i, i+1)
	}
	return digest, nil
}

// SetInForce puts a configuration in force. It is in force only once SetInForce has returned without an error.
func (s *Store) SetInForce(f InForce) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.N != 0 && s.bodies[f.Digest] == nil {
		return fmt.Errorf("body %s of configuration %d is not stored", f.Digest, f.N)
	}
	if err := s.write(inForceFile, encode(f)); err != nil {
		return fmt.Errorf("put configuration %d in force: %w", f.N, err)
	}
	s.inForce = f
	return nil
}

// write replaces a file atomically.
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
