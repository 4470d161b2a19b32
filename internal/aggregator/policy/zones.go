package policy

import (
	"math"
	"slices"
)

const sameEjectionTolerance = 1 // ms between the loss of a zone and an ejection that was made for it

// ZoneChanged ejects all servers of a zone that is lost, or has them tried when it answers again,
// all at once: if each server were judged by itself, each would lose searches first. The trials are
// spread at random, so that neither those of this aggregator nor those of all aggregators come at
// the same moment. A negative spread undoes the ejections that were made for the loss.
func (p *Policy) ZoneChanged(zone int, lost bool, spread float64) {
	p.recordZone(zone, lost)
	for id, server := range p.servers {
		if server == nil || !server.listed || server.zone != zone {
			continue
		}
		if spread < 0 { // the zone was not lost: undo the ejections of that moment unless a connect failed since
			server.ejected = server.ejected &&
				(server.connectFailed || math.Abs(p.now+spread-server.ejectedAt) > sameEjectionTolerance)
			continue
		}
		trialAt := p.now + spread*p.random.next()
		if lost {
			p.eject(id, true, "its hall is lost")
			server.trialAt = trialAt
		} else if server.ejected && server.unresponsive {
			server.trialAt, server.trialBackoff = min(server.trialAt, trialAt), p.firstTrialDelay
		}
	}
}

// recordZone records whether a zone is lost, and when the outage of any zone began.
func (p *Policy) recordZone(zone int, lost bool) {
	for len(p.zoneLost) <= zone {
		p.zoneLost = append(p.zoneLost, false)
	}
	p.zoneLost[zone] = lost
	if !slices.Contains(p.zoneLost, true) {
		p.outageSince = 0
	} else if p.outageSince == 0 {
		p.outageSince = p.now
	}
}
