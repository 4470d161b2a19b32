package wireproto_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

const framesFile = "golden/frames.txt"

// TestFramesKeepTheirBytes freezes a frame of each kind of envelope, every field of it filled in, by field numbers alone.
// The golden file has a line for each: its kind, the choice within nested oneofs, and the frame in hexadecimal digits.
func TestFramesKeepTheirBytes(t *testing.T) {
	var lines strings.Builder
	for _, sample := range sampleEnvelopes() {
		encoded := frame(t, sample.envelope)
		fmt.Fprintf(&lines, "%s %s\n", sample.label, hex.EncodeToString(encoded))
	}
	golden.Assert(t, lines.String(), framesFile)
}

// TestFramesOfTheGoldenFileAreRead reads the frames as they were written once, and encodes them to the same bytes again.
func TestFramesOfTheGoldenFileAreRead(t *testing.T) {
	written := make(map[string][]byte)
	for line := range strings.Lines(string(golden.Get(t, framesFile))) {
		label, digits, found := strings.Cut(strings.TrimSpace(line), " ")
		assert.Assert(t, found, "%q", line)
		encoded, err := hex.DecodeString(digits)
		assert.NilError(t, err)
		written[label] = encoded
	}
	samples := sampleEnvelopes()
	assert.Equal(t, len(written), len(samples))
	for _, sample := range samples {
		t.Run(sample.label, func(t *testing.T) {
			reader := wireproto.NewReader(bytes.NewReader(written[sample.label]))
			got, err := reader.Next()
			assert.NilError(t, err)
			assert.Equal(t, reader.FrameSize(), len(written[sample.label]))
			assert.Equal(t, wireproto.KindOf(got), wireproto.Kind(sample.kind))
			assert.Assert(t, proto.Equal(got, sample.envelope), "%v", got)
			assert.Equal(t, hex.EncodeToString(frame(t, got)), hex.EncodeToString(written[sample.label]))
		})
	}
}

type sampleEnvelope struct {
	label    string
	kind     protoreflect.FieldNumber
	envelope *nodepb.Envelope
}

// sampleEnvelopes returns envelopes of every kind, one for each choice of the widest oneof that the kind holds.
func sampleEnvelopes() []sampleEnvelope {
	var samples []sampleEnvelope
	for _, body := range sortedFields(envelopeDescriptor().Oneofs().Get(0).Fields()) {
		for choice := range widestOneof(body.Message(), make(map[protoreflect.FullName]bool)) {
			filler := sampleFiller{choice: choice}
			samples = append(samples, sampleEnvelope{
				label:    fmt.Sprintf("%d/%d", body.Number(), choice),
				kind:     body.Number(),
				envelope: filler.envelope(body),
			})
		}
	}
	return samples
}

func envelopeDescriptor() protoreflect.MessageDescriptor {
	return (&nodepb.Envelope{}).ProtoReflect().Descriptor()
}

func sortedFields(fields protoreflect.FieldDescriptors) []protoreflect.FieldDescriptor {
	var sorted []protoreflect.FieldDescriptor
	for i := range fields.Len() {
		sorted = append(sorted, fields.Get(i))
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Number() < sorted[j].Number() })
	return sorted
}

// widestOneof returns the number of choices of the widest oneof in the message and those that it holds, at least 1. It
// doesn't look into an envelope that another one holds.
func widestOneof(message protoreflect.MessageDescriptor, seen map[protoreflect.FullName]bool) int {
	widest := 1
	if seen[message.FullName()] || message == envelopeDescriptor() {
		return widest
	}
	seen[message.FullName()] = true
	for i := range message.Oneofs().Len() {
		widest = max(widest, message.Oneofs().Get(i).Fields().Len())
	}
	for i := range message.Fields().Len() {
		if inner := message.Fields().Get(i).Message(); inner != nil {
			widest = max(widest, widestOneof(inner, seen))
		}
	}
	return widest
}

// sampleFiller fills messages with values that differ from field to field.
type sampleFiller struct {
	choice int // of each oneof, modulo the number of its fields
	filled uint64
}

// envelope returns an envelope with a filled body of that field.
func (f *sampleFiller) envelope(body protoreflect.FieldDescriptor) *nodepb.Envelope {
	envelope := new(nodepb.Envelope)
	message := envelope.ProtoReflect()
	fields := message.Descriptor().Fields()
	message.Set(fields.ByNumber(1), protoreflect.ValueOfUint32(wireproto.Protocol))
	message.Set(fields.ByNumber(2), f.scalar(fields.ByNumber(2)))
	message.Set(fields.ByNumber(3), f.scalar(fields.ByNumber(3)))
	f.fill(message.Mutable(body).Message())
	return envelope
}

func (f *sampleFiller) fill(message protoreflect.Message) {
	for _, field := range sortedFields(message.Descriptor().Fields()) {
		oneof := field.ContainingOneof()
		if oneof != nil && sortedFields(oneof.Fields())[f.choice%oneof.Fields().Len()] != field {
			continue
		}
		switch {
		case field.IsList():
			list := message.Mutable(field).List()
			for range 2 {
				if field.Message() == nil {
					list.Append(f.scalar(field))
					continue
				}
				element := list.NewElement()
				f.fill(element.Message())
				list.Append(element)
			}
		case field.Message() == nil:
			message.Set(field, f.scalar(field))
		case field.Message() == envelopeDescriptor():
			inner := f.envelope(envelopeDescriptor().Fields().ByNumber(51))
			message.Set(field, protoreflect.ValueOfMessage(inner.ProtoReflect()))
		default:
			f.fill(message.Mutable(field).Message())
		}
	}
}

func (f *sampleFiller) scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	f.filled++
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(values.Get(values.Len() - 1 - int(f.filled)%2).Number())
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(1000 + uint32(f.filled))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(1<<40 + f.filled)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text %d \u00e9", f.filled))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{0, 0xff, byte(f.filled)})
	default:
		panic("the schema has a field of another kind: " + field.Kind().String())
	}
}

// acknowledgementOfAnOlderVersion is a frame of kind 73 as it was written before that kind had a second field.
const acknowledgementOfAnOlderVersion = "00000022b7010801120974657874203120c3a91a0974657874203220c3a9ca040708838080808020"

// TestAcknowledgementOfAnOlderVersionIsReadAsNotPersisted: versions without the field keep nothing on a disk.
func TestAcknowledgementOfAnOlderVersionIsReadAsNotPersisted(t *testing.T) {
	encoded, err := hex.DecodeString(acknowledgementOfAnOlderVersion)
	assert.NilError(t, err)
	got, err := wireproto.NewReader(bytes.NewReader(encoded)).Next()
	assert.NilError(t, err)
	ack := got.GetInstanceUpdateAck()
	assert.Assert(t, ack.GetNonce() != 0 && !ack.GetPersisted() && !ack.GetWillPersist(), "%v", got)
}
