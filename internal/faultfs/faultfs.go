// Package faultfs defines an interface for the file operations of persistent state, its implementation on the operating system's
// file system, and an implementation for tests that injects faults.
package faultfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// FS is the file system that holds persistent state. Paths are those of the operating system.
type FS interface {
	// WriteFile creates or truncates the file, writes data to it and syncs it to disk before it returns. mode applies to a new file.
	WriteFile(path string, data []byte, mode fs.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir syncs a directory's entries to disk before it returns.
	SyncDir(path string) error
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]fs.DirEntry, error)
	Stat(path string) (fs.FileInfo, error)
	MkdirAll(path string, mode fs.FileMode) error
}

// Disk is the operating system's file system.
type Disk struct{}

// WriteFile implements FS.
func (Disk) WriteFile(path string, data []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (Disk) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadFile implements FS.
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir implements FS.
func (Disk) ReadDir(path string) ([]fs.DirEntry, error) { return os.ReadDir(path) }

// Stat implements FS.
func (Disk) Stat(path string) (fs.FileInfo, error) { return os.Stat(path) }

// MkdirAll implements FS.
func (Disk) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }

// ErrKilled is returned by the operation at which a Faulty simulates the process's death, and by each changing operation after it.
var ErrKilled = errors.New("faultfs: process was killed")

// Faulty is a Disk that counts changing operations (WriteFile, Rename, Remove, SyncDir) and injects faults into them: a full disk, or
// the death of the process at an operation.
type Faulty struct {
	Disk
	mu        sync.Mutex
	ops       int          // changing operations so far
	fullAt    map[int]bool // by number of the operation: fails with ENOSPC
	killAt    int          // operation at which the process dies; negative for none
	tornBytes int          // bytes that the operation killAt still writes
	space     int          // bytes that may still be written; negative for no limit
}

// NewFaulty returns a file system with no faults set.
func NewFaulty() *Faulty { return &Faulty{killAt: -1, space: -1, fullAt: map[int]bool{}} }

// NoSpaceAt makes the nth changing operation, counted from 0, fail with ENOSPC after half of its bytes were written.
func (f *Faulty) NoSpaceAt(n int) { f.mu.Lock(); defer f.mu.Unlock(); f.fullAt[n] = true }

// KillAt simulates the death of the process at the nth changing operation, counted from 0. At most written bytes of that operation
// reach the disk.
func (f *Faulty) KillAt(n, written int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killAt, f.tornBytes = n, written
}

// LimitSpace limits the bytes that may still be written to the disk; a negative number removes the limit.
func (f *Faulty) LimitSpace(bytes int) { f.mu.Lock(); defer f.mu.Unlock(); f.space = bytes }

// OpCount returns the number of changing operations so far.
func (f *Faulty) OpCount() int { f.mu.Lock(); defer f.mu.Unlock(); return f.ops }

// beginOp counts one changing operation that writes the given number of bytes. It returns how many of them may be written, and
// the injected error or nil. name is the operation's name in the error.
func (f *Faulty) beginOp(name string, bytes int) (writable int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.ops
	f.ops++
	switch {
	case f.killAt >= 0 && n > f.killAt:
		return 0, ErrKilled
	case f.killAt >= 0 && n == f.killAt:
		return min(f.tornBytes, bytes), ErrKilled
	case f.fullAt[n]:
		return bytes / 2, fmt.Errorf("%s: %w", name, syscall.ENOSPC)
	case f.space >= 0 && bytes > f.space:
		part := f.space
		f.space = 0
		return part, fmt.Errorf("%s: %w", name, syscall.ENOSPC)
	}
	if f.space >= 0 {
		f.space -= bytes
	}
	return bytes, nil
}

// WriteFile implements FS. An injected fault leaves a file with the bytes of data written until then, or the old file if there are none.
func (f *Faulty) WriteFile(path string, data []byte, mode fs.FileMode) error {
	n, err := f.beginOp("write "+filepath.Base(path), len(data))
	if n == 0 && err != nil {
		return err
	}
	return errors.Join(err, f.Disk.WriteFile(path, data[:n], mode))
}

// Rename implements FS.
func (f *Faulty) Rename(from, to string) error {
	if _, err := f.beginOp("rename", 0); err != nil {
		return err
	}
	return f.Disk.Rename(from, to)
}

// Remove implements FS.
func (f *Faulty) Remove(path string) error {
	if _, err := f.beginOp("remove", 0); err != nil {
		return err
	}
	return f.Disk.Remove(path)
}

// SyncDir implements FS.
func (f *Faulty) SyncDir(path string) error {
	if _, err := f.beginOp("sync", 0); err != nil {
		return err
	}
	return f.Disk.SyncDir(path)
}

// Killed reports whether the operation set by KillAt was reached.
func (f *Faulty) Killed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killAt >= 0 && f.ops > f.killAt
}
