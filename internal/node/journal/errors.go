package journal

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("journal")

// The types of errors of this package; test them by errorx.IsOfType.
var (
	// Unreadable: the disk can't be read, so that nothing is known of its contents.
	Unreadable = namespace.NewType("unreadable")
	// WriteFailed: the disk refused a write or a sync. The same write may be tried again.
	WriteFailed = namespace.NewType("write_failed")
	// Full: the segment has no space left for the records; a checkpoint frees space.
	Full = namespace.NewType("full")
	// TooLarge: the records of a checkpoint don't fit into a segment.
	TooLarge = namespace.NewType("too_large")
	// Skipped: a write was not tried, as an earlier one had failed.
	Skipped = namespace.NewType("skipped")
)
