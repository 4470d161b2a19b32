// Package units converts between core.Time and milliseconds, in which packages predict and window
// and the configuration express times.
package units

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Milliseconds converts a time to milliseconds.
func Milliseconds(t core.Time) float64 { return float64(t) / float64(time.Millisecond) }

// FromMilliseconds converts milliseconds to a time.
func FromMilliseconds(ms float64) core.Time { return core.Time(ms * float64(time.Millisecond)) }
