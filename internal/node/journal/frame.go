package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// frameType is the type of a frame's payload.
type frameType uint8

const (
	frameStart  frameType = 1 // begins a generation; its payload is a startPayload
	frameRecord frameType = 2 // one core.Record
)

// The layout of a frame's header, in little endian:
//
//	 0  magic (4)         16  generation (8)     48  previous attempt (8)
//	 4  type (1)          24  sequence (8)       56  checksum of bytes 0 to 55 (4)
//	 5  record kind (1)   32  batch start (8)    60  zero (4)
//	 6  zero (2)          40  attempt (8)
//	 8  payload length (4)
//	12  payload checksum (4)
const (
	headerBytes = 64
	magic       = 0x314a534b // "KSJ1"

	typeOffset            = 4
	kindOffset            = 5
	payloadLengthOffset   = 8
	payloadSumOffset      = 12
	generationOffset      = 16
	sequenceOffset        = 24
	batchStartOffset      = 32
	attemptOffset         = 40
	previousAttemptOffset = 48
	headerSumOffset       = 56
	headerPaddingOffset   = 60
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameHeader is the header of a frame.
type frameHeader struct {
	Type          frameType
	Kind          uint8  // of the record
	PayloadLength uint32 // bytes
	PayloadSum    uint32
	Generation    uint64
	// Sequence numbers the frames of a generation, from 0 for the start frame.
	Sequence uint64
	// BatchStart is the sequence number of the first frame of the same batch. The frames before it
	// were durable when this one was written.
	BatchStart uint64
	// Attempt is a random number shared by the frames written between one start of the process, or
	// failed write, and the next one.
	Attempt uint64
	// PreviousAttempt is the Attempt of the previous frame; 0 in a start frame.
	PreviousAttempt uint64
}

// sumPayload sets the length and checksum of the payload.
func (h *frameHeader) sumPayload(payload []byte) {
	h.PayloadLength = uint32(len(payload))
	h.PayloadSum = crc32.Checksum(payload, castagnoli)
}

// matches reports whether the payload is the one that the header was written for.
func (h *frameHeader) matches(payload []byte) bool {
	return crc32.Checksum(payload, castagnoli) == h.PayloadSum
}

// appendTo appends the encoded header to b.
func (h *frameHeader) appendTo(b []byte) []byte {
	begin := len(b)
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = append(b, byte(h.Type), h.Kind, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, h.PayloadLength)
	b = binary.LittleEndian.AppendUint32(b, h.PayloadSum)
	b = binary.LittleEndian.AppendUint64(b, h.Generation)
	b = binary.LittleEndian.AppendUint64(b, h.Sequence)
	b = binary.LittleEndian.AppendUint64(b, h.BatchStart)
	b = binary.LittleEndian.AppendUint64(b, h.Attempt)
	b = binary.LittleEndian.AppendUint64(b, h.PreviousAttempt)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[begin:], castagnoli))
	return binary.LittleEndian.AppendUint32(b, 0)
}

// decodeHeader decodes a header; false: the bytes aren't a sound one.
func decodeHeader(b []byte) (frameHeader, bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != magic {
		return frameHeader{}, false
	}
	sum := binary.LittleEndian.Uint32(b[headerSumOffset:])
	padding := binary.LittleEndian.Uint32(b[headerPaddingOffset:])
	if crc32.Checksum(b[:headerSumOffset], castagnoli) != sum || padding != 0 {
		return frameHeader{}, false
	}
	header := frameHeader{
		Type:            frameType(b[typeOffset]),
		Kind:            b[kindOffset],
		PayloadLength:   binary.LittleEndian.Uint32(b[payloadLengthOffset:]),
		PayloadSum:      binary.LittleEndian.Uint32(b[payloadSumOffset:]),
		Generation:      binary.LittleEndian.Uint64(b[generationOffset:]),
		Sequence:        binary.LittleEndian.Uint64(b[sequenceOffset:]),
		BatchStart:      binary.LittleEndian.Uint64(b[batchStartOffset:]),
		Attempt:         binary.LittleEndian.Uint64(b[attemptOffset:]),
		PreviousAttempt: binary.LittleEndian.Uint64(b[previousAttemptOffset:]),
	}
	return header, header.Type == frameStart || header.Type == frameRecord
}

// startPayload is the payload of a start frame.
type startPayload struct {
	Identity string // of the disk
	Records  uint32 // of the checkpoint that follows
}

// identityBytes is the length of an identity: 16 random bytes in hex.
const identityBytes = 32

// startPayloadBytes is the length of an encoded startPayload: the number of records (4), then the
// identity.
const startPayloadBytes = recordCountBytes + identityBytes

const recordCountBytes = 4

// encode returns the payload's bytes.
func (p startPayload) encode() []byte {
	b := binary.LittleEndian.AppendUint32(nil, p.Records)
	return append(b, p.Identity...)
}

// decodeStart decodes the payload of a start frame; false: the bytes aren't one.
func decodeStart(b []byte) (startPayload, bool) {
	if len(b) != startPayloadBytes {
		return startPayload{}, false
	}
	return startPayload{Records: binary.LittleEndian.Uint32(b), Identity: string(b[recordCountBytes:])}, true
}
