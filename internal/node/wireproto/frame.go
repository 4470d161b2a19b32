// Package wireproto is the codec of the messages between nodes: one nodepb.Envelope per frame, over a
// byte stream.
//
// A frame is a header of six bytes (the length of the envelope as a big-endian uint32, a magic byte, the
// version of the framing) followed by the envelope in protobuf encoding. The package does no I/O besides
// reading from an io.Reader; package link transports frames over TCP. It neither interprets bodies nor
// authenticates senders.
//
// Invariants: nodes of different releases talk to one another, so the bytes of a frame stay as they are;
// a length claimed by a header allocates no memory before bytes have arrived; a decoded envelope shares
// no memory with the Reader.
package wireproto

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

const (
	// Protocol is the version of the schema that this node uses, sent as Envelope.protocol.
	Protocol uint32 = 1

	// MaxFrame bounds the encoded envelope of a frame, in bytes.
	MaxFrame = 8 << 20

	// HeaderSize is the size of a frame's header, in bytes.
	HeaderSize = 6
)

// The last two bytes of a header, and their offsets.
const (
	frameMagic   = 0xB7
	frameVersion = 1

	magicOffset   = 4
	versionOffset = 5
)

// Append appends the envelope to dst as one frame, with protocol and sender as the envelope has them. On
// an error (ErrOversized, ErrUnencodable) dst is returned unchanged.
func Append(dst []byte, envelope *nodepb.Envelope) ([]byte, error) {
	return appendFrame(dst, envelope, nil)
}

// Sender encodes envelopes in the name of one node.
type Sender struct {
	// fields holds the encoded protocol, sender_id and sender_address. Appended to the encoded envelope
	// they replace its own values, as the last value of a protobuf field counts. So the envelope isn't
	// modified, and can be sent to several nodes at the same time.
	fields []byte
}

// NewSender returns the encoder of the node with the id, which receives replies at address. The error is
// of type ErrUnencodable.
func NewSender(nodeID, address string) (*Sender, error) {
	header := &nodepb.Envelope{Protocol: Protocol, SenderId: nodeID, SenderAddress: address}
	fields, err := proto.Marshal(header)
	if err != nil {
		return nil, fmt.Errorf("%w: sender %q at %q: %w", ErrUnencodable, nodeID, address, err)
	}
	return &Sender{fields: fields}, nil
}

// Append appends the envelope to dst as one frame, with protocol and sender filled in. On an error
// (ErrOversized, ErrUnencodable) dst is returned unchanged.
func (s *Sender) Append(dst []byte, envelope *nodepb.Envelope) ([]byte, error) {
	return appendFrame(dst, envelope, s.fields)
}

// appendFrame appends header, envelope and the sender's fields.
func appendFrame(dst []byte, envelope *nodepb.Envelope, fields []byte) ([]byte, error) {
	start := len(dst)
	frame := append(dst, 0, 0, 0, 0, frameMagic, frameVersion)
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, envelope)
	if err != nil {
		return dst, fmt.Errorf("%w: kind %s: %w", ErrUnencodable, KindOf(envelope), err)
	}
	frame = append(frame, fields...)
	length := len(frame) - start - HeaderSize
	if length > MaxFrame {
		return dst, fmt.Errorf("%w: kind %s: %d bytes, the bound is %d", ErrOversized, KindOf(envelope), length, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame[start:], uint32(length))
	return frame, nil
}
