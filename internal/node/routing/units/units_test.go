package units

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMilliseconds(t *testing.T) {
	assert.Equal(t, Milliseconds(1500*time.Microsecond), 1.5)
	assert.Equal(t, FromMilliseconds(2.25), 2250*time.Microsecond)
}
