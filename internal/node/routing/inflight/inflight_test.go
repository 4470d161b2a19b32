package inflight

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The deadline counts if the client doesn't say how long it will wait.
func TestTimeLeft(t *testing.T) {
	request := ClientRequest{Received: time.Second, Deadline: 3 * time.Second, ClientWait: 6 * time.Second}
	assert.Equal(t, request.TimeLeft(), 6*time.Second)
	request.ClientWait = 0
	assert.Equal(t, request.TimeLeft(), 2*time.Second)
}
