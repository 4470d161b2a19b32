// Package full attaches to a broker what the operator's file switches on.
package full

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
		types = append(types, set.Item("classes", i, "name"))
	}
	for i := range set.Count("customers") {
		customers = append(customers, set.Item("customers", i, "name"))
	}
	return types, customers
}

// fit keeps what calls may hold within the broker's memory, whatever the file says: past that the broker is killed.
func fit(p *server.Parts, g *operator.GRPC) {
	l := &g.ProxySettings.Limits
	most := max(int(p.Memory/memoryShare), l.StreamWindowBytes)
	if l.MaxBufferedBytes > most {
		p.Log.Warn().Int("held_kb", most>>10).Msg("grpc/limits/held-kb is more than a quarter of the memory; less is held")
		l.MaxBufferedBytes = most
	}
	l.MaxBufferedBytesPerConnection = min(l.MaxBufferedBytesPerConnection, l.MaxBufferedBytes)
}

const memoryShare = 4

// Attach switches on what the operator's file names. At SIGHUP a new file is taken whole or not at all.
func Attach(file string) server.Attach {
	return func(p *server.Parts) (server.Attached, error) {
		s, err := Read(file, p.Set)
		if err != nil {
			return server.Attached{}, err
		}
		var on server.Attached
		if s.Ledger != nil {
			if on.End, err = keep(p, s.Ledger); err != nil {
				return on, err
			}
		}
		if s.WatchSites {
			view := p.Set.Sighted
			if s.LearnCapacity {
				view = p.Set.Planned
			}
			p.Router.Replace(func(out policy.Out) policy.Port { return view(out, p.Seed) })
			p.Log.Info().Bool("borne", s.LearnCapacity).Msg("watching whole sites")
		}
		if s.SheddingWeights != nil {
			s.SheddingWeights.Apply(p.Router.Port())
			p.Log.Info().Strs("first", s.SheddingWeights.Describe(Names(p.Set))).Msg("an order of refusals")
		}
		sees := &sightings{}
		port, sighted := p.Router.Port().(*zonefailure.Interceptor)
		if sighted {
			port.OnChange = sees.changed
		}
		last := func(end func()) {
			before := on.End
			on.End = func() {
				end()
				if before != nil {
					before()
				}
			}
		}
		if s.Roles != nil {
			end, err := duties(p, s.Roles, port, sees)
			if err != nil {
				return on, err
			}
			last(end)
		}
		if s.Gossip != nil && !sighted {
			p.Log.Warn().Msg("talk: another policy stands in the module's place; nobody listens")
		} else if s.Gossip != nil {
			end, err := converse(p, s.Gossip, port, sees)
			if err != nil {
				return on, err
			}
			last(end)
		}
		if s.GRPC == nil {
			on.Reload = func() {
				p.Log.Info().Bool("need_restart", true).Msg("operator's file: nothing is on that it could change")
			}
			return on, nil
		}
		fit(p, s.GRPC)
		listen := s.GRPC.Listen
		if err := p.Loop.Listen(listen); err != nil {
			return on, fmt.Errorf("%s: %w", listen, err)
		}
		front := grpcproxy.New(p.Router, s.GRPC.ProxySettings, p.Set.Whole("family-info.slabs", 1), p.Seed)
		p.Router.Add(front)
		p.Log.Info().Str("listen", fmt.Sprintf("%v:%d", listen.Addr(), p.Loop.Port(1))).
			Int("routes", s.GRPC.ProxySettings.Routes.Len()).Msg("serving gRPC")
		on.Reload = func() {
			next, err := Read(file, p.Set)
			switch {
			case err != nil:
				p.Log.Warn().Err(err).Msg("operator's file not taken over")
			case next.GRPC == nil:
				p.Log.Warn().Msg("operator's file not taken over: gRPC is switched off by a restart")
			default:
				p.Log.Info().Int("routes", next.GRPC.ProxySettings.Routes.Len()).Bool("need_restart", next.GRPC.Listen != listen).
					Msg("operator's file read again")
				fit(p, next.GRPC)
				front.NextSettings.Store(next.GRPC.ProxySettings)
				p.Loop.Tell(engine.Reread)
			}
		}
		return on, nil
	}
}
