package policy

import "kestrelspread/internal/window"

// attemptNeeded decides whether a shard request gets an attempt now: its first, a retry after a
// failure, one in place of an attempt at an unresponsive server, or a hedge.
func (p *Policy) attemptNeeded(placement *placement) stageResult {
	req := placement.request
	if req.answered || req.abandoned || req.phase != placement.search.phase || len(req.attempts) >= p.limits.maxAttempts ||
		!p.mayRetry(req) || p.now < req.notBefore {
		return stop
	}
	if len(req.attempts) > 0 && !p.budget.allows(p.now) {
		return stop
	}
	inFlight, unresponsive, last := p.attemptsInFlight(req)
	switch {
	case inFlight == 0:
		return proceed
	case inFlight == unresponsive && inFlight < 2:
		return p.replaceAttempt(placement, last)
	case inFlight > 1 || !p.hedgeDue(req, last):
		return stop
	}
	placement.hedge, placement.requireFast = true, true
	return proceed
}

// attemptsInFlight counts the attempts of a shard request that are in flight, and those of them at
// servers ejected as unresponsive, not counting the trial of such a server. last is the latest
// attempt in flight.
func (p *Policy) attemptsInFlight(req *shardRequest) (inFlight, unresponsive int, last *attemptState) {
	for _, attempt := range req.attempts {
		if !attempt.inFlight {
			continue
		}
		inFlight++
		last = attempt
		if server := p.servers[attempt.server]; server.ejected && server.unresponsive && server.trial != attempt {
			unresponsive++
		}
	}
	return inFlight, unresponsive, last
}

// replaceAttempt moves a shard request off an unresponsive server. Where hedges are not allowed,
// two attempts may not be in flight at once: the one at the server is cancelled, and the next is
// made when it has ended.
func (p *Policy) replaceAttempt(placement *placement, last *attemptState) stageResult {
	if p.limits.mayHedge {
		placement.requireFast = true
		return proceed
	}
	if p.limits.mayCancel && !last.cancelled {
		last.cancelled = true
		p.out.Cancel(placement.request.id, last.number)
	}
	return stop
}

// mayRetry reports whether a shard request may be sent again without its effect happening twice. If
// an attempt may have run, a further one is allowed only if a second run does no harm or the
// servers of the shard still drop it as a repetition.
func (p *Policy) mayRetry(req *shardRequest) bool {
	if req.committed != nil || req.notBefore >= req.search.deadline-answerMargin {
		return false
	}
	qt, ran := req.search.queryType, req.firstPossiblyRun()
	return qt.effect == Idempotent || ran == nil || qt.effect == TokenDeduplicated && p.now < ran.sentAt+qt.tokenWindow-answerMargin
}

// firstPossiblyRun returns the first attempt that is in flight or may have run; nil if there is
// none.
func (req *shardRequest) firstPossiblyRun() *attemptState {
	for _, attempt := range req.attempts {
		if !attempt.neverRan {
			return attempt
		}
	}
	return nil
}

// effectiveEffect returns the effect to assume for a query type. If the token expires before a
// retry could be sent, its shard requests may not run twice; treated as protected by the token,
// even the first attempt would have no time left to begin.
func effectiveEffect(effect RepeatEffect, window float64) RepeatEffect {
	if effect == TokenDeduplicated && window <= 2*answerMargin {
		return NonIdempotent
	}
	return effect
}

// retryBudget limits the retries and hedges in a window to the allowance plus the ratio of the
// searches and shard requests in it.
type retryBudget struct {
	allowance, ratio, window float64 // window in ms; 0: no limit
	requests, retries        *window.Counts
}

// allows reports whether one more retry stays within the budget. Retries are counted over a little
// more than the window, and the searches and shard requests that earn them over a little less, so
// that the budget is not exceeded in any window of this length.
func (b *retryBudget) allows(now float64) bool {
	return b.window == 0 ||
		b.retries.Sum(now, b.window)+1 <= b.allowance+b.ratio*b.requests.SumWithin(now, b.window)
}

// countRequest counts a search or shard request that arrived.
func (b *retryBudget) countRequest(now float64) {
	if b.window > 0 {
		b.requests.Add(now, 1)
	}
}

// countRetry counts a retry or hedge that was sent.
func (b *retryBudget) countRetry(now float64) {
	if b.window > 0 {
		b.retries.Add(now, 1)
	}
}
