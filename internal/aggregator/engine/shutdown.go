package engine

// Times of a shutdown, in ms. After SIGTERM clients go on coming for up to 400 ms, and those who
// have a connection ask on it as long as it is open: elsewhere there may be nobody yet, as another
// aggregator was stopped just before. SIGKILL follows no sooner than the longest client timeout,
// taken as 3 s at most, and 700 ms more.
const (
	minServeAfterStop      = 500
	serveShareAfterStop    = 0.6 // of that time clients are served; the rest is for what is pending by then
	maxClientTimeout       = 3000
	killMargin             = 700
	answerBeforeKill       = 150  // every answer is out so long before the kill
	lastRequestWindow      = 100  // who had asked before the address closed may ask again for so long
	maxRequestAfterClose   = 1000 // who has only just connected may still ask within so long, and a request that has begun end
	requestShareAfterClose = 0.75 // and within such a share of what is left: the rest is for its answer
	closeRetryDelay        = 10   // out of descriptors while the address is to be closed
	lingerEndBeforeKill    = 20   // who was rejected and has not closed by then is not waited for
)

// terminate goes on serving while clients still come and ask, then takes no more and leaves once
// all is answered.
func (e *Engine) terminate() {
	if e.stopping {
		return
	}
	grace := min(e.config.longestTimeout, maxClientTimeout) + killMargin
	e.stopping, e.stoppedAt, e.killAt = true, e.now, e.now+grace
	e.log.info("stopping", "%d searches held, %d clients", e.openSearches, e.clients)
	e.after(minServeAfterStop, func(*Engine) {}) // a turn, for leave
	for _, entry := range e.entries {
		if entry.search != nil && !entry.search.ended {
			e.shortenDeadline(entry.search, e.killAt-answerBeforeKill)
		}
	}
	for _, front := range e.fronts {
		front.Stopping(e.killAt - answerBeforeKill)
	}
	e.after(max(minServeAfterStop, serveShareAfterStop*grace), (*Engine).stopAccepting)
}

func (e *Engine) stopAccepting() {
	if e.listenersClosed {
		return
	}
	e.accepting, e.listenersClosed = false, true
	e.closeListeners()
	for _, front := range e.fronts {
		front.Leaving()
	}
	// All of it follows from the time that is left: with short client timeouts that is far less
	// than a second.
	left := max(e.killAt-answerBeforeKill-e.now, 0)
	requestWindow := min(maxRequestAfterClose, requestShareAfterClose*left)
	e.after(min(lastRequestWindow, requestWindow/2), func(e *Engine) {
		e.finishClients(func(client *client) bool { return client.idle() && client.sentRequest })
	})
	e.after(requestWindow, func(e *Engine) { e.finishClients(func(client *client) bool { return client.search == nil }) })
	e.after(left+answerBeforeKill-lingerEndBeforeKill, func(e *Engine) { // their answers are out for long
		for _, p := range e.endpoints {
			if p.client != nil && p.client.finishing {
				e.dropClient(p.client)
			}
		}
	})
}

// closeListeners takes who has connected and closes the addresses. Who can't be taken for want of a
// descriptor would be ended without a word: idle ones give way, and it is tried again until all are
// in.
func (e *Engine) closeListeners() {
	if e.closeIncomplete = !e.network.Unlisten(); !e.closeIncomplete {
		return
	}
	e.Count.CloseRetries++
	for range max(int(evictShare*float64(e.maxClients())), 1) {
		if !e.evictClient() {
			break
		}
	}
	e.after(closeRetryDelay, (*Engine).closeListeners)
}

// shortenDeadline brings a search's end forward: this aggregator will be gone by then.
func (e *Engine) shortenDeadline(search *search, until float64) {
	if until >= search.deadline {
		return
	}
	search.deadline = until
	e.timers.drop(search.timer)
	e.armSearchTimer(search)
	e.policy.ShortenDeadline(search.index, until)
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			if attempt.state != stateEnded && attempt.deadline > until {
				attempt.deadline = until
				if attempt.timer != nil {
					e.timers.drop(attempt.timer)
					attempt.timer = e.timers.add(until, func(e *Engine) { e.attemptTimedOut(attempt) })
				}
			}
		}
	}
}

func (e *Engine) finishClients(which func(*client) bool) {
	for _, p := range e.endpoints {
		if p.client != nil && which(p.client) {
			e.finishClient(p.client)
		}
	}
}

func (e *Engine) stopWhenIdle() {
	if e.stopping && e.clients == 0 && e.frontsIdle() && e.now >= e.stoppedAt+minServeAfterStop {
		e.stopAccepting() // which may bring clients
	}
	if e.listenersClosed && !e.closeIncomplete && e.clients == 0 && e.frontsIdle() {
		e.network.Stop()
	}
}
