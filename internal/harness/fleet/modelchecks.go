package fleet

import (
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// checkWeights checks that no request starts on older weights later than the bound after newer ones were acknowledged, counted in the
// stretches in which the core was stable.
func (e *evidence) checkWeights() {
	for _, acknowledged := range e.ackedWeights {
		for _, arrival := range e.arrivals {
			older := arrival.Model == acknowledged.Model && arrival.Ran() && arrival.Version < acknowledged.ModelVersion
			if older && e.versionOverdue(acknowledged.ReceivedAt, arrival.StartedAt) {
				e.report("VERSION", "request %s began on version %d %v after version %d was acknowledged", arrival.Request,
					arrival.Version, arrival.StartedAt.Sub(acknowledged.ReceivedAt).Round(time.Millisecond), acknowledged.ModelVersion)
			}
		}
	}
}

// checkSalts checks that cached prefixes are shared neither between versions of the weights nor between an isolated tenant and others.
func (e *evidence) checkSalts() {
	type scope struct {
		version uint64
		tenant  string // empty: shared
	}
	scopes := map[string]scope{}
	for _, arrival := range e.arrivals {
		if !arrival.Ran() || arrival.Version == 0 {
			continue
		}
		current := scope{version: arrival.Version}
		if arrival.Tenant == tenantIsolated {
			current.tenant = arrival.Tenant
		}
		before, known := scopes[arrival.Salt]
		switch {
		case !known:
			scopes[arrival.Salt] = current
		case before.version != current.version:
			e.report("STALE", "salt %q stands for the versions %d and %d", arrival.Salt, before.version, current.version)
		case before.tenant != current.tenant:
			e.report("WALL", "salt %q is shared by tenant %q and others", arrival.Salt, tenantIsolated)
		}
	}
}

// checkIsolation checks that requests of the tenant that was isolated later, sent after the acknowledgement of that, neither use cached
// prefixes that requests of others have made nor leave any for them: brokers find prefixes under one salt. It holds for all nodes, in
// touch or not (RULES.md, WALL).
func (e *evidence) checkIsolation() {
	if e.isolatedAt.IsZero() {
		return
	}
	isolated := map[string]bool{} // requests
	for i := range e.attempts {
		r := &e.attempts[i]
		if tenantOf(r.Key) == tenantLater && r.FirstAttemptAt.After(e.isolatedAt) {
			isolated[r.ID] = true
		}
	}
	others := map[string]*llmbroker.Arrival{} // runs of other tenants by salt
	for i := range e.arrivals {
		if arrival := &e.arrivals[i]; arrival.Ran() && arrival.Version != 0 && arrival.Tenant != tenantLater {
			others[arrival.Salt] = arrival
		}
	}
	for i := range e.arrivals {
		arrival := &e.arrivals[i]
		if other := others[arrival.Salt]; isolated[arrival.Request] && arrival.Ran() && arrival.Version != 0 && other != nil {
			e.report("WALL", "request %s of tenant %s, isolated, ran at %s under salt %q, as request %s of tenant %s did",
				arrival.Request, arrival.Tenant, arrival.Instance, arrival.Salt, other.Request, other.Tenant)
		}
	}
}

// checkOrders checks that a fencing token has one lease holder, and that a broker receives no orders of two holders within one lease.
// Brokers check fencing tokens here, so that a lower one after a higher does no harm.
func (e *evidence) checkOrders() {
	holders := map[uint64]string{}
	last := map[string]llmbroker.OrderArrival{} // by instance
	for _, order := range e.modelOrders {
		if order.Order.FencingToken == nil {
			e.report("ONE", "an order without a fencing token reached %s", order.Instance)
			continue
		}
		token := *order.Order.FencingToken
		if holder, known := holders[token]; known && holder != order.Order.LeaseHolder {
			e.report("ONE", "%s and %s share the fencing token %d", holder, order.Order.LeaseHolder, token)
		}
		holders[token] = order.Order.LeaseHolder
		before, known := last[order.Instance]
		if known && before.Order.LeaseHolder != order.Order.LeaseHolder && order.ReceivedAt.Sub(before.ReceivedAt) < e.bounds.Lease {
			e.report("ONE", "%s and %s gave orders to %s within %v", before.Order.LeaseHolder, order.Order.LeaseHolder, order.Instance,
				order.ReceivedAt.Sub(before.ReceivedAt).Round(time.Millisecond))
		}
		last[order.Instance] = order
	}
}
