package policy

import "math"

const (
	answerMargin            = 25.0 // ms before the client's deadline by which a final answer goes out
	retryAfterShare         = 0.25 // of the latency target: advice to a client that was shed
	retryAfterOutageDivisor = 1.5  // of the longest advice, so that its random spread stays under it
	attemptTimeoutShare     = 0.5  // of the latency target: limit of an attempt that nothing else could end
)

// ShortenDeadline implements Port; it only ever moves the deadline forward.
func (p *Policy) ShortenDeadline(id int, deadline float64) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		search.deadline = min(search.deadline, deadline)
	}
}

// ClientGone implements Port; the search ends without an answer.
func (p *Policy) ClientGone(id int) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		p.closeSearch(search)
		p.releaseSearch(search)
	}
}

// beginLimit is how long an attempt may wait on its way before it must not run any more; 0: no
// limit. The first attempt of a tokened shard request has one too: delayed, it could arrive when
// the next one's window is over.
func (p *Policy) beginLimit(req *shardRequest) float64 {
	if req.search.queryType.effect != Tokened {
		return 0
	}
	limit := req.search.queryType.tokenWindow - answerMargin
	if first := req.firstPossiblyRun(); first != nil {
		limit += first.sentAt - p.now
	}
	return limit
}

// attemptLimit is an attempt's own time limit; 0: until the client gives up. It is set where
// nothing else could take the shard request off an unresponsive server.
func (p *Policy) attemptLimit(search *searchState) float64 {
	if p.limits.mayCancel || p.limits.mayHedge {
		return 0
	}
	return min(search.deadline-p.now, attemptTimeoutShare*search.queryType.latencyTarget)
}

// retryAfter is when a client that was shed may come again: at random, or those who were shed
// together would come together. While a zone is lost it is spread over the outage, which is taken
// to last as long again, and never all at the longest advice: that would be one burst for all.
func (p *Policy) retryAfter(qt *queryType) float64 {
	if qt == nil {
		return 0
	}
	spread := retryAfterShare * qt.latencyTarget
	if p.outageSince > 0 {
		spread = max(spread, min(p.now-p.outageSince, p.maxRetryAfter/retryAfterOutageDivisor))
	}
	return min(p.maxRetryAfter, spread*(0.5+p.random.next()))
}

// RetryAfter implements Port: the advice that a search gets which is shed here, for those that the
// limit on pending work sheds before they come here.
func (p *Policy) RetryAfter(kind int) float64 { return p.retryAfter(getAt(p.queryTypes, kind)) }

// Pushback implements Port; the latest wish of a server holds, and one that says never is not
// overruled.
func (p *Policy) Pushback(id int, wait float64) {
	req := getAt(p.requests, id)
	if req == nil {
		return
	}
	req.notBefore = max(req.notBefore, p.now+wait)
	if wait < 0 {
		req.notBefore = math.Inf(1)
	}
}
