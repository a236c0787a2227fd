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

// Store is a Disk in one bbolt file. Its two buckets: "meta" with the keys id (8 bytes, big endian), hard and snapshot
// (protobuf), place (see place), and "log" with an entry (protobuf) under each index (8 bytes, big endian). A Save is one
// transaction, which bbolt syncs before it returns.
type Store struct {
	db   *bbolt.DB
	at   string      // the file's place
	full func() bool // a trial's switch; nil in a release build
}

var (
	metaBucket, logBucket                 = []byte("meta"), []byte("log")
	idKey, hardKey, snapshotKey, placeKey = []byte("id"), []byte("hard"), []byte("snapshot"), []byte("place")
	openTime                              = 2 * time.Second // for another process to let go of the file
	errNoBucket                           = errors.New("ledger: the store has not the buckets that it should; it is not ours or it is damaged")
	errOtherProcess                       = errors.New("another process has it open")
)

// FileName is the store's in its folder.
const FileName = "ledger.db"

// OpenStore opens or makes the store in a folder. Only one process may have it open.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	path := filepath.Join(dir, FileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTime, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
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
	at, err := place(path)
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("ledger: %s: %w", path, err)
	}
	return &Store{db: db, at: at, full: trialFull(dir)}, nil
}

// place tells a file from a copy of it. A folder that was copied to a second process, or put back from a backup, must not
// vote as what it was: the first would vote twice, the second may have voted since. What is overwritten in place is not found
// out by this.
func place(path string) (string, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d:%d:%d:%d.%09d", st.Dev_major, st.Dev_minor, st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Size is the file's, in bytes.
func (s *Store) Size() (n int64) {
	s.db.View(func(tx *bbolt.Tx) error { n = tx.Size(); return nil })
	return n
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Load implements Disk.
func (s *Store) Load() (out Saved, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil {
			return errNoBucket
		}
		if raw := meta.Get(idKey); len(raw) == 8 {
			out.ID = binary.BigEndian.Uint64(raw)
		}
		copied := string(meta.Get(placeKey)) != s.at
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
		return out, fmt.Errorf("ledger: the store cannot be read: %w", err)
	}
	return out, nil
}

// Save implements Disk. After an error the caller must take the disk's content as unknown and Load it.
func (s *Store) Save(w Write) error {
	if s.full != nil && s.full() {
		return fmt.Errorf("ledger: the store cannot be written: %w", errTrialFull)
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
			if err := errors.Join(tx.Bucket(metaBucket).Put(idKey, key(w.ID)), tx.Bucket(metaBucket).Put(placeKey, []byte(s.at))); err != nil {
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
		log.FillPercent = 1 // entries come in order
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
		return fmt.Errorf("ledger: the store cannot be written: %w", err)
	}
	return nil
}
