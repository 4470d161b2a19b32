package policy

import "math"

const replicaListCapacity = 4 // first size of a list of holders

// Server implements Port; a server of which it is the first report is added.
func (p *Policy) Server(id, zone, position int, state State, size, startedAt float64) {
	for len(p.servers) <= id {
		p.servers = append(p.servers, nil)
	}
	server := p.servers[id]
	if server == nil {
		server = &serverState{
			latencies:      newHistogram(latencySpan),
			errors:         newCounts(errorSpan),
			successes:      newCounts(errorSpan),
			sentWork:       newCounts(max(p.warmUp.window, 1)),
			loadReportedAt: math.Inf(-1),
		}
		p.servers[id] = server
	}
	p.countReady(server, position, state)
	if state != Gone {
		server.zone, server.position, server.size = zone, position, max(size, 0)
		p.recordStart(server, startedAt)
	}
	server.listed, server.state = state != Gone, state
	if state == Gone {
		p.dropReport(server)
	}
}

// countReady keeps how many servers are ready, and drops the lists of holders that a change touches.
func (p *Policy) countReady(server *serverState, position int, state State) {
	was, is := server.listed && server.state == Ready, state == Ready
	if was == is && server.position == position {
		return
	}
	p.invalidateReplicas(server.position)
	p.invalidateReplicas(position)
	if was && !is {
		p.readyServers--
	} else if is && !was {
		p.readyServers++
		p.maxReadyServers = max(p.maxReadyServers, p.readyServers)
	}
}

// recordStart has a server that was started anew warm up; one that is ejected as unresponsive is
// tried at once.
func (p *Policy) recordStart(server *serverState, startedAt float64) {
	if startedAt <= server.startedAt || startedAt <= 0 {
		return
	}
	server.startedAt = startedAt
	server.warmUpFrom, server.warmUpUntil = startedAt, startedAt+p.warmUp.duration
	if server.ejected && server.unresponsive {
		server.trialAt, server.trialBackoff = p.now, p.firstTrialDelay
	}
}

// RemoveServer implements Port; false while a health check or batch is in flight there, or while
// what it was sent still counts, should it come back and warm up.
func (p *Policy) RemoveServer(id int) bool {
	server := getAt(p.servers, id)
	if server == nil {
		return true
	}
	if server.listed || server.probing || server.batches > 0 || server.sentWork.Sum(p.now, p.warmUp.window) > 0 {
		return false
	}
	p.dropReport(server) // a late answer may have brought one
	kept := p.watched[:0]
	for _, other := range p.watched {
		if other != id {
			kept = append(kept, other)
		}
	}
	p.watched, p.servers[id] = kept, nil
	p.invalidateReplicas(server.position)
	return true
}

// watchServer puts a server on the list of those that have something in flight or due.
func (p *Policy) watchServer(id int) {
	if server := p.servers[id]; !server.watched {
		server.watched = true
		p.watched = append(p.watched, id)
	}
}

// replicasOf lists who may be sent requests to a shard: ready servers of the positions that hold it.
// The list is made anew only after a change of its positions.
func (p *Policy) replicasOf(shard int) []int {
	fleet := &p.fleet
	first := fleet.position(shard)
	if len(p.replicasByPosition) != fleet.positions {
		p.replicasByPosition = make([][]int, fleet.positions)
	}
	if p.replicasByPosition[first] == nil {
		list := make([]int, 0, replicaListCapacity)
		for id, server := range p.servers {
			if server != nil && server.listed && server.state == Ready &&
				fleet.position(server.position-first) < fleet.replicas {
				list = append(list, id)
			}
		}
		p.replicasByPosition[first] = list
	}
	return p.replicasByPosition[first]
}

// invalidateReplicas drops the lists that a server of this position stands in.
func (p *Policy) invalidateReplicas(position int) {
	fleet := &p.fleet
	if len(p.replicasByPosition) != fleet.positions {
		return
	}
	for i := range min(fleet.replicas, fleet.positions) {
		p.replicasByPosition[fleet.position(position-i)] = nil
	}
}

// position is a number's place on the ring of positions.
func (fleet *fleetShape) position(n int) int {
	return (n%fleet.positions + fleet.positions) % fleet.positions
}
