package journal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strconv"
)

const (
	// preallocationStep is the granularity in bytes by which a segment grows, so that most writes
	// don't change the length of its file: a sync then needs to write data only.
	preallocationStep = 256 << 10
	// writeBufferBytes is how much of a batch is buffered before it is written.
	writeBufferBytes = 64 << 10
)

// zeros is the contents of preallocated space.
var zeros [writeBufferBytes]byte

// segment is one file of the ring.
type segment struct {
	fileSystem FileSystem
	directory  string
	path       string
	limit      int64 // maximum size in bytes
	file       File  // nil: it doesn't exist yet
	size       int64 // preallocated bytes
	nameSynced bool  // the directory was synced after the file was made
	// needsVoid: the disk may hold a generation here that must not be read, as a checkpoint that
	// failed may be complete on the disk all the same. At a start this is true for every segment
	// but the current one, whatever was read from it: after a failed sync the system's cache and
	// the disk may differ, and a killed process leaves them so.
	needsVoid bool
}

// newSegment returns the segment of that number, whose file isn't opened.
func newSegment(fileSystem FileSystem, directory string, number int, limit int64) *segment {
	name := "journal-" + strconv.Itoa(number)
	return &segment{
		fileSystem: fileSystem,
		directory:  directory,
		path:       filepath.Join(directory, name),
		limit:      limit,
	}
}

// open opens the file if there is one.
func (s *segment) open() error {
	file, err := s.fileSystem.Open(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	size, err := file.Size()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	s.file, s.size, s.needsVoid = file, size, true
	return nil
}

// create makes the directory and the file if they don't exist.
func (s *segment) create() error {
	if s.file != nil {
		return nil
	}
	if err := s.fileSystem.MakeDir(s.directory); err != nil {
		return err
	}
	file, err := s.fileSystem.Create(s.path)
	if err != nil {
		return err
	}
	s.file, s.size, s.nameSynced = file, 0, false
	return nil
}

// preallocate makes sure that the file is at least as long as end. The caller writes the bytes up
// to end itself; only those after it are filled with zeros.
func (s *segment) preallocate(end int64) error {
	if end <= s.size {
		return nil
	}
	steps := (end + preallocationStep - 1) / preallocationStep
	size := min(steps*preallocationStep, s.limit)
	for offset := end; offset < size; {
		chunk := zeros[:min(int64(len(zeros)), size-offset)]
		if err := s.write(chunk, offset); err != nil {
			return err
		}
		offset += int64(len(chunk))
	}
	s.size = size
	return nil
}

// write writes without a sync.
func (s *segment) write(b []byte, offset int64) error {
	_, err := s.file.WriteAt(b, offset)
	return err
}

// sync makes the file durable, and its name where it is new.
func (s *segment) sync() error {
	if err := s.file.Sync(); err != nil {
		return err
	}
	if s.nameSynced {
		return nil
	}
	if err := s.fileSystem.SyncDir(s.directory); err != nil {
		return err
	}
	s.nameSynced = true
	return nil
}

// void overwrites the start frame, so that the segment holds no generation.
func (s *segment) void() error {
	if s.file != nil {
		if err := s.write(zeros[:headerBytes], 0); err != nil {
			return err
		}
		if err := s.sync(); err != nil {
			return err
		}
	}
	s.needsVoid = false
	return nil
}

// rewrite writes the bytes that the file shows from one offset to another once more, clears the
// header after them so that nothing there is read as a frame, and syncs the file. The disk is then
// known to hold what was read.
func (s *segment) rewrite(from, end int64) error {
	buffer := make([]byte, min(writeBufferBytes, end-from))
	for offset := from; offset < end; {
		chunk := buffer[:min(int64(len(buffer)), end-offset)]
		if _, err := s.file.ReadAt(chunk, offset); err != nil {
			return err
		}
		if err := s.write(chunk, offset); err != nil {
			return err
		}
		offset += int64(len(chunk))
	}
	if end+headerBytes <= s.limit {
		if err := s.write(zeros[:headerBytes], end); err != nil {
			return err
		}
	}
	return s.sync()
}

// close closes the file, if there is one.
func (s *segment) close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	return err
}
