// Package fence checks fencing tokens at the receiver of effects, so that a holder that was paused
// and wakes up does no harm: it keeps the highest token of each role, and the keys of the effects
// done. It is checked and changed in the same atomic step as the effect. All else (a lease, a
// request to the voters, a clock) comes before the effect, and a pause may lie between.
//
// Invariants: no effect is admitted under a token lower than one seen; an effect is admitted once
// by its key, under whatever token.
package fence

import (
	"errors"
	"fmt"
)

// Effect is something done on behalf of a role.
type Effect struct {
	Role  string `json:"duty"`
	Token uint64 `json:"token"`
	Key   string `json:"key"` // the same effect has the same key, whichever holder does it
	Body  []byte `json:"body,omitempty"`
}

// Receiver takes effects. There is no way in without a token.
type Receiver interface {
	// Apply does an effect once. done: it had been done before, under this token or an older one.
	// The error wraps ErrStaleToken where a higher token has been seen.
	Apply(e Effect) (done bool, err error)
}

// ErrStaleToken rejects a holder of the past.
var ErrStaleToken = errors.New("a newer owner has been here")

// State is a receiver's memory of tokens and effects, which it stores together with the effects.
// Its zero value has seen nothing.
type State struct {
	Tokens map[string]uint64            `json:"tokens"` // highest, by role
	Keys   map[string]map[string]uint64 `json:"keys"`   // by role and key: the effect's token
	Order  map[string][]string          `json:"order"`  // by role: keys, oldest first
}

// maxKeysPerRole bounds the effects that are remembered; the oldest are forgotten.
const maxKeysPerRole = 4096

// Check judges an effect and changes nothing. done: it has been done. newer: its token is higher
// than any seen.
func (s *State) Check(e Effect) (done, newer bool, err error) {
	if e.Role == "" || e.Token == 0 || e.Key == "" {
		return false, false, fmt.Errorf("an effect without duty, token or key: %+v", e)
	}
	if e.Token < s.Tokens[e.Role] && !mutantNoFence {
		return false, false, ErrStaleToken
	}
	_, done = s.Keys[e.Role][e.Key]
	return done, e.Token > s.Tokens[e.Role], nil
}

// Admit judges an effect, and records it where it is new. fresh: it is to be done, in the same
// step.
func (s *State) Admit(e Effect) (fresh bool, err error) {
	done, _, err := s.Check(e)
	if err != nil {
		return false, err
	}
	if s.Tokens == nil {
		s.Tokens, s.Keys, s.Order = map[string]uint64{}, map[string]map[string]uint64{}, map[string][]string{}
	}
	s.Tokens[e.Role] = e.Token
	if done {
		return false, nil
	}
	s.recordKey(e)
	return true, nil
}

// recordKey remembers an effect, and forgets the oldest past the bound.
func (s *State) recordKey(e Effect) {
	if s.Keys[e.Role] == nil {
		s.Keys[e.Role] = map[string]uint64{}
	}
	s.Keys[e.Role][e.Key] = e.Token
	s.Order[e.Role] = append(s.Order[e.Role], e.Key)
	if keys := s.Order[e.Role]; len(keys) > maxKeysPerRole {
		delete(s.Keys[e.Role], keys[0])
		s.Order[e.Role] = keys[1:]
	}
}
