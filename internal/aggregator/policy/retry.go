package policy

import "kestrelspread/internal/window"

// attemptNeeded decides whether a shard request gets an attempt: its first, a retry after a
// failure, one that replaces an attempt at an unresponsive server, or the design's hedge.
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

// attemptsInFlight counts a shard request's attempts in flight, and of those the ones at servers
// that are ejected as unresponsive; the trial of such a server is not one of them. last is the
// latest in flight.
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

// replaceAttempt takes a shard request off an unresponsive server. Where no two attempts may be in
// flight, the one there is cancelled, and the next goes when it has ended.
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

// mayRetry keeps an effect from happening twice: only an attempt proved not to have run may be
// followed by another, unless a second run does no harm or is still dropped by whoever holds the
// shard.
func (p *Policy) mayRetry(req *shardRequest) bool {
	if req.committed != nil || req.notBefore >= req.search.deadline-answerMargin {
		return false
	}
	qt, ran := req.search.queryType, req.firstPossiblyRun()
	return qt.effect == Idempotent || ran == nil || qt.effect == Tokened && p.now < ran.sentAt+qt.tokenWindow-answerMargin
}

// firstPossiblyRun is the first attempt that is in flight or may have run; nil: none.
func (req *shardRequest) firstPossiblyRun() *attemptState {
	for _, attempt := range req.attempts {
		if !attempt.neverRan {
			return attempt
		}
	}
	return nil
}

// effectiveEffect: a token window that ends before a retry could be sent is none, and the type's
// shard requests may not run twice. Taken for one, it would leave the first attempt no time to
// begin either.
func effectiveEffect(effect Effect, window float64) Effect {
	if effect == Tokened && window <= 2*answerMargin {
		return NonIdempotent
	}
	return effect
}

// retryBudget is the stated limit on retries and hedges in a window: allowance and ratio of the
// requests in it.
type retryBudget struct {
	allowance, ratio, window float64 // window 0: no budget
	requests, retries        *window.Counts
}

// allows tells whether one more retry stays in the budget. Retries are counted a little longer than
// the window and the searches and shard requests that earn them a little shorter, so that no window
// of its length is overdrawn.
func (b *retryBudget) allows(now float64) bool {
	return b.window == 0 ||
		b.retries.Sum(now, b.window)+1 <= b.allowance+b.ratio*b.requests.SumWithin(now, b.window)
}

func (b *retryBudget) countRequest(now float64) {
	if b.window > 0 {
		b.requests.Add(now, 1)
	}
}

func (b *retryBudget) countRetry(now float64) {
	if b.window > 0 {
		b.retries.Add(now, 1)
	}
}
