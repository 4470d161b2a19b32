package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// Identity is who wrote a store's entries. An epoch begins with each store that is made: one whose disk was lost must not give
// out the same sequence numbers again under the same epoch.
type Identity struct {
	Instance  string `json:"Instance"`
	Epoch     uint64 `json:"Epoch"`
	CreatedAt int64  `json:"Made"` // Unix ms
}

// epochRandomBits are the low bits of an epoch; above them is its time, Unix ms.
const epochRandomBits = 16

// newIdentity draws an epoch. One of a store that is made anew is later, also where a clock was set back to the very
// millisecond of the one before, but for one case in 65,536.
func newIdentity(instance string, now time.Time) (Identity, error) {
	var random [epochRandomBits / 8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, err
	}
	epoch := uint64(now.UnixMilli())<<epochRandomBits | uint64(binary.BigEndian.Uint16(random[:]))
	return Identity{instance, epoch, now.UnixMilli()}, nil
}

// identify reads the store's identity, or gives it one. No instance takes any.
func (s *Store) identify(instance string, now time.Time) error {
	stored, err := s.readRecord(identityKey, identityRecord)
	if err != nil {
		return err
	}
	if stored != nil {
		if err := json.Unmarshal(stored, &s.Identity); err != nil {
			return err
		}
		if s.Instance != instance && instance != "" {
			return fmt.Errorf("the ledger is %q's, not %q's", s.Instance, instance)
		}
		return nil
	}
	if s.Identity, err = newIdentity(instance, now); err != nil {
		return err
	}
	s.Recovery.Created = true
	payload, _ := json.Marshal(s.Identity) // strings and numbers can't fail
	return s.db.Set([]byte(identityKey), seal(identityRecord, payload), pebble.Sync)
}
