package policy

import (
	"math"
	"slices"
)

const sameEjectionTolerance = 1 // ms between a zone's failure and an ejection that came with it

// ZoneChanged implements Port. It ejects all servers of a zone, or has them tried, at once: judged
// each by itself, each would take searches with it. Trials are spread at random, so that neither
// one aggregator's nor all aggregators' come as one.
func (p *Policy) ZoneChanged(zone int, lost bool, spread float64) {
	p.recordZone(zone, lost)
	for id, server := range p.servers {
		if server == nil || !server.listed || server.zone != zone {
			continue
		}
		if spread < 0 { // it was not lost: who was ejected then, for that alone, is not
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

// recordZone keeps since when some zone has been lost.
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
