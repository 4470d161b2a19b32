package kvindex

import (
	"strings"

	"kestrelspread/internal/node/routing"
)

// blockTokens is how coarsely brokers keep parts: a part counts as kept whole where no more than that is missing.
const blockTokens = 16

// storePrefix marks the names of stores among those of brokers.
const storePrefix = "store "

// StoreName is the name under which the index knows the store at an address.
func StoreName(address string) string { return storePrefix + address }

// storeAddress is the address in a store's name.
func storeAddress(name string) (string, bool) { return strings.CutPrefix(name, storePrefix) }

// noRecord ends a list of records.
const noRecord = int32(-1)

// record says that one holder keeps a part under a salt. Records of the same part and salt form a list.
type record struct {
	key         uint64 // of salt and part
	next        int32  // in the list of its key
	holder      uint32
	incarnation uint32 // of the holder when it was made: those of former lives don't count
	tokens      uint32 // kept
	referenced  bool   // again since it was made or the hand last passed
}

// holder is a broker or store.
type holder struct {
	name        string
	incarnation uint32 // raised when all that it kept is gone
	recordCount int    // records of it, of former lives too
	gone        bool
	// Scratch of Holders: how much of the prompt asked for is kept without a gap.
	query         uint64
	completeParts int // parts kept whole so far
	tokens        int
}

// Index tells who keeps which parts. It is not safe for concurrent use: see Guarded.
type Index struct {
	records    []record
	headByKey  map[uint64]int32 // record by key
	maxRecords int
	clockHand  int   // next record to be given up unless it was used
	freeList   int32 // list of free records

	holders        []holder
	freeHolders    []uint32 // numbers of holders that are gone and have no records
	holderByName   map[string]uint32
	query          uint64
	results        []routing.Holder
	matchedHolders []uint32
}

var _ routing.Index = (*Index)(nil)

// NewIndex returns an empty index of at most `records` records, each of about 60 bytes.
func NewIndex(records int) *Index {
	return &Index{headByKey: map[uint64]int32{}, maxRecords: max(records, 1), freeList: noRecord, holderByName: map[string]uint32{}}
}

// keyOf spreads salt and part over 64 bits. Keys that collide make a wrong hint, no more.
func keyOf(salt, part uint64) uint64 {
	x := salt ^ part*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// holderNumber finds a holder's number, and makes one where it is new.
func (x *Index) holderNumber(name string) uint32 {
	if number, ok := x.holderByName[name]; ok {
		return number
	}
	number := x.newHolder()
	x.holders[number].name = name
	x.holderByName[name] = number
	return number
}

func (x *Index) newHolder() uint32 {
	if n := len(x.freeHolders); n > 0 {
		number := x.freeHolders[n-1]
		x.freeHolders = x.freeHolders[:n-1]
		x.holders[number] = holder{incarnation: x.holders[number].incarnation + 1}
		return number
	}
	x.holders = append(x.holders, holder{})
	return uint32(len(x.holders) - 1)
}

// Set notes how many tokens of a part a holder keeps under a salt; 0: none any more.
func (x *Index) Set(name string, salt, part uint64, tokens int) {
	key := keyOf(salt, part)
	if tokens > 0 {
		x.put(key, x.holderNumber(name), uint32(tokens))
		return
	}
	number, ok := x.holderByName[name]
	if !ok {
		return
	}
	if at := x.find(key, number); at != noRecord {
		x.unlink(at)
		x.records[at].next = x.freeList
		x.freeList = at
	}
}

// Observed notes that a request with these parts has run at a holder under a salt: they are kept there now.
func (x *Index) Observed(name string, salt uint64, parts []routing.PromptPart) {
	number := x.holderNumber(name)
	for _, part := range parts {
		if part.Tokens > 0 {
			x.put(keyOf(salt, part.ID), number, uint32(part.Tokens))
		}
	}
}

// Reset drops all that a holder keeps, as after its restart or when it got new weights.
func (x *Index) Reset(name string) {
	if number, ok := x.holderByName[name]; ok {
		x.holders[number].incarnation++
	}
}

// Forget drops a holder that is gone.
func (x *Index) Forget(name string) {
	number, ok := x.holderByName[name]
	if !ok {
		return
	}
	delete(x.holderByName, name)
	x.holders[number].incarnation++
	x.holders[number].gone = true
	x.releaseHolder(number)
}

// releaseHolder lets the number of a holder that is gone be used again, once no record names it.
func (x *Index) releaseHolder(number uint32) {
	if h := &x.holders[number]; h.gone && h.recordCount == 0 {
		x.freeHolders = append(x.freeHolders, number)
	}
}

// Records counts what is held, records of former lives included.
func (x *Index) Records() int {
	count := 0
	for i := range x.holders {
		count += x.holders[i].recordCount
	}
	return count
}

func (x *Index) put(key uint64, number, tokens uint32) {
	if at := x.find(key, number); at != noRecord {
		r := &x.records[at]
		r.tokens, r.incarnation, r.referenced = tokens, x.holders[number].incarnation, true
		return
	}
	at := x.allocateRecord()
	x.records[at] = record{
		key: key, next: x.head(key), holder: number, incarnation: x.holders[number].incarnation, tokens: tokens,
	}
	x.headByKey[key] = at
	x.holders[number].recordCount++
}

func (x *Index) head(key uint64) int32 {
	if at, ok := x.headByKey[key]; ok {
		return at
	}
	return noRecord
}

func (x *Index) find(key uint64, number uint32) int32 {
	at := x.head(key)
	for at != noRecord && x.records[at].holder != number {
		at = x.records[at].next
	}
	return at
}

// allocateRecord is the place of a record that can be written: one that is free, a new one, or one that was not used since the hand
// last passed.
func (x *Index) allocateRecord() int32 {
	if at := x.freeList; at != noRecord {
		x.freeList = x.records[at].next
		return at
	}
	if len(x.records) < x.maxRecords {
		x.records = append(x.records, record{})
		return int32(len(x.records) - 1)
	}
	for {
		at := x.clockHand
		x.clockHand = (x.clockHand + 1) % len(x.records)
		if r := &x.records[at]; r.referenced && x.live(r) {
			r.referenced = false
			continue
		}
		x.unlink(int32(at))
		return int32(at)
	}
}

// live reports whether a record is of its holder's present life.
func (x *Index) live(r *record) bool { return r.incarnation == x.holders[r.holder].incarnation }

// unlink takes a record out of the list of its key.
func (x *Index) unlink(at int32) {
	r := &x.records[at]
	if first := x.headByKey[r.key]; first != at {
		before := first
		for x.records[before].next != at {
			before = x.records[before].next
		}
		x.records[before].next = r.next
	} else if r.next != noRecord {
		x.headByKey[r.key] = r.next
	} else {
		delete(x.headByKey, r.key)
	}
	number := r.holder
	*r = record{next: noRecord}
	x.holders[number].recordCount--
	x.releaseHolder(number)
}
