// Package keyhistory says which API keys may have been in force at a moment. It keeps what operators observed of the configurations
// that they sent, and knows nothing of nodes.
//
// An order may be in force from the moment it is sent, whether its acknowledgement arrives or not. It no longer is once a later
// version was acknowledged. Orders that were refused never are, and must not be added. Source: RULES.md, "API keys".
//
// The package is pure.
package keyhistory

import (
	"time"

	"kestrelspread/internal/node/config"
)

// Order is a change of the configuration that may have been taken, as its operator observed it.
type Order struct {
	Version        uint64          // of the configuration that the order makes
	Tenants        []config.Tenant // of that configuration; nil: it has no list, and requests without a key run for no tenant
	SentAt         time.Time
	AcknowledgedAt time.Time // zero: no definite answer arrived
}

// History is a set of orders. It is not safe for concurrent use.
type History struct{ orders []Order }

// Add adds an order.
func (h *History) Add(order Order) { h.orders = append(h.orders, order) }

// Known reports whether any configuration has an API key.
func (h *History) Known(key string) bool {
	for i := range h.orders {
		if _, ok := h.orders[i].owner(key); ok {
			return true
		}
	}
	return false
}

// Belonged reports whether any configuration gives an API key to a tenant. The empty key belongs to no tenant, "", in configurations
// without a list.
func (h *History) Belonged(key, tenant string) bool {
	for i := range h.orders {
		if h.orders[i].grants(key, tenant) {
			return true
		}
	}
	return false
}

// Run is a request that a broker has begun to work on.
type Run struct {
	Key       string // of the client; empty: it sent none
	Tenant    string // that the broker was told; empty: none
	SentAt    time.Time
	StartedAt time.Time
}

// Revocation is what forbids a run.
type Revocation struct {
	Version uint64        // of the configuration that took the key away; 0: none ever gave it to the tenant
	Age     time.Duration // from its acknowledgement until the request was sent
}

// Check reports whether a run is allowed: some configuration gives the key to the tenant that was sent before the run began, and none
// that doesn't was acknowledged earlier than the bound before the request was sent.
func (h *History) Check(run Run, bound time.Duration) (Revocation, bool) {
	return h.check(run, bound, func(o *Order) bool { return o.grants(run.Key, run.Tenant) })
}

// CheckKey is Check for whichever tenant has the key.
func (h *History) CheckKey(run Run, bound time.Duration) (Revocation, bool) {
	return h.check(run, bound, func(o *Order) bool {
		_, ok := o.owner(run.Key)
		return ok
	})
}

// check is Check for the orders that allow the run.
func (h *History) check(run Run, bound time.Duration, allows func(*Order) bool) (Revocation, bool) {
	var newest Revocation
	for i := range h.orders {
		order := &h.orders[i]
		if !allows(order) || order.SentAt.After(run.StartedAt) {
			continue
		}
		revocation := h.revocationOf(order, run.SentAt, allows)
		if revocation.Age <= bound {
			return Revocation{}, true
		}
		if newest.Version == 0 || revocation.Age < newest.Age {
			newest = revocation
		}
	}
	return newest, false
}

// revocationOf returns the revocation of what an order allows that was acknowledged first; its age is 0 where there is none, or it was
// acknowledged after the request was sent.
func (h *History) revocationOf(allowing *Order, sentAt time.Time, allows func(*Order) bool) Revocation {
	var oldest Revocation
	for i := range h.orders {
		order := &h.orders[i]
		if order.AcknowledgedAt.IsZero() || order.Version <= allowing.Version || allows(order) {
			continue
		}
		if age := sentAt.Sub(order.AcknowledgedAt); age > oldest.Age {
			oldest = Revocation{Version: order.Version, Age: age}
		}
	}
	return oldest
}

// grants reports whether requests with a key run for a tenant under the order's configuration.
func (o *Order) grants(key, tenant string) bool {
	owner, ok := o.owner(key)
	return ok && owner == tenant
}

// owner returns the tenant that has a key, and whether requests with the key are allowed at all.
func (o *Order) owner(key string) (string, bool) {
	if key == "" {
		return "", o.Tenants == nil
	}
	for i := range o.Tenants {
		for _, owned := range o.Tenants[i].APIKeys {
			if owned == key {
				return o.Tenants[i].Name, true
			}
		}
	}
	return "", false
}
