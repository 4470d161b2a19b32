package journal

import "errors"

// The errors of this package; test for them with errors.Is. They wrap the system's error where
// there is one.
var (
	// ErrUnreadable: the disk can't be read, so that nothing is known of its contents.
	ErrUnreadable = errors.New("journal: disk unreadable")
	// ErrWriteFailed: the disk refused a write or a sync. The same write may be tried again.
	ErrWriteFailed = errors.New("journal: write failed")
	// ErrFull: the segment has no space left for the records; a checkpoint frees space.
	ErrFull = errors.New("journal: segment full")
	// ErrTooLarge: the records of a checkpoint don't fit into a segment.
	ErrTooLarge = errors.New("journal: checkpoint too large")
	// ErrSkipped: a write was not tried, as an earlier one had failed.
	ErrSkipped = errors.New("journal: write skipped")
)
