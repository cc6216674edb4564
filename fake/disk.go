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

// Faults to inject with Disk.FailAfter.
var (
	ErrCrashed = errors.New("machine crashed")
	ErrFull    = errors.New("no space left on device")
)

// blockSize is the unit, in bytes, in which unsynced data survives a crash.
const blockSize = 64

// Disk is an in-memory folder that loses unsynced data when the machine
// crashes. It implements catkinrail.Dir.
type Disk struct {
	files map[string]*diskFile
	// durable holds the files that survive a crash: those of the last Sync.
	durable map[string]*diskFile
	// opsUntilFault is the number of operations before the next one fails; negative
	// means never.
	opsUntilFault int
	fault         error
}

type diskFile struct {
	data   []byte
	synced int
}

// NewDisk returns an empty folder.
func NewDisk() *Disk {
	return &Disk{files: map[string]*diskFile{}, durable: map[string]*diskFile{}, opsUntilFault: -1}
}

// FailAfter lets n more operations that change the disk succeed. All later ones
// return fault, until Crash.
func (d *Disk) FailAfter(n int, fault error) {
	d.opsUntilFault, d.fault = n, fault
}

// Crash simulates a crash and restart of the machine. Each file loses random
// parts of its unsynced data, and files created, renamed or removed since the
// last Sync may revert. It also clears the fault that FailAfter set.
func (d *Disk) Crash(rng *rand.Rand) {
	d.opsUntilFault = -1
	for _, f := range d.files {
		f.loseUnsynced(rng)
	}
	// A rename or creation may have become durable without a Sync.
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if rng.IntN(2) == 0 {
			d.durable[name] = d.files[name]
		}
	}
	d.files = maps.Clone(d.durable)
}

// loseUnsynced cuts the unsynced data at a random offset and zeroes random blocks
// of what is left.
func (f *diskFile) loseUnsynced(rng *rand.Rand) {
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

// countOp counts an operation and returns the injected fault once it is due.
func (d *Disk) countOp() error {
	if d.opsUntilFault == 0 {
		return d.fault
	}
	if d.opsUntilFault > 0 {
		d.opsUntilFault--
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
	if err := d.countOp(); err != nil {
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
	if err := d.countOp(); err != nil {
		return err
	}
	f := d.files[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, len(f.data))
	return nil
}

// Rename implements catkinrail.Dir.
func (d *Disk) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove implements catkinrail.Dir.
func (d *Disk) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync implements catkinrail.Dir.
func (d *Disk) Sync() error {
	if err := d.countOp(); err != nil {
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
	if err := f.disk.countOp(); err != nil {
		// A write that fails may have written part of the data.
		n := len(b) / 2
		f.file.data = append(f.file.data, b[:n]...)
		return n, err
	}
	f.file.data = append(f.file.data, b...)
	return len(b), nil
}

func (f *openFile) Sync() error {
	if err := f.disk.countOp(); err != nil {
		return err
	}
	f.file.synced = len(f.file.data)
	return nil
}

func (f *openFile) Close() error { return nil }
