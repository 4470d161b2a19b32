package journal

import "kestrelspread/internal/node/core"

// largePayload is the length from which a payload is written from where it is, without gathering it.
const largePayload = 16 << 10

// batch writes frames that one sync makes durable.
type batch struct {
	segment    *segment
	end        position // where the next frame goes
	batchStart uint64
	attempt    uint64
	gathered   []byte // not yet written
	gatheredAt int64  // its offset
}

// framesBytes is the space that records take.
func framesBytes(records []core.Record) int64 {
	total := int64(0)
	for _, record := range records {
		total += headerBytes + int64(len(record.Data))
	}
	return total
}

// newBatch begins a batch behind a position.
func newBatch(target *segment, end position, attempt uint64) *batch {
	return &batch{segment: target, end: end, batchStart: end.sequence, attempt: attempt, gatheredAt: end.offset}
}

func (b *batch) addRecords(records []core.Record) error {
	for _, record := range records {
		if err := b.add(frameRecord, record.Kind, record.Data); err != nil {
			return err
		}
	}
	return nil
}

// add writes a frame, perhaps later.
func (b *batch) add(frame frameType, kind uint8, payload []byte) error {
	header := frameHeader{
		Type:            frame,
		Kind:            kind,
		Generation:      b.end.generation,
		Sequence:        b.end.sequence,
		BatchStart:      b.batchStart,
		Attempt:         b.attempt,
		PreviousAttempt: b.end.attempt,
	}
	header.sumPayload(payload)
	b.gathered = header.append(b.gathered)
	b.end.advance(header)
	if len(payload) >= largePayload {
		return b.writeThrough(payload)
	}
	b.gathered = append(b.gathered, payload...)
	if len(b.gathered) >= writeBufferBytes {
		return b.flush()
	}
	return nil
}

func (b *batch) writeThrough(payload []byte) error {
	if err := b.flush(); err != nil {
		return err
	}
	if err := b.segment.write(payload, b.gatheredAt); err != nil {
		return err
	}
	b.gatheredAt += int64(len(payload))
	return nil
}

func (b *batch) flush() error {
	if len(b.gathered) == 0 {
		return nil
	}
	if err := b.segment.write(b.gathered, b.gatheredAt); err != nil {
		return err
	}
	b.gatheredAt += int64(len(b.gathered))
	b.gathered = b.gathered[:0]
	return nil
}

// finish writes what is left and makes the batch durable.
func (b *batch) finish() error {
	if err := b.flush(); err != nil {
		return err
	}
	return b.segment.sync()
}
