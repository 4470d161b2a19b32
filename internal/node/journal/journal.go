package journal

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"kestrelspread/internal/node/core"
)

// Journal is an open journal. Append, Checkpoint and Close are called by one goroutine at a time;
// the other methods may be called by any.
type Journal struct {
	segments [ringSegments]*segment // nil where nothing is kept
	identity string
	random   io.Reader
	recovery Recovery

	generation     uint64   // the highest number ever used
	attempt        uint64   // of the next write
	currentSegment *segment // holds the newest complete checkpoint; nil: none was written yet
	nextSegment    int      // index of the segment that takes the next checkpoint
	end            position // after the last record in currentSegment that is known to be durable
	checkpointEnd  int64    // offset after the checkpoint in currentSegment
	// unconfirmed: the bytes recovered from currentSegment, from unconfirmedOffset on, are not
	// known to be durable.
	unconfirmed       bool
	unconfirmedOffset int64

	needsCheckpoint atomic.Bool
	healthy         atomic.Bool
}

// Open opens the journal in a directory and returns its records: those of the newest complete
// checkpoint, and those appended after it, in order. On a disk that refuses writes, Open succeeds
// and writes fail until the disk takes them again. The error is ErrUnreadable: the disk can't
// be read, so that nothing is known of its state.
func Open(options Options) (*Journal, []core.Record, error) {
	options = options.withDefaults()
	journal := &Journal{random: options.Random}
	if options.Dir == "" {
		journal.healthy.Store(true)
		return journal, nil, nil
	}
	for number := range journal.segments {
		journal.segments[number] = newSegment(options.FileSystem, options.Dir, number, segmentBytes(options.MaxBytes))
	}
	journal.attempt = journal.randomNumber()
	records, err := journal.recoverRing()
	if err != nil {
		_ = journal.Close()
		return nil, nil, fmt.Errorf("%w: open %s: %w", ErrUnreadable, options.Dir, err)
	}
	// Where the disk refuses the repair, the next write tries it again.
	journal.healthy.Store(journal.repair() == nil)
	return journal, records, nil
}

// Identity is the random id of the disk, in hex; empty where nothing is kept. It is durable before
// any record.
func (j *Journal) Identity() string { return j.identity }

// Recovery returns the result of reading the ring in Open.
func (j *Journal) Recovery() Recovery { return j.recovery }

// Healthy reports whether the disk took the newest write. Before the first write it is false as
// long as recovered records are not known to be durable; Append without records tries to confirm
// them.
func (j *Journal) Healthy() bool { return j.healthy.Load() }

// NeedsCheckpoint reports whether a checkpoint is due. The next segment always has space for one.
func (j *Journal) NeedsCheckpoint() bool { return j.needsCheckpoint.Load() }

// Append makes records durable after the existing ones. After an ErrWriteFailed the
// records may or may not be found at the next start; a later Append overwrites them. An error of
// kind ErrFull means that nothing was written and that a checkpoint is needed first. Without records,
// Append makes sure that the recovered ones are durable.
func (j *Journal) Append(records []core.Record) error {
	if j.inMemory() {
		return nil
	}
	if err := j.repair(); err != nil {
		j.healthy.Store(false)
		return fmt.Errorf("%w: append: %w", ErrWriteFailed, err)
	}
	end := j.end.offset + framesBytes(records)
	if end > j.currentSegment.limit {
		j.needsCheckpoint.Store(true)
		return fmt.Errorf("%w: append: %d bytes of %d are in use", ErrFull, j.end.offset, j.currentSegment.limit)
	}
	if err := j.appendBatch(records, end); err != nil {
		// A new attempt number keeps the remains of this write from being read as part of the next
		// one.
		j.attempt = j.randomNumber()
		j.healthy.Store(false)
		return fmt.Errorf("%w: append: %w", ErrWriteFailed, err)
	}
	j.healthy.Store(true)
	j.setNeedsCheckpoint()
	return nil
}

// appendBatch writes and syncs records, up to the offset end of the current segment.
func (j *Journal) appendBatch(records []core.Record, end int64) error {
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

// Checkpoint makes records durable in place of all earlier ones. After an error of type
// ErrWriteFailed, or a crash in its midst, the state at the next start is either the previous one or
// the complete checkpoint. An error of kind ErrTooLarge means that nothing was written.
func (j *Journal) Checkpoint(records []core.Record) error {
	if j.inMemory() {
		return nil
	}
	limit := j.segments[j.nextSegment].limit
	if bytes := headerBytes + startPayloadBytes + framesBytes(records); bytes > limit {
		return fmt.Errorf("%w: %d bytes, and a segment has %d", ErrTooLarge, bytes, limit)
	}
	err := j.repair()
	if err == nil {
		err = j.writeCheckpoint(j.segments[j.nextSegment], records)
	}
	j.healthy.Store(err == nil)
	if err != nil {
		return fmt.Errorf("%w: checkpoint: %w", ErrWriteFailed, err)
	}
	j.setNeedsCheckpoint()
	return nil
}

// writeCheckpoint writes a new generation into the target, which then becomes the current segment.
// Until all of it is durable, the previous generation stays intact in the other segment.
func (j *Journal) writeCheckpoint(target *segment, records []core.Record) error {
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
	j.currentSegment = target
	j.end = written.end
	j.checkpointEnd = written.end.offset
	j.nextSegment = (j.nextSegment + 1) % ringSegments
	target.needsVoid = false
	return nil
}

// repair makes sure that the disk holds the current generation with all records known of it, and no
// other: it writes the first checkpoint, writes unconfirmed bytes again, and voids the other
// segments.
func (j *Journal) repair() error {
	if j.currentSegment == nil {
		if err := j.writeCheckpoint(j.segments[j.nextSegment], nil); err != nil {
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

// setNeedsCheckpoint requests a checkpoint once as many bytes were appended as the previous one
// took, or the segment runs out of space.
func (j *Journal) setNeedsCheckpoint() {
	appended := j.end.offset - j.checkpointEnd
	enoughAppended := appended >= max(minAppendedBytes, j.checkpointEnd)
	left := j.currentSegment.limit - j.end.offset
	spaceIsShort := appended > 0 && (left < j.currentSegment.limit/reserveShare || left < j.checkpointEnd/2)
	j.needsCheckpoint.Store(enoughAppended || spaceIsShort)
}

// Close closes the files. It does not sync: every write that succeeded is durable already.
func (j *Journal) Close() error {
	var err error
	for _, segment := range j.segments {
		if segment != nil {
			err = errors.Join(err, segment.close())
		}
	}
	return err
}

// inMemory reports whether the journal keeps nothing.
func (j *Journal) inMemory() bool { return j.segments[0] == nil }

// randomNumber draws an attempt number. No other attempt has the same but by a chance of 1 in 2^64.
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
