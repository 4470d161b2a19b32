package protocol

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"unicode/utf8"
)

// The types of frames, as the first byte after the length states them.
const (
	FrameRequest           = 'R' // to servers: a batch of shard requests
	FrameCancel            = 'A' // to servers: cancels an attempt
	FrameHealthCheck       = 'G' // both ways: health check and its answer
	FrameLoadReport        = 'T' // both ways: health check that asks for a load report, and its answer
	FrameReply             = 'Y' // from servers: the result of an attempt
	FrameConnectionRefused = 'N' // from servers: the connection is refused
)

// MaxFrame is the longest frame that a server may send, in bytes without the length prefix: a value as
// long as a body, and the line before it.
const MaxFrame = MaxBody + 1<<10

// FrameSplitter splits the bytes from a server into frames. It keeps the bytes of an incomplete frame in
// a buffer that the caller lends.
type FrameSplitter struct{ partial []byte }

// HasPartial reports whether bytes of an incomplete frame are buffered, so that the buffer is still
// needed.
func (f *FrameSplitter) HasPartial() bool { return len(f.partial) > 0 }

// SetBuffer makes the splitter use buf, which has room for at least MaxFrame + 4 bytes, or no buffer if
// buf is nil, and returns the previous buffer.
func (f *FrameSplitter) SetBuffer(buf []byte) (previous []byte) {
	previous, f.partial = f.partial, buf[:0]
	return previous
}

// MoveToBuffer copies the buffered bytes to buf, which has the size of the previous buffer, and goes on
// there.
func (f *FrameSplitter) MoveToBuffer(buf []byte) { f.partial = append(buf[:0], f.partial...) }

// HasBuffer reports whether the splitter has a buffer.
func (f *FrameSplitter) HasBuffer() bool { return cap(f.partial) > 0 }

// Feed calls each with the type and the payload of every complete frame, and stops at the first error.
// The payload is valid until each returns.
func (f *FrameSplitter) Feed(b []byte, each func(frameType byte, payload []byte) error) error {
	for len(b) > 0 || len(f.partial) >= 4 {
		have := f.partial
		if len(have) == 0 {
			have = b
		} else if len(have) < 4 {
			n := min(4-len(have), len(b))
			f.partial, b = append(f.partial, b[:n]...), b[n:]
			have = f.partial
		}
		if len(have) < 4 {
			if len(f.partial) == 0 {
				f.partial = append(f.partial, b...)
			}
			return nil
		}
		size := binary.LittleEndian.Uint32(have)
		if size == 0 || size > MaxFrame {
			return newRequestError(400, "invalid frame length")
		}
		end := int(size) + 4
		if len(f.partial) == 0 && len(b) >= end {
			frame := b[4:end]
			b = b[end:]
			if err := each(frame[0], frame[1:]); err != nil {
				return err
			}
			continue
		}
		n := min(end-len(f.partial), len(b))
		f.partial, b = append(f.partial, b[:n]...), b[n:]
		if len(f.partial) < end {
			return nil
		}
		frame := f.partial[4:end]
		f.partial = f.partial[:0]
		if err := each(frame[0], frame[1:]); err != nil {
			return err
		}
	}
	return nil
}

// ReplyStatus is the result of an attempt at its server.
type ReplyStatus uint8

// Values of ReplyStatus.
const (
	ReplyOK       ReplyStatus = iota
	ReplyError                // the attempt may have run
	ReplyRejected             // the attempt never ran
)

// ParseReply parses the payload of a reply frame: the id of the attempt, its result, the load report, which
// is not validated, and the value.
func ParseReply(payload []byte) (id []byte, status ReplyStatus, report, value []byte, err error) {
	line, value, found := bytes.Cut(payload, []byte("\n"))
	words := bytes.SplitN(line, []byte(" "), 4) // all after the third space is the report, valid or not
	if !found || len(words) != 4 || len(words[0]) == 0 {
		return nil, 0, nil, nil, newRequestError(400, "reply has no valid first line")
	}
	switch string(words[1]) {
	case "OK":
		status = ReplyOK
	case "ERROR":
		status = ReplyError
	case "REJECTED":
		status = ReplyRejected
	default:
		return nil, 0, nil, nil, newRequestError(400, "reply has an unknown status")
	}
	if status != ReplyOK {
		return words[0], status, words[3], value, nil
	}
	if _, err := strconv.ParseUint(string(words[2]), 10, 64); err != nil {
		return nil, 0, nil, nil, newRequestError(400, "score of a reply is not a number")
	}
	// A value becomes a JSON string in the answer to the client. One that is not valid text was corrupted
	// in transit, and no client could parse it.
	if !utf8.Valid(value) || bytes.ContainsFunc(value, func(c rune) bool { return c < ' ' || c == 127 }) {
		return nil, 0, nil, nil, newRequestError(400, "value of a reply is not valid text")
	}
	return words[0], status, words[3], value, nil
}

// ParseLoadReport parses a load report, comma-separated pairs of a name and a number, and calls each for every
// pair. A single dash stands for no report.
func ParseLoadReport(report []byte, each func(name []byte, value float64)) error {
	if string(report) == "-" {
		return nil
	}
	for pair := range bytes.SplitSeq(report, []byte(",")) {
		name, value, found := bytes.Cut(pair, []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if !found || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return newRequestError(400, "invalid load report")
		}
		each(name, v)
	}
	return nil
}

// BeginRequestFrame appends the start of a request frame. AppendShardRequest then adds attempts, and
// EndFrame completes the frame.
func BeginRequestFrame(dst []byte) []byte { return append(dst, 0, 0, 0, 0, FrameRequest) }

// AppendShardRequest appends one attempt to a request frame: its id and shard, the time that is left in
// milliseconds (at least 1), an optional idempotency key and the text of the search. idempotencyKey is
// the client's, or empty; servers use it to drop a second run, so every attempt of a shard request
// carries it.
func AppendShardRequest(dst []byte, id string, shard int, timeLeft float64, idempotencyKey, text []byte) []byte {
	dst = append(append(dst, id...), ' ')
	dst = append(strconv.AppendInt(dst, int64(shard), 10), " d="...)
	if dst = strconv.AppendInt(dst, int64(max(timeLeft, 1)), 10); len(idempotencyKey) > 0 {
		dst = append(append(dst, ",k="...), idempotencyKey...)
	}
	dst = append(dst, ' ')
	dst = append(strconv.AppendInt(dst, int64(len(text)), 10), '\n')
	return append(dst, text...)
}

// EndFrame writes the length of the frame that starts at offset start of dst into its first four bytes.
func EndFrame(dst []byte, start int) []byte {
	binary.LittleEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}

// AppendFrame appends a frame with this type and payload, such as a health check or a cancellation
// with the id of the attempt.
func AppendFrame(dst []byte, frameType byte, payload string) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(1+len(payload)))
	return append(append(dst, frameType), payload...)
}
