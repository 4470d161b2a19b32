package grpcwire

import "encoding/binary"

// messagePrefixBytes precede each message: a flag for compression, and the length in four bytes.
const messagePrefixBytes = 5

// ScanResult is what MessageScanner.Feed has found.
type ScanResult uint8

// The results of Feed.
const (
	ScanOK           ScanResult = iota
	InvalidFlag                 // a compressed flag that gRPC doesn't define
	MessageOverLimit            // a message's length is over the limit
)

// MessageScanner follows the length-prefixed messages of a body as its bytes come, in fragments of any
// size. It keeps none of them.
type MessageScanner struct {
	CompleteMessages int // so far
	prefix           [messagePrefixBytes]byte
	prefixBytes      int // of prefix, that have come
	remaining        int // bytes of the current message that have not come
}

// Feed reads the next fragment. A message over maxMessageBytes is found by its prefix, before its
// bytes come. After another result than ScanOK the scanner is of no further use.
func (m *MessageScanner) Feed(fragment []byte, maxMessageBytes int) ScanResult {
	for len(fragment) > 0 {
		if m.remaining > 0 {
			fragment = m.skip(fragment)
			continue
		}
		n := copy(m.prefix[m.prefixBytes:], fragment)
		m.prefixBytes += n
		fragment = fragment[n:]
		if m.prefix[0] > 1 {
			return InvalidFlag
		}
		if m.prefixBytes < messagePrefixBytes {
			return ScanOK
		}
		m.prefixBytes = 0
		size := binary.BigEndian.Uint32(m.prefix[1:])
		if uint64(size) > uint64(maxMessageBytes) {
			return MessageOverLimit
		}
		m.remaining = int(size)
		if size == 0 {
			m.CompleteMessages++
		}
	}
	return ScanOK
}

// skip takes bytes of the current message off a fragment.
func (m *MessageScanner) skip(fragment []byte) []byte {
	n := min(m.remaining, len(fragment))
	m.remaining -= n
	if m.remaining == 0 {
		m.CompleteMessages++
	}
	return fragment[n:]
}

// AtBoundary reports whether no message has come in part.
func (m *MessageScanner) AtBoundary() bool { return m.prefixBytes == 0 && m.remaining == 0 }
