package config

import (
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"

	"kestrelspread/internal/node/nodepb"
)

// A snapshot is snapshotMagic, fields in the wire format of protocol buffers, and a CRC-32C of all before it. A reader
// skips fields that it does not know.
const (
	snapshotMagic = "KSC1" // the last byte is the version of the form
	checksumBytes = 4

	// MaxSnapshotBytes bounds a snapshot that is read.
	MaxSnapshotBytes = 2 * MaxBodyBytes
)

// Fields of a snapshot.
const (
	fieldIndex  protowire.Number = 1
	fieldBody   protowire.Number = 2 // the configuration as JSON
	fieldTaken  protowire.Number = 3 // repeated, oldest first
	fieldModel  protowire.Number = 4
	fieldDuty   protowire.Number = 5
	fieldDrain  protowire.Number = 6
	firstInside protowire.Number = 1 // fields of the messages within, by their order
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is the whole state; equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	const perTaken = 40 // bytes, with room
	size := len(snapshotMagic) + s.document.renderedSize() + perTaken*len(s.taken.inOrder) + 1024
	text := append(make([]byte, 0, size), snapshotMagic...)
	text = appendNumber(text, fieldIndex, s.index)
	if s.document != emptyDocument {
		text = appendBytes(text, fieldBody, s.document.render())
	}
	s.taken.each(func(change takenChange) {
		text = appendBytes(text, fieldTaken, encodeTaken(change))
	})
	for _, named := range s.ModelVersions() {
		text = appendBytes(text, fieldModel, encodeFields(named.Model, named.Version, named.Index))
	}
	for _, duty := range s.Duties() {
		text = appendBytes(text, fieldDuty, encodeFields(duty.GetDuty(), duty.GetHolder(), duty.GetFence(), duty.GetReleased()))
	}
	for _, drain := range s.DrainIntents() {
		text = appendBytes(text, fieldDrain, encodeFields(drain.GetSubject(), drain.GetKind(), drain.GetByMs()))
	}
	return protowire.AppendFixed32(text, crc32.Checksum(text, castagnoli))
}

func encodeTaken(change takenChange) []byte {
	return encodeFields(string(change.digest[:]), change.version, change.index)
}

// encodeFields encodes values as the fields 1, 2 and so on.
func encodeFields(values ...any) []byte {
	var text []byte
	for i, value := range values {
		field := firstInside + protowire.Number(i)
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

// field is one field of the wire format: a number or bytes.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField visits the numbers and byte fields of text.
func eachField(text []byte, visit func(field) error) error {
	for len(text) > 0 {
		number, kind, length := protowire.ConsumeTag(text)
		if length < 0 {
			return ErrSnapshot.New("field: %v", protowire.ParseError(length))
		}
		text = text[length:]
		read := field{number: number}
		switch kind {
		case protowire.VarintType:
			read.value, length = protowire.ConsumeVarint(text)
		case protowire.BytesType:
			read.bytes, length = protowire.ConsumeBytes(text)
		default:
			length = protowire.ConsumeFieldValue(number, kind, text)
		}
		if length < 0 {
			return ErrSnapshot.New("field %d: %v", number, protowire.ParseError(length))
		}
		text = text[length:]
		if err := visit(read); err != nil {
			return err
		}
	}
	return nil
}

// openSnapshot checks size, form and checksum of a snapshot and returns its fields.
func openSnapshot(snapshot []byte) ([]byte, error) {
	if len(snapshot) > MaxSnapshotBytes {
		return nil, ErrSnapshot.New("longer than %d bytes", MaxSnapshotBytes)
	}
	if len(snapshot) < len(snapshotMagic)+checksumBytes || string(snapshot[:len(snapshotMagic)]) != snapshotMagic {
		return nil, ErrSnapshot.New("not a snapshot of this form")
	}
	end := len(snapshot) - checksumBytes
	checksum, _ := protowire.ConsumeFixed32(snapshot[end:])
	if checksum != crc32.Checksum(snapshot[:end], castagnoli) {
		return nil, ErrSnapshot.New("checksum differs")
	}
	return snapshot[len(snapshotMagic):end], nil
}

// FetchSnapshot is what Fetch returns of the state that a snapshot holds.
func FetchSnapshot(snapshot []byte) ([]byte, error) {
	text, err := openSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	var body []byte
	err = eachField(text, func(read field) error {
		if read.number == fieldBody {
			body = read.bytes
		}
		return nil
	})
	return body, err
}

// Restore replaces the state by that of a snapshot. After an error the state is as it was.
func (s *State) Restore(snapshot []byte) error {
	text, err := openSnapshot(snapshot)
	if err != nil {
		return err
	}
	restored := NewState(s.checker)
	err = eachField(text, func(read field) error { return restored.restoreField(read, s.document) })
	if err != nil {
		return err
	}
	restored.compiled, restored.source = s.compiled, s.source
	*s = *restored
	return nil
}

// restoreField takes one field of a snapshot; items that previous holds as well are shared with it.
func (s *State) restoreField(read field, previous *document) error {
	switch read.number {
	case fieldIndex:
		s.index = read.value
	case fieldBody:
		return s.restoreDocument(read.bytes, previous)
	case fieldTaken:
		return s.restoreTaken(read.bytes)
	case fieldModel:
		return s.restoreModel(read.bytes)
	case fieldDuty:
		return s.restoreDuty(read.bytes)
	case fieldDrain:
		return s.restoreDrain(read.bytes)
	}
	return nil
}

func (s *State) restoreDocument(text []byte, previous *document) error {
	if len(text) > MaxBodyBytes {
		return ErrSnapshot.New("configuration longer than %d bytes", MaxBodyBytes)
	}
	body, err := compactJSON(text)
	if err != nil {
		return ErrSnapshot.Wrap(err, "configuration")
	}
	document, _, err := parseReplacement(body, previous)
	if err != nil {
		return ErrSnapshot.Wrap(err, "configuration")
	}
	s.document = document
	return nil
}

func (s *State) restoreTaken(text []byte) error {
	var change takenChange
	err := eachField(text, func(read field) error {
		switch read.number {
		case 1:
			if len(read.bytes) != len(change.digest) {
				return ErrSnapshot.New("digest of %d bytes", len(read.bytes))
			}
			copy(change.digest[:], read.bytes)
		case 2:
			change.version = read.value
		case 3:
			change.index = read.value
		}
		return nil
	})
	if err != nil {
		return err
	}
	if _, duplicate := s.taken.find(change.digest); duplicate {
		return ErrSnapshot.New("the same change twice")
	}
	s.taken.add(change)
	return nil
}

func (s *State) restoreModel(text []byte) error {
	var named NamedVersion
	err := eachField(text, func(read field) error {
		switch read.number {
		case 1:
			named.Model = string(read.bytes)
		case 2:
			named.Version = read.value
		case 3:
			named.Index = read.value
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := checkName("model", named.Model); err != nil || len(s.models) >= maxModels {
		return ErrSnapshot.New("a model without a proper name, or too many")
	}
	s.models[named.Model] = named
	return nil
}

func (s *State) restoreDuty(text []byte) error {
	duty := new(nodepb.DutyChange)
	err := eachField(text, func(read field) error {
		switch read.number {
		case 1:
			duty.Duty = string(read.bytes)
		case 2:
			duty.Holder = string(read.bytes)
		case 3:
			duty.Fence = read.value
		case 4:
			duty.Released = protowire.DecodeBool(read.value)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.checkNewDuty(duty); err != nil {
		return ErrSnapshot.Wrap(err, "duty")
	}
	s.duties[duty.GetDuty()] = duty
	return nil
}

func (s *State) restoreDrain(text []byte) error {
	intent := new(nodepb.DrainIntent)
	err := eachField(text, func(read field) error {
		switch read.number {
		case 1:
			intent.Subject = string(read.bytes)
		case 2:
			intent.Kind = string(read.bytes)
		case 3:
			intent.ByMs = read.value
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(s.drains) >= maxDrains || len(intent.GetSubject())+len(intent.GetKind()) > 2*maxNameLength {
		return ErrSnapshot.New("a drain without a proper name, or too many")
	}
	s.drains[keyOfDrain(intent)] = intent
	return nil
}
