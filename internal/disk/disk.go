// Package disk is the small layer between what lasts and the file system: an embedded store (Pebble) that outlives a disk which
// fails, and records with a version and a checksum.
package disk

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Disk stands between the embedded store and the file system. A store that is told of a failed write gives up, or ends the
// process; here the broker is to go on serving. So a write that fails is tried again until it succeeds, in its own goroutine,
// and says so meanwhile; a failed sync is not: what the system had not written by then may be gone from its memory, and a
// second sync that succeeds would prove nothing. After that the store stands still until the next start, when it is read
// again and proved. Uses go on merging in the hand-off all the while.
type Disk struct {
	vfs.FS
	Fault atomic.Pointer[string] // what is wrong now, nil when all is well
	Stopped atomic.Bool            // a sync has failed: nothing more is made durable by this process
	Retries atomic.Int64
	Syncs   atomic.Int64
	BytesWritten atomic.Int64
	RetryInterval   time.Duration // between tries
	released    chan struct{} // closed by Release: who stands still ends
}

// New wraps a file system.
func New(fs vfs.FS) *Disk {
	return &Disk{FS: fs, RetryInterval: 250 * time.Millisecond, released: make(chan struct{})}
}

// Release lets goroutines that stand still end, once nothing of the store is used any more.
func (d *Disk) Release() { close(d.released) }

// retryUntilDone tries until it succeeds.
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

// block is for ever: the caller must not learn that its write has failed, nor believe that it succeeded.
func (d *Disk) block() {
	<-d.released
	select {}
}

func (d *Disk) syncOnce(do func() error) error {
	if d.Stopped.Load() {
		d.block()
	}
	d.Syncs.Add(1)
	if err := do(); err != nil {
		text := "sync: " + err.Error() + "; nothing more is durable until a restart"
		d.Fault.Store(&text)
		d.Stopped.Store(true)
		d.block()
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

// Unwrap gives what lies below.
func (d *Disk) Unwrap() vfs.FS { return d.FS }

type diskFile struct {
	vfs.File
	disk *Disk
}

// Write goes on after the part that was written: a torn write is completed, not repeated.
func (f *diskFile) Write(b []byte) (int, error) {
	at := 0
	f.disk.retryUntilDone("write", func() error {
		n, err := f.File.Write(b[at:])
		at += n
		f.disk.BytesWritten.Add(int64(n))
		return err
	})
	return len(b), nil
}

// WriteAt writes all of b at an offset, as vfs.File has it; it returns only once the disk has taken it.
func (f *diskFile) WriteAt(b []byte, off int64) (int, error) {
	at := 0
	f.disk.retryUntilDone("write", func() error {
		n, err := f.File.WriteAt(b[at:], off+int64(at))
		at += n
		f.disk.BytesWritten.Add(int64(n))
		return err
	})
	return len(b), nil
}

// Sync makes the file durable, as vfs.File has it.
func (f *diskFile) Sync() error { return f.disk.syncOnce(f.File.Sync) }

// SyncData makes the file's bytes durable, as vfs.File has it.
func (f *diskFile) SyncData() error { return f.disk.syncOnce(f.File.SyncData) }

// SyncTo makes the first n bytes durable, as vfs.File has it; full: the whole file is.
func (f *diskFile) SyncTo(n int64) (full bool, err error) {
	err = f.disk.syncOnce(func() error { full, err = f.File.SyncTo(n); return err })
	return full, err
}
