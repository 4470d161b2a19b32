package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The platform needs two seconds to notice a shutdown. The time from the last accepted request until
// requests are aborted must be as long as possible, and the node must have ended before the grace is
// over.
func TestStopTimesLeaveTimeToFinishWithinGrace(t *testing.T) {
	table := map[time.Duration]stopTimes{
		8 * time.Second:  {refuseAfter: 2500 * time.Millisecond, closeAfter: 3600 * time.Millisecond, abortAfter: 7400 * time.Millisecond},
		30 * time.Second: {refuseAfter: 2500 * time.Millisecond, closeAfter: 13500 * time.Millisecond, abortAfter: 29400 * time.Millisecond},
		2 * time.Second:  {refuseAfter: 700 * time.Millisecond, closeAfter: 900 * time.Millisecond, abortAfter: 1760 * time.Millisecond},
	}
	for grace, want := range table {
		assert.Equal(t, stopTimesOf(grace), want)
	}
}
