package engine

// Time limits of a shutdown, in milliseconds. After SIGTERM new clients may connect for up to 400
// ms, and connected clients keep sending searches as long as their connection is open: there may be
// no other aggregator to go to, if another one was stopped shortly before. SIGKILL follows no
// sooner than the longest client timeout, taken as at most 3 s, plus 700 ms.
const (
	minServeAfterStop      = 500
	serveShareAfterStop    = 0.6 // share of the time until the kill during which clients are served; the rest is for pending searches
	maxClientTimeout       = 3000
	killMargin             = 700
	answerBeforeKill       = 150  // every answer is written this long before the kill
	lastRequestWindow      = 100  // a client that has sent a request may send another this long after the listeners close
	maxRequestAfterClose   = 1000 // a client that has only connected may send a request, and end one it has begun, this long
	requestShareAfterClose = 0.75 // upper limit of that window, as a share of the time left; the rest is for the answer
	closeRetryDelay        = 10   // between attempts to close the listeners when no descriptor is free
	lingerEndBeforeKill    = 20   // clients that were answered and have not closed are dropped this long before the kill
)

// terminate begins the shutdown: clients are served as long as they may still come, then the
// listeners are closed, and the engine stops once all searches are answered.
func (e *Engine) terminate() {
	if e.stopping {
		return
	}
	grace := min(e.config.longestTimeout, maxClientTimeout) + killMargin
	e.stopping, e.stoppedAt, e.killAt = true, e.now, e.now+grace
	e.log.info("stopping", "%d searches held, %d clients", e.openSearches, e.clientCount)
	e.afterFunc(minServeAfterStop, func(*Engine) {}) // requests a turn in which stopWhenIdle may act
	for _, entry := range e.entries {
		if entry.search != nil && !entry.search.ended {
			e.shortenDeadline(entry.search, e.killAt-answerBeforeKill)
		}
	}
	for _, frontend := range e.frontends {
		frontend.ShutdownStarted(e.killAt - answerBeforeKill)
	}
	e.afterFunc(max(minServeAfterStop, serveShareAfterStop*grace), (*Engine).stopAccepting)
}

// stopAccepting closes the listeners and, after some time, the connections of clients.
func (e *Engine) stopAccepting() {
	if e.listenersClosed {
		return
	}
	e.accepting, e.listenersClosed = false, true
	e.closeListeners()
	for _, frontend := range e.frontends {
		frontend.ListenersClosed()
	}
	// All windows follow from the time that is left: with short client timeouts that is far less
	// than a second.
	left := max(e.killAt-answerBeforeKill-e.now, 0)
	requestWindow := min(maxRequestAfterClose, requestShareAfterClose*left)
	e.afterFunc(min(lastRequestWindow, requestWindow/2), func(e *Engine) {
		e.finishClients(func(client *client) bool { return client.idle() && client.sentRequest })
	})
	e.afterFunc(requestWindow, func(e *Engine) { e.finishClients(func(client *client) bool { return client.search == nil }) })
	e.afterFunc(left+answerBeforeKill-lingerEndBeforeKill, func(e *Engine) { // their answers were written long before
		for _, endpoint := range e.endpoints {
			if endpoint.client != nil && endpoint.client.finishing {
				e.dropClient(endpoint.client)
			}
		}
	})
}

// closeListeners accepts the clients that have connected and closes the listeners. A client that
// cannot be accepted for want of a descriptor would be disconnected without an answer. So idle
// clients are evicted and the closing is retried until all are accepted.
func (e *Engine) closeListeners() {
	if e.listenerClosePending = !e.network.CloseListeners(); !e.listenerClosePending {
		return
	}
	e.Counters.ListenerCloseRetries++
	for range max(int(evictShare*float64(e.maxClients())), 1) {
		if !e.evictClient() {
			break
		}
	}
	e.afterFunc(closeRetryDelay, (*Engine).closeListeners)
}

// shortenDeadline moves a search's deadline forward, because the process may be killed after it.
func (e *Engine) shortenDeadline(search *search, until float64) {
	if until >= search.deadline {
		return
	}
	search.deadline = until
	e.timers.cancel(search.timer)
	e.armSearchTimer(search)
	e.policy.ShortenDeadline(search.index, until)
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			if attempt.state != stateEnded && attempt.deadline > until {
				attempt.deadline = until
				if attempt.timer != nil {
					e.timers.cancel(attempt.timer)
					attempt.timer = e.timers.add(until, func(e *Engine) { e.attemptTimedOut(attempt) })
				}
			}
		}
	}
}

// finishClients closes the connections of the clients that a condition holds for.
func (e *Engine) finishClients(matches func(*client) bool) {
	for _, endpoint := range e.endpoints {
		if endpoint.client != nil && matches(endpoint.client) {
			e.finishClient(endpoint.client)
		}
	}
}

// stopWhenIdle ends a shutdown early when no client is connected.
func (e *Engine) stopWhenIdle() {
	if e.stopping && e.clientCount == 0 && e.frontendsIdle() && e.now >= e.stoppedAt+minServeAfterStop {
		e.stopAccepting() // this may accept further clients
	}
	if e.listenersClosed && !e.listenerClosePending && e.clientCount == 0 && e.frontendsIdle() {
		e.network.Stop()
	}
}
