package policy

import (
	"math"

	"kestrelspread/internal/window"
)

const (
	rateMemory         = 90000. // ms in which the highest observed rate decays by a factor of e
	rateSpan           = 10000. // ms over which a rate is measured
	rateInterval       = 500.   // ms between two measurements
	assumedBusyShare   = 0.67   // assumed utilization of warm servers, as reports may be wrong; if they are fully busy the limit still holds
	warmUpSafetyShare  = 0.75   // of the limit: load reports are late, and random admission varies
	maxDrawnRequests   = 4.0    // shard requests in a window that an aggregator sends by random admission; many aggregators even them out
	aggregatorsPerDraw = 50.0   // aggregators for each such request; with few, sending more than one needs a measured rate
	minSize            = 1e-3   // size assumed for a server that states less
	defaultWorkShare   = 0.1    // of the latency target: assumed work of a shard request without a hint
)

// warmUpLimit limits what is sent to a server that has just started (slow start). The settings
// state the share of a warm server's capacity that the server has at first, how long it takes to
// reach full capacity, and the multiple of its present capacity that all aggregators together must
// not exceed in a window.
type warmUpLimit struct {
	initialShare, duration, multiple, window float64        // multiple 0: no limit
	maxRate                                  float64        // highest work per ms and size of warm servers for this aggregator; it decays
	measuredAt, warmSize                     float64        // time of the last measurement; total size of the warm servers then
	warmWork                                 *window.Counts // work of warm servers, divided by their total size
}

// hasCapacity reports whether a server can take a shard request without being overloaded while it
// warms up. All aggregators together must stay under a multiple of its capacity, and each knows
// only its own part.
//
// The highest rate of work that warm servers did for this aggregator, taking these as fairly busy,
// is its part of the capacity of a server: the parts of all aggregators add up to no more than the
// whole. With many aggregators a part is less than one shard request, and one shard request from
// each aggregator would overload the server. Then a random draw admits, of the shard requests that
// a warm replica would get, the share that the server can take, so that the sum over all
// aggregators is right although none knows the others. The limit also applies to the trials of a
// server that was unreachable, or unresponsive for long, as it may have restarted.
func (p *Policy) hasCapacity(server *serverState, replicas []int, req *shardRequest) bool {
	share, limited := p.warmUpShare(server)
	if !limited {
		return true
	}
	limit := &p.warmUp
	safeMultiple, work := warmUpSafetyShare*limit.multiple*share, p.expectedWork(req)
	sent := server.sentWork.Sum(p.now, limit.window)
	if sent+work <= safeMultiple*limit.maxRate*max(server.size, minSize)*limit.window {
		return true
	}
	maxDrawn := min(max(float64(p.aggregators)/aggregatorsPerDraw, 1), maxDrawnRequests)
	return sent+work <= maxDrawn*work && p.admittedByDraw(server, replicas, req, safeMultiple)
}

// warmUpShare returns the share of a warm server's capacity that this server has by now, and
// whether it is limited at all.
func (p *Policy) warmUpShare(server *serverState) (share float64, limited bool) {
	limit := &p.warmUp
	share = limit.initialShare
	switch {
	case limit.multiple <= 0:
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

// admittedByDraw reports whether the search's random draw falls on this replica, which happens with
// the probability given. The draw is made once for the search and not for each shard request:
// otherwise a search of many shards would hardly ever have them all admitted, and an aggregator
// that reaches only servers that warm up would shed everything. The draw is among the replicas that
// this aggregator can use; unreachable ones take no share of it. If fewer than half of the replicas
// are usable, part of the draws falls on none, as each of these replicas then gets more than twice
// what a warm one usually does.
func (p *Policy) admittedByDraw(server *serverState, replicas []int, req *shardRequest, probability float64) bool {
	usable, index := 0.0, 0.0
	for _, id := range replicas {
		if other := p.servers[id]; other == server {
			index = usable
			usable++
		} else if !other.ejected || !other.unresponsive {
			usable++
		}
	}
	fleet := &p.fleet
	mostReplicas := max(float64(len(replicas)),
		float64(p.maxReadyServers*min(fleet.replicas, fleet.positions))/float64(fleet.positions))
	draw := req.search.warmUpDraw*max(usable, mostReplicas/2) - index
	return draw >= 0 && draw < min(probability, 1)
}

// measureWarmServers measures the rate of work of warm servers every rateInterval.
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

// measure updates the highest rate. It is raised only while servers with most of the capacity are
// warm: the rate of a few remaining ones does not show what a server can do.
func (limit *warmUpLimit) measure(now, warm, size float64) {
	limit.maxRate *= math.Exp((limit.measuredAt - now) / rateMemory)
	limit.measuredAt, limit.warmSize = now, warm
	if warm > size/2 {
		limit.maxRate = max(limit.maxRate, limit.warmWork.SumWithin(now, rateSpan)/rateSpan/assumedBusyShare)
	}
}

// countWarmWork counts an answer of a warm server, divided by the total size of the servers that
// were warm at the last measurement, as a zone may restart within the span.
func (p *Policy) countWarmWork(server *serverState, req *shardRequest) {
	if p.warmUp.warmSize > 0 && p.now >= server.warmUpUntil {
		p.warmUp.warmWork.Add(p.now, p.expectedWork(req)/p.warmUp.warmSize)
	}
}

// expectedWork returns the work in ms that a shard request is expected to take: the mean hint of
// its query type, or an assumed share of the latency target, plus the work of a batch.
func (p *Policy) expectedWork(req *shardRequest) float64 {
	qt := req.search.queryType
	if qt.meanHintedWork > 0 {
		return qt.meanHintedWork + p.fleet.batchWork
	}
	return defaultWorkShare*qt.latencyTarget + p.fleet.batchWork
}
