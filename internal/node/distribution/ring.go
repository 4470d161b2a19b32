package distribution

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// ring keeps the newest entries, in order without gaps.
type ring struct {
	entries []*nodepb.Entry
	sizes   []int
	bytes   int
}

// lastIndex is the index of the newest entry, 0 without one.
func (r *ring) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Index
}

// add appends an entry. One that does not follow the last makes all before it useless.
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

func (r *ring) dropFirst() {
	r.bytes -= r.sizes[0]
	r.entries[0] = nil
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
