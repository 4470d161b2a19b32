package processfaults

import (
	"context"
	"slices"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
)

// configurationOrder is a change of the configuration that an operator sends: a whole configuration, or an update.
type configurationOrder struct {
	made     fleetoperator.Configuration // the configuration that it makes
	replaces bool
	update   fleetoperator.Update
}

// newOrder returns the order of a step on a configuration. It names its ID by an API key or, where no tenant has one, by the marker.
func newOrder(before fleetoperator.Configuration, version uint64, id string, step tenantStep, isolates bool) configurationOrder {
	key := orderKeyPrefix + id
	tenants := tenantsOf(step, before.Tenants, key, isolates)
	update := fleetoperator.Update{Version: version}
	update.Upsert.Tenants, update.Remove.Tenants = tenantUpdate(before.Tenants, tenants)
	if orderKey(fleetoperator.Configuration{Tenants: tenants}) == key {
		update.Remove.Services = markersOf(before)
	} else {
		update.Upsert.Services = []config.Service{{Name: markerService, HealthCheck: markerPrefix + id}}
	}
	made := before.Apply(update)
	if step.replacesAll() {
		made.Tenants = tenants
	}
	replaces := step.replacesAll() && (made.Tenants == nil) != (before.Tenants == nil) || step == emptyList && len(before.Tenants) > 0
	return configurationOrder{made: made, replaces: replaces, update: update}
}

// markersOf returns the name of the marker if a configuration has it.
func markersOf(c fleetoperator.Configuration) []string {
	if slices.ContainsFunc(c.Services, func(service config.Service) bool { return service.Name == markerService }) {
		return []string{markerService}
	}
	return nil
}

// send sends the order, which builds on a configuration, until it has a definite answer or ctx ends.
func (o *configurationOrder) send(ctx context.Context, operator *fleetoperator.Operator, before fleetoperator.Configuration) (fleetoperator.Acknowledgement, error) {
	if o.replaces {
		return operator.Replace(ctx, before.Version, o.made)
	}
	return operator.Update(ctx, before, o.update)
}
