package journal

import "kestrelspread/internal/node/core"

// largePayloadBytes is the length from which a payload is written from the caller's memory, without
// a copy.
const largePayloadBytes = 16 << 10

// batch writes frames that one sync makes durable.
type batch struct {
	segment      *segment
	end          position // where the next frame goes
	batchStart   uint64   // sequence number of the batch's first frame
	attempt      uint64   // number of this attempt to write
	buffered     []byte   // bytes that are not yet written
	bufferOffset int64    // their offset in the segment
}

// framesBytes is the space that records take on the disk, in bytes.
func framesBytes(records []core.Record) int64 {
	total := int64(0)
	for _, record := range records {
		total += headerBytes + int64(len(record.Data))
	}
	return total
}

// newBatch begins a batch at a position.
func newBatch(target *segment, end position, attempt uint64) *batch {
	return &batch{segment: target, end: end, batchStart: end.sequence, attempt: attempt, bufferOffset: end.offset}
}

// appendRecords adds a frame for each record.
func (b *batch) appendRecords(records []core.Record) error {
	for _, record := range records {
		if err := b.appendFrame(frameRecord, record.Kind, record.Data); err != nil {
			return err
		}
	}
	return nil
}

// appendFrame adds a frame. It is buffered, and written at the latest by finish.
func (b *batch) appendFrame(frame frameType, kind uint8, payload []byte) error {
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
	b.buffered = header.appendTo(b.buffered)
	b.end.advance(header)
	if len(payload) >= largePayloadBytes {
		return b.writeThrough(payload)
	}
	b.buffered = append(b.buffered, payload...)
	if len(b.buffered) >= writeBufferBytes {
		return b.flush()
	}
	return nil
}

// writeThrough writes the buffer, and then a payload from the caller's memory.
func (b *batch) writeThrough(payload []byte) error {
	if err := b.flush(); err != nil {
		return err
	}
	if err := b.segment.write(payload, b.bufferOffset); err != nil {
		return err
	}
	b.bufferOffset += int64(len(payload))
	return nil
}

// flush writes the buffer.
func (b *batch) flush() error {
	if len(b.buffered) == 0 {
		return nil
	}
	if err := b.segment.write(b.buffered, b.bufferOffset); err != nil {
		return err
	}
	b.bufferOffset += int64(len(b.buffered))
	b.buffered = b.buffered[:0]
	return nil
}

// finish writes the rest of the buffer and makes the batch durable.
func (b *batch) finish() error {
	if err := b.flush(); err != nil {
		return err
	}
	return b.segment.sync()
}
