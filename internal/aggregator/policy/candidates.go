package policy

const (
	rejectionBackoff  = 300. // ms without attempts after a server rejected one as full, long enough for a few shard requests to finish
	sameServerBackoff = 300. // ms before a shard request goes again to a server that failed it, or to one that fails others
	maxRejections     = 2    // a shard request that two servers rejected is not worth the queue slot at a third
)

// filterCandidates selects the servers that may get this shard request: ready replicas that are not
// ejected, or whose trial is due, and that have capacity left if they warm up. Replicas that have
// failed this shard request, or that fail others, are taken only if there are no others.
func (p *Policy) filterCandidates(placement *placement) stageResult {
	req := placement.request
	placement.candidates = placement.candidates[:0]
	var alreadyTried, failing []int
	replicas := p.replicasOf(req.shard)
	for _, id := range replicas {
		server := p.servers[id]
		if p.now < server.rejectsUntil || !p.hasCapacity(server, replicas, req) {
			continue
		}
		tried, inFlight := req.attemptsAt(id)
		switch {
		case inFlight:
		case server.ejected && !p.trialDue(server):
			if !server.unresponsive {
				failing = append(failing, id)
			}
		case tried:
			alreadyTried = append(alreadyTried, id)
		default:
			placement.candidates = append(placement.candidates, id)
		}
	}
	if len(placement.candidates) == 0 && p.mayRepeatServer(placement) {
		placement.candidates = append(placement.candidates, alreadyTried...)
		if len(placement.candidates) == 0 {
			placement.candidates = append(placement.candidates, failing...) // a server that fails some attempts is better than none
		}
	}
	if len(placement.candidates) == 0 {
		return stop
	}
	return proceed
}

// mayRepeatServer reports whether a shard request may go to a server that has failed it or that
// fails others. It has to wait before that: its attempts would be used up within milliseconds, and
// its whole search lost, while a replica that is full or slow might have had room soon after.
func (p *Policy) mayRepeatServer(placement *placement) bool {
	req := placement.request
	return !placement.hedge && (len(req.attempts) == 0 || p.now >= req.lastEndedAt+sameServerBackoff)
}

// attemptsAt reports whether a server has had an attempt of this shard request, and whether one is
// in flight there.
func (req *shardRequest) attemptsAt(server int) (tried, inFlight bool) {
	for _, attempt := range req.attempts {
		if attempt.server == server {
			tried = true
			inFlight = inFlight || attempt.inFlight
		}
	}
	return tried, inFlight
}
