package policy

const (
	rejectionBackoff  = 300. // ms after a server's queue was full: long enough for a few shard requests to be done
	sameServerBackoff = 300. // ms before a shard request comes to whoever failed it, or to one that fails others
	maxRejections     = 2    // a shard request that two servers rejected is not worth a third's place
)

// filterCandidates leaves the servers that may get this shard request: listed, healthy, and with
// capacity while they warm up.
func (p *Policy) filterCandidates(placement *placement) stageResult {
	req := placement.request
	placement.candidates = placement.candidates[:0]
	var again, failing []int
	holders := p.replicasOf(req.shard)
	for _, id := range holders {
		server := p.servers[id]
		if p.now < server.rejectsUntil || !p.hasCapacity(server, holders, req) {
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
			again = append(again, id)
		default:
			placement.candidates = append(placement.candidates, id)
		}
	}
	if len(placement.candidates) == 0 && p.mayRepeatServer(placement) {
		placement.candidates = append(placement.candidates, again...)
		if len(placement.candidates) == 0 {
			placement.candidates = append(placement.candidates, failing...) // some quick errors beat no answer
		}
	}
	if len(placement.candidates) == 0 {
		return stop
	}
	return proceed
}

// mayAskAgain: whoever has failed this shard request, or fails others, is asked again only after a
// while. Its attempts would be gone within milliseconds, and with them all of its search, where a
// place that is full or slow would have been free soon.
func (p *Policy) mayRepeatServer(placement *placement) bool {
	req := placement.request
	return !placement.hedge && (len(req.attempts) == 0 || p.now >= req.lastEndedAt+sameServerBackoff)
}

// attemptsAt tells whether a server had an attempt of this shard request, and whether it has one in
// flight.
func (req *shardRequest) attemptsAt(server int) (tried, inFlight bool) {
	for _, attempt := range req.attempts {
		if attempt.server == server {
			tried = true
			inFlight = inFlight || attempt.inFlight
		}
	}
	return tried, inFlight
}
