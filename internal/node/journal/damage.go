package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// findDamage looks for records that had been durable and can't be read. The proof is a frame after
// the end of the newest generation, or of a still newer one, that was written once frames that are
// now missing before it had been durable. findDamage sets the recovery, and returns the index of
// the segment where it found such frames.
func (j *Journal) findDamage(generations [ringSegments]*generation, newest *generation) (int, error) {
	damagedSegment := 0
	for i, segment := range j.segments {
		if segment.file == nil {
			continue
		}
		search, from := damageSearchFor(generations[i], newest)
		if search == nil {
			continue
		}
		frames, highest, err := search.countFrames(segment.file, from, segment.size)
		if err != nil {
			return 0, err
		}
		j.generation = max(j.generation, highest)
		if frames > 0 {
			damagedSegment = i
			j.recovery.Damaged = true
			j.recovery.Dropped += frames
		}
	}
	if j.recovery.Damaged && newest != nil {
		j.recovery.Dropped += len(newest.records)
	}
	return damagedSegment, nil
}

// damageSearchFor returns the search for damage in a segment in which the generation read was found
// (nil: none), and the offset from which to search. The search is nil where nothing in the segment
// could prove damage.
func damageSearchFor(read, newest *generation) (*damageSearch, int64) {
	newestNumber := uint64(0)
	if newest != nil {
		newestNumber = newest.end.generation
	}
	switch {
	case read == nil:
		return &damageSearch{
			firstGeneration: newestNumber + 1,
			lastGeneration:  math.MaxUint64,
			missingSequence: 0,
		}, 0
	case read.end.generation >= newestNumber:
		return &damageSearch{
			firstGeneration: read.end.generation,
			lastGeneration:  read.end.generation,
			missingSequence: read.end.sequence,
		}, read.end.offset
	default:
		return nil, 0 // an older generation, which a checkpoint has replaced
	}
}

// damageSearch looks for frames that prove that durable records can't be read any more.
type damageSearch struct {
	// Only frames of generations from firstGeneration to lastGeneration are proof.
	firstGeneration, lastGeneration uint64
	// missingSequence is the sequence number of the first frame that can't be read. A frame is
	// proof if the frame with this number was durable when it was written.
	missingSequence uint64
}

// countFrames counts the frames that prove damage from an offset on, and returns the highest
// generation among them.
func (s damageSearch) countFrames(source io.ReaderAt, from, size int64) (frames int, highest uint64, err error) {
	chunk := make([]byte, readBufferBytes)
	for from+headerBytes <= size {
		n, err := source.ReadAt(chunk[:min(int64(len(chunk)), size-from)], from)
		if err != nil && !errors.Is(err, io.EOF) {
			return frames, highest, err
		}
		read := chunk[:n]
		if len(read) < headerBytes {
			return frames, highest, nil
		}
		framesInChunk, highestInChunk := s.countInChunk(read)
		frames += framesInChunk
		highest = max(highest, highestInChunk)
		// Chunks overlap, so that a header across the end of one is complete in the next.
		from += int64(len(read)) - headerBytes + 1
	}
	return frames, highest, nil
}

// countInChunk is countFrames for the bytes of one chunk, where a header may begin at any byte.
func (s damageSearch) countInChunk(chunk []byte) (frames int, highest uint64) {
	encodedMagic := binary.LittleEndian.AppendUint32(nil, magic)
	for offset := 0; ; offset++ {
		next := bytes.Index(chunk[offset:], encodedMagic)
		if next < 0 || offset+next+headerBytes > len(chunk) {
			return frames, highest
		}
		offset += next
		if header, sound := decodeHeader(chunk[offset:]); sound && s.provesDamage(header) {
			frames++
			highest = max(highest, header.Generation)
		}
	}
}

// provesDamage reports whether the frame was written when the missing one had been durable.
func (s damageSearch) provesDamage(header frameHeader) bool {
	return header.Generation >= s.firstGeneration &&
		header.Generation <= s.lastGeneration &&
		header.BatchStart > s.missingSequence
}
