package wireproto

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	"kestrelspread/internal/node/nodepb"
)

// Kind identifies the body of an envelope: the number of its field in the schema.
type Kind uint8

const (
	// NoKind is the kind of an envelope without a body, or with one that this node doesn't know.
	NoKind Kind = 0
	// KindLimit is greater than every kind, so that counters by kind fit into an array.
	KindLimit = 128
)

// bodyOneof describes the bodies of an envelope.
var bodyOneof = (&nodepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// KindOf returns the kind of the envelope's body.
func KindOf(envelope *nodepb.Envelope) Kind {
	field := envelope.ProtoReflect().WhichOneof(bodyOneof)
	if field == nil || field.Number() >= KindLimit {
		return NoKind
	}
	return Kind(field.Number())
}

// String returns the name of the body's field in the schema, such as "probe_ack".
func (k Kind) String() string {
	field := bodyOneof.Fields().ByNumber(protoreflect.FieldNumber(k))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}
