package extensions

import (
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/fleet/zonefailure/gossip"
	"kestrelspread/internal/operator"
)

// startGossip has an aggregator tell others what it sees of sites, and hear them.
func startGossip(p *server.Host, o *operator.Gossip, port *zonefailure.Interceptor, sees *zoneObservers) (end func(), err error) {
	t, err := gossip.Start(gossip.Options{Name: p.Name, Listen: o.Listen, Join: o.Join, Key: o.Key, RedirectedAddresses: o.RedirectedAddresses, OnReport: func(w gossip.Report) {
		// A full post loses hearsay, which is said again.
		p.Engine.Post(p.Loop.Notify, func() { port.HandlePeerReport(w.Peer, w.Site, w.Lost, w.AgeMs) })
		sees.peerReported(w)
	}})
	if err != nil {
		return nil, err
	}
	sees.add(t.Observe)
	p.Log.Info().Str("listen", o.Listen.String()).Strs("join", o.Join).Msg("talking to other brokers")
	return func() { t.Close() }, nil
}

// zoneObservers hand on what this aggregator sees of sites, and what others say, to whoever wants
// to know.
type zoneObservers struct {
	own    []func(site int, lost bool)
	others []func(w gossip.Report)
}

func (s *zoneObservers) add(f func(site int, lost bool)) { s.own = append(s.own, f) }

// changed hears the port; in the loop.
func (s *zoneObservers) changed(c zonefailure.Change) {
	if c.ProbeHint || c.To != zonefailure.Lost && c.From != zonefailure.Lost {
		return
	}
	for _, f := range s.own {
		f(c.Site, c.To == zonefailure.Lost)
	}
}

func (s *zoneObservers) peerReported(w gossip.Report) {
	for _, f := range s.others {
		f(w)
	}
}
