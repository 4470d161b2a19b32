package baseline

import "math"

// Ranks of failover: the zones from the own one on, then those before it, and behind all of them the
// servers that failed lately. There are far fewer zones than either.
const (
	earlierZoneRank = 1 << 16
	avoidedRank     = 1 << 20
)

// pick returns the server for a request's next attempt, or -1 where no replica of its shard is ready.
// Replicas that the request hasn't tried go first.
func (p *Port) pick(r *shardRequest) int {
	var candidates, untried []int
	for id, s := range p.servers {
		if !s.ready || !p.holds(s, r.shard) {
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
		candidates = p.nearest(candidates)
	}
	if len(candidates) == 0 {
		return -1
	}
	p.sendCount++
	if p.inTurn {
		return candidates[p.sendCount%len(candidates)]
	}
	return candidates[p.rng.IntN(len(candidates))]
}

// holds reports whether a server has a replica of a shard: those at the shard's position and the next
// ones on the ring do.
func (p *Port) holds(s *server, shard int) bool {
	distance := ((s.position-shard)%p.positions + p.positions) % p.positions
	return distance < p.replicas
}

func (r *shardRequest) tried(server int) bool {
	for _, a := range r.attempts {
		if a.server == server {
			return true
		}
	}
	return false
}

// nearest returns the candidates of the lowest rank.
func (p *Port) nearest(candidates []int) []int {
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

func (p *Port) rank(s *server) int {
	rank := s.zone - p.zone
	if rank < 0 {
		rank += earlierZoneRank
	}
	if p.now < s.avoidUntil {
		rank += avoidedRank
	}
	return rank
}
