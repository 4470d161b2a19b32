package kvindex

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"kestrelspread/internal/node/routing/cachesalt"
)

// ErrEvent says that an event is malformed.
var ErrMalformedEvent = errors.New("kvindex: malformed event")

// Events is the answer to GET /kestrelspread/kv-events. Source: PROTOCOL.md, "KV cache".
type Events struct {
	Epoch uint64  `json:"epoch"`         // changes with each restart
	Next  uint64  `json:"nextPageToken"` // cursor of the events that follow
	List  []Event `json:"events"`
}

// Event reports how many tokens of a part a holder caches now under a salt.
type Event struct {
	Salt   uint64 // routing.SaltID of its text
	Part   uint64
	Tokens int // 0: none any more; never negative
}

// Indices in an event's list: its number, + or -, salt, part, tokens cached now, model.
const (
	fieldSign = iota + 1
	fieldSalt
	fieldPart
	fieldTokens
	minFields // a list may be longer
)

// UnmarshalJSON decodes an event's list. It fails with ErrEvent if the list is malformed.
func (e *Event) UnmarshalJSON(text []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return fmt.Errorf("%w: decode cache event: %w", ErrMalformedEvent, err)
	}
	if len(fields) < minFields {
		return fmt.Errorf("%w: decode cache event: %d fields, at least %d expected", ErrMalformedEvent, len(fields), minFields)
	}
	var sign, salt, part string
	for _, field := range []struct {
		index int
		text  *string
	}{{fieldSign, &sign}, {fieldSalt, &salt}, {fieldPart, &part}} {
		if err := json.Unmarshal(fields[field.index], field.text); err != nil {
			return fmt.Errorf("%w: decode cache event: field %d: %w", ErrMalformedEvent, field.index, err)
		}
	}
	tokens, err := strconv.Atoi(string(fields[fieldTokens]))
	if err != nil {
		return fmt.Errorf("%w: decode cache event: tokens: %w", ErrMalformedEvent, err)
	}
	partID, err := strconv.ParseUint(part, 16, 64)
	if err != nil {
		return fmt.Errorf("%w: decode cache event: part: %w", ErrMalformedEvent, err)
	}
	if sign != "+" && sign != "-" {
		return fmt.Errorf("%w: decode cache event: sign %q", ErrMalformedEvent, sign)
	}
	*e = Event{Salt: cachesalt.ID(salt), Part: partID, Tokens: max(tokens, 0)}
	return nil
}
