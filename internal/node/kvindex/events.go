package kvindex

import (
	"encoding/json"
	"strconv"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/routing"
)

// Errors is the namespace of errors of the index and its shell.
var Errors = errorx.NewNamespace("kvindex")

// ErrEvent says that an event of a broker or store could not be read.
var ErrEvent = Errors.NewType("event")

// Events is the answer to GET /kestrelspread/kv-events. Source: PROTOCOL.md, "KV cache".
type Events struct {
	Epoch uint64  `json:"epoch"` // changes with each restart
	Next  uint64  `json:"nextPageToken"`
	Lost  bool    `json:"lost"` // there is a gap before these events
	List  []Event `json:"events"`
}

// Event says how many tokens of a part are kept now under a salt.
type Event struct {
	Salt   uint64 // routing.SaltID of the text
	Part   uint64
	Tokens int
}

// eventFields are the places in an event's list: number, + or -, salt, ID, tokens kept now, model.
const (
	fieldSign = iota + 1
	fieldSalt
	fieldPart
	fieldTokens
	minFields
)

// UnmarshalJSON reads an event's list.
func (e *Event) UnmarshalJSON(text []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return ErrEvent.Wrap(err, "read")
	}
	if len(fields) < minFields {
		return ErrEvent.New("%d fields", len(fields))
	}
	var sign, salt, part string
	for _, field := range []struct {
		at   int
		text *string
	}{{fieldSign, &sign}, {fieldSalt, &salt}, {fieldPart, &part}} {
		if err := json.Unmarshal(fields[field.at], field.text); err != nil {
			return ErrEvent.Wrap(err, "field %d", field.at)
		}
	}
	tokens, err := strconv.Atoi(string(fields[fieldTokens]))
	if err != nil {
		return ErrEvent.Wrap(err, "tokens")
	}
	number, err := strconv.ParseUint(part, 16, 64)
	if err != nil {
		return ErrEvent.Wrap(err, "part")
	}
	if sign != "+" && sign != "-" {
		return ErrEvent.New("sign %q", sign)
	}
	*e = Event{Salt: routing.SaltID(salt), Part: number, Tokens: max(tokens, 0)}
	return nil
}
