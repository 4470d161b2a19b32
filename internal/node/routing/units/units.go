// Package units converts between steady times and the milliseconds in which packages predict and
// window and the configuration count.
package units

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Milliseconds converts a steady time into milliseconds, the unit of packages predict and window.
func Milliseconds(t core.Time) float64 { return float64(t) / float64(time.Millisecond) }

// FromMilliseconds converts a figure of the configuration, in milliseconds, into a steady time.
func FromMilliseconds(ms float64) core.Time { return core.Time(ms * float64(time.Millisecond)) }
