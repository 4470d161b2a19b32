package disk

import "github.com/cockroachdb/pebble/v2/vfs"

// diskFile is an open file of a Disk.
type diskFile struct {
	vfs.File
	disk *Disk
}

// Write continues after the part that was written: a torn write is completed, not repeated.
func (f *diskFile) Write(b []byte) (int, error) {
	written := 0
	f.disk.retryUntilDone("write", func() error {
		n, err := f.File.Write(b[written:])
		written += n
		f.disk.BytesWritten.Add(int64(n))
		return err
	})
	return len(b), nil
}

// WriteAt writes all of b at an offset, as vfs.File has it; it returns only once the disk has taken it.
func (f *diskFile) WriteAt(b []byte, offset int64) (int, error) {
	written := 0
	f.disk.retryUntilDone("write", func() error {
		n, err := f.File.WriteAt(b[written:], offset+int64(written))
		written += n
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
