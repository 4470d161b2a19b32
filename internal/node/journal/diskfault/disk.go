// Package diskfault is a disk in memory that fails as DEPLOY.md's "Disk" says: writes after the last sync are kept, lost
// or torn by a loss of power, names of files last once their folder was synced, and a disk in trouble refuses writes.
// What happens follows from a seed. For tests.
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

// ErrStopped is what every operation gives from the moment at which the process was stopped until Restart.
var ErrStopped = errors.New("the process was stopped")

// Errors of a disk in trouble.
var (
	errFull    = syscall.ENOSPC
	errFailing = syscall.EIO
)

// Loss says what a loss of power does to writes that no sync covered.
type Loss uint8

const (
	// SomeLost: each is kept, lost or torn.
	SomeLost Loss = iota
	// AllLost: none is kept.
	AllLost
)

// Disk is a journal.FileSystem. Its methods may be called by several goroutines.
type Disk struct {
	mutex        sync.Mutex
	random       *rand.Rand
	files        map[string]*inode // as processes see them
	durable      map[string]*inode // names that a sync of their folder covered
	steps        int               // operations so far that change the disk
	stopAt       int               // the step in whose midst the process is stopped; 0: none
	stopped      bool
	full         bool
	failing      bool
	syncsFailing bool
}

var _ journal.FileSystem = (*Disk)(nil)

// New makes an empty disk.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, files: map[string]*inode{}, durable: map[string]*inode{}}
}

// Steps tells how many operations changed the disk, or tried to.
func (d *Disk) Steps() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.steps
}

// StopAt has the process stopped in the midst of a step, counted from 1 on.
func (d *Disk) StopAt(step int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopAt = step
}

// SetFull has writes refused, also into space that files have.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetFailing has writes and syncs refused.
func (d *Disk) SetFailing(failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failing = failing
}

// SetSyncsFailing has syncs refused, while writes seem to succeed.
func (d *Disk) SetSyncsFailing(failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncsFailing = failing
}

// Restart lets operations succeed again after the process was stopped, or has it stopped now. Files are as it left them.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

func (d *Disk) restart() {
	d.stopped, d.stopAt = false, 0
	d.full, d.failing, d.syncsFailing = false, false, false
}

// LosePower is a loss of power, and the restart after it.
func (d *Disk) LosePower(loss Loss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, path := range sortedNames(d.files, d.durable) {
		file, there := d.files[path]
		before, lasts := d.durable[path]
		if there && file == before {
			continue
		}
		if loss == SomeLost && d.random.IntN(2) == 0 {
			continue // the change of the name was kept
		}
		if lasts {
			d.files[path] = before
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

// Content gives the bytes of a file as processes see them; nil where there is none.
func (d *Disk) Content(path string) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if file, ok := d.files[path]; ok {
		return append([]byte{}, file.content...)
	}
	return nil
}

// Damage changes one byte of a file for good.
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

// MakeDir does nothing: folders are there.
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

// Create makes a file, or opens the one that is there.
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

// SyncDir makes names durable.
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

// refusal is the error of a write on a disk in trouble; nil where it is well.
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
