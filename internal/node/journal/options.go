package journal

import (
	"crypto/rand"
	"io"
)

// The sizes of the ring.
const (
	// ringSegments is how many files the ring has: the newest generation, and the one that is being
	// written.
	ringSegments = 2
	// defaultDiskBytes is assumed where the size of the disk is not stated.
	defaultDiskBytes = 64 << 20
	// diskShare is the divisor that gives the part of the disk that the ring may use: a half.
	diskShare = 2
	// reserveShare is the divisor that gives the part of a segment that is still free when a
	// checkpoint is requested: a quarter.
	reserveShare = 4
	// minAppendedBytes is the minimum to be appended before a checkpoint is requested, however
	// small the previous checkpoint was: without it, a journal with a small state would write more
	// checkpoints than records.
	minAppendedBytes = 512 << 10
	// smallRecordBytes of a segment are reserved for the small records beside states and changes.
	smallRecordBytes = 512 << 10
)

// Options say where the journal is kept.
type Options struct {
	// Dir is the directory; empty: the journal keeps nothing, and every write succeeds.
	Dir string
	// MaxBytes is the size of the disk in bytes, of which the journal uses at most half. Default 64
	// MiB.
	MaxBytes int64
	// FileSystem gives access to the disk; nil: the operating system's.
	FileSystem FileSystem
	// Random is the source of identities and attempt numbers; nil: the operating system's.
	Random io.Reader
}

// withDefaults returns the options with the defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.FileSystem == nil {
		o.FileSystem = osFileSystem{}
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultDiskBytes
	}
	return o
}

// segmentBytes is the maximum size of each segment, on a disk of that many bytes.
func segmentBytes(diskBytes int64) int64 { return diskBytes / diskShare / ringSegments }

// LargestState is the size in bytes of the largest state that a journal can keep on a disk of
// maxBytes, if no record is larger than the state: a segment takes a checkpoint with the state, the
// record that waits to be committed, and the one after it.
func LargestState(maxBytes int64) int64 {
	if maxBytes <= 0 {
		maxBytes = defaultDiskBytes
	}
	const recordsInSegment = 3
	segment := segmentBytes(maxBytes)
	return (segment - min(smallRecordBytes, segment/reserveShare)) / recordsInSegment
}

// Recovery is the result of reading the ring in Open.
type Recovery struct {
	Generation uint64 // of the recovered state; 0: none
	Records    int    // number of recovered records
	// Damaged: records that had been durable can't be read. The journal begins empty, under a new
	// identity.
	Damaged bool
	// Dropped counts, where Damaged, the records that could still be read and the frames found
	// after the damage.
	Dropped int
}
