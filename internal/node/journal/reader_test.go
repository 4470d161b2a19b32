package journal

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// encoded builds the bytes of a segment frame by frame.
type encoded struct {
	bytes  []byte
	header frameHeader // of the next frame
}

// newEncoded begins a generation with a checkpoint of some records to come.
func newEncoded(generation, attempt uint64, records int) *encoded {
	e := &encoded{header: frameHeader{Type: frameStart, Generation: generation, Attempt: attempt}}
	e.add(startPayload{Identity: "0123456789abcdef0123456789abcdef", Records: uint32(records)}.encode())
	e.header.Type = frameRecord
	return e
}

// add appends a frame with the current header, and sets the header of the next one.
func (e *encoded) add(payload []byte) *encoded {
	e.header.sumPayload(payload)
	e.bytes = e.header.appendTo(e.bytes)
	e.bytes = append(e.bytes, payload...)
	e.header.Sequence++
	e.header.PreviousAttempt = e.header.Attempt
	return e
}

func read(t *testing.T, content []byte) *generation {
	t.Helper()
	found, err := readGeneration(bytes.NewReader(content), int64(len(content)))
	assert.NilError(t, err)
	return found
}

func TestHeaderRoundTripAndCorruption(t *testing.T) {
	header := frameHeader{
		Type: frameRecord, Kind: 250, PayloadLength: 7, PayloadSum: 9, Generation: 1 << 60, Sequence: 11,
		BatchStart: 10, Attempt: 1 << 63, PreviousAttempt: 1<<64 - 1,
	}
	b := header.appendTo([]byte("before"))[len("before"):]
	assert.Equal(t, len(b), headerBytes)
	decoded, sound := decodeHeader(b)
	assert.Assert(t, sound)
	assert.Equal(t, decoded, header)
	for i := range b {
		b[i] ^= 1
		_, sound := decodeHeader(b)
		assert.Assert(t, !sound, "byte %d", i)
		b[i] ^= 1
	}
	_, sound = decodeHeader(b[:headerBytes-1])
	assert.Assert(t, !sound)
}

// TestReaderStopsAtFrameThatDoesNotFollow: each differs from the frame that is due in one respect.
func TestReaderStopsAtFrameThatDoesNotFollow(t *testing.T) {
	cases := map[string]func(*frameHeader){
		"type":             func(h *frameHeader) { h.Type = frameStart },
		"generation":       func(h *frameHeader) { h.Generation-- },
		"sequence ahead":   func(h *frameHeader) { h.Sequence++ },
		"sequence behind":  func(h *frameHeader) { h.Sequence-- },
		"attempt before":   func(h *frameHeader) { h.PreviousAttempt++ },
		"nothing but this": nil,
	}
	for name, change := range cases {
		e := newEncoded(4, 77, 1).add([]byte("s"))
		e.header.Attempt = 78
		if change != nil {
			change(&e.header)
		}
		found := read(t, e.add([]byte("a")).bytes)
		assert.Assert(t, found.complete())
		wanted := 1
		if change == nil {
			wanted = 2
		}
		assert.Equal(t, len(found.records), wanted, name)
	}
}

func TestReaderAcceptsTruncationAtEachByte(t *testing.T) {
	complete := newEncoded(4, 77, 2).add([]byte("s")).add(nil).add([]byte("abc")).bytes
	for n := range len(complete) + 1 {
		found := read(t, complete[:n])
		switch {
		case n < headerBytes+startPayloadBytes:
			assert.Assert(t, found == nil)
		default:
			assert.Assert(t, found.end.offset <= int64(n))
			assert.Equal(t, found.complete(), len(found.records) >= 2)
		}
	}
	assert.Equal(t, len(read(t, complete).records), 3)
}

func TestReaderRejectsMalformedStartFrame(t *testing.T) {
	e := &encoded{header: frameHeader{Type: frameRecord, Generation: 1}}
	assert.Assert(t, read(t, e.add(make([]byte, startPayloadBytes)).bytes) == nil)
	e = &encoded{header: frameHeader{Type: frameStart, Generation: 1}}
	assert.Assert(t, read(t, e.add(make([]byte, startPayloadBytes+1)).bytes) == nil)
	e = &encoded{header: frameHeader{Type: frameStart, Generation: 1, Sequence: 1}}
	assert.Assert(t, read(t, e.add(make([]byte, startPayloadBytes)).bytes) == nil)
}

func TestDamageSearchCountsProvingFrames(t *testing.T) {
	e := newEncoded(4, 77, 0)
	for sequence := uint64(1); sequence <= 5; sequence++ {
		e.header.BatchStart = sequence
		e.add(bytes.Repeat([]byte{byte(sequence)}, 40_000)) // longer than half a chunk of the search
	}
	size := int64(len(e.bytes))
	cases := []struct {
		search damageSearch
		frames int
	}{
		{damageSearch{firstGeneration: 4, lastGeneration: 4, missingSequence: 0}, 5},
		{damageSearch{firstGeneration: 1, lastGeneration: 9, missingSequence: 3}, 2},
		{damageSearch{firstGeneration: 4, lastGeneration: 4, missingSequence: 5}, 0},
		{damageSearch{firstGeneration: 5, lastGeneration: 9, missingSequence: 0}, 0},
	}
	for _, c := range cases {
		frames, highest, err := c.search.countFrames(bytes.NewReader(e.bytes), 0, size)
		assert.NilError(t, err)
		assert.Equal(t, frames, c.frames)
		assert.Equal(t, highest > 0, c.frames > 0)
	}
}

func FuzzReadGeneration(f *testing.F) {
	f.Add(newEncoded(4, 77, 2).add([]byte("s")).add(nil).add([]byte("abc")).bytes)
	f.Add(newEncoded(1, 1, 0).bytes)
	f.Add([]byte("KSJ1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		found := read(t, content)
		if found == nil {
			return
		}
		assert.Assert(t, found.end.offset <= int64(len(content)))
		assert.Equal(t, uint64(len(found.records))+1, found.end.sequence)
		var records []core.Record
		records = append(records, found.records...)
		assert.Equal(t, found.end.offset, headerBytes+startPayloadBytes+framesBytes(records))
		again := read(t, content[:found.end.offset])
		assert.Equal(t, len(again.records), len(found.records))
		search, from := damageSearchFor(found, nil)
		_, _, err := search.countFrames(bytes.NewReader(content), from, int64(len(content)))
		assert.NilError(t, err)
	})
}
