package extensions

import (
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/fleet/zonefailure/gossip"
	"kestrelspread/internal/operator"
)

// startGossip joins the gossip among aggregators. Zone states that this aggregator detects are sent
// to its peers, and their reports are passed to its own detector in zones and to observers. It
// returns a function that leaves the gossip.
func startGossip(host *server.Host, settings *operator.Gossip, zones *zonefailure.Interceptor,
	observers *zoneObservers) (stop func(), err error) {
	member, err := gossip.Start(gossip.Options{Name: host.Name, Listen: settings.Listen, Join: settings.Join, Key: settings.Key,
		RedirectedAddresses: settings.RedirectedAddresses, OnReport: func(r gossip.Report) {
			// Post drops the report if its queue is full; peers send it again.
			host.Engine.Post(host.Loop.Notify, func() { zones.HandlePeerReport(r.Peer, r.Site, r.Lost, r.AgeMs) })
			observers.peerReported(r)
		}})
	if err != nil {
		return nil, err
	}
	observers.addLocal(member.Observe)
	host.Log.Info().Str("listen", settings.Listen.String()).Strs("join", settings.Join).Msg("talking to other brokers")
	return func() { member.Close() }, nil
}

// zoneObservers holds the functions to call when this aggregator's detector sees a zone become lost
// or leave that state, and when a peer reports one. (Package zonefailure calls a zone a site.)
type zoneObservers struct {
	local []func(site int, lost bool)
	peers []func(report gossip.Report)
}

// addLocal adds an observer of this aggregator's own detector.
func (o *zoneObservers) addLocal(observer func(site int, lost bool)) {
	o.local = append(o.local, observer)
}

// zoneChanged calls the local observers if the change is to or from the lost state. The detector
// calls it in the event loop.
func (o *zoneObservers) zoneChanged(c zonefailure.Change) {
	if c.ProbeHint || c.To != zonefailure.Lost && c.From != zonefailure.Lost {
		return
	}
	for _, observer := range o.local {
		observer(c.Site, c.To == zonefailure.Lost)
	}
}

// peerReported calls the observers of peers' reports, in a goroutine of the gossip.
func (o *zoneObservers) peerReported(report gossip.Report) {
	for _, observer := range o.peers {
		observer(report)
	}
}
