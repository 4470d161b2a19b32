package journal

import (
	"math"

	"kestrelspread/internal/node/core"
)

// recover reads the ring and takes over its newest complete generation.
func (j *Journal) recover() ([]core.Record, error) {
	var generations [ringSegments]*generation
	newest := -1 // index of the segment with the newest complete generation
	for i, segment := range j.segments {
		if err := segment.open(); err != nil {
			return nil, err
		}
		if segment.file == nil {
			continue
		}
		read, err := readGeneration(segment.file, segment.size)
		if err != nil {
			return nil, err
		}
		generations[i] = read
		if read == nil {
			continue
		}
		j.generation = max(j.generation, read.end.generation)
		if read.complete() && (newest < 0 || read.end.generation > generations[newest].end.generation) {
			newest = i
		}
	}
	var found *generation
	if newest >= 0 {
		found = generations[newest]
	}
	damagedSegment, err := j.findDamage(generations, found)
	if err != nil {
		return nil, err
	}
	switch {
	case j.recovery.Damaged:
		j.nextSegment = (damagedSegment + 1) % ringSegments // the damaged one is kept until the new one is durable
		j.identity = j.newIdentity()
		return nil, nil
	case found == nil:
		j.identity = j.newIdentity()
		return nil, nil
	}
	j.takeOver(newest, found)
	return found.records, nil
}

// takeOver goes on from a generation that was read.
func (j *Journal) takeOver(index int, found *generation) {
	j.identity = found.start.Identity
	j.currentSegment, j.nextSegment = j.segments[index], (index+1)%ringSegments
	j.end, j.checkpointEnd = found.end, found.checkpointEnd
	j.recovery.Generation = found.end.generation
	j.recovery.Records = len(found.records)
	// After a kill its last batch may stand in the system's memory only; if its sync had failed, a sync of the same bytes
	// would prove nothing.
	j.unconfirmed, j.unconfirmedOffset = true, found.lastBatchOffset
	j.currentSegment.needsVoid = false
	j.setNeedsCheckpoint()
}

// findDamage looks for what had been durable and can't be read: frames behind the end of the newest generation that
// were written after frames missing before them had been durable, and such frames of still newer generations.
// It gives the index of the segment where it found any.
func (j *Journal) findDamage(generations [ringSegments]*generation, found *generation) (int, error) {
	damagedSegment := 0
	for i, segment := range j.segments {
		if segment.file == nil {
			continue
		}
		search, from := damageSearchFor(generations[i], found)
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
	if j.recovery.Damaged && found != nil {
		j.recovery.Dropped += len(found.records)
	}
	return damagedSegment, nil
}

// damageSearchFor says what would prove damage in a segment that holds read, and from which offset on; nil: nothing would.
func damageSearchFor(read, found *generation) (*damageSearch, int64) {
	newest := uint64(0)
	if found != nil {
		newest = found.end.generation
	}
	switch {
	case read == nil:
		return &damageSearch{firstGeneration: newest + 1, lastGeneration: math.MaxUint64, missingSequence: 0}, 0
	case read.end.generation >= newest:
		own := read.end.generation
		return &damageSearch{firstGeneration: own, lastGeneration: own, missingSequence: read.end.sequence}, read.end.offset
	default:
		return nil, 0 // an older generation, which was given up
	}
}
