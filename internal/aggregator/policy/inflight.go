package policy

// batch is what one round sends to one server: its shard requests count as one in flight. Parked
// are those that wait for their client, or answer already: they stand in nobody's way at the
// server.
type batch struct{ size, inFlight, clientBound int }

// addToBatch puts an attempt in the batch that is open at its server in this round, or in a new one.
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

// adjustBatch keeps what is in flight at a server, in all and parked.
func (p *Policy) adjustBatch(server *serverState, b *batch, inFlight, parked int) {
	if b.inFlight > 0 && b.inFlight == b.clientBound {
		server.clientBoundBatches--
		p.clientBoundBatches--
	}
	b.inFlight, b.clientBound = b.inFlight+inFlight, b.clientBound+parked
	if b.inFlight > 0 && b.inFlight == b.clientBound {
		server.clientBoundBatches++
		p.clientBoundBatches++
	}
}

// clientBound is 1 for an attempt that waits for its client or answers already.
func (attempt *attemptState) clientBound() int {
	if attempt.clientSending || attempt.answering {
		return 1
	}
	return 0
}

// endAttempt frees what an attempt held.
func (p *Policy) endAttempt(attempt *attemptState, how Outcome) {
	server := p.servers[attempt.server]
	attempt.inFlight, attempt.request.lastEndedAt = false, p.now
	attempt.request.search.inFlight--
	p.adjustBatch(server, attempt.batch, -1, -attempt.clientBound())
	if attempt.batch.inFlight == 0 {
		server.batches--
		p.batches--
	}
	server.stopWaiting(attempt)
	attempt.neverRan = how.NeverRan() && !attempt.answering
}

// stopWaiting takes an attempt off those that the server owes an answer.
func (server *serverState) stopWaiting(attempt *attemptState) {
	for i, waiting := range server.waiting {
		if waiting == attempt {
			server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
			break
		}
	}
}

// ClientSending implements Port. It starts the clock of what is in flight once the client has sent
// all: a server that waits for its client is not slow.
func (p *Policy) ClientSending(id int, sending bool) {
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

// Committed implements Port. It learns from an attempt as from an answer, now: how long the client
// goes on reading tells nothing of the server, and a stream that lasts must not read as
// unresponsive. The attempt stays in flight.
func (p *Policy) Committed(id, number int, answering bool) bool {
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

// Done implements Port; an outcome goes through the stages in reverse order.
func (p *Policy) Done(id, number int, how Outcome, report []float64) {
	attempt := p.attemptInFlight(id, number)
	if attempt == nil {
		return
	}
	p.recordReport(p.servers[attempt.server], report)
	for i := len(p.stages) - 1; i >= 0; i-- {
		if observe := p.stages[i].observe; observe != nil {
			observe(attempt, how)
		}
	}
	p.releaseSearch(attempt.request.search)
}

// attemptInFlight finds an attempt by its shard request and number; nil where it is not in flight.
func (p *Policy) attemptInFlight(id, number int) *attemptState {
	req := getAt(p.requests, id)
	if req == nil || number >= len(req.attempts) || !req.attempts[number].inFlight {
		return nil
	}
	return req.attempts[number]
}
