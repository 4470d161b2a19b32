package core_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

func TestMillisecondsRoundsUpWithinBounds(t *testing.T) {
	for span, want := range map[time.Duration]uint32{
		-time.Hour:                        0,
		0:                                 0,
		1:                                 1,
		time.Millisecond:                  1,
		time.Millisecond + 1:              2,
		math.MaxUint32 * time.Millisecond: math.MaxUint32,
		60 * 24 * time.Hour:               math.MaxUint32,
	} {
		assert.Equal(t, core.Milliseconds(span), want, "%v", span)
	}
	assert.Equal(t, core.Duration(1500), 1500*time.Millisecond)
}
