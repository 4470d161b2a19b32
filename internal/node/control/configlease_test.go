package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

func TestMayServeNeedsConfirmedConfiguration(t *testing.T) {
	const confirmedAt = 10 * time.Second
	configuration := &config.Compiled{Version: 7}
	bounds := Bounds{Contact: 3 * time.Second, Revoke: 5 * time.Second}
	for _, c := range []struct {
		name       string
		revocation bool
		now        core.Time
		compiled   *config.Compiled
		confirmed  core.Time
		public     bool
		serves     bool
	}{
		{"no configuration", false, time.Second, nil, 0, true, false},
		{"an empty configuration", false, time.Second, &config.Compiled{}, 1, true, false},
		{"just started, not confirmed", false, 1900 * time.Millisecond, configuration, 0, false, true},
		{"just started, not confirmed, public", true, 1900 * time.Millisecond, configuration, 0, true, true},
		{"just started, not confirmed, keys may be revoked", true, 1900 * time.Millisecond, configuration, 0, false, false},
		{"never confirmed", false, 2 * time.Second, configuration, 0, false, false},
		{"never confirmed, public", false, 2 * time.Second, configuration, 0, true, false},
		{"confirmed long ago", false, time.Hour, configuration, confirmedAt, false, true},
		{"lease", true, confirmedAt + 4300*time.Millisecond, configuration, confirmedAt, false, true},
		{"lease over", true, confirmedAt + 4400*time.Millisecond, configuration, confirmedAt, false, false},
		{"lease over, public", true, confirmedAt + 4400*time.Millisecond, configuration, confirmedAt, true, true},
	} {
		bounds.GlobalRevocation = c.revocation
		assert.Equal(t, bounds.MayServe(c.now, c.compiled, c.confirmed, c.public), c.serves, c.name)
	}
}
