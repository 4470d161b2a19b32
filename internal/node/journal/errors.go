package journal

import "github.com/joomcode/errorx"

// The errors of this package.
var (
	namespace = errorx.NewNamespace("journal")
	// Unreadable: what is on the disk can't be read, so that nothing is known of it.
	Unreadable = namespace.NewType("unreadable")
	// WriteFailed: the disk refused a write or a sync. The same write may be tried again.
	WriteFailed = namespace.NewType("unwritten")
	// Full: no room is left for the records; a checkpoint makes room.
	Full = namespace.NewType("full")
	// TooLarge: the records of a checkpoint can't fit into a segment.
	TooLarge = namespace.NewType("too_large")
	// Skipped: a write was not tried, as one before it failed, or as the writer was closed.
	Skipped = namespace.NewType("skipped")
)
