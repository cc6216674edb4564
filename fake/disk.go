package fake

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"catkinrail.example/catkinrail"
)

// Errors that a Disk is told to return.
var (
	ErrCrashed = errors.New("machine crashed")
	ErrFull    = errors.New("no space left on device")
)

// blockSize is the unit, in bytes, in which unsynced data survives a crash.
const blockSize = 64

// Disk is a folder in memory that loses what was not synced when the machine
// crashes. It implements catkinrail.Dir.
type Disk struct {
	files map[string]*diskFile
	// durable holds the names as of the last Sync.
	durable map[string]*diskFile
	// left is the number of operations before the next one fails; negative
	// means never.
	left  int
	fault error
}

type diskFile struct {
	data   []byte
	synced int
}

// NewDisk returns an empty folder.
func NewDisk() *Disk {
	return &Disk{files: map[string]*diskFile{}, durable: map[string]*diskFile{}, left: -1}
}

// FailAfter makes the operation after n further ones, and all later ones, fail.
func (d *Disk) FailAfter(n int, fault error) {
	d.left, d.fault = n, fault
}

// Crash loses what was not synced: of each file an arbitrary part of the blocks
// written last, and the names given since the last Sync. Operations work again.
func (d *Disk) Crash(rng *rand.Rand) {
	d.left = -1
	for _, f := range d.files {
		f.tear(rng)
	}
	// A rename or creation may have become durable without a Sync.
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if rng.IntN(2) == 0 {
			d.durable[name] = d.files[name]
		}
	}
	d.files = maps.Clone(d.durable)
}

// tear keeps an arbitrary part of the unsynced end, blocks missing in between.
func (f *diskFile) tear(rng *rand.Rand) {
	end := f.synced + rng.IntN(len(f.data)-f.synced+1)
	f.data = slices.Clone(f.data[:end])
	for at := f.synced; at < end; at += blockSize {
		if rng.IntN(4) == 0 {
			clear(f.data[at:min(at+blockSize, end)])
		}
	}
	f.synced = len(f.data)
}

// Corrupt changes one byte of a file.
func (d *Disk) Corrupt(name string, offset int) {
	d.files[name].data[offset] ^= 0x55
}

// Size returns the size of a file in bytes.
func (d *Disk) Size(name string) int {
	return len(d.files[name].data)
}

func (d *Disk) step() error {
	if d.left == 0 {
		return d.fault
	}
	if d.left > 0 {
		d.left--
	}
	return nil
}

// List implements catkinrail.Dir.
func (d *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read implements catkinrail.Dir.
func (d *Disk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(f.data), nil
}

// Create implements catkinrail.Dir.
func (d *Disk) Create(name string) (catkinrail.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.files[name] = &diskFile{}
	return &openFile{disk: d, file: d.files[name]}, nil
}

// Append implements catkinrail.Dir.
func (d *Disk) Append(name string) (catkinrail.File, error) {
	f := d.files[name]
	if f == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &openFile{disk: d, file: f}, nil
}

// Truncate implements catkinrail.Dir.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	f := d.files[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, len(f.data))
	return nil
}

// Rename implements catkinrail.Dir.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove implements catkinrail.Dir.
func (d *Disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync implements catkinrail.Dir.
func (d *Disk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

type openFile struct {
	disk *Disk
	file *diskFile
}

func (f *openFile) Write(b []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		// A write that fails may have written a part.
		n := len(b) / 2
		f.file.data = append(f.file.data, b[:n]...)
		return n, err
	}
	f.file.data = append(f.file.data, b...)
	return len(b), nil
}

func (f *openFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.file.synced = len(f.file.data)
	return nil
}

func (f *openFile) Close() error { return nil }
