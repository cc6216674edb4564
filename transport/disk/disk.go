// Package disk implements catkinrail.Dir on the operating system's file system.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"catkinrail.example/catkinrail"
)

// Permissions of created folders and files.
const (
	dirMode  = 0o750
	fileMode = 0o640
)

// Transient reports whether an error of a disk goes away by itself: the disk is full, or
// doesn't work for a while.
func Transient(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

// Dir is a locked folder of the file system.
type Dir struct {
	path string
	// lock is the open lock file. The lock is held until Close.
	lock *os.File
}

// Open opens the folder, creating it if it doesn't exist, and locks it against other
// processes.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	lock, err := lockFile(filepath.Join(path, "lock"))
	if err != nil {
		return nil, fmt.Errorf("data folder %s: %w", path, err)
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close releases the lock on the folder.
func (d *Dir) Close() error {
	return d.lock.Close()
}

// List implements catkinrail.Dir.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != "lock" {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read implements catkinrail.Dir.
func (d *Dir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Create implements catkinrail.Dir.
func (d *Dir) Create(name string) (catkinrail.File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements catkinrail.Dir.
func (d *Dir) Append(name string) (catkinrail.File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate implements catkinrail.Dir.
func (d *Dir) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(d.path, name), size)
}

// Rename implements catkinrail.Dir.
func (d *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove implements catkinrail.Dir.
func (d *Dir) Remove(name string) error {
	return os.Remove(filepath.Join(d.path, name))
}

// Sync implements catkinrail.Dir.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
