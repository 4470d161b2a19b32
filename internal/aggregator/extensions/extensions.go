// Package extensions attaches to an aggregator what the operator's file switches on.
package extensions

import (
	"errors"
	"fmt"
	"os"
	"time"
	_ "time/tzdata" // a small machine may have no zones

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/grpcproxy"
	"kestrelspread/internal/operator"
)

// Read reads an operator's file and checks it whole.
func Read(file string, set settings.Values) (*operator.Settings, error) {
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

// Names gives what query types and customers are called.
func Names(set settings.Values) (types, customers []string) {
	for i := range set.Count("classes") {
		types = append(types, set.ItemField("classes", i, "name"))
	}
	for i := range set.Count("customers") {
		customers = append(customers, set.ItemField("customers", i, "name"))
	}
	return types, customers
}

// limitBufferMemory keeps what calls may hold within the aggregator's memory, whatever the file
// says: past that the aggregator is killed.
func limitBufferMemory(p *server.Host, g *operator.GRPC) {
	l := &g.ProxySettings.Limits
	most := max(int(p.MemoryBytes/memoryShare), l.StreamWindowBytes)
	if l.MaxBufferedBytes > most {
		p.Log.Warn().Int("held_kb", most>>10).Msg("grpc/limits/held-kb is more than a quarter of the memory; less is held")
		l.MaxBufferedBytes = most
	}
	l.MaxBufferedBytesPerConnection = min(l.MaxBufferedBytesPerConnection, l.MaxBufferedBytes)
}

const memoryShare = 4

// Extension switches on what the operator's file names. At SIGHUP a new file is taken over as a
// whole or not at all.
func Extension(file string) server.Extension {
	return func(host *server.Host) (hooks server.Hooks, err error) {
		s, err := Read(file, host.Settings)
		if err != nil {
			return hooks, err
		}
		if s.Ledger != nil {
			if hooks.AfterLoop, err = startLedger(host, s.Ledger); err != nil {
				return hooks, err
			}
		}
		choosePolicy(host, s)
		ends, err := startAgreement(host, s)
		for _, end := range ends {
			hooks.AfterLoop = endBefore(end, hooks.AfterLoop)
		}
		if err != nil {
			return hooks, err
		}
		if s.GRPC == nil {
			hooks.Reload = func() {
				host.Log.Info().Bool("need_restart", true).Msg("operator's file: nothing is on that it could change")
			}
			return hooks, nil
		}
		hooks.Reload, err = startGRPC(host, file, s.GRPC)
		return hooks, err
	}
}

// endBefore ends what was started later first.
func endBefore(end, earlier func()) func() {
	return func() {
		end()
		if earlier != nil {
			earlier()
		}
	}
}

// choosePolicy puts what watches zones and capacity before the policy, and gives it the operator's
// order of refusals.
func choosePolicy(host *server.Host, s *operator.Settings) {
	if s.WatchSites {
		newPolicy := host.Settings.NewZoneAwarePolicy
		if s.LearnCapacity {
			newPolicy = host.Settings.NewCapacityAwarePolicy
		}
		host.Engine.ReplacePolicy(func(out policy.Out) policy.Port { return newPolicy(out, host.Seed) })
		host.Log.Info().Bool("borne", s.LearnCapacity).Msg("watching whole sites")
	}
	if s.SheddingWeights != nil {
		s.SheddingWeights.Apply(host.Engine.Policy())
		host.Log.Info().Strs("first", s.SheddingWeights.Describe(Names(host.Settings))).Msg("an order of refusals")
	}
}

// startAgreement starts what this aggregator agrees on with others: leases and reports on zones. It
// gives what ends each, in the order of their start.
func startAgreement(host *server.Host, s *operator.Settings) (ends []func(), err error) {
	observers := &zoneObservers{}
	zones, zoneAware := host.Engine.Policy().(*zonefailure.Interceptor)
	if zoneAware {
		zones.OnChange = observers.changed
	}
	if s.Roles != nil {
		end, err := startLeases(host, s.Roles, zones, observers)
		if err != nil {
			return ends, err
		}
		ends = append(ends, end)
	}
	switch {
	case s.Gossip == nil:
	case !zoneAware:
		host.Log.Warn().Msg("talk: another policy stands in the module's place; nobody listens")
	default:
		end, err := startGossip(host, s.Gossip, zones, observers)
		if err != nil {
			return ends, err
		}
		ends = append(ends, end)
	}
	return ends, nil
}

// startGRPC listens for gRPC. It gives what takes over the operator's file when that is read again.
func startGRPC(host *server.Host, file string, g *operator.GRPC) (reload func(), err error) {
	limitBufferMemory(host, g)
	if err := host.Loop.Listen(g.Listen); err != nil {
		return nil, fmt.Errorf("%s: %w", g.Listen, err)
	}
	front := grpcproxy.New(host.Engine, g.ProxySettings, host.Settings.Int("family-info.slabs", 1), host.Seed)
	host.Engine.AddFront(front)
	host.Log.Info().Str("listen", fmt.Sprintf("%v:%d", g.Listen.Addr(), host.Loop.Port(1))).
		Int("routes", g.ProxySettings.Routes.Len()).Msg("serving gRPC")
	listen := g.Listen
	return func() {
		next, err := Read(file, host.Settings)
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
			front.NextSettings.Store(next.GRPC.ProxySettings)
			host.Loop.Notify(engine.ReloadFronts)
		}
	}, nil
}
