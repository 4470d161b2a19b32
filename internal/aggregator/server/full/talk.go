package full

import (
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/fleet/zonefailure/gossip"
	"kestrelspread/internal/operator"
)

// converse has a broker tell others what it sees of sites, and hear them.
func converse(p *server.Parts, o *operator.Talk, port *zonefailure.Port, sees *sightings) (end func(), err error) {
	t, err := gossip.Start(gossip.Options{Name: p.Name, Listen: o.Listen, Join: o.Join, Key: o.Key, Via: o.Via, Heard: func(w gossip.Word) {
		// A full post loses hearsay, which is said again.
		p.Engine.Post(p.Loop.Tell, func() { port.Told(w.Peer, w.Site, w.Lost, w.Age) })
		sees.heard(w)
	}})
	if err != nil {
		return nil, err
	}
	sees.add(t.Saw)
	p.Log.Info().Str("listen", o.Listen.String()).Strs("join", o.Join).Msg("talking to other brokers")
	return func() { t.Close() }, nil
}

// sightings hand on what this broker sees of sites, and what others say, to whoever wants to know.
type sightings struct {
	own    []func(site int, lost bool)
	others []func(w gossip.Word)
}

func (s *sightings) add(f func(site int, lost bool)) { s.own = append(s.own, f) }

// changed hears the port; in the loop.
func (s *sightings) changed(c zonefailure.Change) {
	if c.Hint || c.To != zonefailure.Lost && c.From != zonefailure.Lost {
		return
	}
	for _, f := range s.own {
		f(c.Site, c.To == zonefailure.Lost)
	}
}

func (s *sightings) heard(w gossip.Word) {
	for _, f := range s.others {
		f(w)
	}
}
