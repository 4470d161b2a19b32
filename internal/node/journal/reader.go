package journal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"kestrelspread/internal/node/core"
)

// readBufferBytes is how much of a segment is read at a time.
const readBufferBytes = 64 << 10

// generation is what one segment holds.
type generation struct {
	start   startPayload
	records []core.Record
	end     position // behind the last sound frame
	// checkpointEnd is the offset behind the checkpoint, where it is complete.
	checkpointEnd int64
	// lastBatchOffset is the offset of the first frame that was written together with the last one: those before it had been
	// durable by then.
	lastBatchOffset int64
}

// position is a place in a generation: where its next frame goes.
type position struct {
	generation uint64
	offset     int64
	sequence   uint64 // of the next frame
	attempt    uint64 // of the frame before
}

// complete reports whether the whole checkpoint was read.
func (g *generation) complete() bool {
	return g.end.sequence > uint64(g.start.Records)
}

// readGeneration reads the frames of a segment of size bytes up to the first that is not sound. It returns nil where
// there is no sound start frame, and an error only where the source can't be read.
func readGeneration(source io.ReaderAt, size int64) (*generation, error) {
	frames := &frameReader{source: bufio.NewReaderSize(io.NewSectionReader(source, 0, size), readBufferBytes), left: size}
	header, payload, err := frames.next()
	if err != nil || payload == nil {
		return nil, err
	}
	start, sound := decodeStart(payload)
	if !sound || header.Type != frameStart || header.Sequence != 0 {
		return nil, nil
	}
	read := &generation{start: start}
	read.advance(header)
	for {
		header, payload, err := frames.next()
		if err != nil {
			return nil, err
		}
		if payload == nil || !read.end.isFollowedBy(header) {
			return read, nil
		}
		read.records = append(read.records, core.Record{Kind: header.Kind, Data: payload})
		read.advance(header)
	}
}

// isFollowedBy reports whether a frame is the one that was written to follow this position.
func (p *position) isFollowedBy(header frameHeader) bool {
	return header.Type == frameRecord &&
		header.Generation == p.generation &&
		header.Sequence == p.sequence &&
		header.PreviousAttempt == p.attempt
}

// advance takes a frame as read.
func (g *generation) advance(header frameHeader) {
	if header.BatchStart == header.Sequence {
		g.lastBatchOffset = g.end.offset
	}
	g.end.advance(header)
	if header.Sequence == uint64(g.start.Records) {
		g.checkpointEnd = g.end.offset
	}
}

// advance moves behind a frame.
func (p *position) advance(header frameHeader) {
	p.generation = header.Generation
	p.offset += headerBytes + int64(header.PayloadLength)
	p.sequence = header.Sequence + 1
	p.attempt = header.Attempt
}

// frameReader reads frames one after another.
type frameReader struct {
	source *bufio.Reader
	left   int64 // bytes of the segment not yet read
}

// next reads a frame; its payload is nil where the bytes are no sound frame, and not nil where they are.
func (r *frameReader) next() (frameHeader, []byte, error) {
	if r.left < headerBytes {
		return frameHeader{}, nil, nil
	}
	var encoded [headerBytes]byte
	if _, err := io.ReadFull(r.source, encoded[:]); err != nil {
		return frameHeader{}, nil, readFailure(err)
	}
	r.left -= headerBytes
	header, sound := decodeHeader(encoded[:])
	if !sound || int64(header.PayloadLength) > r.left {
		return frameHeader{}, nil, nil
	}
	payload := make([]byte, header.PayloadLength)
	if _, err := io.ReadFull(r.source, payload); err != nil {
		return frameHeader{}, nil, readFailure(err)
	}
	r.left -= int64(header.PayloadLength)
	if !header.matches(payload) {
		return frameHeader{}, nil, nil
	}
	return header, payload, nil
}

// readFailure drops the error of a segment that is shorter than it was said to be.
func readFailure(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// damageSearch looks for frames that prove that something durable can't be read any more.
type damageSearch struct {
	// Frames of generations from firstGeneration to lastGeneration count...
	firstGeneration, lastGeneration uint64
	// ...if what was durable when they were written reaches beyond the frame of this sequence, which is missing.
	missingSequence uint64
}

// countFrames counts such frames from an offset on, and gives the highest generation among them.
func (l damageSearch) countFrames(source io.ReaderAt, from, size int64) (frames int, highest uint64, err error) {
	encodedMagic := binary.LittleEndian.AppendUint32(nil, magic)
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
		for at := 0; ; at++ {
			found := bytes.Index(read[at:], encodedMagic)
			if found < 0 || at+found+headerBytes > len(read) {
				break
			}
			at += found
			if header, sound := decodeHeader(read[at:]); sound && l.provesDamage(header) {
				frames++
				highest = max(highest, header.Generation)
			}
		}
		from += int64(len(read)) - headerBytes + 1 // a header that the chunk's end cuts is read whole next time
	}
	return frames, highest, nil
}

func (l damageSearch) provesDamage(header frameHeader) bool {
	return header.Generation >= l.firstGeneration && header.Generation <= l.lastGeneration &&
		header.BatchStart > l.missingSequence
}
