package policy

import (
	"math"

	"kestrelspread/internal/window"
)

const (
	rateMemory         = 90000. // ms over which the highest rate that servers carried fades by 1/e
	rateSpan           = 10000. // ms over which that rate is measured
	rateInterval       = 500.   // ms between two measurements
	assumedBusyShare   = 0.67   // reports may be untrue; had servers been wholly busy, the limit still holds
	warmUpSafetyShare  = 0.75   // of the limit: reports come late, and random admission varies
	maxDrawnRequests   = 4.0    // shard requests that one aggregator sends by draw in the window, where others even it out
	aggregatorsPerDraw = 50.0   // aggregators for each of them: alone, more than one needs a measurement of its own
	minSize            = 1e-3   // of a server that states none
	defaultWorkShare   = 0.1    // of the latency target: work of a shard request without a hint
)

// warmUpLimit limits what goes to a server that has just started (slow start). The settings state
// its share of a warm server's capacity at first, how long it takes to reach all of it, and the
// multiple of that capacity that all aggregators together must stay under in a window.
type warmUpLimit struct {
	initialShare, duration, multiple, window float64 // multiple 0: no guard
	maxRate                                  float64 // highest rate of warm servers for this aggregator, per size; it fades
	measuredAt, warmSize                     float64
	warmWork                                 *window.Counts // work of warm servers, over their size
}

// hasCapacity keeps a server that has just come back from being overloaded: all aggregators
// together must stay under a multiple of what it can do, and each knows only itself.
//
// What warm servers carried for this aggregator at best, taken as fairly busy, is its part of what
// one can do: the parts of all aggregators add up to no more. With many aggregators that is less
// than one shard request, and one from each would overload the server: then a draw admits, of what
// a warm holder would get, the share that one warming up can take, and the sum is right without
// knowing the others. A server that was unreachable or unresponsive for long may have restarted:
// its trials count too.
func (p *Policy) hasCapacity(server *serverState, holders []int, req *shardRequest) bool {
	share, guarded := p.warmUpShare(server)
	if !guarded {
		return true
	}
	guard := &p.warmUp
	safe, work := warmUpSafetyShare*guard.multiple*share, p.expectedWork(req)
	sent := server.sentWork.Sum(p.now, guard.window)
	if sent+work <= safe*guard.maxRate*max(server.size, minSize)*guard.window {
		return true
	}
	maxDrawn := min(max(float64(p.aggregators)/aggregatorsPerDraw, 1), maxDrawnRequests)
	return sent+work <= maxDrawn*work && p.admittedByDraw(server, holders, req, safe)
}

// warmUpShare is the share of a warm server's capacity that this one has by now; guarded false: all
// of it.
func (p *Policy) warmUpShare(server *serverState) (share float64, guarded bool) {
	guard := &p.warmUp
	share = guard.initialShare
	switch {
	case guard.multiple <= 0:
		return share, false
	case p.now < server.warmUpUntil:
		share += (1 - share) * max(p.now-server.warmUpFrom, 0) / (server.warmUpUntil - server.warmUpFrom)
		return share, true
	case !server.ejected || !server.unresponsive:
		return share, false
	case !server.connectFailed && p.now-server.ejectedAt <= restartLikelyAfter:
		return share, false
	case server.probePassed && p.now > server.probePassedAt+restartReportDelay:
		return share, false
	}
	return share, true
}

// admittedByDraw tells whether the search's draw falls on this holder, with probability safe. The draw is
// the search's, not the shard request's: drawn apart, a search of many shards would hardly ever
// have them all, and whoever has only servers that warm up in reach would shed everything. It falls
// among the holders that this aggregator can use: who can't be reached takes no share. Where those
// are under half of what there were, some of it falls to nobody, as each then gets more than twice
// what a warm one usually does.
func (p *Policy) admittedByDraw(server *serverState, holders []int, req *shardRequest, safe float64) bool {
	usable, index := 0.0, 0.0
	for _, id := range holders {
		if other := p.servers[id]; other == server {
			index = usable
			usable++
		} else if !other.ejected || !other.unresponsive {
			usable++
		}
	}
	fleet := &p.fleet
	maxHolders := max(float64(len(holders)),
		float64(p.maxReadyServers*min(fleet.replicas, fleet.positions))/float64(fleet.positions))
	draw := req.search.warmUpDraw*max(usable, maxHolders/2) - index
	return draw >= 0 && draw < min(safe, 1)
}

// measureWarmServers takes the rate of warm servers at intervals.
func (p *Policy) measureWarmServers() {
	if p.warmUp.multiple <= 0 || p.now < p.warmUp.measuredAt+rateInterval {
		return
	}
	size, warm := 0.0, 0.0
	for _, server := range p.servers {
		if server == nil || !server.listed || server.state != Ready {
			continue
		}
		size += max(server.size, minSize)
		if p.now >= server.warmUpUntil {
			warm += max(server.size, minSize)
		}
	}
	p.warmUp.measure(p.now, warm, size)
}

// measure raises the highest rate only while most servers are warm: what the last few carry tells
// nothing of what one can.
func (guard *warmUpLimit) measure(now, warm, size float64) {
	guard.maxRate *= math.Exp((guard.measuredAt - now) / rateMemory)
	guard.measuredAt, guard.warmSize = now, warm
	if warm > size/2 {
		guard.maxRate = max(guard.maxRate, guard.warmWork.SumWithin(now, rateSpan)/rateSpan/assumedBusyShare)
	}
}

// countWarmWork counts an answer of a warm server over the size of those that shared the work then:
// a zone may restart within the span.
func (p *Policy) countWarmWork(server *serverState, req *shardRequest) {
	if p.warmUp.warmSize > 0 && p.now >= server.warmUpUntil {
		p.warmUp.warmWork.Add(p.now, p.expectedWork(req)/p.warmUp.warmSize)
	}
}

// expectedWork of a shard request is its query type's mean hint, with what a batch costs.
func (p *Policy) expectedWork(req *shardRequest) float64 {
	qt := req.search.queryType
	if qt.meanHintedWork > 0 {
		return qt.meanHintedWork + p.fleet.batchWork
	}
	return defaultWorkShare*qt.latencyTarget + p.fleet.batchWork
}
