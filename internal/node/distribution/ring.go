package distribution

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// ring holds the newest entries, in order and without gaps, up to maxRingEntries and maxRingBytes.
// The newest is held whatever its size.
type ring struct {
	entries []*nodepb.Entry
	sizes   []int // bytes of each entry as encoded
	bytes   int   // sum of sizes
}

// lastIndex is that of the newest entry, 0 without one.
func (r *ring) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Index
}

// add appends an entry. If it does not follow the last one, those before the gap are dropped.
func (r *ring) add(entry *nodepb.Entry) {
	if len(r.entries) > 0 && entry.Index != r.lastIndex()+1 {
		r.clear()
	}
	size := proto.Size(entry)
	r.entries = append(r.entries, entry)
	r.sizes = append(r.sizes, size)
	r.bytes += size
	for len(r.entries) > 1 && (len(r.entries) > maxRingEntries || r.bytes > maxRingBytes) {
		r.dropFirst()
	}
}

// dropFirst drops the oldest entry.
func (r *ring) dropFirst() {
	r.bytes -= r.sizes[0]
	r.entries[0] = nil // released, also while the array lives
	r.entries = r.entries[1:]
	r.sizes = r.sizes[1:]
}

func (r *ring) clear() { *r = ring{} }

// after returns the entries that follow index, and whether they are all there up to the newest.
func (r *ring) after(index uint64) ([]*nodepb.Entry, bool) {
	if len(r.entries) == 0 || index+1 < r.entries[0].Index || index > r.lastIndex() {
		return nil, false
	}
	return r.entries[index+1-r.entries[0].Index:], true
}
