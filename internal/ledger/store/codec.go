// Package store makes the ledger durable: entries in an embedded store (Pebble), each with a version and a checksum, committed in
// groups; recovery that verifies what it reads; checkpoints that bound it; and a recorder between the broker's loop and the
// disk, which never makes the loop wait.
//
// Invariants: an entry counts in Store.Ledger only once it is durable; a store that can't be verified completely isn't opened;
// an entry that a sink has not got is never retired.
package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
)

// recordVersion is the version of a record's form. A newer program reads all older ones; an older one refuses newer ones.
const recordVersion = 2

// Errors of Decode.
var (
	ErrTorn  = disk.ErrTorn
	ErrNewer = disk.ErrNewer
)

// entryVersion1 is the first form: corrections had no reference of their own and none might leave a total below 0.
type entryVersion1 struct {
	Instance        string           `json:"Instance"`
	Epoch           uint64           `json:"Epoch"`
	Sequence        uint64           `json:"Seq"`
	Kind            ledger.EntryKind `json:"Sort"`
	Period          int64            `json:"Period"`
	RecordedAt      int64            `json:"At"`
	Key             ledger.Key       `json:"Key"`
	Counts          ledger.Counts    `json:"Counts"`
	CorrectionID    string           `json:"ID"`
	Author          string           `json:"Author"`
	Reason          string           `json:"Reason"`
	CorrectedPeriod int64            `json:"Refers"`
	SealedEntries   uint64           `json:"Entries"`
	SealedHash      uint64           `json:"Hash"`
}

// version1Reference stands where a correction of version 1 has no reference.
const version1Reference = "before version 2"

func (e *entryVersion1) upgrade() *ledger.Entry {
	upgraded := &ledger.Entry{
		Instance:        e.Instance,
		Epoch:           e.Epoch,
		Sequence:        e.Sequence,
		Kind:            e.Kind,
		Period:          e.Period,
		RecordedAt:      e.RecordedAt,
		Key:             e.Key,
		Counts:          e.Counts,
		CorrectionID:    e.CorrectionID,
		Author:          e.Author,
		Reason:          e.Reason,
		CorrectedPeriod: e.CorrectedPeriod,
		SealedEntries:   e.SealedEntries,
		SealedHash:      e.SealedHash,
	}
	if upgraded.Kind == ledger.Correction {
		upgraded.Reference = version1Reference
	}
	return upgraded
}

// The kinds of records.
const (
	entryRecord       = 'e'
	identityRecord    = 'i'
	checkpointRecord  = 'c'
	exportRecord      = 'x'
	highestTimeRecord = 'h'
)

// The keys of records.
const (
	entryKeyPrefix  = "e/"
	entryKeyEnd     = "e0" // after all entries: '0' follows '/'
	identityKey     = "identity"
	highestTimeKey  = "highest"
	checkpointKey   = "checkpoint"
	exportKeyPrefix = "cursor/"
)

func entryKey(sequence uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(entryKeyPrefix), sequence)
}

func sequenceOf(key []byte) uint64 { return binary.BigEndian.Uint64(key[len(entryKeyPrefix):]) }

// seal puts a version and a checksum before a payload.
func seal(kind byte, payload []byte) []byte { return disk.Seal(recordVersion, kind, payload) }

// unseal checks a record and returns its payload and version.
func unseal(kind byte, record []byte) (payload []byte, version byte, err error) {
	return disk.Unseal(recordVersion, kind, record)
}

// Encode writes an entry.
func Encode(e *ledger.Entry) []byte {
	payload, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings, numbers and booleans can't fail
	}
	return seal(entryRecord, payload)
}

// Decode reads an entry of any version up to this one's.
func Decode(record []byte) (*ledger.Entry, error) {
	payload, version, err := unseal(entryRecord, record)
	if err != nil {
		return nil, err
	}
	if version == 1 {
		var old entryVersion1
		if err := json.Unmarshal(payload, &old); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTorn, err)
		}
		return old.upgrade(), nil
	}
	e := &ledger.Entry{}
	if err := json.Unmarshal(payload, e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrTorn, err)
	}
	return e, nil
}
