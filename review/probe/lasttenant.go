package main

import (
	"context"
	"fmt"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/standin/fleetoperator"
)

// lastTenant takes the keys of all tenants away, by updates that remove the tenants one after the other, and then sends requests
// with the keys. Without trouble the last tenant stays; the keys of the removed one must be refused all the same.
// Source: RULES.md, "API keys", CONFIG; PROTOCOL.md, "The operator's API".
func lastTenant(ctx context.Context, env *environment) ([]string, error) {
	bounds := fleet.DefaultBounds()
	f, err := fleet.Start(fleet.Options{Binary: env.node, Bounds: bounds})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Bootstrap(ctx); err != nil {
		return nil, err
	}
	current := f.FirstConfiguration()
	keys := map[string]string{} // tenant of each key
	for _, tenant := range current.Tenants {
		for _, key := range tenant.APIKeys {
			keys[key] = tenant.Name
		}
		env.record.note("tenant %s has keys %v", tenant.Name, tenant.APIKeys)
	}
	for key := range keys {
		if before := send(f.Nodes[0].Front(), "GET", "/lookup/before", key, time.Second); before.status != 200 {
			return nil, fmt.Errorf("the key %s isn't served at first: status %d, %w", key, before.status, before.err)
		}
	}
	removed := current.Tenants
	if !env.trouble {
		removed = removed[:1]
	}
	revokedAt := map[string]time.Time{} // by tenant
	for _, tenant := range removed {
		update := fleetoperator.Update{Version: current.Version + 2, Remove: fleetoperator.Names{Tenants: []string{tenant.Name}}}
		acknowledged, err := f.Operator.Update(ctx, current, update)
		if err != nil {
			return nil, err
		}
		current = acknowledged.Configuration
		revokedAt[tenant.Name] = acknowledged.ReceivedAt
		env.record.note("configuration %d without tenant %s is acknowledged", current.Version, tenant.Name)
	}
	readBack, err := fetch(f.Nodes[0].Control())
	if err != nil {
		return nil, err
	}
	env.record.note("tenants of the configuration read back: %s", readBack.Tenants)
	const margin = 500 * time.Millisecond
	time.Sleep(bounds.Revoke + margin)
	var breaches []string
	for _, node := range f.Nodes {
		unknown := send(node.Front(), "GET", "/lookup/unknown", "never-given", time.Second)
		env.record.note("request %s with a key that no configuration held to %s: status %d", unknown.id, node.Name, unknown.status)
		for key, tenant := range keys {
			at, revoked := revokedAt[tenant]
			if !revoked {
				continue
			}
			request := send(node.Front(), "GET", "/lookup/after", key, time.Second)
			ran := 0
			for _, arrival := range f.ArrivalLog.OfRequest(request.id) {
				if arrival.Ran() {
					ran++
				}
			}
			env.record.note("request %s with key %s of %s to %s, sent %.1f s after the acknowledgement: status %d, run %d times",
				request.id, key, tenant, node.Name, request.sentAt.Sub(at).Seconds(), request.status, ran)
			if ran > 0 {
				breaches = append(breaches, fmt.Sprintf("CONFIG: request %s with the key %s ran, sent %.1f s after the acknowledgement that took the key away; revokeMs is %d",
					request.id, key, request.sentAt.Sub(at).Seconds(), bounds.Revoke.Milliseconds()))
			}
		}
	}
	return breaches, nil
}
