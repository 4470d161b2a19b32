package journal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strconv"
)

const (
	// preallocatedStep is by how much a segment grows at least, so that most writes don't change a file's length.
	preallocatedStep = 256 << 10
	// writeBufferBytes is how much of a batch is gathered before it is written.
	writeBufferBytes = 64 << 10
)

// zeros is what preallocated space is filled with.
var zeros [writeBufferBytes]byte

// segment is one file of the ring.
type segment struct {
	fileSystem FileSystem
	directory  string
	path       string
	limit      int64 // the greatest size
	file       File  // nil: not there yet
	size       int64 // how much was preallocated
	nameSynced bool  // the folder was synced after the file was made
	// needsVoid: the disk may hold a generation here that must not be found: a checkpoint that failed may stand there
	// whole all the same. At a start this goes for every segment but the current one, whatever was read from it: after
	// a failed sync the system's memory and the disk differ, and a kill of the process leaves it at that.
	needsVoid bool
}

func newSegment(fileSystem FileSystem, directory string, number int, limit int64) *segment {
	name := "journal-" + strconv.Itoa(number)
	return &segment{fileSystem: fileSystem, directory: directory, path: filepath.Join(directory, name), limit: limit}
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

// create makes the file if it is not there.
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

// preallocate makes sure that the file reaches beyond end, up to which its caller will write.
func (s *segment) preallocate(end int64) error {
	if end <= s.size {
		return nil
	}
	size := min((end+preallocatedStep-1)/preallocatedStep*preallocatedStep, s.limit)
	for at := end; at < size; {
		part := zeros[:min(int64(len(zeros)), size-at)]
		if err := s.write(part, at); err != nil {
			return err
		}
		at += int64(len(part))
	}
	s.size = size
	return nil
}

func (s *segment) write(b []byte, offset int64) error {
	_, err := s.file.WriteAt(b, offset)
	return err
}

// sync makes the file and its name durable.
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

// rewrite writes what the file is said to hold, from an offset to its end, once more, and nothing that could be read as
// a frame behind it; then it syncs the file. The disk is thus known to hold what was read.
func (s *segment) rewrite(from, end int64) error {
	chunk := make([]byte, min(writeBufferBytes, end-from))
	for at := from; at < end; {
		part := chunk[:min(int64(len(chunk)), end-at)]
		if _, err := s.file.ReadAt(part, at); err != nil {
			return err
		}
		if err := s.write(part, at); err != nil {
			return err
		}
		at += int64(len(part))
	}
	if end+headerBytes <= s.limit {
		if err := s.write(zeros[:headerBytes], end); err != nil {
			return err
		}
	}
	return s.sync()
}

func (s *segment) close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	return err
}
