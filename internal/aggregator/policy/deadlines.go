package policy

import "math"

const (
	answerMargin            = 25.0 // ms; a final answer is sent at least this long before the client's deadline
	retryAfterShare         = 0.25 // of the latency target: mean retry-after time of a client whose search is shed
	retryAfterOutageDivisor = 1.5  // of the longest retry-after time: keeps the random spread in an outage below it
	attemptTimeoutShare     = 0.5  // of the latency target: timeout of an attempt that nothing else could end
)

// ShortenDeadline moves a search's deadline forward, never back.
func (p *Policy) ShortenDeadline(id int, deadline float64) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		search.deadline = min(search.deadline, deadline)
	}
}

// ClientGone ends a search without an answer.
func (p *Policy) ClientGone(id int) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		p.closeSearch(search)
		p.releaseSearch(search)
	}
}

// beginLimit returns the time within which an attempt must begin to run, or not run at all; 0 means
// no limit. Where servers drop repetitions by a token, even the first attempt has a limit: if it
// were delayed, it could arrive after the token of the next attempt has expired.
func (p *Policy) beginLimit(req *shardRequest) float64 {
	if req.search.queryType.effect != TokenDeduplicated {
		return 0
	}
	limit := req.search.queryType.tokenWindow - answerMargin
	if first := req.firstPossiblyRun(); first != nil {
		limit += first.sentAt - p.now
	}
	return limit
}

// attemptLimit returns the timeout of an attempt; 0 means that it may last until the client gives
// up. A timeout is set only where attempts can be neither cancelled nor hedged, as nothing else
// could then move the shard request off an unresponsive server.
func (p *Policy) attemptLimit(search *searchState) float64 {
	if p.limits.mayCancel || p.limits.mayHedge {
		return 0
	}
	return min(search.deadline-p.now, attemptTimeoutShare*search.queryType.latencyTarget)
}

// retryAfter returns when a client whose search is shed may retry. It is random, as clients that
// were shed together would otherwise retry together. While a zone is lost the times are spread over
// the expected remaining outage, assumed to be as long as it has lasted so far. They are never all
// cut to the longest retry-after time, as this too would have all clients retry at once.
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

// RetryAfter returns the retry-after time of a search that is shed now, for searches that the
// caller refuses by the limit on pending work before they reach the policy.
func (p *Policy) RetryAfter(queryType int) float64 {
	return p.retryAfter(getAt(p.queryTypes, queryType))
}

// RetryPushback delays further attempts of a shard request. Of several delays the latest time applies,
// and a negative delay, which rules further attempts out, is not overridden.
func (p *Policy) RetryPushback(id int, delay float64) {
	req := getAt(p.requests, id)
	if req == nil {
		return
	}
	req.notBefore = max(req.notBefore, p.now+delay)
	if delay < 0 {
		req.notBefore = math.Inf(1)
	}
}
