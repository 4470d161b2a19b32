package journal

import (
	"errors"
	"os"
	"syscall"
)

// FileSystem is the access to the disk that the journal needs. Package diskfault has one with
// injected faults.
type FileSystem interface {
	// MakeDir makes a directory and its parents; one that exists already is no error.
	MakeDir(path string) error
	// Open opens an existing file for reading and writing; the error wraps fs.ErrNotExist where
	// there is none.
	Open(path string) (File, error)
	// Create makes an empty file, or opens the one that is there, for reading and writing.
	Create(path string) (File, error)
	// SyncDir makes the names in a directory durable.
	SyncDir(path string) error
}

// File is an open file.
type File interface {
	// ReadAt reads as io.ReaderAt does.
	ReadAt(b []byte, offset int64) (int, error)
	// WriteAt writes as io.WriterAt does; the file grows where needed.
	WriteAt(b []byte, offset int64) (int, error)
	// Size returns the length in bytes.
	Size() (int64, error)
	// Sync makes all writes durable, and the file's length.
	Sync() error
	// Close closes the file without a sync.
	Close() error
}

// osFileSystem is the operating system's FileSystem.
type osFileSystem struct{}

// The modes of new directories and files.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// MakeDir makes a directory and its parents.
func (osFileSystem) MakeDir(path string) error { return os.MkdirAll(path, directoryMode) }

// Open opens an existing file.
func (osFileSystem) Open(path string) (File, error) { return openFile(path, os.O_RDWR) }

// Create opens a file, and makes it where there is none.
func (osFileSystem) Create(path string) (File, error) { return openFile(path, os.O_RDWR|os.O_CREATE) }

// SyncDir makes the names in a directory durable.
func (osFileSystem) SyncDir(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	err = directory.Sync()
	return errors.Join(err, directory.Close())
}

// osFile is an open file of the operating system.
type osFile struct{ *os.File }

// openFile opens a file for File.
func openFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Size returns the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync calls fdatasync, which leaves out the times of access and change: in a preallocated file it
// writes data only.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
