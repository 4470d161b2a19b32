package statement

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// progressVersion is the version of progress that is written. Version 1, which stated none, had lists of short ids by period.
// Since version 2 a period's ids are one string, so that a holder that knows version 1 alone fails to read it. Were it to
// read on, it would take none of the ids for those it knows, and publish every part once more as a late one.
const progressVersion = 2

// idSeparator stands between the ids of a period. No id contains it.
const idSeparator = ","

// ErrProgressVersion says that progress was written by a later program.
var ErrProgressVersion = errors.New("progress of an unknown version")

// progressDocument is progress of either version as it is stored.
type progressDocument struct {
	Version       int                       `json:"version,omitempty"` // absent: 1
	PublishedUpTo int64                     `json:"upto"`
	Parts         map[int64]json.RawMessage `json:"parts"`
	Intent        *Intent                   `json:"intent,omitempty"`
}

// ParseProgress reads progress of version 1 or 2; no data is the first holder's. Errors: ErrProgressVersion, or what JSON
// says.
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

// parseIDs reads the ids of a period.
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

// encode writes progress of the present version.
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

// mustMarshal is for values of strings, numbers and booleans, which can't fail.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
