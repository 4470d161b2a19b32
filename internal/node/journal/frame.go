package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// frameType tells what a frame's payload is.
type frameType uint8

const (
	frameStart  frameType = 1 // begins a generation; its payload is a startPayload
	frameRecord frameType = 2 // one core.Record
)

// The layout of a frame's header, in little endian:
//
//	 0  magic (4)         16  generation (8)     48  attempt before (8)
//	 4  type (1)          24  sequence (8)       56  checksum of bytes 0 to 55 (4)
//	 5  record kind (1)   32  batch start (8)    60  zero (4)
//	 6  zero (2)          40  attempt (8)
//	 8  payload length (4)
//	12  payload checksum (4)
const (
	headerBytes    = 64
	headerSumStart = 56
	headerSumEnd   = 60
	magic          = 0x314a534b // "KSJ1"
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
	// BatchStart is the sequence of the first frame written together with this one. Frames before it were durable.
	BatchStart uint64
	// Attempt marks the frames that were written in one go between a start of the process, or a failed write, and
	// the next one. PreviousAttempt is that of the frame before, 0 for a start frame.
	Attempt         uint64
	PreviousAttempt uint64
}

// sumPayload completes the header for a payload.
func (h *frameHeader) sumPayload(payload []byte) {
	h.PayloadLength = uint32(len(payload))
	h.PayloadSum = crc32.Checksum(payload, castagnoli)
}

// matches reports whether the payload is the one that the header was written for.
func (h *frameHeader) matches(payload []byte) bool {
	return crc32.Checksum(payload, castagnoli) == h.PayloadSum
}

// append encodes the header behind b.
func (h *frameHeader) append(b []byte) []byte {
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

// decodeHeader reads a header; false where the bytes are none.
func decodeHeader(b []byte) (frameHeader, bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != magic {
		return frameHeader{}, false
	}
	sum := binary.LittleEndian.Uint32(b[headerSumStart:])
	if crc32.Checksum(b[:headerSumStart], castagnoli) != sum || binary.LittleEndian.Uint32(b[headerSumEnd:]) != 0 {
		return frameHeader{}, false
	}
	header := frameHeader{
		Type:            frameType(b[4]),
		Kind:            b[5],
		PayloadLength:   binary.LittleEndian.Uint32(b[8:]),
		PayloadSum:      binary.LittleEndian.Uint32(b[12:]),
		Generation:      binary.LittleEndian.Uint64(b[16:]),
		Sequence:        binary.LittleEndian.Uint64(b[24:]),
		BatchStart:      binary.LittleEndian.Uint64(b[32:]),
		Attempt:         binary.LittleEndian.Uint64(b[40:]),
		PreviousAttempt: binary.LittleEndian.Uint64(b[48:]),
	}
	return header, header.Type == frameStart || header.Type == frameRecord
}

// startPayload is what a start frame says of its generation.
type startPayload struct {
	Identity string // of the disk
	Records  uint32 // of the checkpoint that follows
}

// identityBytes is the length of an identity: 16 random bytes in hex.
const identityBytes = 32

// startPayloadBytes is the length of an encoded startPayload.
const startPayloadBytes = 4 + identityBytes

func (p startPayload) encode() []byte {
	b := binary.LittleEndian.AppendUint32(nil, p.Records)
	return append(b, p.Identity...)
}

func decodeStart(b []byte) (startPayload, bool) {
	if len(b) != startPayloadBytes {
		return startPayload{}, false
	}
	return startPayload{Records: binary.LittleEndian.Uint32(b), Identity: string(b[4:])}, true
}
