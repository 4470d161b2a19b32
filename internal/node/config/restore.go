package config

import (
	"google.golang.org/protobuf/encoding/protowire"

	"kestrelspread/internal/node/config/rawjson"
	"kestrelspread/internal/node/nodepb"
)

// Restore replaces the state by that of a snapshot. After an error the state is as it was.
func (s *State) Restore(snapshot []byte) error {
	text, err := openSnapshot(snapshot)
	if err != nil {
		return err
	}
	restored := NewState(s.checker)
	restored.limit = s.limit
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
	body, err := rawjson.Compact(text)
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
	var digest string
	if err := decodeFields(text, &digest, &change.version, &change.index); err != nil {
		return err
	}
	if len(digest) != len(change.digest) {
		return ErrSnapshot.New("digest of %d bytes", len(digest))
	}
	copy(change.digest[:], digest)
	if _, duplicate := s.taken.find(change.digest); duplicate {
		return ErrSnapshot.New("the same change twice")
	}
	s.taken.add(change)
	return nil
}

func (s *State) restoreModel(text []byte) error {
	var named NamedVersion
	if err := decodeFields(text, &named.Model, &named.Version, &named.Index); err != nil {
		return err
	}
	change := &nodepb.ModelVersionChange{Model: named.Model, Version: named.Version}
	if err := s.checkNewModel(change); err != nil {
		return ErrSnapshot.Wrap(err, "version of weights")
	}
	s.models[named.Model] = named
	return nil
}

func (s *State) restoreDuty(text []byte) error {
	duty := new(nodepb.DutyChange)
	if err := decodeFields(text, &duty.Duty, &duty.Holder, &duty.Fence, &duty.Released); err != nil {
		return err
	}
	err := eachField(text, func(read field) error {
		switch read.number {
		case fieldDutyTarget:
			duty.Targets = append(duty.Targets, string(read.bytes))
		case fieldDutyFormer:
			duty.Former = append(duty.Former, string(read.bytes))
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
	if err := decodeFields(text, &intent.Subject, &intent.Kind, &intent.ByMs); err != nil {
		return err
	}
	if err := s.checkNewDrain(intent); err != nil {
		return ErrSnapshot.Wrap(err, "drain")
	}
	s.drains[keyOfDrain(intent)] = intent
	return nil
}

// decodeFields decodes what encodeFields encoded. Fields that are missing keep their values, others are skipped.
func decodeFields(text []byte, into ...any) error {
	return eachField(text, func(read field) error {
		position := int(read.number - firstInside)
		if position >= len(into) {
			return nil
		}
		switch into := into[position].(type) {
		case *string:
			*into = string(read.bytes)
		case *uint64:
			*into = read.value
		case *bool:
			*into = protowire.DecodeBool(read.value)
		}
		return nil
	})
}
