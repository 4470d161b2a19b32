// Package store makes the ledger durable: entries in an embedded store (Pebble), each with a version and a checksum, committed
// in groups; recovery that proves what it reads; checkpoints that bound it; and a recorder between the broker's loop and the
// disk, which never makes the loop wait.
package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
)

// version of a record's form. A newer program reads all older ones; an older one refuses newer ones.
const version = 2

// What Decode finds.
var (
	ErrTorn  = disk.ErrTorn
	ErrNewer = disk.ErrNewer
)

// entryV1 is the first form: corrections had no reference of their own and none was forced.
type entryV1 struct {
	Instance string        `json:"Instance"`
	Epoch    uint64        `json:"Epoch"`
	Seq      uint64        `json:"Seq"`
	Sort     ledger.Sort   `json:"Sort"`
	Period   int64         `json:"Period"`
	At       int64         `json:"At"`
	Key      ledger.Key    `json:"Key"`
	Counts   ledger.Counts `json:"Counts"`
	ID       string        `json:"ID"`
	Author   string        `json:"Author"`
	Reason   string        `json:"Reason"`
	Refers   int64         `json:"Refers"`
	Entries  uint64        `json:"Entries"`
	Hash     uint64        `json:"Hash"`
}

// seal puts a version and a checksum before a payload.
func seal(kind byte, payload []byte) []byte { return disk.Seal(version, kind, payload) }

// open checks a record and gives its payload and version.
func open(kind byte, b []byte) (payload []byte, v byte, err error) {
	return disk.Unseal(version, kind, b)
}

// Kinds of records.
const (
	anEntry      = 'e'
	anIdentity   = 'i'
	aCheckpoint  = 'c'
	aCursor      = 'x'
	theHighest   = 'h'
	entryKeys    = "e/"
	identityKey  = "identity"
	highestKey   = "highest"
	checkpointAt = "checkpoint"
	cursorKeys   = "cursor/"
)

func entryKey(seq uint64) []byte { return binary.BigEndian.AppendUint64([]byte(entryKeys), seq) }

// Encode writes an entry.
func Encode(e *ledger.Entry) []byte {
	b, err := json.Marshal(e)
	if err != nil { // its fields are plain values
		panic(err)
	}
	return seal(anEntry, b)
}

// Decode reads an entry of any version up to this one's.
func Decode(b []byte) (*ledger.Entry, error) {
	payload, v, err := open(anEntry, b)
	if err != nil {
		return nil, err
	}
	if v == 1 {
		var o entryV1
		if err := json.Unmarshal(payload, &o); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTorn, err)
		}
		e := &ledger.Entry{Instance: o.Instance, Epoch: o.Epoch, Seq: o.Seq, Sort: o.Sort, Period: o.Period, At: o.At, Key: o.Key, Counts: o.Counts,
			ID: o.ID, Author: o.Author, Reason: o.Reason, Refers: o.Refers, Entries: o.Entries, Hash: o.Hash}
		if e.Sort == ledger.Correction {
			e.Reference = "before version 2"
		}
		return e, nil
	}
	e := &ledger.Entry{}
	if err := json.Unmarshal(payload, e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrTorn, err)
	}
	return e, nil
}
