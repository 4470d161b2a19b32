package baseline

import "math"

// Offsets of the rank by which failover orders servers, the lowest first: the aggregator's own zone and
// those with a higher number, then the zones with a lower number, and last the servers that failed
// recently. Both are far greater than the number of zones, so that the groups don't overlap.
const (
	earlierZoneRank = 1 << 16
	avoidedRank     = 1 << 20
)

// pickServer returns the server for the next attempt of a shard request, or -1 if no replica of its shard is
// ready. Replicas that were not tried yet take precedence.
func (p *Port) pickServer(r *shardRequest) int {
	var candidates, untried []int
	for id, s := range p.servers {
		if !s.ready || !p.hasReplica(s, r.shard) {
			continue
		}
		candidates = append(candidates, id)
		if !r.tried(id) {
			untried = append(untried, id)
		}
	}
	if len(untried) > 0 {
		candidates = untried
	}
	if p.failover {
		candidates = p.lowestRanked(candidates)
	}
	if len(candidates) == 0 {
		return -1
	}
	p.sendCount++
	if p.roundRobin {
		return candidates[p.sendCount%len(candidates)]
	}
	return candidates[p.rng.IntN(len(candidates))]
}

// hasReplica reports whether a server has a replica of a shard. The replicas are at the shard's position and
// at the positions that follow on the ring.
func (p *Port) hasReplica(s *server, shard int) bool {
	distance := ((s.position-shard)%p.positions + p.positions) % p.positions
	return distance < p.replicas
}

// tried reports whether the shard request has had an attempt at a server.
func (r *shardRequest) tried(server int) bool {
	for _, a := range r.attempts {
		if a.server == server {
			return true
		}
	}
	return false
}

// lowestRanked returns the candidates with the lowest rank.
func (p *Port) lowestRanked(candidates []int) []int {
	best, bestRank := candidates, math.MaxInt
	for _, id := range candidates {
		rank := p.rank(p.servers[id])
		switch {
		case rank < bestRank:
			best, bestRank = []int{id}, rank
		case rank == bestRank:
			best = append(best, id)
		}
	}
	return best
}

// rank returns the order of a server under failover, the lowest first.
func (p *Port) rank(s *server) int {
	rank := s.zone - p.homeZone
	if rank < 0 {
		rank += earlierZoneRank
	}
	if p.now < s.avoidUntil {
		rank += avoidedRank
	}
	return rank
}
