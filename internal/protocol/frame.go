package protocol

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"unicode/utf8"
)

// The letters of frames.
const (
	Call    = 'R'
	Abandon = 'A'
	Alive   = 'G'
	Load    = 'T'
	Reply   = 'Y'
	Unusual = 'N'
)

// MaxFrame bounds what a server may send: a value as long as a body, and its line.
const MaxFrame = MaxBody + 1<<10

// Frames cuts what a server sends into frames. Of a frame that has come in part it keeps the bytes in storage
// that the caller gives.
type Frames struct{ held []byte }

// Holding tells whether it needs its storage still.
func (f *Frames) Holding() bool { return len(f.held) > 0 }

// Store gives the storage, MaxFrame and 4 bytes at least, or takes it back with nil.
func (f *Frames) Store(buf []byte) (was []byte) {
	was, f.held = f.held, buf[:0]
	return was
}

// Move has it go on in other storage, as long as the one before.
func (f *Frames) Move(buf []byte) { f.held = append(buf[:0], f.held...) }

// Stored tells whether storage was given.
func (f *Frames) Stored() bool { return cap(f.held) > 0 }

// Feed gives each whole frame on; the rest of a frame is good until the call returns.
func (f *Frames) Feed(b []byte, each func(letter byte, rest []byte) error) error {
	for len(b) > 0 || len(f.held) >= 4 {
		have := f.held
		if len(have) == 0 {
			have = b
		} else if len(have) < 4 {
			n := min(4-len(have), len(b))
			f.held, b = append(f.held, b[:n]...), b[n:]
			have = f.held
		}
		if len(have) < 4 {
			if len(f.held) == 0 {
				f.held = append(f.held, b...)
			}
			return nil
		}
		size := binary.LittleEndian.Uint32(have)
		if size == 0 || size > MaxFrame {
			return bad(400, "a frame of a false length")
		}
		end := int(size) + 4
		if len(f.held) == 0 && len(b) >= end {
			frame := b[4:end]
			b = b[end:]
			if err := each(frame[0], frame[1:]); err != nil {
				return err
			}
			continue
		}
		n := min(end-len(f.held), len(b))
		f.held, b = append(f.held, b[:n]...), b[n:]
		if len(f.held) < end {
			return nil
		}
		frame := f.held[4:end]
		f.held = f.held[:0]
		if err := each(frame[0], frame[1:]); err != nil {
			return err
		}
	}
	return nil
}

// End tells how a sub-request ended at its server, by the value on the wire.
type End uint8

// The ends of a sub-request.
const (
	OK End = iota
	Errored
	TurnedAway
)

// ReadReply reads the rest of a frame Y.
func ReadReply(rest []byte) (id []byte, end End, report, value []byte, err error) {
	line, value, found := bytes.Cut(rest, []byte("\n"))
	words := bytes.SplitN(line, []byte(" "), 4) // whatever follows the third space is the report, sound or not
	if !found || len(words) != 4 || len(words[0]) == 0 {
		return nil, 0, nil, nil, bad(400, "a reply is not understood")
	}
	switch string(words[1]) {
	case "OK":
		end = OK
	case "ERROR":
		end = Errored
	case "REJECTED":
		end = TurnedAway
	default:
		return nil, 0, nil, nil, bad(400, "a reply is not understood")
	}
	if end != OK {
		return words[0], end, words[3], value, nil
	}
	if _, err := strconv.ParseUint(string(words[2]), 10, 64); err != nil {
		return nil, 0, nil, nil, bad(400, "a reply's score is no number")
	}
	// A value goes into a client's JSON as text: what is none was spoilt on its way, and no client could read it.
	if !utf8.Valid(value) || bytes.ContainsFunc(value, func(c rune) bool { return c < ' ' || c == 127 }) {
		return nil, 0, nil, nil, bad(400, "a value is no text")
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
			return bad(400, "a report is not understood")
		}
		each(name, v)
	}
	return nil
}

// AppendCall begins a frame, AppendPart adds a part to a call, EndFrame states the frame's length; from is
// where the frame began. mark is what its client said a repeat is known by, or empty: servers drop a repeat by it, so
// it goes with every sub-request of the part.
func AppendCall(dst []byte) []byte { return append(dst, 0, 0, 0, 0, Call) }

// AppendPart appends one sub-request to a call frame: its id and shard, the milliseconds that are left (at
// least 1), an optional mark and the text of the search.
func AppendPart(dst []byte, id string, shard int, wait float64, mark, text []byte) []byte {
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

// AppendShort writes a frame with few words or none: a probe, or the id of a part that is given up.
func AppendShort(dst []byte, letter byte, rest string) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(1+len(rest)))
	return append(append(dst, letter), rest...)
}
