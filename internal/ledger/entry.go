package ledger

import (
	"fmt"
	"hash/fnv"
)

// EntryKind is the kind of an entry.
type EntryKind uint8

// The kinds of entries. Stored entries keep these values.
const (
	Use        EntryKind = iota + 1
	Correction           // who, why and of what stand with it
	Close                // a period is closed: its total and the hash of its entries stand with it
)

// String returns the kind's name in exports.
func (k EntryKind) String() string {
	switch k {
	case Use:
		return "use"
	case Correction:
		return "correction"
	case Close:
		return "close"
	}
	return "unknown"
}

// Entry is one line of the ledger. (Instance, Epoch, Sequence) identifies it for good. Its JSON is stored.
type Entry struct {
	Instance   string    `json:"Instance"`
	Epoch      uint64    `json:"Epoch"`
	Sequence   uint64    `json:"Seq"` // from 1, without gaps
	Kind       EntryKind `json:"Sort"`
	Period     int64     `json:"Period"` // the period that it is posted to: its start, Unix ms
	RecordedAt int64     `json:"At"`     // Unix ms
	Key        Key       `json:"Key"`
	Counts     Counts    `json:"Counts"`
	// Of a correction.
	CorrectionID    string `json:"ID"` // given twice it counts once
	Author          string `json:"Author"`
	Reason          string `json:"Reason"`
	Reference       string `json:"Reference"` // the bill, ticket or correction that it is about
	CorrectedPeriod int64  `json:"Refers"`    // other than Period where that was closed
	NegativeAllowed bool   `json:"Forced"`    // it may leave a total below 0
	// Of a close.
	SealedEntries uint64 `json:"Entries"` // posted to the period
	SealedHash    uint64 `json:"Hash"`    // of them in their order
}

// chainHash hashes what an entry says, chained to the hash of the period's entries before it. Stored closes hold these
// hashes: the text must stay as it is.
func (e *Entry) chainHash(before uint64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x|%s|%d|%d|%d|%d|%s|%s|%d|%d|%v|%s|%s|%s|%s|%d|%v", before, e.Instance, e.Epoch, e.Sequence, e.Kind, e.Period,
		e.Key.Customer, e.Key.QueryType, e.Key.Front, e.Key.Outcome, e.Counts, e.CorrectionID, e.Author, e.Reason, e.Reference,
		e.CorrectedPeriod, e.NegativeAllowed)
	return h.Sum64()
}
