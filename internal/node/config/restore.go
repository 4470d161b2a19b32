package config

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"kestrelspread/internal/node/config/rawjson"
	"kestrelspread/internal/node/nodepb"
)

// Restore replaces the state by that of a snapshot. Checker and limit stay, and unchanged items are
// shared with the state before. After an error, which matches ErrSnapshot, the state is as it
// was.
func (s *State) Restore(snapshot []byte) error {
	text, err := openSnapshot(snapshot)
	if err != nil {
		return err
	}
	restored := NewState(s.checker)
	restored.sizeLimit = s.sizeLimit
	err = eachField(text, func(f field) error { return restored.restoreField(f, s.document) })
	if err != nil {
		return err
	}
	restored.lastCompiled, restored.compiledFrom = s.lastCompiled, s.compiledFrom
	*s = *restored
	return nil
}

// restoreField restores one field of a snapshot; items that previous has as well are shared with
// it.
func (s *State) restoreField(f field, previous *document) error {
	switch f.number {
	case fieldIndex:
		s.index = f.value
	case fieldBody:
		return s.restoreDocument(f.bytes, previous)
	case fieldTaken:
		return s.restoreTaken(f.bytes)
	case fieldModelVersion:
		return s.restoreModelVersion(f.bytes)
	case fieldGrant:
		return s.restoreGrant(f.bytes)
	case fieldDrain:
		return s.restoreDrain(f.bytes)
	case fieldTenantsListed:
		s.tenantsListed = s.tenantsListed || protowire.DecodeBool(f.value)
	}
	return nil
}

func (s *State) restoreDocument(text []byte, previous *document) error {
	if len(text) > MaxBodyBytes {
		return fmt.Errorf("%w: configuration longer than %d bytes", ErrSnapshot, MaxBodyBytes)
	}
	body, err := rawjson.Compact(text)
	if err != nil {
		return fmt.Errorf("%w: configuration: %w", ErrSnapshot, err)
	}
	document, _, err := parseReplacement(body, previous)
	if err != nil {
		return fmt.Errorf("%w: configuration: %w", ErrSnapshot, err)
	}
	s.setDocument(document)
	return nil
}

func (s *State) restoreTaken(text []byte) error {
	var change takenChange
	var digest string
	if err := decodeFields(text, &digest, &change.version, &change.index); err != nil {
		return err
	}
	if len(digest) != len(change.digest) {
		return fmt.Errorf("%w: digest of %d bytes", ErrSnapshot, len(digest))
	}
	copy(change.digest[:], digest)
	if _, duplicate := s.takenChanges.find(change.digest); duplicate {
		return fmt.Errorf("%w: the same change twice", ErrSnapshot)
	}
	s.takenChanges.add(change)
	return nil
}

func (s *State) restoreModelVersion(text []byte) error {
	var named NamedVersion
	if err := decodeFields(text, &named.Model, &named.Version, &named.Index); err != nil {
		return err
	}
	change := &nodepb.ModelVersionChange{Model: named.Model, Version: named.Version}
	if err := s.validateModelVersion(change); err != nil {
		return fmt.Errorf("%w: version of weights: %w", ErrSnapshot, err)
	}
	s.modelVersions[named.Model] = named
	return nil
}

func (s *State) restoreGrant(text []byte) error {
	grant := new(nodepb.LeaseChange)
	if err := decodeFields(text, &grant.Role, &grant.Holder, &grant.FencingToken, &grant.Released); err != nil {
		return err
	}
	err := eachField(text, func(field field) error {
		switch field.number {
		case fieldGrantTarget:
			grant.Claims = append(grant.Claims, string(field.bytes))
		case fieldGrantInherited:
			grant.InheritedClaims = append(grant.InheritedClaims, string(field.bytes))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.validateGrant(grant); err != nil {
		return fmt.Errorf("%w: duty: %w", ErrSnapshot, err)
	}
	s.grants[grant.GetRole()] = grant
	return nil
}

func (s *State) restoreDrain(text []byte) error {
	intent := new(nodepb.DrainIntent)
	if err := decodeFields(text, &intent.Subject, &intent.Kind, &intent.DeadlineMs); err != nil {
		return err
	}
	if err := s.validateDrain(intent); err != nil {
		return fmt.Errorf("%w: drain: %w", ErrSnapshot, err)
	}
	s.drains[keyOfDrain(intent)] = intent
	return nil
}

// decodeFields decodes what encodeFields encoded, into pointers to string, uint64 and bool. The
// destinations of missing fields stay as they are; fields without a destination are skipped.
func decodeFields(text []byte, destinations ...any) error {
	return eachField(text, func(f field) error {
		index := int(f.number - firstNested)
		if index >= len(destinations) {
			return nil
		}
		switch destinations := destinations[index].(type) {
		case *string:
			*destinations = string(f.bytes)
		case *uint64:
			*destinations = f.value
		case *bool:
			*destinations = protowire.DecodeBool(f.value)
		}
		return nil
	})
}
