package ledger

import (
	"slices"
	"sort"
)

// Buffer stands between the broker's loop, which must not wait, and the disk, which may be slow: uses of one key and period
// merge, so that what is pending is bounded by the number of live keys and nothing is ever dropped. A sum that would no
// longer fit into its integers is set aside and another one begun.
type Buffer struct {
	pending map[bufferKey]*Counts
	full    []BufferedUse // sums that could take no more
	uses    int64
}

type bufferKey struct {
	period int64
	key    Key
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{pending: map[bufferKey]*Counts{}} }

// Add adds a use in the period that begins at a time.
func (b *Buffer) Add(period int64, key Key, counts Counts) {
	b.uses++
	b.merge(bufferKey{period, key}, &counts)
}

// merge copies counts only where the key is new: most uses cost no allocation.
func (b *Buffer) merge(key bufferKey, counts *Counts) {
	sum := b.pending[key]
	if sum == nil {
		sum = &Counts{}
		b.pending[key] = sum
	}
	if mutantMerge {
		*sum = Counts{} // loses what was pending
	}
	if !sum.Fits(*counts) {
		b.full = append(b.full, BufferedUse{key.period, key.key, *sum})
		*sum = Counts{}
	}
	sum.Add(*counts)
}

// Keys is the number of pending sums: one a key and period, and those set aside.
func (b *Buffer) Keys() int { return len(b.pending) + len(b.full) }

// Uses is the number of uses that were ever added.
func (b *Buffer) Uses() int64 { return b.uses }

// BufferedUse is the sum of one key and period.
type BufferedUse struct {
	Period int64
	Key    Key
	Counts Counts
}

// TakeAll takes all that is pending, in order.
func (b *Buffer) TakeAll() []BufferedUse {
	list := slices.Grow(b.full, len(b.pending))
	b.full = nil
	for at, counts := range b.pending {
		list = append(list, BufferedUse{at.period, at.key, *counts})
	}
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Period != list[j].Period {
			return list[i].Period < list[j].Period
		}
		return list[i].Key.Less(list[j].Key)
	})
	clear(b.pending)
	return list
}

// PutBack returns what was taken and could not be made durable; it merges with what was added since.
func (b *Buffer) PutBack(list []BufferedUse) {
	for _, use := range list {
		b.merge(bufferKey{use.Period, use.Key}, &use.Counts)
	}
}
