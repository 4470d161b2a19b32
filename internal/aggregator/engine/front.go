package engine

import (
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// This file is the interface to further front ends. HTTP is the built-in front end, and the framed
// server protocol carries its attempts. Other front ends start searches and send the attempts of
// these searches themselves, through this file. They know nothing of server health, retry budgets
// or retries: the policy decides all of that.

// Result is the kind of a search's final answer.
type Result uint8

// The kinds of final answers.
const (
	Complete Result = iota
	Partial         // at least the minimum share of the weight; marked as partial in the answer
	Shed            // refused without any effect: the client may retry
	Failed          // ended with an error; it may have had an effect
)

// SearchHandler is a front end's side of one search that it started: it sends the search's attempts to
// servers and delivers the final answer to the client.
type SearchHandler interface {
	// Answer delivers the final answer; retryAfter is advice for the client's retry in milliseconds,
	// 0: none. It is called exactly once, unless the front end has called ClientGone before. No
	// attempt of the search is sent afterwards.
	Answer(result Result, retryAfter float64)
	// Send starts an attempt. The front end reports its outcome by AttemptEnded, at once or later.
	Send(attempt *Attempt)
	// Cancel stops an attempt whose outcome is already decided; a later report on it is ignored.
	Cancel(attempt *Attempt)
	// FrontendNumber returns the number of the front end, counted from 1.
	FrontendNumber() int
	// BodyBytes returns how many bytes of message bodies, without headers, the client has sent and was
	// sent. It is called once the search is over.
	BodyBytes() (in, out int64)
}

// ConnHandler handles a connection that belongs to a front end. Nothing is called after Closed.
type ConnHandler interface {
	// Opened reports that the connection is established.
	Opened()
	// Received reports bytes that were received at the given time.
	Received(b []byte, receivedAt float64)
	// Written reports that the operating system has accepted the bytes before the offset.
	Written(upTo int64)
	// Closed reports that the connection is closed; bytes from the offset on were never sent.
	Closed(upTo int64)
}

// Frontend is a front end: a protocol, other than HTTP, by which clients send searches.
type Frontend interface {
	// Accepted reports a client connection on the front end's listener.
	Accepted(c transport.Conn)
	// ServerUpdated reports the state of one server of the list, by the server's index.
	ServerUpdated(index int, id string, addr netip.AddrPort, state policy.ServerStatus)
	// DrainGraceEnded reports that a server has been draining or gone for so long that attempts which
	// have not begun there must not begin any more.
	DrainGraceEnded(index int)
	// ServerRemoved reports that an index is free; it may refer to another server from now on.
	ServerRemoved(index int)
	// ShutdownStarted reports that the shutdown has begun. Clients are still served; all answers must be
	// written by the given time, as the process may be killed soon after it.
	ShutdownStarted(answerBy float64)
	// ListenersClosed reports that the listeners are closed.
	ListenersClosed()
	// Idle reports whether the front end has no client connection.
	Idle() bool
	// Flush is called at the end of each turn, after the policy has decided. It writes pending
	// output.
	Flush()
	// ReloadSettings applies new settings, if there are any.
	ReloadSettings()
	// LogCounters logs the front end's counters; why says what asked for them.
	LogCounters(log zerolog.Logger, why string)
}

// Attempt is an attempt as front ends see it.
type Attempt = attempt

// Server returns the index of the server that the policy chose.
func (attempt *attempt) Server() int { return attempt.server }

// Deadline returns the time, in milliseconds of the loop, at which the aggregator stops waiting for
// the attempt.
func (attempt *attempt) Deadline() float64 { return attempt.deadline }

// BeginDeadline returns the latest time at which the attempt may begin, or +Inf. If it began later
// and an earlier attempt of its shard request has run, the request could take effect twice.
func (attempt *attempt) BeginDeadline() float64 { return attempt.beginDeadline }

// Number returns the attempt's number among those of its shard request, counted from 0.
func (attempt *attempt) Number() int { return attempt.number }

// Ended reports whether the attempt's outcome is known.
func (attempt *attempt) Ended() bool { return attempt.state == stateEnded }

// Search is a search that a front end started.
type Search = search

// ShardRequest is the part of a search that one shard answers. Share is its share of the search's
// weight, Work is the expected work (0: unknown), and Key is a hash of the subject of the request
// (0: none).
type ShardRequest struct {
	Shard       int
	Share, Work float64
	Key         uint64
}

// ReplacePolicy replaces the policy that the settings define. It must be called before the loop
// runs.
func (e *Engine) ReplacePolicy(policy func(out policy.Executor) policy.Decider) { e.policy = policy(e) }

// AddFrontend registers a front end. The n-th one that is added owns the connections of listener n,
// counted from 1. It must be called before the loop runs.
func (e *Engine) AddFrontend(frontend Frontend) { e.frontends = append(e.frontends, frontend) }

// Now returns the time of the current turn, in milliseconds of the loop.
func (e *Engine) Now() float64 { return e.now }

// Stopping reports whether the shutdown has begun.
func (e *Engine) Stopping() bool { return e.stopping }

// QueryType returns the number of a query type and whether the settings define it.
func (e *Engine) QueryType(name string) (queryType int, known bool) {
	queryType, known = e.config.queryTypes[name]
	return queryType, known
}

// Customer returns the number of a customer, or unknownCustomer. A client that the settings do not
// name must not use up the quota of one that they name.
func (e *Engine) Customer(name string) int {
	if number, known := e.config.customers[name]; known {
		return number
	}
	return unknownCustomer
}

const unknownCustomer = -1 // number of a customer that the settings do not name

// Warn logs a warning, at most one per second of each kind.
func (e *Engine) Warn(kind, format string, args ...any) { e.log.warn(kind, format, args...) }

// Timer identifies a scheduled function, so that it can be cancelled.
type Timer struct{ timer *timer }

// AfterFunc schedules run to be called after a delay in milliseconds.
func (e *Engine) AfterFunc(delay float64, run func()) Timer {
	return Timer{e.afterFunc(delay, func(*Engine) { run() })}
}

// CancelTimer cancels a timer. It has no effect on one that has fired or on the zero Timer.
func (e *Engine) CancelTimer(t Timer) { e.timers.cancel(t.timer) }

// RequestTurn requests another turn right after this one, for work that no event will trigger.
func (e *Engine) RequestTurn() { e.turnRequested = true }

// Connect opens a connection for a front end. It returns false if no descriptor is available.
func (e *Engine) Connect(handler ConnHandler, addr netip.AddrPort) (transport.Conn, bool) {
	if e.socketCount >= e.config.maxDescriptors-reservedSockets && !e.evictClient() {
		e.Counters.NoSocket++
		return noConn, false
	}
	e.Counters.ConnsRequested++
	e.socketCount++
	c := e.network.Connect(addr)
	*e.endpoint(c) = endpoint{handler: handler}
	return c, true
}

// SetHandler sets the handler of an accepted connection.
func (e *Engine) SetHandler(c transport.Conn, handler ConnHandler) {
	*e.endpoint(c) = endpoint{handler: handler}
}

// MaxFrontendClients returns how many client connections a further front end may hold: half as many as
// HTTP's, so that neither can take all descriptors from the other.
func (e *Engine) MaxFrontendClients() int { return max(e.maxClients()/2, 1) }

// WriteConn writes to a front end's connection.
func (e *Engine) WriteConn(c transport.Conn, b []byte) {
	e.Counters.BytesOut += int64(len(b))
	e.network.Write(c, b)
}

// SetReading enables or disables reading from a front end's connection.
func (e *Engine) SetReading(c transport.Conn, on bool) { e.network.SetReading(c, on) }

// CloseConn closes a front end's connection immediately; the handler's Closed is not called.
func (e *Engine) CloseConn(c transport.Conn) {
	*e.endpoint(c) = endpoint{}
	e.close(c)
	e.resumeAccepting()
}

// FinishConn closes a front end's connection after everything written has been delivered; the
// handler's Closed is called then.
func (e *Engine) FinishConn(c transport.Conn) { e.network.Finish(c) }

// StartSearch starts a search for a front end. The final answer may be delivered before StartSearch
// returns, if the limit on pending work is reached. deadline is when the client gives up; isRetry
// says that the client has marked the search as a retry.
func (e *Engine) StartSearch(queryType, customer int, deadline float64, isRetry bool, requests []ShardRequest, handler SearchHandler) *Search {
	e.Counters.Searches++
	search := &search{
		deadline: min(deadline, e.killAt-answerBeforeKill),
		handler:  handler,
		usage:    usageRecord{queryType: queryType, customer: customer, frontend: handler.FrontendNumber()},
	}
	if e.config.twoPhase[queryType] {
		e.Counters.BadRequests++
		e.endSearch(search, 501, 0, nil)
		return search
	}
	if e.pendingLimitReached() {
		e.Counters.OverPendingLimit++
		e.endSearch(search, 503, e.policy.RetryAfter(queryType), nil)
		return search
	}
	e.parsedRequests = e.parsedRequests[:0]
	totalShare := 0.0
	for _, req := range requests {
		e.parsedRequests = append(e.parsedRequests, parsedRequest{req.Shard, req.Share, req.Work, req.Key})
		totalShare += req.Share
	}
	e.submitSearch(search, queryType, customer, totalShare, 0)
	if isRetry {
		e.policy.MarkRetry(search.index)
	}
	return search
}

// ClientGone ends a search whose client has gone: nobody waits for its answer.
func (e *Engine) ClientGone(search *Search) {
	if !search.ended {
		e.Counters.ClientsLeft++
		search.usage.clientLeft = true
		e.releaseSearch(search)
		e.dropStalledFrames(search)
		if len(search.requests) > 0 {
			e.policy.ClientGone(search.index)
		}
	}
}

// AttemptEnded reports the outcome of an attempt. Only the first report counts.
func (e *Engine) AttemptEnded(attempt *Attempt, outcome policy.Outcome) {
	if attempt.state != stateEnded && outcome == policy.Answered {
		attempt.request.hasValue = true
	}
	e.endAttempt(attempt, outcome, nil)
}

// CommitAttempt asks the policy to commit a shard request to an attempt: no other attempt may take its
// place afterwards. It returns false if the shard request is committed to another attempt; this one
// is then cancelled.
//
// answering is true if bytes of the server's response are about to reach the client, and false if
// the client's request can no longer be sent to another server.
func (e *Engine) CommitAttempt(attempt *Attempt, answering bool) bool {
	if attempt.state == stateEnded || attempt.request.search.ended {
		return false
	}
	e.deliverResults() // another attempt may have been answered earlier, which cancels this one
	if attempt.state == stateEnded {
		return false
	}
	return e.policy.CommitAttempt(attempt.request.index, attempt.number, answering)
}

// SetClientSending reports whether the client is still sending the request messages of a search.
func (e *Engine) SetClientSending(search *Search, sending bool) {
	if !search.ended && len(search.requests) > 0 {
		for _, req := range search.requests {
			e.policy.SetClientSending(req.index, sending)
		}
	}
}

// ReportPushback forwards a server's pushback to the policy: the milliseconds to wait before a retry, or
// a negative number to forbid retries.
func (e *Engine) ReportPushback(attempt *Attempt, wait float64) {
	e.Counters.Pushbacks++
	e.policy.RetryPushback(attempt.request.index, wait)
}

// sendByFrontend starts an attempt that the search's front end sends itself.
func (e *Engine) sendByFrontend(attempt *attempt) {
	attempt.state = stateSent
	e.Counters.AttemptsSent++
	attempt.timer = e.timers.add(attempt.deadline, func(e *Engine) { e.attemptTimedOut(attempt) })
	attempt.request.search.handler.Send(attempt)
}

// handlerClosed reports the end of a connection to its handler.
func (e *Engine) handlerClosed(c transport.Conn, handler ConnHandler, upTo int64) {
	*e.endpoint(c) = endpoint{}
	handler.Closed(upTo)
}

// frontendsIdle reports whether no further front end has a client connection.
func (e *Engine) frontendsIdle() bool {
	for _, frontend := range e.frontends {
		if !frontend.Idle() {
			return false
		}
	}
	return true
}

// answerFrontend delivers the final answer of a search to its front end.
func (e *Engine) answerFrontend(search *search, status int, retryAfter float64) {
	result := Failed
	switch {
	case status == 200 && search.complete:
		result = Complete
	case status == 200:
		result = Partial
	case status == 503:
		result = Shed
	}
	invariant.Check(search.handler != nil, "the search belongs to a front end")
	search.handler.Answer(result, retryAfter)
}
