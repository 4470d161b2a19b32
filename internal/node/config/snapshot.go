package config

import (
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"

	"kestrelspread/internal/node/nodepb"
)

// A snapshot is snapshotMagic, fields in the wire format of protocol buffers, and a CRC-32C of
// everything before it. A reader skips unknown fields. Snapshots are stored on disk and sent
// between nodes: field numbers never change.
const (
	snapshotMagic = "KSC1" // the last byte is the version of the format
	checksumBytes = 4

	// MaxSnapshotBytes bounds the snapshots that are read.
	MaxSnapshotBytes = MaxBodyBytes + 4<<20
)

// Fields of a snapshot.
const (
	fieldIndex        protowire.Number = 1
	fieldBody         protowire.Number = 2 // the configuration as JSON
	fieldTaken        protowire.Number = 3 // repeated, oldest first
	fieldModelVersion protowire.Number = 4
	fieldGrant        protowire.Number = 5
	fieldDrain        protowire.Number = 6
	// fieldTenantsListed, a bool, is written only where the configuration has no list of tenants.
	fieldTenantsListed protowire.Number = 7
	firstNested        protowire.Number = 1 // fields of nested messages, numbered in order

	fieldGrantTarget    protowire.Number = 5 // in a fieldGrant, repeated: claimed instances
	fieldGrantInherited protowire.Number = 6 // in a fieldGrant, repeated: claims inherited from a previous holder
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot encodes the full state; equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	const takenBytes = 40 // of an encoded takenChange, about
	size := len(snapshotMagic) + s.document.renderedSize() + takenBytes*len(s.takenChanges.ring) + 1024
	text := append(make([]byte, 0, size), snapshotMagic...)
	text = appendNumber(text, fieldIndex, s.index)
	if s.document != emptyDocument {
		text = appendBytes(text, fieldBody, s.document.render())
	}
	s.takenChanges.each(func(change takenChange) {
		text = appendBytes(text, fieldTaken, encodeTaken(change))
	})
	for _, named := range s.ModelVersions() {
		text = appendBytes(text, fieldModelVersion, encodeFields(named.Model, named.Version, named.Index))
	}
	for _, grant := range s.Grants() {
		text = appendBytes(text, fieldGrant, encodeGrant(grant))
	}
	for _, drain := range s.DrainIntents() {
		text = appendBytes(text, fieldDrain, encodeFields(drain.GetSubject(), drain.GetKind(), drain.GetDeadlineMs()))
	}
	if s.tenantsListed && s.document.tenants == nil {
		text = appendNumber(text, fieldTenantsListed, protowire.EncodeBool(true))
	}
	return protowire.AppendFixed32(text, crc32.Checksum(text, castagnoli))
}

func encodeGrant(grant *nodepb.LeaseChange) []byte {
	text := encodeFields(grant.GetRole(), grant.GetHolder(), grant.GetFencingToken(), grant.GetReleased())
	for _, target := range grant.GetClaims() {
		text = appendBytes(text, fieldGrantTarget, []byte(target))
	}
	for _, inherited := range grant.GetInheritedClaims() {
		text = appendBytes(text, fieldGrantInherited, []byte(inherited))
	}
	return text
}

func encodeTaken(change takenChange) []byte {
	return encodeFields(string(change.digest[:]), change.version, change.index)
}

// encodeFields encodes values of type string, uint64 and bool as the fields 1, 2 and so on. Zero
// values are encoded too.
func encodeFields(values ...any) []byte {
	var text []byte
	for i, value := range values {
		field := firstNested + protowire.Number(i)
		switch value := value.(type) {
		case string:
			text = appendBytes(text, field, []byte(value))
		case uint64:
			text = appendNumber(text, field, value)
		case bool:
			text = appendNumber(text, field, protowire.EncodeBool(value))
		}
	}
	return text
}

func appendNumber(text []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(text, field, protowire.VarintType), value)
}

func appendBytes(text []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(text, field, protowire.BytesType), value)
}

// field is one field of the wire format: a varint or bytes.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField visits the fields of text, until visit fails. Fields of types other than varint and
// bytes have no value.
func eachField(text []byte, visit func(field) error) error {
	for len(text) > 0 {
		number, wireType, length := protowire.ConsumeTag(text)
		if length < 0 {
			return fmt.Errorf("%w: field: %v", ErrSnapshot, protowire.ParseError(length))
		}
		text = text[length:]
		parsed := field{number: number}
		switch wireType {
		case protowire.VarintType:
			parsed.value, length = protowire.ConsumeVarint(text)
		case protowire.BytesType:
			parsed.bytes, length = protowire.ConsumeBytes(text)
		default:
			length = protowire.ConsumeFieldValue(number, wireType, text)
		}
		if length < 0 {
			return fmt.Errorf("%w: field %d: %v", ErrSnapshot, number, protowire.ParseError(length))
		}
		text = text[length:]
		if err := visit(parsed); err != nil {
			return err
		}
	}
	return nil
}

// openSnapshot checks size, format and checksum of a snapshot, and returns its encoded fields.
func openSnapshot(snapshot []byte) ([]byte, error) {
	if len(snapshot) > MaxSnapshotBytes {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrSnapshot, MaxSnapshotBytes)
	}
	if len(snapshot) < len(snapshotMagic)+checksumBytes || string(snapshot[:len(snapshotMagic)]) != snapshotMagic {
		return nil, fmt.Errorf("%w: not a snapshot of this form", ErrSnapshot)
	}
	end := len(snapshot) - checksumBytes
	checksum, _ := protowire.ConsumeFixed32(snapshot[end:])
	if checksum != crc32.Checksum(snapshot[:end], castagnoli) {
		return nil, fmt.Errorf("%w: checksum differs", ErrSnapshot)
	}
	return snapshot[len(snapshotMagic):end], nil
}

// FetchFromSnapshot returns what State.Fetch would after the snapshot was restored, without
// decoding the rest. Errors match ErrSnapshot.
func FetchFromSnapshot(snapshot []byte) ([]byte, error) {
	text, err := openSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	var body []byte
	err = eachField(text, func(f field) error {
		if f.number == fieldBody {
			body = f.bytes
		}
		return nil
	})
	return body, err
}
