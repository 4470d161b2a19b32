package policy

import "math"

const replicaListCapacity = 4 // initial capacity of a list of replicas

// UpdateServer updates a server from the server list, and adds it if it is new.
func (p *Policy) UpdateServer(id, zone, position int, state ServerStatus, size, startedAt float64) {
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

// countReady updates the number of ready servers, and invalidates the lists of replicas that the
// change affects.
func (p *Policy) countReady(server *serverState, position int, state ServerStatus) {
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

// recordStart begins the warm-up of a server that has been restarted. If the server is ejected as
// unresponsive, its trial becomes due at once.
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

// RemoveServer forgets a server that is gone. It returns false while a health check or a batch is
// in flight there, or while the work sent to it still counts towards the warm-up limit, should the
// server come back.
func (p *Policy) RemoveServer(id int) bool {
	server := getAt(p.servers, id)
	if server == nil {
		return true
	}
	if server.listed || server.probing || server.batches > 0 || server.sentWork.Sum(p.now, p.warmUp.window) > 0 {
		return false
	}
	p.dropReport(server) // a late answer may have brought a report
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

// watchServer adds a server to those that are checked in each round.
func (p *Policy) watchServer(id int) {
	if server := p.servers[id]; !server.watched {
		server.watched = true
		p.watched = append(p.watched, id)
	}
}

// replicasOf returns the servers that may be sent requests to a shard: the ready ones at the
// positions that hold it. The list is computed again only after a change at these positions.
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

// invalidateReplicas drops the lists of replicas that a server at this position belongs to.
func (p *Policy) invalidateReplicas(position int) {
	fleet := &p.fleet
	if len(p.replicasByPosition) != fleet.positions {
		return
	}
	for i := range min(fleet.replicas, fleet.positions) {
		p.replicasByPosition[fleet.position(position-i)] = nil
	}
}

// position returns the position on the ring that a number falls on.
func (fleet *fleetShape) position(n int) int {
	return (n%fleet.positions + fleet.positions) % fleet.positions
}
