package scale

import (
	"encoding/json"
	"fmt"

	"kestrelspread/internal/must"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/standin/fleetoperator"
)

// configurationOf is the operator's first configuration of a fleet.
func configurationOf(shape Shape) fleetoperator.Configuration {
	c := fleetoperator.Configuration{
		Version: 1,
		Limits:  config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for i := range shape.Tenants {
		c.Tenants = append(c.Tenants, tenantOf(i, 0))
	}
	for i := range shape.Routes {
		c.Routes = append(c.Routes, config.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: "api.example", PathPrefix: fmt.Sprintf("/v1/product-%04d/", i),
			Kind: config.KindStreaming, TimeoutMs: 8000, TargetLatencyMs: 500, GapTargetMs: 300, Priority: i % 3,
			Service: serviceName(i % shape.Services), MaxAttempts: 3, Sticky: true, Resumable: i%2 == 0,
		})
	}
	for i := range shape.Services {
		c.Services = append(c.Services, config.Service{
			Name: serviceName(i), HealthCheck: "/healthz", MaxConnections: 620, Protocol: "h1",
			Engine: &config.Engine{
				Slots: slotsOfBroker, KVCapacityTokens: 1_700_000, KVTokenBytes: 18_432, LinkMbps: 550_000, Stride: 1,
				MaxConcurrency: 12, Models: []config.EngineModel{{Name: modelName(i)}},
			},
		})
	}
	return c
}

// tenantOf is a tenant with two keys; round makes other keys of it.
func tenantOf(i, round int) config.Tenant {
	return config.Tenant{
		Name: fmt.Sprintf("tenant-%05d", i), Isolated: i%10 == 0,
		APIKeys: []string{fmt.Sprintf("key-%05d-a%04d-7f3c9e5d1b", i, round), fmt.Sprintf("key-%05d-b%04d-2a8e6c4f0d", i, round)},
	}
}

// replaceCommand brings a whole configuration.
func replaceCommand(c fleetoperator.Configuration) *nodepb.Command {
	return configCommand(&nodepb.ConfigChange{Replace: true, Version: c.Version, Body: encoded(c)})
}

// updateCommand exchanges the keys of one tenant.
func updateCommand(before uint64, tenant, round int) *nodepb.Command {
	update := fleetoperator.Update{
		Version: before + 1, Upsert: fleetoperator.Items{Tenants: []config.Tenant{tenantOf(tenant, round)}},
	}
	return configCommand(&nodepb.ConfigChange{BaseVersion: before, Version: before + 1, Body: encoded(update)})
}

func configCommand(change *nodepb.ConfigChange) *nodepb.Command {
	return &nodepb.Command{
		Id:     fmt.Sprintf("change-%d", change.Version),
		Change: &nodepb.Command_ConfigChange{ConfigChange: change},
	}
}

func versionCommand(model string, version uint64) *nodepb.Command {
	return &nodepb.Command{
		Id:     fmt.Sprintf("weights-%s-%d", model, version),
		Change: &nodepb.Command_ModelVersion{ModelVersion: &nodepb.ModelVersionChange{Model: model, Version: version}},
	}
}

func encoded(body any) []byte {
	text, err := json.Marshal(body)
	must.Hold(err == nil, "a configuration can be written as JSON")
	return text
}
