package protocol

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"unicode/utf8"
)

// The letters of frames: to servers a request (R) and its abandoning (A), health checks both ways
// (G, T with load), from servers a reply (Y) and a refusal of the connection (N).
const (
	FrameRequest = 'R'
	FrameAbandon = 'A'
	FrameAlive   = 'G'
	FrameLoad    = 'T'
	FrameReply   = 'Y'
	FrameError   = 'N'
)

// MaxFrame bounds what a server may send: a value as long as a body, and its line.
const MaxFrame = MaxBody + 1<<10

// FrameSplitter splits what a server sends into frames. The bytes of an incomplete frame are kept
// in storage that the caller gives.
type FrameSplitter struct{ partial []byte }

// Incomplete tells whether it still needs its storage.
func (f *FrameSplitter) Incomplete() bool { return len(f.partial) > 0 }

// SetStorage gives the storage, MaxFrame and 4 bytes at least, or takes it back with nil.
func (f *FrameSplitter) SetStorage(buf []byte) (was []byte) {
	was, f.partial = f.partial, buf[:0]
	return was
}

// MoveStorage has it go on in other storage, as long as the one before.
func (f *FrameSplitter) MoveStorage(buf []byte) { f.partial = append(buf[:0], f.partial...) }

// HasStorage tells whether storage was given.
func (f *FrameSplitter) HasStorage() bool { return cap(f.partial) > 0 }

// Feed gives each complete frame to each, by its letter; the rest of a frame holds until that
// returns.
func (f *FrameSplitter) Feed(b []byte, each func(letter byte, rest []byte) error) error {
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
			return newError(400, "a frame of a false length")
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

// ReplyStatus tells how an attempt ended at its server.
type ReplyStatus uint8

// The ends of an attempt.
const (
	ReplyOK ReplyStatus = iota
	ReplyError
	ReplyRejected
)

// ReadReply reads the rest of a frame Y.
func ReadReply(rest []byte) (id []byte, end ReplyStatus, report, value []byte, err error) {
	line, value, found := bytes.Cut(rest, []byte("\n"))
	words := bytes.SplitN(line, []byte(" "), 4) // whatever follows the third space is the report, sound or not
	if !found || len(words) != 4 || len(words[0]) == 0 {
		return nil, 0, nil, nil, newError(400, "a reply is not understood")
	}
	switch string(words[1]) {
	case "OK":
		end = ReplyOK
	case "ERROR":
		end = ReplyError
	case "REJECTED":
		end = ReplyRejected
	default:
		return nil, 0, nil, nil, newError(400, "a reply is not understood")
	}
	if end != ReplyOK {
		return words[0], end, words[3], value, nil
	}
	if _, err := strconv.ParseUint(string(words[2]), 10, 64); err != nil {
		return nil, 0, nil, nil, newError(400, "a reply's score is no number")
	}
	// A value goes into a client's JSON as text: what is none was spoilt on its way, and no client
	// could read it.
	if !utf8.Valid(value) || bytes.ContainsFunc(value, func(c rune) bool { return c < ' ' || c == 127 }) {
		return nil, 0, nil, nil, newError(400, "a value is no text")
	}
	return words[0], end, words[3], value, nil
}

// ReadReport reads a load report; none is written as one dash.
func ReadReport(report []byte, each func(name []byte, value float64)) error {
	if string(report) == "-" {
		return nil
	}
	for pair := range bytes.SplitSeq(report, []byte(",")) {
		name, value, found := bytes.Cut(pair, []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if !found || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return newError(400, "a report is not understood")
		}
		each(name, v)
	}
	return nil
}

// BeginRequestFrame begins a frame, AppendShardRequest adds a shard request, EndFrame states its
// length; from is where the frame began. mark is the client's idempotency key, or empty: servers
// drop a second run by it, so it goes with every attempt of the shard request.
func BeginRequestFrame(dst []byte) []byte { return append(dst, 0, 0, 0, 0, FrameRequest) }

// AppendShardRequest appends one attempt to a request frame: its id and shard, the milliseconds
// that are left (at least 1), an optional mark and the text of the search.
func AppendShardRequest(dst []byte, id string, shard int, wait float64, mark, text []byte) []byte {
	dst = append(append(dst, id...), ' ')
	dst = append(strconv.AppendInt(dst, int64(shard), 10), " d="...)
	if dst = strconv.AppendInt(dst, int64(max(wait, 1)), 10); len(mark) > 0 {
		dst = append(append(dst, ",k="...), mark...)
	}
	dst = append(dst, ' ')
	dst = append(strconv.AppendInt(dst, int64(len(text)), 10), '\n')
	return append(dst, text...)
}

// EndFrame writes the length of a frame that began at from into its first four bytes.
func EndFrame(dst []byte, from int) []byte {
	binary.LittleEndian.PutUint32(dst[from:], uint32(len(dst)-from-4))
	return dst
}

// AppendShortFrame writes a frame with few words or none: a probe, or the id of an attempt that is
// abandoned.
func AppendShortFrame(dst []byte, letter byte, rest string) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(1+len(rest)))
	return append(append(dst, letter), rest...)
}
