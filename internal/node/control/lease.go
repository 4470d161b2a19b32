package control

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// revocationMargin is kept between the bound of a key's revocation and the last moment at which a request is sent on:
// the way to the broker and a late thread.
const revocationMargin = 600 * time.Millisecond

// MayServe reports whether a request may be sent on now under a configuration that was confirmed at the time; 0: never. Source:
// RULES.md, "API keys".
func (b Bounds) MayServe(now core.Time, compiled *config.Compiled, confirmed core.Time, public bool) bool {
	if compiled == nil || compiled.Version == 0 {
		return false
	}
	return public || b.LeaseHolds(now, confirmed)
}

// LeaseHolds reports whether a configuration was confirmed recently enough for keys to be trusted.
func (b Bounds) LeaseHolds(now, confirmed core.Time) bool {
	return !b.GlobalRevocation || confirmed != 0 && now-confirmed < b.Revoke-revocationMargin
}
