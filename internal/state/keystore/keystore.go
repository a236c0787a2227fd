// Package keystore keeps certificates with their keys, the accounts at the authorities, and the orders on their way,
// so that all of it outlives a restart, a kill at any moment and a full disk.
//
// A store is a folder of mode 0700. Each certificate and each account has a folder in it, and in that, files of mode
// 0600 that are never changed once they have their name:
//
//	certs/NAME/gen-00000007       a key with its chain, the seventh that was kept
//	certs/NAME/order-00000012     the order on its way, as it stood after its twelfth change
//	accounts/NAME/account-00000002
//
// A file is a header of 24 bytes (magic "CLKS", format version, kind, length of what follows, its xxHash64, all
// big-endian) and CBOR. It is written under a temporary name, synced, renamed, and its folder synced; only then has
// the write happened. A cut after any byte leaves the file before it in force: a reader takes the newest file that
// is whole. What is promised: Put returns nil only when a restart will find it; when Put fails, the one before is
// still found, unless the new one is, whole.
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

// Generation is a certificate with its key.
type Generation struct {
	Key       []byte    `cbor:"1,keyasint"` // PKCS #8, DER
	Chain     [][]byte  `cbor:"2,keyasint"` // DER, the leaf first
	Authority string    `cbor:"3,keyasint"` // that issued it; empty for a stopgap of our own
	Stored    time.Time `cbor:"4,keyasint"`
}

// Stage is how far an order has come. Each is recorded before its step is taken.
type Stage uint8

// The stages.
const (
	Keyed      Stage = iota // its key is made; the order is to be asked for
	Ordered                 // the authority's name for it is known
	Finalizing              // the signing request is to be sent
	Ended                   // nothing is on its way any more
)

// Order is an order on its way.
type Order struct {
	Stage     Stage     `cbor:"1,keyasint"`
	Authority string    `cbor:"2,keyasint"`
	Key       []byte    `cbor:"3,keyasint"` // of the certificate to come, PKCS #8
	URL       string    `cbor:"4,keyasint"`
	Replaces  string    `cbor:"5,keyasint"`
	Begun     time.Time `cbor:"6,keyasint"`
	History   []Attempt `cbor:"7,keyasint"` // orders of the last week, for the budget
	Names     []string  `cbor:"8,keyasint"`
	Events    []Event   `cbor:"9,keyasint"` // the last ones, for the operators
	Answers   []Answer  `cbor:"10,keyasint,omitempty"`
}

// Answer is the answer to a challenge that the authority may ask for at any time until the order has ended.
type Answer struct {
	Type  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Token string `cbor:"3,keyasint"`
	Value string `cbor:"4,keyasint"` // the key authorization
}

// Attempt is one order that was begun.
type Attempt struct {
	Authority string    `cbor:"1,keyasint"`
	Begun     time.Time `cbor:"2,keyasint"`
}

// Event is something that operators may want to know of later.
type Event struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	What string    `cbor:"2,keyasint" json:"what"`
	Text string    `cbor:"3,keyasint" json:"text"`
}

// Account is an account at an authority.
type Account struct {
	Key     []byte   `cbor:"1,keyasint"` // PKCS #8
	URL     string   `cbor:"2,keyasint"` // empty until the authority has told it
	Contact []string `cbor:"3,keyasint"`
	Next    []byte   `cbor:"4,keyasint"` // the key that a change of keys is on the way to
}

const (
	magic   = "CLKS"
	version = 1
	header  = 24
	// keepMost is how many files of one kind are kept: the newest, and those to go back to.
	keepMost = 3
	// bodyMost bounds what is read of one file.
	bodyMost = 1 << 20
)

// The kinds of files, with their name's beginning.
var prefixes = map[uint16]string{1: "gen", 2: "order", 3: "account"}

// Errors that callers tell apart.
var (
	ErrNone   = errors.New("keystore: nothing is kept under that name")
	ErrLoose  = errors.New("keystore: others may read it")
	ErrLocked = errors.New("keystore: another process renews from this store")
	ErrNewer  = errors.New("keystore: written by a newer version")
	ErrTorn   = errors.New("keystore: not whole")
)

// Store is an open store. It is safe for use by one process at a time for writing, and by any number for reading.
type Store struct {
	fs   faultfs.FS
	root string
	lock *os.File
}

// Open opens the store at root and makes it if it is not there. Folders and files that others may read are refused.
func Open(files faultfs.FS, root string) (*Store, error) {
	s := &Store{fs: files, root: root}
	for _, dir := range []string{root, filepath.Join(root, "certs"), filepath.Join(root, "accounts")} {
		if err := s.folder(dir); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// folder makes a folder if it is not there and checks that it is ours alone.
func (s *Store) folder(dir string) error {
	if err := s.fs.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	return s.private(dir, 0o700)
}

func (s *Store) private(path string, mode fs.FileMode) error {
	i, err := s.fs.Stat(path)
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	if loose := i.Mode().Perm() &^ mode; loose != 0 {
		return fmt.Errorf("%w: %s has mode %04o; take the rights away with: chmod %04o %s", ErrLoose, path, i.Mode().Perm(), mode, path)
	}
	return nil
}

// Lock makes this process the one that renews, or says ErrLocked. The lock goes with the process.
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

// Close gives the lock up.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	f := s.lock
	s.lock = nil
	return f.Close()
}

// PutGeneration keeps a certificate as the newest of that name.
func (s *Store) PutGeneration(name string, g Generation) error { return s.put("certs", name, 1, g) }

// Generation gives the newest whole certificate of that name, and its number.
func (s *Store) Generation(name string) (g Generation, number int, err error) {
	number, err = s.newest("certs", name, 1, &g)
	return g, number, err
}

// PutOrder keeps the order on its way.
func (s *Store) PutOrder(name string, o Order) error { return s.put("certs", name, 2, o) }

// Order gives the order on its way, if there is one.
func (s *Store) Order(name string) (o Order, err error) {
	_, err = s.newest("certs", name, 2, &o)
	return o, err
}

// PutAccount keeps an account.
func (s *Store) PutAccount(authority string, a Account) error {
	return s.put("accounts", authority, 3, a)
}

// Account gives the account at an authority.
func (s *Store) Account(authority string) (a Account, err error) {
	_, err = s.newest("accounts", authority, 3, &a)
	return a, err
}

// dir is the folder of a name. Names come from the configuration; they never lead out of the store.
func (s *Store) dir(part, name string) (string, error) {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\\\x00") {
		return "", fmt.Errorf("keystore: %q is no name for a folder", name)
	}
	return filepath.Join(s.root, part, name), nil
}

// numbers lists the numbers of the files of one kind, newest first.
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

func file(kind uint16, number int) string { return fmt.Sprintf("%s-%08d", prefixes[kind], number) }

// put writes a file of one kind as the newest and takes away the oldest.
func (s *Store) put(part, name string, kind uint16, v any) error {
	dir, err := s.dir(part, name)
	if err != nil {
		return err
	}
	if err := s.folder(dir); err != nil {
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
	temporary := filepath.Join(dir, "."+file(kind, number)+".tmp")
	if err := s.fs.WriteFile(temporary, data, 0o600); err != nil {
		s.fs.Remove(temporary) // room for others; a failure changes nothing, as it is never read
		return fmt.Errorf("keystore: write %s: %w", file(kind, number), err)
	}
	if err := s.fs.Rename(temporary, filepath.Join(dir, file(kind, number))); err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	if err := s.fs.SyncDir(dir); err != nil {
		return fmt.Errorf("keystore: sync %s: %w", dir, err)
	}
	if len(list) >= keepMost {
		for _, old := range list[keepMost-1:] {
			s.fs.Remove(filepath.Join(dir, file(kind, old))) // tried again at the next put
		}
	}
	return nil
}

// newest reads the newest whole file of one kind. A file of a newer format is not passed over: what it holds would
// be lost.
func (s *Store) newest(part, name string, kind uint16, v any) (int, error) {
	dir, err := s.dir(part, name)
	if err != nil {
		return 0, err
	}
	list, err := s.numbers(dir, kind)
	if err != nil {
		return 0, err
	}
	var torn error
	for _, number := range list {
		path := filepath.Join(dir, file(kind, number))
		if err := s.private(path, 0o600); err != nil {
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
		if errors.Is(err, ErrNewer) {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		torn = errors.Join(torn, fmt.Errorf("%s: %w", path, err))
	}
	return 0, errors.Join(ErrNone, torn)
}

// encode makes a file of a value.
func encode(kind uint16, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("keystore: encode: %w", err)
	}
	data := make([]byte, header, header+len(body))
	copy(data, magic)
	binary.BigEndian.PutUint16(data[4:], version)
	binary.BigEndian.PutUint16(data[6:], kind)
	binary.BigEndian.PutUint64(data[8:], uint64(len(body)))
	binary.BigEndian.PutUint64(data[16:], xxhash.Sum64(body))
	return append(data, body...), nil
}

// decode reads a file into a value.
func decode(kind uint16, data []byte, v any) error {
	if len(data) < header || string(data[:4]) != magic {
		return fmt.Errorf("%w: no header", ErrTorn)
	}
	if got := binary.BigEndian.Uint16(data[4:]); got > version {
		return fmt.Errorf("%w: format %d, this program reads up to %d", ErrNewer, got, version)
	}
	if got := binary.BigEndian.Uint16(data[6:]); got != kind {
		return fmt.Errorf("%w: kind %d in place of %d", ErrTorn, got, kind)
	}
	body := data[header:]
	if n := binary.BigEndian.Uint64(data[8:]); n != uint64(len(body)) || n > bodyMost {
		return fmt.Errorf("%w: %d bytes, its header says %d", ErrTorn, len(body), n)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[16:]) {
		return fmt.Errorf("%w: its checksum does not fit", ErrTorn)
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return nil
}
