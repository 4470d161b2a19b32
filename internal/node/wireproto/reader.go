package wireproto

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

const (
	// readBufferSize is enough for a usual frame, in bytes. Every connection has one such buffer.
	readBufferSize = 4 << 10
	// initialBodySize is allocated at first for a larger frame, as its claimed length may be false.
	initialBodySize = 64 << 10
	// maxRetainedBodySize bounds the buffer that a Reader retains between frames.
	maxRetainedBodySize = 64 << 10
)

// Reader reads envelopes from a byte stream. It is not safe for concurrent use.
type Reader struct {
	source    *bufio.Reader
	body      []byte
	frameSize int
}

// NewReader returns a Reader of the stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(stream, readBufferSize)}
}

// Reset makes the Reader read another stream. It keeps its buffer.
func (r *Reader) Reset(stream io.Reader) {
	r.source.Reset(stream)
}

// Next returns the next envelope. It shares no memory with the Reader.
//
// The error is io.EOF where the stream ended between two frames, the stream's own error where it
// failed there, else one of the types of this package. Where Skippable(err) holds, Next may be
// called again.
func (r *Reader) Next() (*nodepb.Envelope, error) {
	r.frameSize = 0
	length, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	body, err := r.readBody(length)
	if err != nil {
		return nil, fmt.Errorf("%w: within the %d bytes of an envelope: %w", ErrTruncated, length, err)
	}
	r.frameSize = HeaderSize + length
	return decode(body)
}

// FrameSize returns the size in bytes, header included, of the frame that the last call of Next read; 0
// where it didn't read a complete one.
func (r *Reader) FrameSize() int { return r.frameSize }

// Buffered returns the number of bytes that can be read without waiting for the stream.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// readHeader reads a header and returns the length of the envelope that follows.
func (r *Reader) readHeader() (int, error) {
	header, err := r.source.Peek(HeaderSize)
	if err != nil {
		if len(header) == 0 {
			return 0, err
		}
		return 0, fmt.Errorf("%w: within a header: %w", ErrTruncated, err)
	}
	if header[magicOffset] != frameMagic || header[versionOffset] != frameVersion {
		return 0, fmt.Errorf("%w: header % x", ErrNotAFrame, header)
	}
	length := binary.BigEndian.Uint32(header)
	if length > MaxFrame {
		return 0, fmt.Errorf("%w: an envelope of %d bytes, the bound is %d", ErrOversized, length, MaxFrame)
	}
	_, err = r.source.Discard(HeaderSize)
	return int(length), err
}

// readBody returns the next length bytes; they are valid until the next read.
func (r *Reader) readBody(length int) ([]byte, error) {
	if length <= r.source.Size() {
		body, err := r.source.Peek(length)
		if err != nil {
			return nil, err
		}
		_, err = r.source.Discard(length)
		return body, err
	}
	return r.readLargeBody(length)
}

// readLargeBody reads a body that exceeds the buffer. It allocates as bytes arrive.
func (r *Reader) readLargeBody(length int) ([]byte, error) {
	body := r.body[:0]
	r.body = nil
	for len(body) < length {
		body = growTowards(body, length)
		filled := len(body)
		body = body[:cap(body)]
		if len(body) > length {
			body = body[:length]
		}
		read, err := io.ReadFull(r.source, body[filled:])
		body = body[:filled+read]
		if err != nil {
			return nil, err
		}
	}
	if cap(body) <= maxRetainedBodySize {
		r.body = body[:0]
	}
	return body, nil
}

// growTowards returns body with spare capacity: initialBodySize at first, then twice as much as before,
// at most length.
func growTowards(body []byte, length int) []byte {
	if len(body) < cap(body) {
		return body
	}
	size := min(length, max(initialBodySize, 2*cap(body)))
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown
}

// decode decodes an envelope and checks its protocol and that it has a body.
func decode(body []byte) (*nodepb.Envelope, error) {
	envelope := new(nodepb.Envelope)
	err := proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, envelope)
	if err != nil {
		return nil, fmt.Errorf("%w: an envelope of %d bytes: %w", ErrUndecodable, len(body), err)
	}
	if envelope.GetProtocol() != Protocol {
		return nil, fmt.Errorf("%w: protocol %d, this node speaks %d", ErrOtherProtocol, envelope.GetProtocol(), Protocol)
	}
	if envelope.GetBody() == nil {
		return nil, fmt.Errorf("%w: an envelope without a known body", ErrUndecodable)
	}
	return envelope, nil
}
