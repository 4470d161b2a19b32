package routing

import (
	"time"

	"kestrelspread/internal/node/core"
)

// milliseconds converts a steady time into the unit of packages predict and window.
func milliseconds(t core.Time) float64 { return float64(t) / float64(time.Millisecond) }

// fromMilliseconds converts a figure of the configuration into a time.
func fromMilliseconds(ms float64) core.Time { return core.Time(ms * float64(time.Millisecond)) }
