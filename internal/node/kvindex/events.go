package kvindex

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"kestrelspread/internal/node/routing/cachesalt"
)

// ErrMalformedEvent is wrapped by the errors of Event.UnmarshalJSON.
var ErrMalformedEvent = errors.New("kvindex: malformed event")

// Events is the body of a response to GET /kestrelspread/kv-events. Source: PROTOCOL.md, "KV cache".
type Events struct {
	Epoch uint64  `json:"epoch"`         // of the source; changes with each of its restarts
	Next  uint64  `json:"nextPageToken"` // cursor from which the next call reads
	List  []Event `json:"events"`
}

// Event reports how many tokens of a part a holder now caches under a salt.
type Event struct {
	Salt   uint64 // cachesalt.ID of the salt's text
	Part   uint64 // hash that identifies the part
	Tokens int    // 0: the part is no longer cached; never negative
}

// An event is encoded as a list: event number, sign (+ or -), salt, part (hexadecimal), tokens now
// cached, model. These constants are the indices of the fields that are read.
const (
	fieldSign = iota + 1
	fieldSalt
	fieldPart
	fieldTokens
	minFields // least length of the list; further fields are ignored
)

// UnmarshalJSON decodes an event from its list. A malformed list results in an error that wraps
// ErrMalformedEvent.
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
		return fmt.Errorf("%w: decode cache event: sign %q is neither + nor -", ErrMalformedEvent, sign)
	}
	*e = Event{Salt: cachesalt.ID(salt), Part: partID, Tokens: max(tokens, 0)}
	return nil
}
