package forward

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClientsCanNotFillTheLog: a line for each of their requests did.
func TestClientsCanNotFillTheLog(t *testing.T) {
	var written bytes.Buffer
	log := newLimitedLog(slog.New(slog.NewTextHandler(&written, nil)))
	at := time.Unix(1, 0)
	log.now = func() time.Time { return at }
	for range 1000 {
		log.warn("forward: answer broken off", "request", "r1")
		log.warn("forward: something else")
	}
	assert.Equal(t, strings.Count(written.String(), "\n"), 2)
	at = at.Add(logInterval)
	log.warn("forward: answer broken off", "request", "r2")
	assert.Assert(t, strings.Contains(written.String(), "request=r2 left_out=999"), written.String())
}
