package fleet

import (
	"time"

	"kestrelspread/internal/harness/keyhistory"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// RecordOrder records a change of the configuration by an operator of the caller's: the configuration that it makes, and when it was
// sent and acknowledged (zero: without a definite answer). Orders that were refused are not recorded.
func (f *Fleet) RecordOrder(made fleetoperator.Configuration, sentAt, acknowledgedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, keyOrder(made, sentAt, acknowledgedAt))
}

// keyOrder is a change of the configuration as a history of API keys has it.
func keyOrder(made fleetoperator.Configuration, sentAt, acknowledgedAt time.Time) keyhistory.Order {
	return keyhistory.Order{Version: made.Version, Tenants: made.Tenants, SentAt: sentAt, AcknowledgedAt: acknowledgedAt}
}

// keyHistory is the history of API keys: of the orders of the fleet's operator and of those that were recorded. The mutex is held.
func (f *Fleet) keyHistory() *keyhistory.History {
	history := &keyhistory.History{}
	for _, acknowledged := range f.Operator.Acknowledged() {
		if acknowledged.Model == "" {
			history.Add(keyOrder(acknowledged.Configuration, acknowledged.SentAt, acknowledged.ReceivedAt))
		}
	}
	for _, unclear := range f.Operator.Unclear() {
		history.Add(keyOrder(unclear, time.Time{}, time.Time{}))
	}
	for _, order := range f.orders {
		history.Add(order)
	}
	return history
}

// checkKey checks the API key of a run: a configuration has it, and gives it to the tenant that the broker was told. Where revocation is
// global, it had not been taken away for longer than the bound when the request was sent; that holds for all nodes, in touch or not.
// Source: RULES.md, "API keys".
func (e *evidence) checkKey(r *Attempt, run *llmbroker.Arrival) {
	if route(r.Prefix).Public {
		if run.Tenant != "" {
			e.report("UNASKED", "request %s on the public route %s has run for tenant %q", r.ID, r.Prefix, run.Tenant)
		}
		return
	}
	if r.Key == "" && !e.keys.Belonged("", run.Tenant) {
		e.report("UNASKED", "request %s at %s without a key has run for tenant %q", r.ID, r.Node, run.Tenant)
		return
	}
	if r.Key != "" && !e.keys.Known(r.Key) {
		e.report("ROUTE", "request %s at %s ran at %s with key %q, which no configuration has", r.ID, r.Node, run.Instance, r.Key)
		return
	}
	judged := keyhistory.Run{Key: r.Key, Tenant: run.Tenant, SentAt: r.SentAt, StartedAt: run.StartedAt}
	if revoked, allowed := e.keys.CheckKey(judged, e.bounds.Revoke); !allowed && e.bounds.GlobalRevocation {
		e.report("CONFIG", "request %s with key %q, sent at %s to %s, ran at %s; version %d, acknowledged %v before, took the key away",
			r.ID, r.Key, formatTime(r.SentAt), r.Node, run.Instance, revoked.Version, revoked.Age.Round(time.Millisecond))
		return
	}
	if !e.keys.Belonged(r.Key, run.Tenant) && !e.runsWithoutKey(judged) {
		e.report("UNASKED", "request %s at %s with key %q has run for tenant %q", r.ID, r.Node, r.Key, run.Tenant)
		return
	}
	if revoked, allowed := e.keys.Check(judged, e.bounds.Revoke); !allowed && e.bounds.GlobalRevocation && run.Tenant != "" {
		e.report("CONFIG", "request %s with key %q, sent at %s to %s, ran at %s for tenant %q; version %d, acknowledged %v before, took the key from it",
			r.ID, r.Key, formatTime(r.SentAt), r.Node, run.Instance, run.Tenant, revoked.Version, revoked.Age.Round(time.Millisecond))
	}
}

// runsWithoutKey reports whether a request ran for no tenant while a configuration that requires no key may have been in force.
func (e *evidence) runsWithoutKey(run keyhistory.Run) bool {
	run.Key = ""
	_, allowed := e.keys.Check(run, e.bounds.Revoke)
	return run.Tenant == "" && allowed
}
