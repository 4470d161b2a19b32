package kvindex

import (
	"strings"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// blockTokens is the size of a broker's cache blocks: a part counts as completely cached if less than
// a block is missing.
const blockTokens = 16

// storePrefix marks the names of stores among those of brokers.
const storePrefix = "store "

// StoreName returns the name under which the index knows the store at an address.
func StoreName(address string) string { return storePrefix + address }

// storeAddress returns the address in a store's name; false for the name of a broker.
func storeAddress(name string) (string, bool) { return strings.CutPrefix(name, storePrefix) }

// noRecord ends a list of records.
const noRecord = int32(-1)

// record is one part that a holder caches under a salt. Records of the same part and salt form a list.
type record struct {
	key         uint64 // hash of salt and part
	next        int32  // slot of the next record in the list of its key, or in the free list
	holder      uint32 // its number
	incarnation uint32 // of the holder when the record was written; another one makes it stale
	tokens      uint32 // cached
	referenced  bool   // used since it was written or the clock hand last passed
}

// holder is a broker or store.
type holder struct {
	name        string
	incarnation uint32 // raised when all that it cached is lost
	recordCount int    // of all incarnations
	gone        bool
	// The match of the query with the number `query`; other queries reset it.
	matchedQuery  uint64
	completeParts int // parts cached completely, from the first one on
	matchedTokens int // tokens cached without a gap, from the first one on
}

// Index finds the holders of a prompt's parts. It is not safe for concurrent use: see Guarded.
//
// A stale record, of a former incarnation of its holder, is never found. It is evicted when the clock
// hand reaches it, so that the loss of a whole cache takes constant time.
type Index struct {
	records    []record
	headByKey  map[uint64]int32 // slot of the first record of a key
	maxRecords int
	clockHand  int   // slot that is looked at next for eviction
	freeList   int32 // slot of the first free record

	holders        []holder // by number
	freeHolders    []uint32 // numbers of holders that are gone and have no records
	holderByName   map[string]uint32
	lastQuery      uint64               // number of the latest query
	results        []prefixcache.Holder // of the latest query
	matchedHolders []uint32             // numbers of the holders that the latest query matched
}

var _ prefixcache.Index = (*Index)(nil)

// NewIndex returns an empty index of at most maxRecords records, each of about 60 bytes.
func NewIndex(maxRecords int) *Index {
	return &Index{
		headByKey: map[uint64]int32{}, maxRecords: max(maxRecords, 1), freeList: noRecord, holderByName: map[string]uint32{},
	}
}

// recordKey hashes salt and part to 64 bits (the finaliser of splitmix64). A collision makes a wrong hint,
// no more.
func recordKey(salt, part uint64) uint64 {
	x := salt ^ part*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// holderNumber returns a holder's number; a new holder gets one.
func (x *Index) holderNumber(name string) uint32 {
	if number, ok := x.holderByName[name]; ok {
		return number
	}
	number := x.newHolder()
	x.holders[number].name = name
	x.holderByName[name] = number
	return number
}

// newHolder returns the number of a new holder. A number that is used again gets a new incarnation.
func (x *Index) newHolder() uint32 {
	if count := len(x.freeHolders); count > 0 {
		number := x.freeHolders[count-1]
		x.freeHolders = x.freeHolders[:count-1]
		x.holders[number] = holder{incarnation: x.holders[number].incarnation + 1}
		return number
	}
	x.holders = append(x.holders, holder{})
	return uint32(len(x.holders) - 1)
}

// Set records how many tokens of a part a holder caches under a salt; 0 removes the record.
func (x *Index) Set(name string, salt, part uint64, tokens int) {
	key := recordKey(salt, part)
	if tokens > 0 {
		x.put(key, x.holderNumber(name), uint32(tokens))
		return
	}
	number, ok := x.holderByName[name]
	if !ok {
		return
	}
	if slot := x.find(key, number); slot != noRecord {
		x.unlink(slot)
		x.records[slot].next = x.freeList
		x.freeList = slot
	}
}

// Observed records that a request with these parts has run at a holder under a salt, which caches them
// since.
func (x *Index) Observed(name string, salt uint64, parts []prompt.Part) {
	number := x.holderNumber(name)
	for _, part := range parts {
		if part.Tokens > 0 {
			x.put(recordKey(salt, part.ID), number, uint32(part.Tokens))
		}
	}
}

// InvalidateHolder drops all that a holder caches, as after its restart or the load of new weights.
func (x *Index) InvalidateHolder(name string) {
	if number, ok := x.holderByName[name]; ok {
		x.holders[number].incarnation++
	}
}

// RemoveHolder drops a holder that is gone.
func (x *Index) RemoveHolder(name string) {
	number, ok := x.holderByName[name]
	if !ok {
		return
	}
	delete(x.holderByName, name)
	x.holders[number].incarnation++
	x.holders[number].gone = true
	x.releaseHolder(number)
}

// releaseHolder frees the number of a holder that is gone, once no record names it.
func (x *Index) releaseHolder(number uint32) {
	if h := &x.holders[number]; h.gone && h.recordCount == 0 {
		x.freeHolders = append(x.freeHolders, number)
	}
}

// RecordCount returns the number of records, stale ones included.
func (x *Index) RecordCount() int {
	count := 0
	for i := range x.holders {
		count += x.holders[i].recordCount
	}
	return count
}

// put writes the record of a holder's part, a new one at the head of its key's list.
func (x *Index) put(key uint64, number, tokens uint32) {
	if slot := x.find(key, number); slot != noRecord {
		r := &x.records[slot]
		r.tokens, r.incarnation, r.referenced = tokens, x.holders[number].incarnation, true
		return
	}
	// The slot comes first: it may evict a record of the same key, and with it the head of the list.
	slot := x.allocateRecord()
	x.records[slot] = record{
		key: key, next: x.head(key), holder: number, incarnation: x.holders[number].incarnation, tokens: tokens,
	}
	x.headByKey[key] = slot
	x.holders[number].recordCount++
}

// head returns the slot of the first record of a key, noRecord without one.
func (x *Index) head(key uint64) int32 {
	if slot, ok := x.headByKey[key]; ok {
		return slot
	}
	return noRecord
}

// find returns the slot of a holder's record of a key, noRecord without one.
func (x *Index) find(key uint64, number uint32) int32 {
	slot := x.head(key)
	for slot != noRecord && x.records[slot].holder != number {
		slot = x.records[slot].next
	}
	return slot
}

// allocateRecord returns a slot that can be written: a free one, a new one, or that of an evicted
// record. Eviction is CLOCK: a live record that was referenced since the hand last passed is spared
// once.
func (x *Index) allocateRecord() int32 {
	if slot := x.freeList; slot != noRecord {
		x.freeList = x.records[slot].next
		return slot
	}
	if len(x.records) < x.maxRecords {
		x.records = append(x.records, record{})
		return int32(len(x.records) - 1)
	}
	for {
		slot := x.clockHand
		x.clockHand = (x.clockHand + 1) % len(x.records)
		if r := &x.records[slot]; r.referenced && x.live(r) {
			r.referenced = false
			continue
		}
		x.unlink(int32(slot))
		return int32(slot)
	}
}

// live reports whether a record is of its holder's present incarnation.
func (x *Index) live(r *record) bool { return r.incarnation == x.holders[r.holder].incarnation }

// unlink removes a record from the list of its key and clears it.
func (x *Index) unlink(slot int32) {
	r := &x.records[slot]
	if first := x.headByKey[r.key]; first != slot {
		previous := first
		for x.records[previous].next != slot {
			previous = x.records[previous].next
		}
		x.records[previous].next = r.next
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
