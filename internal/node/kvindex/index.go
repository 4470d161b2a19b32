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
	key    uint64 // of salt and part
	next   int32  // in the list of its key
	holder uint32
	life   uint32 // of the holder when it was made: those of former lives don't count
	tokens uint32 // kept
	used   bool   // again since it was made or the hand last passed
}

// holder is a broker or store.
type holder struct {
	name string
	life uint32 // raised when all that it kept is gone
	held int    // records of it, of former lives too
	gone bool
	// Scratch of Holders: how much of the prompt asked for is kept without a gap.
	query  uint64
	whole  int // parts kept whole so far
	tokens int
}

// Index tells who keeps which parts. It is not safe for concurrent use: see Guarded.
type Index struct {
	records []record
	first   map[uint64]int32 // record by key
	most    int
	hand    int   // next record to be given up unless it was used
	unused  int32 // list of free records

	holders []holder
	vacant  []uint32 // numbers of holders that are gone and have no records
	byName  map[string]uint32
	query   uint64
	found   []routing.Holder
	touched []uint32
}

var _ routing.Index = (*Index)(nil)

// NewIndex returns an empty index of at most `records` records, each of about 60 bytes.
func NewIndex(records int) *Index {
	return &Index{first: map[uint64]int32{}, most: max(records, 1), unused: noRecord, byName: map[string]uint32{}}
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

// holderOf finds a holder's number, and makes one where it is new.
func (x *Index) holderOf(name string) uint32 {
	if number, ok := x.byName[name]; ok {
		return number
	}
	number := x.newHolder()
	x.holders[number].name = name
	x.byName[name] = number
	return number
}

func (x *Index) newHolder() uint32 {
	if n := len(x.vacant); n > 0 {
		number := x.vacant[n-1]
		x.vacant = x.vacant[:n-1]
		x.holders[number] = holder{life: x.holders[number].life + 1}
		return number
	}
	x.holders = append(x.holders, holder{})
	return uint32(len(x.holders) - 1)
}

// Set notes how many tokens of a part a holder keeps under a salt; 0: none any more.
func (x *Index) Set(name string, salt, part uint64, tokens int) {
	key := keyOf(salt, part)
	if tokens > 0 {
		x.put(key, x.holderOf(name), uint32(tokens))
		return
	}
	number, ok := x.byName[name]
	if !ok {
		return
	}
	if at := x.find(key, number); at != noRecord {
		x.drop(at)
		x.records[at].next = x.unused
		x.unused = at
	}
}

// Observed notes that a request with these parts has run at a holder under a salt: they are kept there now.
func (x *Index) Observed(name string, salt uint64, parts []routing.PromptPart) {
	number := x.holderOf(name)
	for _, part := range parts {
		if part.Tokens > 0 {
			x.put(keyOf(salt, part.ID), number, uint32(part.Tokens))
		}
	}
}

// Reset drops all that a holder keeps, as after its restart or when it got new weights.
func (x *Index) Reset(name string) {
	if number, ok := x.byName[name]; ok {
		x.holders[number].life++
	}
}

// Forget drops a holder that is gone.
func (x *Index) Forget(name string) {
	number, ok := x.byName[name]
	if !ok {
		return
	}
	delete(x.byName, name)
	x.holders[number].life++
	x.holders[number].gone = true
	x.vacate(number)
}

// vacate lets the number of a holder that is gone be used again, once no record names it.
func (x *Index) vacate(number uint32) {
	if h := &x.holders[number]; h.gone && h.held == 0 {
		x.vacant = append(x.vacant, number)
	}
}

// Records counts what is held, records of former lives included.
func (x *Index) Records() int {
	count := 0
	for i := range x.holders {
		count += x.holders[i].held
	}
	return count
}

func (x *Index) put(key uint64, number, tokens uint32) {
	if at := x.find(key, number); at != noRecord {
		r := &x.records[at]
		r.tokens, r.life, r.used = tokens, x.holders[number].life, true
		return
	}
	at := x.free()
	x.records[at] = record{
		key: key, next: x.head(key), holder: number, life: x.holders[number].life, tokens: tokens,
	}
	x.first[key] = at
	x.holders[number].held++
}

func (x *Index) head(key uint64) int32 {
	if at, ok := x.first[key]; ok {
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

// free is the place of a record that can be written: one that is free, a new one, or one that was not used since the hand
// last passed.
func (x *Index) free() int32 {
	if at := x.unused; at != noRecord {
		x.unused = x.records[at].next
		return at
	}
	if len(x.records) < x.most {
		x.records = append(x.records, record{})
		return int32(len(x.records) - 1)
	}
	for {
		at := x.hand
		x.hand = (x.hand + 1) % len(x.records)
		if r := &x.records[at]; r.used && x.live(r) {
			r.used = false
			continue
		}
		x.drop(int32(at))
		return int32(at)
	}
}

// live reports whether a record is of its holder's present life.
func (x *Index) live(r *record) bool { return r.life == x.holders[r.holder].life }

// drop takes a record out of the list of its key.
func (x *Index) drop(at int32) {
	r := &x.records[at]
	if first := x.first[r.key]; first != at {
		before := first
		for x.records[before].next != at {
			before = x.records[before].next
		}
		x.records[before].next = r.next
	} else if r.next != noRecord {
		x.first[r.key] = r.next
	} else {
		delete(x.first, r.key)
	}
	number := r.holder
	*r = record{next: noRecord}
	x.holders[number].held--
	x.vacate(number)
}
