package journal

import (
	"errors"
	"os"
	"syscall"
)

// FileSystem is the disk as the journal uses it.
type FileSystem interface {
	// MakeDir makes a folder and those above it; one that exists already is no error.
	MakeDir(path string) error
	// Open opens an existing file for reading and writing; the error is fs.ErrNotExist where there is none.
	Open(path string) (File, error)
	// Create makes an empty file, or opens the one that is there, for reading and writing.
	Create(path string) (File, error)
	// SyncDir makes the names in a folder durable.
	SyncDir(path string) error
}

// File is an open file.
type File interface {
	ReadAt(b []byte, offset int64) (int, error)
	WriteAt(b []byte, offset int64) (int, error)
	Size() (int64, error)
	// Sync makes everything that was written durable, with the file's length.
	Sync() error
	Close() error
}

// osFileSystem is the real one.
type osFileSystem struct{}

// The modes of what the journal makes.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

func (osFileSystem) MakeDir(path string) error { return os.MkdirAll(path, directoryMode) }

func (osFileSystem) Open(path string) (File, error) { return openFile(path, os.O_RDWR) }

func (osFileSystem) Create(path string) (File, error) { return openFile(path, os.O_RDWR|os.O_CREATE) }

func (osFileSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	return errors.Join(err, folder.Close())
}

// osFile is an open file of the real file system.
type osFile struct{ *os.File }

func openFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync uses fdatasync, which leaves out times of access and change: in a preallocated file only the data is written.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
