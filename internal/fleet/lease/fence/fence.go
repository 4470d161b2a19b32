// Package fence is what a receiver of effects keeps, so that an owner that wakes up late does no harm: the highest token of each
// duty, and which effects it has had. It is checked and changed in the same atomic step as the effect; everything else (a
// lease, a question to the grantor, a clock) comes before the act, and a pause may lie between.
package fence

import (
	"errors"
	"fmt"
)

// Effect is something done on behalf of a duty.
type Effect struct {
	Role  string `json:"duty"`
	Token uint64 `json:"token"`
	Key   string `json:"key"` // the same effect has the same key, whoever does it
	Body  []byte `json:"body,omitempty"`
}

// Receiver takes effects. A later duty can't forget the token: there is no other way in.
type Receiver interface {
	// Apply does an effect once. done: it had been done before, under this token or an older one. ErrOld: the token is not the
	// highest seen.
	Apply(e Effect) (done bool, err error)
}

// ErrStaleToken refuses an owner of the past.
var ErrStaleToken = errors.New("a newer owner has been here")

// State is a receiver's memory. It is part of what the receiver makes durable together with the effect.
type State struct {
	Tokens map[string]uint64            `json:"tokens"`
	Keys   map[string]map[string]uint64 `json:"keys"`  // by duty and key: the token under which it was done
	Order  map[string][]string          `json:"order"` // keys as they came; the oldest are forgotten
}

const maxKeysPerRole = 4096 // of a duty

// Check judges an effect and notes nothing. had: it was done; newer: its token is higher than any seen.
func (b *State) Check(e Effect) (had, newer bool, err error) {
	if e.Role == "" || e.Token == 0 || e.Key == "" {
		return false, false, fmt.Errorf("an effect without duty, token or key: %+v", e)
	}
	if e.Token < b.Tokens[e.Role] && !plantNoFence {
		return false, false, ErrStaleToken
	}
	_, had = b.Keys[e.Role][e.Key]
	return had, e.Token > b.Tokens[e.Role], nil
}

// Admit judges an effect and, where it is new, notes it. fresh: it is to be done, in the same step.
func (b *State) Admit(e Effect) (fresh bool, err error) {
	had, _, err := b.Check(e)
	if err != nil {
		return false, err
	}
	if b.Tokens == nil {
		b.Tokens, b.Keys, b.Order = map[string]uint64{}, map[string]map[string]uint64{}, map[string][]string{}
	}
	b.Tokens[e.Role] = e.Token
	if had {
		return false, nil
	}
	if b.Keys[e.Role] == nil {
		b.Keys[e.Role] = map[string]uint64{}
	}
	b.Keys[e.Role][e.Key] = e.Token
	b.Order[e.Role] = append(b.Order[e.Role], e.Key)
	if list := b.Order[e.Role]; len(list) > maxKeysPerRole {
		delete(b.Keys[e.Role], list[0])
		b.Order[e.Role] = list[1:]
	}
	return true, nil
}
