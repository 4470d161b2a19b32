package control

import "kestrelspread/internal/node/core"

// isolationLeaseShare of Bounds.Ack: what is left of it is for the operator's calls after the wait.
const isolationLeaseShare = 0.5

// IsolationLease is the age of a confirmation up to which a proxy trusts its configuration to say which
// tenants share cached prefixes. Beyond it the proxy keeps every tenant's prefixes apart.
//
// A change that isolates a tenant is acknowledged only IsolationLease after it was committed. A proxy
// that does not hold it by then was confirmed before the commit, so that its lease is over: whatever
// holds it up, no proxy shares the tenant's prefixes once the change is acknowledged. Source: RULES.md,
// WALL, which has no bound in time.
func (b Bounds) IsolationLease() core.Time { return core.Time(isolationLeaseShare * float64(b.Ack)) }

// IsolationLeaseValid reports whether a configuration that was confirmed at the time given (0: never in
// this incarnation) may still be trusted to say which tenants share cached prefixes.
func (b Bounds) IsolationLeaseValid(now, confirmed core.Time) bool {
	return confirmed != 0 && now-confirmed < b.IsolationLease()
}
