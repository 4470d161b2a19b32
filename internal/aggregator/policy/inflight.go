package policy

// batch is a group of shard requests sent to one server in one round, which together count as one in
// flight. Its attempts that wait for their client, or that are committed, are client-bound: they do
// not delay others at the server. Fields count attempts.
type batch struct{ size, inFlight, clientBound int }

// addToBatch adds an attempt to the batch that is open at its server in this round, or to a new
// one.
func (p *Policy) addToBatch(attempt *attemptState) {
	server := p.servers[attempt.server]
	if !p.joinsBatch(server) {
		server.openBatch, server.openRound = &batch{}, p.round
		server.batches++
		p.batches++
	}
	server.openBatch.size++
	attempt.batch, attempt.clientSending = server.openBatch, attempt.request.clientSending
	p.adjustBatch(server, attempt.batch, 1, attempt.clientBound())
}

// adjustBatch adds to the numbers of attempts in flight and of client-bound ones in a batch, and
// updates the number of batches that are client-bound as a whole.
func (p *Policy) adjustBatch(server *serverState, b *batch, inFlight, clientBound int) {
	if b.inFlight > 0 && b.inFlight == b.clientBound {
		server.clientBoundBatches--
		p.clientBoundBatches--
	}
	b.inFlight, b.clientBound = b.inFlight+inFlight, b.clientBound+clientBound
	if b.inFlight > 0 && b.inFlight == b.clientBound {
		server.clientBoundBatches++
		p.clientBoundBatches++
	}
}

// clientBound returns 1 for an attempt that waits for its client or is committed, else 0.
func (attempt *attemptState) clientBound() int {
	if attempt.clientSending || attempt.answering {
		return 1
	}
	return 0
}

// endAttempt removes an attempt from all counts of what is in flight.
func (p *Policy) endAttempt(attempt *attemptState, outcome Outcome) {
	server := p.servers[attempt.server]
	attempt.inFlight, attempt.request.lastEndedAt = false, p.now
	attempt.request.search.inFlight--
	p.adjustBatch(server, attempt.batch, -1, -attempt.clientBound())
	if attempt.batch.inFlight == 0 {
		server.batches--
		p.batches--
	}
	server.stopWaiting(attempt)
	attempt.neverRan = outcome.NeverRan() && !attempt.answering
}

// stopWaiting removes an attempt from those that the server has yet to answer.
func (server *serverState) stopWaiting(attempt *attemptState) {
	for i, waiting := range server.waiting {
		if waiting == attempt {
			server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
			break
		}
	}
}

// SetClientSending sets whether the client is still sending the body of a shard request. When it has
// sent all, the time of the attempts in flight starts to count: a server that waits for the client
// is not slow.
func (p *Policy) SetClientSending(id int, sending bool) {
	req := getAt(p.requests, id)
	if req == nil || req.clientSending == sending {
		return
	}
	req.clientSending = sending
	for _, attempt := range req.attempts {
		if attempt.clientSending && attempt.inFlight && !attempt.answering && !sending {
			server := p.servers[attempt.server]
			p.adjustBatch(server, attempt.batch, 0, -1)
			attempt.clientSending, attempt.startedAt = false, p.now
			server.waiting = append(server.waiting, attempt)
		}
	}
}

// CommitAttempt commits a shard request to one attempt and cancels the others. If answering is set, the
// attempt is recorded as an answer now and not at its end: how long the client takes to read the
// answer says nothing about the server, and a long stream must not make the server look
// unresponsive. The attempt stays in flight.
func (p *Policy) CommitAttempt(id, number int, answering bool) bool {
	attempt := p.attemptInFlight(id, number)
	if attempt == nil || attempt.cancelled {
		return false
	}
	req := attempt.request
	if req.committed != nil || req.answered {
		return false
	}
	req.committed = attempt
	if answering {
		p.trainPredictor(attempt, Answered)
		p.observeHealth(attempt, Answered)
	}
	server := p.servers[attempt.server]
	p.adjustBatch(server, attempt.batch, 0, 1-attempt.clientBound())
	attempt.answering, attempt.trained = true, true
	server.stopWaiting(attempt)
	p.cancelAttempts(req)
	return true
}

// AttemptDone ends an attempt and passes its outcome through the stages in reverse order.
func (p *Policy) AttemptDone(id, number int, outcome Outcome, report []float64) {
	attempt := p.attemptInFlight(id, number)
	if attempt == nil {
		return
	}
	p.recordReport(p.servers[attempt.server], report)
	for i := len(p.stages) - 1; i >= 0; i-- {
		if observe := p.stages[i].observe; observe != nil {
			observe(attempt, outcome)
		}
	}
	p.releaseSearch(attempt.request.search)
}

// attemptInFlight returns an attempt by its shard request and number; nil if it is not in flight.
func (p *Policy) attemptInFlight(id, number int) *attemptState {
	req := getAt(p.requests, id)
	if req == nil || number >= len(req.attempts) || !req.attempts[number].inFlight {
		return nil
	}
	return req.attempts[number]
}
