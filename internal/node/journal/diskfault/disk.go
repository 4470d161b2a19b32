// Package diskfault is a disk in memory with the faults that DEPLOY.md, "Disk", describes: a power
// loss keeps, loses or tears the writes after the last sync; the name of a file is durable once its
// directory was synced; a full or failing disk refuses writes. It is for tests and fault
// simulations, and keeps nothing on the real disk.
//
// Invariant: all random draws come from the source given to New, in the order of the operations, so
// that a run with the same seed and operations has the same faults.
package diskfault

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"

	"kestrelspread/internal/node/journal"
)

// ErrStopped is the error of every operation from the moment at which the process was stopped until
// Restart.
var ErrStopped = errors.New("the process was stopped")

// The errors of a full and of a failing disk.
var (
	errFull    = syscall.ENOSPC
	errFailing = syscall.EIO
)

// Loss is the effect of a power loss on the writes that no sync covered.
type Loss uint8

const (
	// SomeLost keeps, loses or tears each write at random.
	SomeLost Loss = iota
	// AllLost loses every write.
	AllLost
)

// Disk is a journal.FileSystem in memory. It is safe for concurrent use.
type Disk struct {
	mutex        sync.Mutex
	random       *rand.Rand
	files        map[string]*inode // as processes see them
	durable      map[string]*inode // names covered by a sync of their directory
	steps        int               // number of operations that changed the disk, or tried to
	stopAt       int               // the step in the midst of which the process is stopped; 0: none
	stopped      bool
	full         bool
	failing      bool
	syncsFailing bool
}

var _ journal.FileSystem = (*Disk)(nil)

// New returns an empty disk that draws its faults from random.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, files: map[string]*inode{}, durable: map[string]*inode{}}
}

// Steps returns the number of operations that changed the disk, or tried to.
func (d *Disk) Steps() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.steps
}

// StopAt stops the process in the midst of a step, counted from 1 on; 0: never.
func (d *Disk) StopAt(step int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopAt = step
}

// SetFull makes writes fail with ENOSPC, also into space that files already have.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetFailing makes writes and syncs fail with EIO.
func (d *Disk) SetFailing(failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failing = failing
}

// Refusal returns the error that a write would fail with now: ENOSPC, EIO, or nil.
func (d *Disk) Refusal() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.refusal()
}

// SetSyncsFailing makes syncs fail with EIO, while writes appear to succeed.
func (d *Disk) SetSyncsFailing(failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncsFailing = failing
}

// Restart is the end of the process, unless it was stopped before, and the start of the next one.
// All faults end; files are as the process left them.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

func (d *Disk) restart() {
	d.stopped, d.stopAt = false, 0
	d.full, d.failing, d.syncsFailing = false, false, false
}

// LosePower is a power loss and the restart after it.
func (d *Disk) LosePower(loss Loss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, path := range sortedNames(d.files, d.durable) {
		file, exists := d.files[path]
		durableFile, isDurable := d.durable[path]
		if exists && file == durableFile {
			continue
		}
		if loss == SomeLost && d.random.IntN(2) == 0 {
			continue // the change of the name was kept
		}
		if isDurable {
			d.files[path] = durableFile
		} else {
			delete(d.files, path)
		}
	}
	d.durable = map[string]*inode{}
	for _, path := range sortedNames(d.files) {
		file := d.files[path]
		file.losePower(d.random, loss)
		d.durable[path] = file
	}
	d.restart()
}

// Wipe is the loss of the whole disk.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files, d.durable = map[string]*inode{}, map[string]*inode{}
	d.restart()
}

// Content returns the bytes of a file as processes see them; nil where there is none.
func (d *Disk) Content(path string) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if file, ok := d.files[path]; ok {
		return append([]byte{}, file.content...)
	}
	return nil
}

// Damage flips bits of one byte of a file, in its synced contents too.
func (d *Disk) Damage(path string, offset int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := d.files[path]
	file.content[offset] ^= 0x55
	if offset < int64(len(file.synced)) {
		file.synced[offset] ^= 0x55
	}
}

// countStep counts an operation that changes the disk. stops: the process is stopped in its midst.
func (d *Disk) countStep() (stops bool, err error) {
	if d.stopped {
		return false, ErrStopped
	}
	d.steps++
	if d.steps == d.stopAt {
		d.stopped = true
		return true, ErrStopped
	}
	return false, nil
}

// MakeDir does nothing: every directory exists.
func (d *Disk) MakeDir(string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped {
		return ErrStopped
	}
	return nil
}

// Open opens an existing file.
func (d *Disk) Open(path string) (journal.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped {
		return nil, ErrStopped
	}
	found, ok := d.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &handle{disk: d, inode: found}, nil
}

// Create makes a file, or opens the existing one.
func (d *Disk) Create(path string) (journal.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stops, err := d.countStep()
	if err != nil && (!stops || d.random.IntN(2) == 0) {
		return nil, err
	}
	found, ok := d.files[path]
	if !ok {
		if refused := d.refusal(); refused != nil {
			return nil, refused
		}
		found = &inode{}
		d.files[path] = found
	}
	if err != nil {
		return nil, err
	}
	return &handle{disk: d, inode: found}, nil
}

// SyncDir makes the names in a directory durable.
func (d *Disk) SyncDir(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stops, err := d.countStep()
	if err != nil && (!stops || d.random.IntN(2) == 0) {
		return err
	}
	if d.failing || d.syncsFailing {
		return errFailing
	}
	for name, file := range d.files {
		if filepath.Dir(name) == filepath.Clean(path) {
			d.durable[name] = file
		}
	}
	return err
}

// refusal is the error of a write on a full or failing disk; nil: the disk takes it.
func (d *Disk) refusal() error {
	switch {
	case d.full:
		return errFull
	case d.failing:
		return errFailing
	default:
		return nil
	}
}
