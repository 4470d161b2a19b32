package journal

import "kestrelspread/internal/node/core"

// noSegment is the index of a segment where there is none.
const noSegment = -1

// recoverRing reads the ring and continues from its newest complete generation. A ring that is
// empty or damaged gets a new identity and no records.
func (j *Journal) recoverRing() ([]core.Record, error) {
	generations, err := j.readSegments()
	if err != nil {
		return nil, err
	}
	index := newestComplete(generations)
	var newest *generation
	if index != noSegment {
		newest = generations[index]
	}
	damagedSegment, err := j.findDamage(generations, newest)
	if err != nil {
		return nil, err
	}
	if j.recovery.Damaged {
		// The other segment comes first, so that the damage can still be found until the new
		// generation is durable: a crash before that must not bring the former identity back.
		j.nextSegment = (damagedSegment + 1) % ringSegments
		j.identity = j.newIdentity()
		return nil, nil
	}
	if newest == nil {
		j.identity = j.newIdentity()
		return nil, nil
	}
	j.continueFrom(index, newest)
	return newest.records, nil
}

// readSegments opens the files of the ring and reads the generation in each; nil: there is none.
func (j *Journal) readSegments() ([ringSegments]*generation, error) {
	var generations [ringSegments]*generation
	for i, segment := range j.segments {
		if err := segment.open(); err != nil {
			return generations, err
		}
		if segment.file == nil {
			continue
		}
		read, err := readGeneration(segment.file, segment.size)
		if err != nil {
			return generations, err
		}
		if read == nil {
			continue
		}
		generations[i] = read
		j.generation = max(j.generation, read.end.generation)
	}
	return generations, nil
}

// newestComplete returns the index of the newest generation whose checkpoint is complete.
func newestComplete(generations [ringSegments]*generation) int {
	newest := noSegment
	for i, read := range generations {
		if read == nil || !read.complete() {
			continue
		}
		if newest == noSegment || read.end.generation > generations[newest].end.generation {
			newest = i
		}
	}
	return newest
}

// continueFrom makes a generation that was read the current one.
func (j *Journal) continueFrom(index int, newest *generation) {
	j.identity = newest.start.Identity
	j.currentSegment = j.segments[index]
	j.nextSegment = (index + 1) % ringSegments
	j.end = newest.end
	j.checkpointEnd = newest.checkpointEnd
	j.recovery.Generation = newest.end.generation
	j.recovery.Records = len(newest.records)
	// After a kill the last batch may be in the system's cache only; if its sync had failed, a sync
	// of the same bytes would prove nothing.
	j.unconfirmed = true
	j.unconfirmedOffset = newest.lastBatchOffset
	j.currentSegment.needsVoid = false
	j.setNeedsCheckpoint()
}
