// Package extensions attaches optional features to an aggregator, as the operator's file enables
// them: gRPC, the usage ledger, zone failure detection, load shedding by weight, singleton roles
// and gossip among aggregators.
package extensions

import (
	"errors"
	"fmt"
	"os"
	"time"
	_ "time/tzdata" // a minimal machine may have no time zone database

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/grpcproxy"
	"kestrelspread/internal/operator"
)

// ReadOperatorFile reads an operator's file and checks all of it, also against the
// aggregator's settings. An error lists every finding.
func ReadOperatorFile(file string, set settings.Values) (*operator.Settings, error) {
	if file == "" {
		return nil, errors.New("--operator names no file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	s, err := operator.Read(text, set)
	if err == nil && s.Ledger != nil {
		if _, zone := time.LoadLocation(s.Ledger.Zone); zone != nil {
			err = operator.Findings{{Path: "/ledger/period/zone", Reason: zone.Error()}}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file %s:\n%w", file, err)
	}
	return s, nil
}

// QueryTypeAndCustomerNames returns the names of the query types and of the customers, in the
// order of the settings.
func QueryTypeAndCustomerNames(set settings.Values) (types, customers []string) {
	for i := range set.Count("classes") {
		types = append(types, set.ItemField("classes", i, "name"))
	}
	for i := range set.Count("customers") {
		customers = append(customers, set.ItemField("customers", i, "name"))
	}
	return types, customers
}

// limitBufferMemory reduces the memory that gRPC calls may buffer to a share of the aggregator's
// memory, whatever the operator's file says: an aggregator that exceeds its memory is killed.
func limitBufferMemory(host *server.Host, g *operator.GRPC) {
	limits := &g.ProxySettings.Limits
	maxBytes := max(int(host.MemoryBytes/memoryDivisor), limits.StreamWindowBytes)
	if limits.MaxBufferedBytes > maxBytes {
		host.Log.Warn().Int("held_kb", maxBytes>>10).Msg("grpc/limits/held-kb is more than a quarter of the memory; less is held")
		limits.MaxBufferedBytes = maxBytes
	}
	limits.MaxBufferedBytesPerConnection = min(limits.MaxBufferedBytesPerConnection, limits.MaxBufferedBytes)
}

// memoryDivisor limits the buffers of gRPC calls to a quarter of the memory.
const memoryDivisor = 4

// Extension returns an extension that enables what the operator's file configures. At SIGHUP the
// file is read again, and its gRPC settings are applied as a whole or not at all.
func Extension(file string) server.Extension {
	return func(host *server.Host) (hooks server.Hooks, err error) {
		s, err := ReadOperatorFile(file, host.Settings)
		if err != nil {
			return hooks, err
		}
		if s.Ledger != nil {
			if hooks.AfterLoop, err = startLedger(host, s.Ledger); err != nil {
				return hooks, err
			}
		}
		choosePolicy(host, s)
		stops, err := startCoordination(host, s)
		for _, stop := range stops {
			hooks.AfterLoop = stopBefore(stop, hooks.AfterLoop)
		}
		if err != nil {
			return hooks, err
		}
		if s.GRPC == nil {
			hooks.Reload = func() {
				host.Log.Info().Bool("need_restart", true).Msg("operator's file not read again: all that it enables needs a restart to change")
			}
			return hooks, nil
		}
		hooks.Reload, err = startGRPC(host, file, s.GRPC)
		return hooks, err
	}
}

// stopBefore returns a function that calls stop and then earlier, if that is not nil, so that parts
// stop in the reverse order of their start.
func stopBefore(stop, earlier func()) func() {
	return func() {
		stop()
		if earlier != nil {
			earlier()
		}
	}
}

// choosePolicy replaces the engine's policy by one that detects zone failures and, if configured,
// estimates capacity. It then applies the operator's load shedding weights.
func choosePolicy(host *server.Host, s *operator.Settings) {
	if s.WatchSites {
		newPolicy := host.Settings.NewZoneAwarePolicy
		if s.LearnCapacity {
			newPolicy = host.Settings.NewCapacityAwarePolicy
		}
		host.Engine.ReplacePolicy(func(out policy.Executor) policy.Decider { return newPolicy(out, host.Seed) })
		host.Log.Info().Bool("borne", s.LearnCapacity).Msg("watching whole sites")
	}
	if s.SheddingWeights != nil {
		s.SheddingWeights.Apply(host.Engine.Policy())
		host.Log.Info().Strs("first", s.SheddingWeights.Describe(QueryTypeAndCustomerNames(host.Settings))).Msg("an order of refusals")
	}
}

// startCoordination starts what needs other aggregators: leases of singleton roles, and gossip of
// zone observations. It returns a function to stop each part, in the order of their start. Beside
// an error it returns those of the parts that had started.
func startCoordination(host *server.Host, s *operator.Settings) (stops []func(), err error) {
	observers := &zoneObservers{}
	zones, zoneAware := host.Engine.Policy().(*zonefailure.Interceptor)
	if zoneAware {
		zones.OnChange = observers.zoneChanged
	}
	if s.Roles != nil {
		stop, err := startLeases(host, s.Roles, zones, observers)
		if err != nil {
			return stops, err
		}
		stops = append(stops, stop)
	}
	switch {
	case s.Gossip == nil:
	case !zoneAware:
		host.Log.Warn().Msg("talk: gossip is not started, as the policy in use detects no zone failures")
	default:
		stop, err := startGossip(host, s.Gossip, zones, observers)
		if err != nil {
			return stops, err
		}
		stops = append(stops, stop)
	}
	return stops, nil
}

// startGRPC listens for gRPC clients and adds the gRPC proxy to the engine. It returns the reload
// hook, which reads the operator's file again and applies its gRPC settings.
func startGRPC(host *server.Host, file string, g *operator.GRPC) (reload func(), err error) {
	limitBufferMemory(host, g)
	if err := host.Loop.Listen(g.Listen); err != nil {
		return nil, fmt.Errorf("listen for gRPC on %s: %w", g.Listen, err)
	}
	proxy := grpcproxy.New(host.Engine, g.ProxySettings, host.Settings.Int("family-info.slabs", 1), host.Seed)
	host.Engine.AddFrontend(proxy)
	host.Log.Info().Str("listen", fmt.Sprintf("%v:%d", g.Listen.Addr(), host.Loop.Port(1))).
		Int("routes", g.ProxySettings.Routes.Len()).Msg("serving gRPC")
	listen := g.Listen
	return func() {
		next, err := ReadOperatorFile(file, host.Settings)
		switch {
		case err != nil:
			host.Log.Warn().Err(err).Msg("operator's file not taken over")
		case next.GRPC == nil:
			host.Log.Warn().Msg("operator's file not taken over: gRPC is switched off by a restart")
		default:
			host.Log.Info().Int("routes", next.GRPC.ProxySettings.Routes.Len()).
				Bool("need_restart", next.GRPC.Listen != listen).
				Msg("operator's file read again")
			limitBufferMemory(host, next.GRPC)
			proxy.NextSettings.Store(next.GRPC.ProxySettings)
			host.Loop.Notify(engine.ReloadFrontends)
		}
	}, nil
}
