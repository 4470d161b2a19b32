// Package disk is the layer between what is durable and the file system: an embedded store (Pebble) that outlives a disk which
// fails, and records with a version and a checksum.
package disk

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Disk stands between the embedded store and the file system. A store that learns of a failed write gives up, or ends the
// process; here the broker has to go on serving. So a failed write is retried in its own goroutine until it succeeds, and the
// fault is reported meanwhile. A failed sync is not retried: what the system had not written by then may be gone from its
// memory, and a second sync that succeeds would prove nothing. After that the store blocks until the next start, when
// it is read again and verified. Callers must buffer meanwhile.
type Disk struct {
	vfs.FS
	Fault         atomic.Pointer[string] // what is wrong now, nil while all is well
	Stopped       atomic.Bool            // a sync has failed: nothing more is made durable by this process
	Retries       atomic.Int64
	Syncs         atomic.Int64
	BytesWritten  atomic.Int64
	RetryInterval time.Duration
	released      chan struct{} // closed by Release
}

const defaultRetryInterval = 250 * time.Millisecond

// New wraps a file system.
func New(fs vfs.FS) *Disk {
	return &Disk{FS: fs, RetryInterval: defaultRetryInterval, released: make(chan struct{})}
}

// Release ends retries, once nothing of the store is used any more. What is blocked stays so.
func (d *Disk) Release() { close(d.released) }

// retryUntilDone tries an operation until it succeeds.
func (d *Disk) retryUntilDone(what string, do func() error) {
	for first := true; ; first = false {
		if d.Stopped.Load() {
			d.block()
		}
		err := do()
		if err == nil {
			if !first {
				d.Fault.Store(nil)
			}
			return
		}
		d.Retries.Add(1)
		text := what + ": " + err.Error()
		d.Fault.Store(&text)
		select {
		case <-time.After(d.RetryInterval):
		case <-d.released:
			d.block()
		}
	}
}

// block never returns: the caller must not learn that its write has failed, nor believe that it succeeded.
func (d *Disk) block() {
	<-d.released
	select {}
}

// stop keeps a fault after which nothing more is made durable, and blocks.
func (d *Disk) stop(fault string) {
	d.Fault.Store(&fault)
	d.Stopped.Store(true)
	d.block()
}

func (d *Disk) syncOnce(do func() error) error {
	if d.Stopped.Load() {
		d.block()
	}
	d.Syncs.Add(1)
	if err := do(); err != nil {
		d.stop("sync: " + err.Error() + "; nothing more is durable until a restart")
	}
	return nil
}

func (d *Disk) wrap(f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &diskFile{f, d}, nil
}

// Create creates a file, as vfs.FS has it; it returns only once the disk has taken it.
func (d *Disk) Create(name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	d.retryUntilDone("create "+name, func() error { f, err = d.FS.Create(name, c); return err })
	return d.wrap(f, nil)
}

// Open opens a file for reading, as vfs.FS has it.
func (d *Disk) Open(name string, o ...vfs.OpenOption) (vfs.File, error) {
	return d.wrap(d.FS.Open(name, o...))
}

// OpenReadWrite opens a file for reading and writing, as vfs.FS has it.
func (d *Disk) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	return d.wrap(d.FS.OpenReadWrite(name, c, o...))
}

// OpenDir opens a directory for syncing, as vfs.FS has it.
func (d *Disk) OpenDir(name string) (vfs.File, error) { return d.wrap(d.FS.OpenDir(name)) }

// ReuseForWrite renames a file and opens it for writing, as vfs.FS has it; it returns only once the disk
// has taken it.
func (d *Disk) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	d.retryUntilDone("reuse "+from, func() error { f, err = d.FS.ReuseForWrite(from, to, c); return err })
	return d.wrap(f, nil)
}

// Rename renames a file, as vfs.FS has it; it returns only once the disk has taken it.
func (d *Disk) Rename(from, to string) error {
	d.retryUntilDone("rename "+from, func() error { return d.FS.Rename(from, to) })
	return nil
}

// MkdirAll creates a directory and those above it, as vfs.FS has it.
func (d *Disk) MkdirAll(dir string, perm os.FileMode) error { return d.FS.MkdirAll(dir, perm) }

// Unwrap returns the file system below.
func (d *Disk) Unwrap() vfs.FS { return d.FS }
