package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

func TestGapsOfStreamAreReported(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		pauses []core.Time
		want   routing.EventGaps
	}{
		{"no event", nil, routing.EventGaps{}},
		{"even", []core.Time{30 * ms, 30 * ms, 30 * ms, 30 * ms}, routing.EventGaps{Count: 4, Typical: 30 * ms, Max: 30 * ms}},
		{"prompts are read most of the time", []core.Time{300 * ms, 31 * ms, 350 * ms, 30 * ms, 320 * ms, 290 * ms, 310 * ms},
			routing.EventGaps{Count: 7, Typical: 31 * ms, Max: 350 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var meter gapMeter
			now := 5 * time.Second
			meter.observe(now)
			for _, gap := range c.pauses {
				now += gap
				meter.observe(now)
			}
			assert.Equal(t, meter.summary(), c.want)
		})
	}
}

// TestTypicalGapOfLongStreamIsFromItsStart: the longest gap counts wherever it is, the typical one is of the first ones.
func TestTypicalGapOfLongStreamIsFromItsStart(t *testing.T) {
	var meter gapMeter
	now := time.Second
	meter.observe(now)
	for i := range 3 * maxRecordedGaps {
		gap := 20 * time.Millisecond
		if i == 2*maxRecordedGaps {
			gap = time.Second
		}
		now += gap
		meter.observe(now)
	}
	assert.Equal(t, meter.summary(), routing.EventGaps{Count: 3 * maxRecordedGaps, Typical: 20 * time.Millisecond, Max: time.Second})
}
