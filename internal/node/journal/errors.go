package journal

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("journal")

// The types of errors of this package; test them by errorx.IsOfType.
var (
	// ErrUnreadable: the disk can't be read, so that nothing is known of its contents.
	ErrUnreadable = namespace.NewType("unreadable")
	// ErrWriteFailed: the disk refused a write or a sync. The same write may be tried again.
	ErrWriteFailed = namespace.NewType("write_failed")
	// ErrFull: the segment has no space left for the records; a checkpoint frees space.
	ErrFull = namespace.NewType("full")
	// ErrTooLarge: the records of a checkpoint don't fit into a segment.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrSkipped: a write was not tried, as an earlier one had failed.
	ErrSkipped = namespace.NewType("skipped")
)
