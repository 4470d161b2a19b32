package chain

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// recentEntries keeps the newest committed entries, oldest first, for joiners that lack only these.
// Its bounds are maxRecentEntries and maxRecentEntryBytes.
type recentEntries struct {
	entries []*nodepb.Entry
	bytes   int // encoded size of the entries
}

func (e *recentEntries) add(entry *nodepb.Entry) {
	e.entries = append(e.entries, entry)
	e.bytes += proto.Size(entry)
	for len(e.entries) > maxRecentEntries || e.bytes > maxRecentEntryBytes && len(e.entries) > 0 {
		e.bytes -= proto.Size(e.entries[0])
		e.entries = append(e.entries[:0], e.entries[1:]...)
	}
}

// after lists the entries after the position; complete is false where some of them are no longer
// kept.
func (e *recentEntries) after(from position) (entries []*nodepb.Entry, complete bool) {
	for i, entry := range e.entries {
		if positionOf(entry) == from {
			return slices.Clone(e.entries[i+1:]), true
		}
	}
	return nil, false
}
