package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

// Store is a Disk in one bbolt file. It has two buckets: "meta" with the keys id (8 bytes, big endian), hard and snapshot
// (protobuf) and place (see fileIdentity), and "log" with an entry (protobuf) under each index (8 bytes, big endian). A Save
// is one transaction, which bbolt syncs to disk before it returns.
type Store struct {
	db           *bbolt.DB
	fileID       string      // see fileIdentity
	simulateFull func() bool // simulates a full disk in trials; nil in a release build
}

var (
	metaBucket, logBucket                 = []byte("meta"), []byte("log")
	idKey, hardKey, snapshotKey, placeKey = []byte("id"), []byte("hard"), []byte("snapshot"), []byte("place")
	lockTimeout                           = 2 * time.Second // maximum wait for another process to close the file
	errBucketsMissing                     = errors.New("ledger: buckets missing: the file is damaged or not a ledger store")
	errOtherProcess                       = errors.New("file is open in another process")
)

// FileName is the name of the store's file in its folder.
const FileName = "ledger.db"

// OpenStore opens the store in a folder and creates it if necessary. Only one process can have a store open.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	path := filepath.Join(dir, FileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		err = errOtherProcess
	}
	if err != nil {
		return nil, fmt.Errorf("ledger: %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{metaBucket, logBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("ledger: %s: %w", path, err)
	}
	fileID, err := fileIdentity(path)
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("ledger: %s: %w", path, err)
	}
	return &Store{db: db, fileID: fileID, simulateFull: trialFull(dir)}, nil
}

// fileIdentity returns a string that distinguishes a file from its copies. A folder that was copied for a second process, or
// restored from a backup, must not vote under its old identity: the copy would give a second vote, and the identity may have
// voted since the backup was made. A file that was overwritten in place is not detected.
func fileIdentity(path string) (string, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d:%d:%d:%d.%09d", st.Dev_major, st.Dev_minor, st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Size returns the size of the file in bytes.
func (s *Store) Size() (n int64) {
	s.db.View(func(tx *bbolt.Tx) error { n = tx.Size(); return nil })
	return n
}

// key returns the key of an entry in the log bucket.
func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Load implements Disk.
func (s *Store) Load() (out StoredData, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil {
			return errBucketsMissing
		}
		if raw := meta.Get(idKey); len(raw) == 8 {
			out.ID = binary.BigEndian.Uint64(raw)
		}
		copied := string(meta.Get(placeKey)) != s.fileID
		if raw := meta.Get(hardKey); raw != nil {
			out.Hard = new(raftpb.HardState)
			if err := proto.Unmarshal(raw, out.Hard); err != nil {
				return err
			}
		}
		if raw := meta.Get(snapshotKey); raw != nil {
			out.Snapshot = new(raftpb.Snapshot)
			if err := proto.Unmarshal(raw, out.Snapshot); err != nil {
				return err
			}
		}
		if copied {
			out.ID, out.Hard = 0, nil
			return nil
		}
		return log.ForEach(func(_, raw []byte) error {
			e := new(raftpb.Entry)
			out.Entries = append(out.Entries, e)
			return proto.Unmarshal(raw, e)
		})
	})
	if err != nil {
		return out, fmt.Errorf("ledger: read store: %w", err)
	}
	return out, nil
}

// Save implements Disk. After an error the content of the disk is unknown and the caller must Load it.
func (s *Store) Save(w Write) error {
	if s.simulateFull != nil && s.simulateFull() {
		return fmt.Errorf("ledger: write store: %w", errTrialFull)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if w.ID != 0 {
			for _, b := range [][]byte{metaBucket, logBucket} {
				if err := tx.DeleteBucket(b); err != nil {
					return err
				}
				if _, err := tx.CreateBucket(b); err != nil {
					return err
				}
			}
			if err := errors.Join(tx.Bucket(metaBucket).Put(idKey, key(w.ID)), tx.Bucket(metaBucket).Put(placeKey, []byte(s.fileID))); err != nil {
				return err
			}
		}
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if w.Hard != nil {
			if err := meta.Put(hardKey, encode(w.Hard)); err != nil {
				return err
			}
		}
		if w.Snapshot != nil {
			if err := meta.Put(snapshotKey, encode(w.Snapshot)); err != nil {
				return err
			}
		}
		if len(w.Entries) > 0 {
			c := log.Cursor()
			first := key(w.Entries[0].GetIndex())
			for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		log.FillPercent = 1 // entries are written in order, so pages can be filled completely
		for _, e := range w.Entries {
			if err := log.Put(key(e.GetIndex()), encode(e)); err != nil {
				return err
			}
		}
		if w.Compact > 0 {
			c := log.Cursor()
			for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= w.Compact; k, _ = c.First() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("ledger: write store: %w", err)
	}
	return nil
}
