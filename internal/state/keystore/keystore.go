// Package keystore stores certificates with their private keys, ACME accounts and pending orders, so that all of them
// survive a restart, a kill at any moment and a full disk.
//
// A store is a folder of mode 0700. Each certificate and each account has a folder in it, which holds files of mode 0600
// that are never modified after they have received their name:
//
//	certs/NAME/gen-00000007       a key with its certificate chain, the seventh that was stored
//	certs/NAME/order-00000012     the pending order, as of its twelfth change
//	accounts/NAME/account-00000002
//
// A file is a header of 24 bytes (magic "CLKS", format version, kind, length of the body, xxHash64 of the body, all
// big-endian) and a CBOR body. It is written under a temporary name, synced, renamed, and its folder is synced; only
// then is the write complete. A write that is interrupted after any byte leaves the previous file in force, because a
// reader takes the newest valid file. Guarantees: Put returns nil only if the value will be found after a restart; if
// Put fails, a reader finds either the previous value or the complete new one.
package keystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/faultfs"
)

// Generation is a certificate with its private key.
type Generation struct {
	Key       []byte    `cbor:"1,keyasint"` // PKCS #8, DER
	Chain     [][]byte  `cbor:"2,keyasint"` // DER, leaf first
	Authority string    `cbor:"3,keyasint"` // issuing authority; empty for a self-signed placeholder
	Stored    time.Time `cbor:"4,keyasint"`
}

// Stage is the progress of an order. Each stage is stored before its step is executed.
type Stage uint8

// Stages of an order.
const (
	KeyCreated Stage = iota // the key exists; the order must be created next
	Ordered                 // the URL of the order at the authority is known
	Finalizing              // the certificate signing request must be sent next
	Ended                   // no order is pending
)

// Order is the state of a pending order.
type Order struct {
	Stage     Stage               `cbor:"1,keyasint"`
	Authority string              `cbor:"2,keyasint"`
	Key       []byte              `cbor:"3,keyasint"` // key of the new certificate, PKCS #8
	URL       string              `cbor:"4,keyasint"`
	Replaces  string              `cbor:"5,keyasint"`
	Begun     time.Time           `cbor:"6,keyasint"`
	History   []Attempt           `cbor:"7,keyasint"` // orders of the last week, for the limits on orders
	Names     []string            `cbor:"8,keyasint"`
	Events    []Event             `cbor:"9,keyasint"` // the latest events, for operators
	Answers   []ChallengeResponse `cbor:"10,keyasint,omitempty"`
}

// ChallengeResponse is the response to a challenge. The authority may validate the challenge at any time until the order has ended.
type ChallengeResponse struct {
	Type  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Token string `cbor:"3,keyasint"`
	Value string `cbor:"4,keyasint"` // the key authorization
}

// Attempt is one order that was started.
type Attempt struct {
	Authority string    `cbor:"1,keyasint"`
	Begun     time.Time `cbor:"2,keyasint"`
}

// Event is an event that operators may want to look up later.
type Event struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	What string    `cbor:"2,keyasint" json:"what"`
	Text string    `cbor:"3,keyasint" json:"text"`
}

// Account is an ACME account at an authority.
type Account struct {
	Key     []byte   `cbor:"1,keyasint"` // PKCS #8
	URL     string   `cbor:"2,keyasint"` // empty until the authority has returned it
	Contact []string `cbor:"3,keyasint"`
	Next    []byte   `cbor:"4,keyasint"` // new key of a key change in progress
}

const (
	magic         = "CLKS"
	formatVersion = 1
	headerSize    = 24
	// maxKept is the number of files kept of each kind: the newest and older ones to fall back to.
	maxKept = 3
	// maxBodyBytes is the maximum length of the body of a file.
	maxBodyBytes = 1 << 20
)

// prefixes holds the file name prefix of each kind of file.
var prefixes = map[uint16]string{1: "gen", 2: "order", 3: "account"}

// Errors that callers distinguish.
var (
	ErrNotFound    = errors.New("keystore: no valid file stored under this name")
	ErrNotPrivate  = errors.New("keystore: file or folder is accessible to group or others")
	ErrLocked      = errors.New("keystore: store is locked by another process")
	ErrNewerFormat = errors.New("keystore: file has a newer format version")
	ErrCorrupt     = errors.New("keystore: file is truncated or corrupt")
)

// Store is an open store. Only one process at a time may write to it, see Lock; any number may read.
type Store struct {
	fs   faultfs.FS
	root string
	lock *os.File
}

// Open opens the store at root and creates it if it does not exist. Folders and files that are accessible to others are
// rejected.
func Open(files faultfs.FS, root string) (*Store, error) {
	s := &Store{fs: files, root: root}
	for _, dir := range []string{root, filepath.Join(root, "certs"), filepath.Join(root, "accounts")} {
		if err := s.ensureFolder(dir); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// ensureFolder creates a folder if it does not exist and checks that only its owner has access.
func (s *Store) ensureFolder(dir string) error {
	if err := s.fs.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	return s.checkPrivate(dir, 0o700)
}

func (s *Store) checkPrivate(path string, mode fs.FileMode) error {
	i, err := s.fs.Stat(path)
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	if excess := i.Mode().Perm() &^ mode; excess != 0 {
		return fmt.Errorf("%w: %s has mode %04o; fix with: chmod %04o %s", ErrNotPrivate, path, i.Mode().Perm(), mode, path)
	}
	return nil
}

// Lock acquires the exclusive lock for renewals, or returns ErrLocked. The lock is released when the process ends.
func (s *Store) Lock() error {
	if s.lock != nil {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(s.root, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return ErrLocked
		}
		return fmt.Errorf("keystore: lock: %w", err)
	}
	s.lock = f
	return nil
}

// Close releases the lock.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	f := s.lock
	s.lock = nil
	return f.Close()
}

// PutGeneration stores a certificate as the newest generation of name.
func (s *Store) PutGeneration(name string, g Generation) error { return s.put("certs", name, 1, g) }

// Generation returns the newest valid generation of name, and its number.
func (s *Store) Generation(name string) (g Generation, number int, err error) {
	number, err = s.newest("certs", name, 1, &g)
	return g, number, err
}

// PutOrder stores the pending order of name.
func (s *Store) PutOrder(name string, o Order) error { return s.put("certs", name, 2, o) }

// Order returns the pending order of name, or ErrNotFound.
func (s *Store) Order(name string) (o Order, err error) {
	_, err = s.newest("certs", name, 2, &o)
	return o, err
}

// PutAccount stores the account at an authority.
func (s *Store) PutAccount(authority string, a Account) error {
	return s.put("accounts", authority, 3, a)
}

// Account returns the account at an authority, or ErrNotFound.
func (s *Store) Account(authority string) (a Account, err error) {
	_, err = s.newest("accounts", authority, 3, &a)
	return a, err
}

// dir returns the folder of a name. Names come from the configuration and must not lead out of the store.
func (s *Store) dir(part, name string) (string, error) {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\\\x00") {
		return "", fmt.Errorf("keystore: %q is not a valid folder name", name)
	}
	return filepath.Join(s.root, part, name), nil
}

// numbers returns the numbers of the files of one kind, newest first.
func (s *Store) numbers(dir string, kind uint16) ([]int, error) {
	entries, err := s.fs.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	var list []int
	for _, e := range entries {
		if digits, ok := strings.CutPrefix(e.Name(), prefixes[kind]+"-"); ok && len(digits) == 8 {
			if n, err := strconv.Atoi(digits); err == nil {
				list = append(list, n)
			}
		}
	}
	slices.Sort(list)
	slices.Reverse(list)
	return list, nil
}

func fileName(kind uint16, number int) string { return fmt.Sprintf("%s-%08d", prefixes[kind], number) }

// put writes a file as the newest of its kind and removes the oldest ones.
func (s *Store) put(part, name string, kind uint16, v any) error {
	dir, err := s.dir(part, name)
	if err != nil {
		return err
	}
	if err := s.ensureFolder(dir); err != nil {
		return err
	}
	list, err := s.numbers(dir, kind)
	if err != nil {
		return err
	}
	number := 1
	if len(list) > 0 {
		number = list[0] + 1
	}
	data, err := encode(kind, v)
	if err != nil {
		return err
	}
	temporary := filepath.Join(dir, "."+fileName(kind, number)+".tmp")
	if err := s.fs.WriteFile(temporary, data, 0o600); err != nil {
		s.fs.Remove(temporary) // frees the space; a failure is harmless, as temporary files are never read
		return fmt.Errorf("keystore: write %s: %w", fileName(kind, number), err)
	}
	if err := s.fs.Rename(temporary, filepath.Join(dir, fileName(kind, number))); err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	if err := s.fs.SyncDir(dir); err != nil {
		return fmt.Errorf("keystore: sync %s: %w", dir, err)
	}
	if len(list) >= maxKept {
		for _, old := range list[maxKept-1:] {
			s.fs.Remove(filepath.Join(dir, fileName(kind, old))) // a failure is retried by the next put
		}
	}
	return nil
}

// newest reads the newest valid file of one kind. A file of a newer format is an error and is not skipped: an older file
// in its place would lose its content.
func (s *Store) newest(part, name string, kind uint16, v any) (int, error) {
	dir, err := s.dir(part, name)
	if err != nil {
		return 0, err
	}
	list, err := s.numbers(dir, kind)
	if err != nil {
		return 0, err
	}
	var corrupt error
	for _, number := range list {
		path := filepath.Join(dir, fileName(kind, number))
		if err := s.checkPrivate(path, 0o600); err != nil {
			return 0, err
		}
		data, err := s.fs.ReadFile(path)
		if err != nil {
			return 0, fmt.Errorf("keystore: %w", err)
		}
		err = decode(kind, data, v)
		if err == nil {
			return number, nil
		}
		if errors.Is(err, ErrNewerFormat) {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		corrupt = errors.Join(corrupt, fmt.Errorf("%s: %w", path, err))
	}
	return 0, errors.Join(ErrNotFound, corrupt)
}

// encode encodes a value with its file header.
func encode(kind uint16, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("keystore: encode: %w", err)
	}
	data := make([]byte, headerSize, headerSize+len(body))
	copy(data, magic)
	binary.BigEndian.PutUint16(data[4:], formatVersion)
	binary.BigEndian.PutUint16(data[6:], kind)
	binary.BigEndian.PutUint64(data[8:], uint64(len(body)))
	binary.BigEndian.PutUint64(data[16:], xxhash.Sum64(body))
	return append(data, body...), nil
}

// decode verifies a file and decodes it into v.
func decode(kind uint16, data []byte, v any) error {
	if len(data) < headerSize || string(data[:4]) != magic {
		return fmt.Errorf("%w: header is missing or has no magic number", ErrCorrupt)
	}
	if got := binary.BigEndian.Uint16(data[4:]); got > formatVersion {
		return fmt.Errorf("%w: format %d, this program reads up to %d", ErrNewerFormat, got, formatVersion)
	}
	if got := binary.BigEndian.Uint16(data[6:]); got != kind {
		return fmt.Errorf("%w: kind is %d, want %d", ErrCorrupt, got, kind)
	}
	body := data[headerSize:]
	if n := binary.BigEndian.Uint64(data[8:]); n != uint64(len(body)) || n > maxBodyBytes {
		return fmt.Errorf("%w: body has %d bytes, header says %d", ErrCorrupt, len(body), n)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[16:]) {
		return fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
