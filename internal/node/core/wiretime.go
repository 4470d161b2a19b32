package core

import (
	"math"
	"time"
)

// Milliseconds converts a time span for a message between nodes. It rounds up, so that no age is
// understated; a negative span counts as 0, and one too long for the field as the longest.
func Milliseconds(span time.Duration) uint32 {
	if span <= 0 {
		return 0
	}
	return uint32(min((span+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

// Duration converts a time span of a message between nodes, in milliseconds.
func Duration(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
