package policy

// The rules that the world checks when the policy sends an attempt, and after each round.

// checkTarget checks that the request may still be sent, and to this server.
func (w *world) checkTarget(request, server int) {
	target, s := w.requests[request], w.servers[server]
	search := w.searches[target.search]
	if target.ended || search.finalAnswers > 0 || target.answered || search.clientGone {
		w.recordViolation("request %d sent after its end", request)
	}
	if s.state != Ready {
		w.recordViolation("request %d sent to server %d, which is draining or gone", request, server)
	}
	if ((s.position-target.shard)%w.positions+w.positions)%w.positions >= w.replicas {
		w.recordViolation("request %d sent to server %d, which is no replica of its shard", request, server)
	}
	if len(target.attempts) >= w.maxAttempts {
		w.recordViolation("request %d has more attempts than allowed", request)
	}
}

// checkRepetition checks that a further attempt of the request is allowed by its effect and the settings.
func (w *world) checkRepetition(request int) {
	target := w.requests[request]
	effect, first := w.effects[w.searches[target.search].kind], -1.0
	for _, attempt := range target.attempts {
		if attempt.inFlight && !w.mayHedge {
			w.recordViolation("request %d has two attempts at once", request)
		}
		if !attempt.neverRan && first < 0 {
			first = attempt.sentAt
		}
	}
	if first >= 0 && (effect == NonIdempotent || effect == Tokened && w.now > first+w.tokenWindow) {
		w.recordViolation("request %d of effect %d may run twice", request, effect)
	}
}

// checkRetryBudget records a retry or hedge, and checks that the budget of its window allows it.
func (w *world) checkRetryBudget() {
	w.retryTimes = append(w.retryTimes, w.now)
	n := w.countInWindow(w.retryTimes)
	if w.hasBudget && float64(n) > w.allowance+w.ratio*float64(w.countInWindow(w.requestTimes)) {
		w.recordViolation("retry %d of the window is over budget", n)
	}
}

// checkWarmUp records the work sent to a server, and checks that a warming one is sent no more than its share.
func (w *world) checkWarmUp(server int) {
	s := w.servers[server]
	sum := attemptWork
	for _, v := range s.sent {
		if v.sentAt > w.now-w.warmUpWindow {
			sum += v.work
		}
	}
	s.sent = append(s.sent, sentWork{w.now, attemptWork})
	age := w.now - s.startedAt
	if s.startedAt <= 0 || age >= w.warmUpDuration {
		return
	}
	share := w.warmUpShare + (1-w.warmUpShare)*age/w.warmUpDuration
	// A few attempts are allowed to each aggregator: it draws whether it sends, which evens out over many.
	few := min(max(float64(w.aggregators)/50, 1), 4)
	// The limit is in terms of what servers can process at their assumed utilization.
	if sum > few*attemptWork && sum > w.multiple*share*w.maxRate/assumedBusyShare*w.warmUpWindow {
		w.recordViolation("server %d was sent %.0f of work while warming up", server, sum)
	}
}

// recordRate updates the highest rate of work, over 10 s, that any server was sent.
func (w *world) recordRate(s *modelServer) {
	const windowMs = 10000
	total := 0.0
	for _, v := range s.sent {
		if v.sentAt > w.now-windowMs {
			total += v.work
		}
	}
	w.maxRate = max(w.maxRate, total/windowMs)
}

// countInWindow counts the times within the budget's window, now included.
func (w *world) countInWindow(times []float64) (n int) {
	for _, at := range times {
		if at > w.now-w.budgetWindow {
			n++
		}
	}
	return n
}

// checkDeadlines checks that each search whose client waits has its final answer in time.
func (w *world) checkDeadlines() {
	for id, q := range w.searches {
		if q.finalAnswers == 0 && !q.clientGone && w.now > q.deadline+20 {
			w.recordViolation("search %d has no final answer in time", id)
		}
	}
}
