package ledger

import "sort"

// State is the state of a period.
type State uint8

// The states of a period, in the order in which it takes them. Checkpoints keep these values.
const (
	Open State = iota
	Closing
	Closed
)

// String returns the state's name.
func (s State) String() string { return [...]string{"open", "closing", "closed"}[min(int(s), 2)] }

// Period is what is known of one period.
type Period struct {
	Start       int64 // Unix ms
	State       State
	Entries     uint64
	Hash        uint64 // of its entries in their order
	Total       Counts // of uses
	Corrections Counts // that refer to it, wherever they are posted
	totals      map[Key]*Counts
	corrections map[Key]*Counts
}

func newPeriod(start int64) *Period {
	return &Period{Start: start, totals: map[Key]*Counts{}, corrections: map[Key]*Counts{}}
}

// Keys returns the period's keys in order.
func (p *Period) Keys() []Key {
	seen := map[Key]bool{}
	for key := range p.totals {
		seen[key] = true
	}
	for key := range p.corrections {
		seen[key] = true
	}
	keys := make([]Key, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Less(keys[j]) })
	return keys
}

// Counts returns a key's use in the period before corrections, and what corrections add.
func (p *Period) Counts(key Key) (used, corrected Counts) {
	if counts := p.totals[key]; counts != nil {
		used = *counts
	}
	if counts := p.corrections[key]; counts != nil {
		corrected = *counts
	}
	return used, corrected
}

// addCounts adds to a key's sum and to the total of all keys: to both or, where one would overflow, to neither.
func addCounts(sums map[Key]*Counts, key Key, counts Counts, total *Counts) bool {
	newTotal := *total
	if !newTotal.Add(counts) {
		return false
	}
	var newSum Counts
	sum := sums[key]
	if sum != nil {
		newSum = *sum
	}
	if !newSum.Add(counts) {
		return false
	}
	*total = newTotal
	if sum == nil {
		sum = &Counts{}
		sums[key] = sum
	}
	*sum = newSum
	return true
}
