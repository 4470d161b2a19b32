package journal

import (
	"bufio"
	"errors"
	"io"

	"kestrelspread/internal/node/core"
)

// readBufferBytes is how much of a segment is read at a time.
const readBufferBytes = 64 << 10

// generation is the contents of one segment: a checkpoint and the records appended to it.
type generation struct {
	start   startPayload
	records []core.Record
	end     position // after the last sound frame
	// checkpointEnd is the offset after the checkpoint, where it is complete.
	checkpointEnd int64
	// lastBatchOffset is the offset of the first frame that was written in one batch with the last
	// one: the frames before it had been durable by then.
	lastBatchOffset int64
}

// position is where the next frame of a generation goes.
type position struct {
	generation uint64
	offset     int64
	sequence   uint64 // of the next frame
	attempt    uint64 // of the previous frame
}

// complete reports whether all records of the checkpoint were read.
func (g *generation) complete() bool {
	return g.end.sequence > uint64(g.start.Records)
}

// readGeneration reads the frames of a segment of size bytes up to the first that is not sound. It
// returns nil where there is no sound start frame, and an error only where the source can't be
// read.
func readGeneration(source io.ReaderAt, size int64) (*generation, error) {
	section := io.NewSectionReader(source, 0, size)
	frames := &frameReader{source: bufio.NewReaderSize(section, readBufferBytes), left: size}
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

// isFollowedBy reports whether a frame was written at this position, after the frames before it. It
// is not, if it is a remain of an earlier pass through the ring or of an abandoned write.
func (p *position) isFollowedBy(header frameHeader) bool {
	return header.Type == frameRecord &&
		header.Generation == p.generation &&
		header.Sequence == p.sequence &&
		header.PreviousAttempt == p.attempt
}

// advance adds a frame that was read.
func (g *generation) advance(header frameHeader) {
	if header.BatchStart == header.Sequence {
		g.lastBatchOffset = g.end.offset
	}
	g.end.advance(header)
	if header.Sequence == uint64(g.start.Records) {
		g.checkpointEnd = g.end.offset
	}
}

// advance moves the position after a frame.
func (p *position) advance(header frameHeader) {
	p.generation = header.Generation
	p.offset += headerBytes + int64(header.PayloadLength)
	p.sequence = header.Sequence + 1
	p.attempt = header.Attempt
}

// frameReader reads the frames of a segment in order.
type frameReader struct {
	source *bufio.Reader
	left   int64 // bytes of the segment not yet read
}

// next reads a frame. The payload is nil if, and only if, the bytes aren't a sound frame; an empty
// payload is not nil.
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

// readFailure drops the error of a segment that is shorter than its stated size: its frames end
// there.
func readFailure(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
