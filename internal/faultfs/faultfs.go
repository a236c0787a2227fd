// Package faultfs holds the file operations that lasting state needs, as a small interface, and an implementation
// for tests that fails any one of them.
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

// FS is what state is kept in. Paths are those of the system.
type FS interface {
	// WriteFile makes or replaces a file with this content and mode, and has it on the disk when it returns.
	WriteFile(path string, data []byte, mode fs.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir has the entries of a folder on the disk when it returns.
	SyncDir(path string) error
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]fs.DirEntry, error)
	Stat(path string) (fs.FileInfo, error)
	MkdirAll(path string, mode fs.FileMode) error
}

// Disk is the system's own file system.
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

// ErrKilled is what every operation gives after the one at which the process is taken to have died.
var ErrKilled = errors.New("faultfs: the process is dead")

// Faulty is a Disk that counts the operations that change something and lets one of them fail.
type Faulty struct {
	Disk
	mu   sync.Mutex
	n    int
	full map[int]bool
	kill int
	torn int
	room int // bytes that may still be written; under 0 there is no bound
}

// NewFaulty returns a file system without faults.
func NewFaulty() *Faulty { return &Faulty{kill: -1, room: -1, full: map[int]bool{}} }

// FullAt has the nth changing operation, counted from 0, fail for want of room, after half of it was written.
func (f *Faulty) FullAt(n int) { f.mu.Lock(); defer f.mu.Unlock(); f.full[n] = true }

// KillAt has the process die at the nth changing operation, of which only so many bytes reach the disk.
func (f *Faulty) KillAt(n, torn int) { f.mu.Lock(); defer f.mu.Unlock(); f.kill, f.torn = n, torn }

// Room bounds what may still be written; under 0 there is no bound again.
func (f *Faulty) Room(bytes int) { f.mu.Lock(); defer f.mu.Unlock(); f.room = bytes }

// Ops tells how many changing operations there were.
func (f *Faulty) Ops() int { f.mu.Lock(); defer f.mu.Unlock(); return f.n }

// step takes one operation of so many bytes and tells how many of them are carried out, and the fault.
func (f *Faulty) step(what string, bytes int) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.n
	f.n++
	switch {
	case f.kill >= 0 && n > f.kill:
		return 0, ErrKilled
	case f.kill >= 0 && n == f.kill:
		return min(f.torn, bytes), ErrKilled
	case f.full[n]:
		return bytes / 2, fmt.Errorf("%s: %w", what, syscall.ENOSPC)
	case f.room >= 0 && bytes > f.room:
		part := f.room
		f.room = 0
		return part, fmt.Errorf("%s: %w", what, syscall.ENOSPC)
	}
	if f.room >= 0 {
		f.room -= bytes
	}
	return bytes, nil
}

// WriteFile implements FS.
func (f *Faulty) WriteFile(path string, data []byte, mode fs.FileMode) error {
	n, err := f.step("write "+filepath.Base(path), len(data))
	if n == 0 && err != nil {
		return err
	}
	return errors.Join(err, f.Disk.WriteFile(path, data[:n], mode))
}

// Rename implements FS.
func (f *Faulty) Rename(from, to string) error {
	if _, err := f.step("rename", 0); err != nil {
		return err
	}
	return f.Disk.Rename(from, to)
}

// Remove implements FS.
func (f *Faulty) Remove(path string) error {
	if _, err := f.step("remove", 0); err != nil {
		return err
	}
	return f.Disk.Remove(path)
}

// SyncDir implements FS.
func (f *Faulty) SyncDir(path string) error {
	if _, err := f.step("sync", 0); err != nil {
		return err
	}
	return f.Disk.SyncDir(path)
}

// Dead tells whether the process has been taken to have died.
func (f *Faulty) Dead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kill >= 0 && f.n > f.kill
}
