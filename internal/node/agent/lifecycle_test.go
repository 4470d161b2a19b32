package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The platform needs two seconds to notice a stop. What a request that is taken may last until it is cut off must be as long as can
// be, and the node must have ended before the grace is over.
func TestStopTimes(t *testing.T) {
	table := map[time.Duration]stopTimes{
		8 * time.Second:  {refuse: 2500 * time.Millisecond, close: 3600 * time.Millisecond, cut: 7400 * time.Millisecond},
		30 * time.Second: {refuse: 2500 * time.Millisecond, close: 13500 * time.Millisecond, cut: 29400 * time.Millisecond},
		2 * time.Second:  {refuse: 700 * time.Millisecond, close: 900 * time.Millisecond, cut: 1760 * time.Millisecond},
	}
	for grace, want := range table {
		assert.Equal(t, stopTimesOf(grace), want)
	}
}
