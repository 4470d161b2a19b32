package journal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"sync/atomic"

	"kestrelspread/internal/node/core"
)

const (
	// ringSegments is how many files the ring has: the newest generation, and the one that is being written.
	ringSegments = 2
	// defaultDiskBytes is taken for a disk whose size was not stated.
	defaultDiskBytes = 64 << 20
	// diskShare is the part of the disk that the ring may use: one in diskShare.
	diskShare = 2
	// minAppendedBytes is appended at least before a checkpoint is asked for, however small the one before was.
	minAppendedBytes = 512 << 10
	// smallRecordBytes of a segment are left for the small records beside states and changes.
	smallRecordBytes = 512 << 10
	// reserveShare of a segment is left when a checkpoint is asked for: one in reserveShare.
	reserveShare = 4
)

// Options say where the journal is kept.
type Options struct {
	// Dir is the folder; empty: nothing is kept, and every write succeeds.
	Dir string
	// MaxBytes is the size of the disk, of which the journal uses at most half. Default 64 MiB.
	MaxBytes int64
	// FS is the disk; nil: the real one.
	FileSystem FileSystem
	// Random is what identities and numbers of attempts are drawn from; nil: the system's source of randomness.
	Random io.Reader
}

// Recovery is what Open found.
type Recovery struct {
	Generation uint64 // of the state that was recovered; 0: none
	Records    int    // recovered
	// Damaged: records that had been durable can't be read. The journal begins empty, under a new identity.
	Damaged bool
	// Dropped counts, where Damaged, the records that could be read and the frames found behind the damage.
	Dropped int
}

// Journal is an open journal. Append, Checkpoint and Close are called by one goroutine at a time; the other methods
// may be called by any.
type Journal struct {
	segments [ringSegments]*segment // nil where nothing is kept
	identity string
	random   io.Reader
	recovery Recovery

	generation     uint64   // the highest number ever used
	attempt        uint64   // of the next write
	currentSegment *segment // holds the newest complete checkpoint; nil: none was written yet
	nextSegment    int      // the segment that takes the next checkpoint
	end            position // behind the last record in current that is known to be durable
	// checkpointEnd is the offset behind the checkpoint in current.
	checkpointEnd int64
	// unconfirmed: what was recovered from current, from the offset unprovedFrom on, is not known to be durable.
	unconfirmed       bool
	unconfirmedOffset int64

	needsCheckpoint atomic.Bool
	healthy         atomic.Bool
}

// Open opens the journal in a folder and returns its records: those of the newest complete checkpoint, and those
// appended after it, in order. A disk that refuses writes gives a journal whose writes fail until it takes them again.
// An error means that the disk can't be read, so that nothing is known of its state.
func Open(options Options) (*Journal, []core.Record, error) {
	if options.Random == nil {
		options.Random = rand.Reader
	}
	journal := &Journal{random: options.Random}
	if options.Dir == "" {
		journal.healthy.Store(true)
		return journal, nil, nil
	}
	if options.FileSystem == nil {
		options.FileSystem = osFileSystem{}
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = defaultDiskBytes
	}
	for number := range journal.segments {
		limit := options.MaxBytes / diskShare / ringSegments
		journal.segments[number] = newSegment(options.FileSystem, options.Dir, number, limit)
	}
	journal.attempt = journal.randomNumber()
	records, err := journal.recover()
	if err != nil {
		_ = journal.Close()
		return nil, nil, Unreadable.Wrap(err, "journal in %s", options.Dir)
	}
	journal.healthy.Store(journal.repair() == nil) // a disk that refuses this is asked again at the next write
	return journal, records, nil
}

// LargestState is the size of the largest state that a journal on a disk of that many bytes can keep, if no record is larger than
// the state: a segment takes a checkpoint with the state, the record that waits to be committed, and the one after it.
func LargestState(maxBytes int64) int64 {
	if maxBytes <= 0 {
		maxBytes = defaultDiskBytes
	}
	const recordsInSegment = 3
	segment := maxBytes / diskShare / ringSegments
	return (segment - min(smallRecordBytes, segment/reserveShare)) / recordsInSegment
}

// Identity names the disk; empty where nothing is kept. It is durable before anything else that is written.
func (j *Journal) Identity() string { return j.identity }

// Recovery tells what Open found.
func (j *Journal) Recovery() Recovery { return j.recovery }

// Healthy reports whether the disk took the newest write. Where it took none since Open, it is false as long as recovered
// records are not known to be durable; Append without records tries again.
func (j *Journal) Healthy() bool { return j.healthy.Load() }

// NeedsCheckpoint reports whether a checkpoint is due. There is always room for one.
func (j *Journal) NeedsCheckpoint() bool { return j.needsCheckpoint.Load() }

// Append makes records durable behind those before. After an error the records may or may not be found at the next
// start; a later Append takes their place. Without records it makes sure that what was recovered is durable.
func (j *Journal) Append(records []core.Record) error {
	if j.inMemory() {
		return nil
	}
	if err := j.repair(); err != nil {
		j.healthy.Store(false)
		return WriteFailed.Wrap(err, "append")
	}
	end := j.end.offset + framesBytes(records)
	if end > j.currentSegment.limit {
		j.needsCheckpoint.Store(true)
		return Full.New("append: %d bytes of %d are in use", j.end.offset, j.currentSegment.limit)
	}
	if err := j.append(records, end); err != nil {
		j.attempt = j.randomNumber()
		j.healthy.Store(false)
		return WriteFailed.Wrap(err, "append")
	}
	j.healthy.Store(true)
	j.setNeedsCheckpoint()
	return nil
}

func (j *Journal) append(records []core.Record, end int64) error {
	if len(records) == 0 {
		return nil
	}
	if err := j.currentSegment.preallocate(end); err != nil {
		return err
	}
	written := newBatch(j.currentSegment, j.end, j.attempt)
	if err := written.appendRecords(records); err != nil {
		return err
	}
	if err := written.finish(); err != nil {
		return err
	}
	j.end = written.end
	return nil
}

// Checkpoint makes records durable in place of all that were written before. After an error, or a crash in its midst,
// the state at the next start is the one before or the checkpoint, whole.
func (j *Journal) Checkpoint(records []core.Record) error {
	if j.inMemory() {
		return nil
	}
	limit := j.segments[j.nextSegment].limit
	if bytes := headerBytes + startPayloadBytes + framesBytes(records); bytes > limit {
		return TooLarge.New("checkpoint: %d bytes, and a segment has %d", bytes, limit)
	}
	err := j.repair()
	if err == nil {
		err = j.checkpoint(j.segments[j.nextSegment], records)
	}
	j.healthy.Store(err == nil)
	if err != nil {
		return WriteFailed.Wrap(err, "checkpoint")
	}
	j.setNeedsCheckpoint()
	return nil
}

// checkpoint writes a generation of its own into the target, which then becomes the current segment.
func (j *Journal) checkpoint(target *segment, records []core.Record) error {
	target.needsVoid = true
	j.generation++
	j.attempt = j.randomNumber()
	if err := target.create(); err != nil {
		return err
	}
	if err := target.preallocate(headerBytes + startPayloadBytes + framesBytes(records)); err != nil {
		return err
	}
	written := newBatch(target, position{generation: j.generation}, j.attempt)
	start := startPayload{Identity: j.identity, Records: uint32(len(records))}
	if err := written.appendFrame(frameStart, 0, start.encode()); err != nil {
		return err
	}
	if err := written.appendRecords(records); err != nil {
		return err
	}
	if err := written.finish(); err != nil {
		return err
	}
	j.currentSegment, j.end, j.checkpointEnd = target, written.end, written.end.offset
	j.nextSegment = (j.nextSegment + 1) % ringSegments
	target.needsVoid = false
	return nil
}

// repair makes sure that the disk holds one generation, the current one, and all of what is known of it.
func (j *Journal) repair() error {
	if j.currentSegment == nil {
		if err := j.checkpoint(j.segments[j.nextSegment], nil); err != nil {
			return err
		}
	}
	if j.unconfirmed {
		if err := j.currentSegment.rewrite(j.unconfirmedOffset, j.end.offset); err != nil {
			return err
		}
		j.unconfirmed = false
	}
	for _, segment := range j.segments {
		if segment == j.currentSegment || !segment.needsVoid {
			continue
		}
		if err := segment.void(); err != nil {
			return err
		}
	}
	return nil
}

// setNeedsCheckpoint asks for a checkpoint once as much was appended as the one before took, or the room gets short.
func (j *Journal) setNeedsCheckpoint() {
	appended := j.end.offset - j.checkpointEnd
	much := appended >= max(minAppendedBytes, j.checkpointEnd)
	left := j.currentSegment.limit - j.end.offset
	short := appended > 0 && (left < j.currentSegment.limit/reserveShare || left < j.checkpointEnd/2)
	j.needsCheckpoint.Store(much || short)
}

// Close closes the files.
func (j *Journal) Close() error {
	var failed error
	for _, segment := range j.segments {
		if segment != nil {
			failed = errors.Join(failed, segment.close())
		}
	}
	return failed
}

func (j *Journal) inMemory() bool { return j.segments[0] == nil }

// randomNumber draws a number that no other attempt has.
func (j *Journal) randomNumber() uint64 {
	var b [8]byte
	_, _ = io.ReadFull(j.random, b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// newIdentity draws an identity for a disk.
func (j *Journal) newIdentity() string {
	var b [identityBytes / 2]byte
	_, _ = io.ReadFull(j.random, b[:]) // never fails
	return hex.EncodeToString(b[:])
}
