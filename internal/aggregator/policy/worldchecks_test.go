package policy

// This file holds the rules that the world checks when the policy makes an attempt, and after each round.

// checkTarget checks that the shard request may still be sent, and to this server.
func (w *world) checkTarget(request, server int) {
	target, s := w.requests[request], w.servers[server]
	search := w.searches[target.search]
	if target.ended || search.finalAnswers > 0 || target.answered || search.clientGone {
		w.recordViolation("shard request %d sent after its end", request)
	}
	if s.state != Ready {
		w.recordViolation("shard request %d sent to server %d, which is draining or gone", request, server)
	}
	if ((s.position-target.shard)%w.positions+w.positions)%w.positions >= w.replicas {
		w.recordViolation("shard request %d sent to server %d, which is no replica of its shard", request, server)
	}
	if len(target.attempts) >= w.maxAttempts {
		w.recordViolation("shard request %d has more attempts than allowed", request)
	}
}

// checkRepetition checks that the effect of the shard request and the settings allow a further
// attempt.
func (w *world) checkRepetition(request int) {
	target := w.requests[request]
	effect, firstSentAt := w.effects[w.searches[target.search].kind], -1.0
	for _, attempt := range target.attempts {
		if attempt.inFlight && !w.mayHedge {
			w.recordViolation("shard request %d has two attempts at once", request)
		}
		if !attempt.neverRan && firstSentAt < 0 {
			firstSentAt = attempt.sentAt
		}
	}
	if firstSentAt >= 0 && (effect == NonIdempotent || effect == TokenDeduplicated && w.now > firstSentAt+w.tokenWindow) {
		w.recordViolation("shard request %d of effect %d may run twice", request, effect)
	}
}

// checkRetryBudget records a retry or hedge and checks that the budget of the window allows it.
func (w *world) checkRetryBudget() {
	w.retryTimes = append(w.retryTimes, w.now)
	n := w.countInWindow(w.retryTimes)
	if w.hasBudget && float64(n) > w.allowance+w.ratio*float64(w.countInWindow(w.requestTimes)) {
		w.recordViolation("retry %d of the window is over budget", n)
	}
}

// checkWarmUp records the work sent to a server and checks that a server that warms up gets no more
// than its limit.
func (w *world) checkWarmUp(server int) {
	s := w.servers[server]
	total := attemptWork
	for _, sent := range s.sent {
		if sent.sentAt > w.now-w.warmUpWindow {
			total += sent.work
		}
	}
	s.sent = append(s.sent, sentWork{w.now, attemptWork})
	age := w.now - s.startedAt
	if s.startedAt <= 0 || age >= w.warmUpDuration {
		return
	}
	share := w.warmUpShare + (1-w.warmUpShare)*age/w.warmUpDuration
	// Each aggregator may make a few attempts by random admission, which evens out over many aggregators.
	drawn := min(max(float64(w.aggregators)/50, 1), 4)
	// The highest rate is that of servers at the assumed utilization; the limit is for full utilization.
	if total > drawn*attemptWork && total > w.multiple*share*w.maxRate/assumedBusyShare*w.warmUpWindow {
		w.recordViolation("server %d was sent %.0f of work while warming up", server, total)
	}
}

// recordRate updates the highest rate of work that a single server was sent within 10 s.
func (w *world) recordRate(s *modelServer) {
	const windowMs = 10000
	total := 0.0
	for _, sent := range s.sent {
		if sent.sentAt > w.now-windowMs {
			total += sent.work
		}
	}
	w.maxRate = max(w.maxRate, total/windowMs)
}

// countInWindow returns how many of the times lie within the budget's window up to now.
func (w *world) countInWindow(times []float64) (n int) {
	for _, at := range times {
		if at > w.now-w.budgetWindow {
			n++
		}
	}
	return n
}

// checkDeadlines checks that each search whose client still waits got its final answer in time.
func (w *world) checkDeadlines() {
	for id, search := range w.searches {
		if search.finalAnswers == 0 && !search.clientGone && w.now > search.deadline+deadlineTolerance {
			w.recordViolation("search %d has no final answer in time", id)
		}
	}
}
