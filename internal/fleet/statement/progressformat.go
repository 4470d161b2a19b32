package statement

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// progressVersion is the version of the progress format that encode writes. Version 1, which has no version field, has a list of short
// ids for each period. Since version 2 the ids of a period are one string, so that a program that knows only version 1 fails to
// parse it. If it could, it would recognise none of the ids, and publish every part once more as a late one.
const progressVersion = 2

// idSeparator separates the ids of a period. No id contains it.
const idSeparator = ","

// ErrProgressVersion is returned for progress that a later version of the program has written.
var ErrProgressVersion = errors.New("unknown version of the progress format")

// progressDocument is the stored form of progress in either version of the format.
type progressDocument struct {
	Version       int                       `json:"version,omitempty"` // absent: 1
	PublishedUpTo int64                     `json:"upto"`
	Parts         map[int64]json.RawMessage `json:"parts"` // by period; parsed by parseIDs
	Intent        *Intent                   `json:"intent,omitempty"`
}

// ParseProgress parses progress of version 1 or 2. Empty data, which the first holder of the role has, is progress without any
// published period. ParseProgress returns an error that wraps ErrProgressVersion for a later version, and otherwise the error of the
// JSON decoder.
func ParseProgress(data []byte) (Progress, error) {
	p := Progress{PublishedParts: map[int64][]string{}}
	if len(data) == 0 {
		return p, nil
	}
	var document progressDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return p, err
	}
	if document.Version > progressVersion {
		return p, fmt.Errorf("%w: %d", ErrProgressVersion, document.Version)
	}
	p.PublishedUpTo, p.Intent = document.PublishedUpTo, document.Intent
	for period, encoded := range document.Parts {
		ids, err := parseIDs(document.Version, encoded)
		if err != nil {
			return p, err
		}
		p.PublishedParts[period] = ids
	}
	return p, nil
}

// parseIDs parses the ids of a period, in the form that the version of the format has.
func parseIDs(version int, encoded json.RawMessage) ([]string, error) {
	if version < progressVersion {
		var ids []string
		err := json.Unmarshal(encoded, &ids)
		return ids, err
	}
	var joined string
	if err := json.Unmarshal(encoded, &joined); err != nil {
		return nil, err
	}
	if joined == "" {
		return nil, nil
	}
	return strings.Split(joined, idSeparator), nil
}

// encode returns the progress in the format of progressVersion.
func (p Progress) encode() []byte {
	document := progressDocument{
		Version:       progressVersion,
		PublishedUpTo: p.PublishedUpTo,
		Parts:         map[int64]json.RawMessage{},
		Intent:        p.Intent,
	}
	for period, ids := range p.PublishedParts {
		document.Parts[period] = mustMarshal(strings.Join(ids, idSeparator))
	}
	return mustMarshal(document)
}

// mustMarshal returns the JSON encoding of a value. The value must consist of strings, integers, booleans and maps or lists of them,
// whose encoding can't fail.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
