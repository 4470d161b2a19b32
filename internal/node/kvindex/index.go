package kvindex

import (
	"strings"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// blockTokens is the size of a broker's cache blocks in tokens. Brokers cache whole blocks, so a part
// counts as completely cached if less than one block of it is missing.
const blockTokens = 16

// storePrefix distinguishes the names of stores from those of brokers.
const storePrefix = "store "

// StoreName returns the holder name, in the index, of the store at an address.
func StoreName(address string) string { return storePrefix + address }

// storeAddress returns the address in a store's name. The second result is false for a broker's name.
func storeAddress(name string) (string, bool) { return strings.CutPrefix(name, storePrefix) }

// noRecord takes the place of a slot number where there is no record, such as at the end of a list.
const noRecord = int32(-1)

// record is one part that one holder caches under a salt. The records of the same part and salt form a
// linked list.
type record struct {
	key         uint64 // hash of salt and part
	next        int32  // slot of the next record in the list of its key, or in the free list
	holder      uint32 // number of the holder
	incarnation uint32 // of the holder when the record was written; the record is stale once the holder has a higher one
	tokens      uint32 // tokens of the part that are cached
	referenced  bool   // matched or rewritten since it was created or the clock hand last passed
}

// holder is a broker or store that caches parts.
type holder struct {
	name        string
	incarnation uint32 // raised when its whole cache is lost
	recordCount int    // records of all incarnations that are stored
	gone        bool   // removed; its number becomes free once recordCount is 0
	// The two counts below belong to the query with the number matchedQuery. A later query resets them.
	matchedQuery  uint64
	completeParts int // consecutive completely cached parts from the start of the prompt
	matchedTokens int // tokens cached without a gap from the start of the prompt
}

// Index finds the holders that cache a prompt's parts. It is not safe for concurrent use: LockedIndex
// adds a mutex.
//
// A record of a former incarnation of its holder is stale: look-ups skip it, and it is evicted when the
// clock hand reaches it. So invalidating a holder's whole cache takes constant time.
type Index struct {
	records    []record
	headByKey  map[uint64]int32 // slot of the first record of a key
	maxRecords int
	clockHand  int   // slot that eviction examines next
	freeList   int32 // slot of the first free record, or noRecord

	holders        []holder             // the index is the holder's number
	freeHolders    []uint32             // numbers of removed holders without records
	holderByName   map[string]uint32    // number by name
	lastQuery      uint64               // number of the latest query
	results        []prefixcache.Holder // of the latest query
	matchedHolders []uint32             // numbers of the holders that the latest query matched
}

var _ prefixcache.Index = (*Index)(nil)

// NewIndex returns an empty index that holds at most maxRecords records of about 60 bytes each, and at
// least one.
func NewIndex(maxRecords int) *Index {
	return &Index{
		headByKey: map[uint64]int32{}, maxRecords: max(maxRecords, 1), freeList: noRecord, holderByName: map[string]uint32{},
	}
}

// recordKey hashes salt and part to 64 bits (finaliser of splitmix64). The only effect of a collision is
// a wrong hint.
func recordKey(salt, part uint64) uint64 {
	x := salt ^ part*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// holderNumber returns the number of the holder with a name, and assigns one to a new holder.
func (x *Index) holderNumber(name string) uint32 {
	if number, ok := x.holderByName[name]; ok {
		return number
	}
	number := x.newHolder()
	x.holders[number].name = name
	x.holderByName[name] = number
	return number
}

// newHolder returns the number of a new holder. A reused number gets a higher incarnation.
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

// Set records how many tokens of a part the named holder caches under a salt; 0 removes the record.
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

// Observed records that a request with these parts ran at the named holder under a salt, so that the
// holder now caches the parts completely.
func (x *Index) Observed(name string, salt uint64, parts []prompt.Part) {
	number := x.holderNumber(name)
	for _, part := range parts {
		if part.Tokens > 0 {
			x.put(recordKey(salt, part.ID), number, uint32(part.Tokens))
		}
	}
}

// InvalidateHolder drops all parts of a holder that has lost its cache, for example by a restart or by
// loading new weights.
func (x *Index) InvalidateHolder(name string) {
	if number, ok := x.holderByName[name]; ok {
		x.holders[number].incarnation++
	}
}

// RemoveHolder drops a holder that has left, with all of its parts.
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

// releaseHolder frees the number of a removed holder once no record refers to it.
func (x *Index) releaseHolder(number uint32) {
	if h := &x.holders[number]; h.gone && h.recordCount == 0 {
		x.freeHolders = append(x.freeHolders, number)
	}
}

// RecordCount returns the number of stored records, including stale ones.
func (x *Index) RecordCount() int {
	count := 0
	for i := range x.holders {
		count += x.holders[i].recordCount
	}
	return count
}

// put writes a holder's record of a key. A new record goes to the head of the key's list.
func (x *Index) put(key uint64, number, tokens uint32) {
	if slot := x.find(key, number); slot != noRecord {
		r := &x.records[slot]
		r.tokens, r.incarnation, r.referenced = tokens, x.holders[number].incarnation, true
		return
	}
	// The slot must be allocated before the list's head is read: the allocation may evict a record of the
	// same key, and that can be the head.
	slot := x.allocateRecord()
	x.records[slot] = record{
		key: key, next: x.head(key), holder: number, incarnation: x.holders[number].incarnation, tokens: tokens,
	}
	x.headByKey[key] = slot
	x.holders[number].recordCount++
}

// head returns the slot of the first record of a key, or noRecord.
func (x *Index) head(key uint64) int32 {
	if slot, ok := x.headByKey[key]; ok {
		return slot
	}
	return noRecord
}

// find returns the slot of a holder's record of a key, or noRecord.
func (x *Index) find(key uint64, number uint32) int32 {
	slot := x.head(key)
	for slot != noRecord && x.records[slot].holder != number {
		slot = x.records[slot].next
	}
	return slot
}

// allocateRecord returns a slot for a new record: a free one, an additional one, or that of an evicted
// record. Eviction uses the CLOCK algorithm: a live record that was referenced since the hand last
// passed is kept for one more round.
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

// live reports whether a record belongs to the current incarnation of its holder.
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
