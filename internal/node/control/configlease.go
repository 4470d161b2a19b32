package control

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/view"
)

// revocationMargin lies between the bound of a key's revocation and the last moment at which a request
// is forwarded: the one-way latency to the broker and a thread that runs late.
const revocationMargin = 600 * time.Millisecond

// MayServe reports whether a request may be forwarded now, under a configuration that was confirmed at
// the time given (0: never in this incarnation). Both times count from the start of the process.
//
// A process that has just started serves the configuration it holds, unless the configuration lease
// forbids it: nobody relies on it until it has been in touch for contactMs. After that a configuration
// that was never confirmed may be older than what others acknowledged, however long this process runs,
// and is not served. Source: RULES.md, "Configuration", "API keys".
func (b Bounds) MayServe(now core.Time, compiled *config.Compiled, confirmed core.Time, public bool) bool {
	switch {
	case compiled == nil || compiled.Version == 0:
		return false
	case confirmed == 0 && now >= b.maxUnconfirmed():
		return false
	default:
		return public || b.ConfigurationLeaseValid(now, confirmed)
	}
}

// longestToleratedStall is the longest time without an acknowledgement that a single loss was seen to
// bring: the next view may name a member that has just been lost, and that one is left out only after
// view.RemovalTimeout.
const longestToleratedStall = view.RemovalTimeout

// maxConfirmationAge is the age of the newest confirmation from which on a node that reaches more than
// half of the core no longer serves, as that can't tell whether a newer state was acknowledged. While no
// more machines are lost than is tolerated, a confirmation never gets so old there.
func (b Bounds) maxConfirmationAge() core.Time { return b.Contact + longestToleratedStall }

// maxUnconfirmed is how long after its start a process may serve a configuration that was never
// confirmed.
func (b Bounds) maxUnconfirmed() core.Time { return b.Contact * 2 / 3 }

// ConfigurationLeaseValid reports whether the configuration was confirmed recently enough for its API
// keys to be trusted. Without GlobalRevocation the lease never expires.
func (b Bounds) ConfigurationLeaseValid(now, confirmed core.Time) bool {
	return !b.GlobalRevocation || confirmed != 0 && now-confirmed < b.Revoke-revocationMargin
}
