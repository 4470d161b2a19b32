package engine

import (
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// What other fronts are given, and what they owe. The HTTP client of this package is the first
// front and frames are the first carrier; others bring searches and carry attempts through this
// file. They know no replica's health, no budget and no retry: all that is the policy's.

// Result is what a search's one final answer says.
type Result uint8

// How a search ended.
const (
	Complete Result = iota
	Partial         // at or over the floor, and marked as partial
	Shed            // refused: asking again is harmless
	Failed          // errored
)

// Carrier is a search that a front brought, and the carrier of its attempts.
type Carrier interface {
	// Final comes exactly once, unless Leave came before it. Nothing of the search is sent after it.
	Final(how Result, back float64)
	// Send begins an attempt. Ended tells its outcome, at once or later.
	Send(s *Attempt)
	// Cancel stops an attempt: nothing of it counts any more, and its outcome is known already.
	Cancel(s *Attempt)
	// Door is the front's number.
	Door() int
	// Bytes tells what the client has sent and was given, without heads; asked once the search is
	// over.
	Bytes() (in, out int64)
}

// ConnHandler stands behind a connection that this package does not read itself. After Closed
// nothing more comes.
type ConnHandler interface {
	Opened()
	Bytes(b []byte, came float64)
	Written(upTo int64)
	Closed(upTo int64)
}

// Front is a protocol by which searches come, beside HTTP.
type Front interface {
	Accepted(c transport.Conn)
	// Server is an update of one server of the list.
	Server(at int, id string, addr netip.AddrPort, state policy.State)
	// GraceEnded: the server has been draining or gone for so long that what has not begun there
	// must not begin.
	GraceEnded(at int)
	// ServerRemoved: the index may stand for another server from now on.
	ServerRemoved(at int)
	// Stopping: the shutdown has begun, and the process may be killed at a time; clients are still
	// served.
	Stopping(killed float64)
	// Leaving: the addresses are closed.
	Leaving()
	// Idle tells whether nobody is connected.
	Idle() bool
	// Flush comes last in a turn, after the policy has decided: what is to be written is written.
	Flush()
	// Reload takes new settings, if there are any.
	Reload()
	// Print writes the front's counters.
	Print(log zerolog.Logger, why string)
}

// Attempt is an attempt as a carrier knows it.
type Attempt = attempt

// Server is the index of the server that the policy chose.
func (attempt *attempt) Server() int { return attempt.server }

// Deadline is when the aggregator stops waiting for it, in milliseconds of the loop.
func (attempt *attempt) Deadline() float64 { return attempt.deadline }

// BeginDeadline is the latest time at which it may begin, or +Inf: past it, an earlier one of its
// shard request may take effect a second time.
func (attempt *attempt) BeginDeadline() float64 { return attempt.beginDeadline }

// Number counts the attempts of a shard request from 0.
func (attempt *attempt) Number() int { return attempt.number }

// Ended tells whether its outcome is known.
func (attempt *attempt) Ended() bool { return attempt.state == stateEnded }

// Search is one that a front brought.
type Search = search

// ShardRequest is what is asked of one shard: its share of the search's weight, the hinted work (0:
// not known) and the hash of what it is about (0: none).
type ShardRequest struct {
	Shard       int
	Share, Work float64
	Key         uint64
}

// ReplacePolicy puts another policy in place of the settings' own, before the loop runs.
func (e *Engine) ReplacePolicy(policy func(out policy.Out) policy.Port) { e.policy = policy(e) }

// AddFront registers a front; connections of the door by its number from 1 are its own. Before the
// loop runs.
func (e *Engine) AddFront(front Front) { e.fronts = append(e.fronts, front) }

// Now is the time of this turn, in milliseconds of the loop.
func (e *Engine) Now() float64 { return e.now }

// Stopping tells whether the shutdown has begun.
func (e *Engine) Stopping() bool { return e.stopping }

// QueryType gives the number of a query type by its name.
func (e *Engine) QueryType(name string) (kind int, known bool) {
	kind, known = e.config.kinds[name]
	return kind, known
}

// Customer gives the number of a customer by its name, or nobody: who is not named in the settings
// must not use up the share of one who is.
func (e *Engine) Customer(name string) int {
	if at, known := e.config.customers[name]; known {
		return at
	}
	return unknownCustomer
}

const unknownCustomer = -1

// Warn writes a log line; of one kind at most one a second.
func (e *Engine) Warn(kind, form string, args ...any) { e.log.warn(kind, form, args...) }

// Timer can be taken back.
type Timer struct{ timer *timer }

// After has something done in so many milliseconds.
func (e *Engine) After(in float64, due func()) Timer {
	return Timer{e.after(in, func(*Engine) { due() })}
}

// CancelTimer takes a timer back; one that is over, or none, is fine.
func (e *Engine) CancelTimer(t Timer) { e.timers.drop(t.timer) }

// RequestTurn asks for a turn of its own: something waits that no event will bring.
func (e *Engine) RequestTurn() { e.turnRequested = true }

// Connect opens a connection for a party, or gives false where there is no descriptor for it.
func (e *Engine) Connect(handler ConnHandler, addr netip.AddrPort) (transport.Conn, bool) {
	if e.sockets >= e.config.maxDescriptors-spareSockets && !e.evictClient() {
		e.Count.NoSocket++
		return noConn, false
	}
	e.Count.Connects++
	e.sockets++
	c := e.network.Connect(addr)
	*e.endpoint(c) = endpoint{handler: handler}
	return c, true
}

// SetHandler gives an accepted connection its party.
func (e *Engine) SetHandler(c transport.Conn, handler ConnHandler) {
	*e.endpoint(c) = endpoint{handler: handler}
}

// MaxFrontClients tells how many descriptors clients of a further front may take: half of what
// HTTP's may, so that neither shuts the other out.
func (e *Engine) MaxFrontClients() int { return max(e.maxClients()/2, 1) }

// WriteConn writes to a party's connection.
func (e *Engine) WriteConn(c transport.Conn, b []byte) {
	e.Count.BytesOut += int64(len(b))
	e.network.Write(c, b)
}

// Reading switches the reading of a party's connection on or off.
func (e *Engine) Reading(c transport.Conn, on bool) { e.network.Reading(c, on) }

// CloseConn drops a party's connection; its Closed does not come.
func (e *Engine) CloseConn(c transport.Conn) {
	*e.endpoint(c) = endpoint{}
	e.close(c)
	e.resumeAccepting()
}

// FinishConn closes a party's connection once what was written has arrived; Closed tells of that.
func (e *Engine) FinishConn(c transport.Conn) { e.network.Finish(c) }

// StartSearch takes a search for a front. Its final answer may come within StartSearch where the
// limit on pending work keeps it from the policy. until is when its client gives up; again: it says
// that it retries.
func (e *Engine) StartSearch(kind, customer int, until float64, again bool, requests []ShardRequest, by Carrier) *Search {
	e.Count.Searches++
	search := &search{deadline: min(until, e.killAt-answerBeforeKill), carrier: by, usage: usageRecord{kind: kind, customer: customer, front: by.Door()}}
	if e.config.twoPhase[kind] {
		e.Count.BadRequests++
		e.endSearch(search, 501, 0, nil)
		return search
	}
	if e.overPending() {
		e.Count.OverPending++
		e.endSearch(search, 503, e.policy.RetryAfter(kind), nil)
		return search
	}
	e.parsed = e.parsed[:0]
	sum := 0.0
	for _, p := range requests {
		e.parsed = append(e.parsed, parsedRequest{p.Shard, p.Share, p.Work, p.Key})
		sum += p.Share
	}
	e.submitSearch(search, kind, customer, sum, 0)
	if again {
		e.policy.MarkRetry(search.index)
	}
	return search
}

// ClientGone tells that nobody waits for a search any more.
func (e *Engine) ClientGone(q *Search) {
	if !q.ended {
		e.Count.ClientsLeft++
		q.usage.clientLeft = true
		e.releaseSearch(q)
		e.dropStalledFrames(q)
		if len(q.requests) > 0 {
			e.policy.ClientGone(q.index)
		}
	}
}

// AttemptEnded tells how an attempt ended; only the first outcome counts.
func (e *Engine) AttemptEnded(s *Attempt, how policy.Outcome) {
	if s.state != stateEnded && how == policy.Answered {
		s.request.hasValue = true
	}
	e.endAttempt(s, how, nil)
}

// Committed asks the policy whether an attempt may be the one whose bytes reach the client. False:
// another is, and this one is cancelled.
//
// answering: bytes of the server's go to the client; else what the client sent can't be sent again.
func (e *Engine) Committed(s *Attempt, answering bool) bool {
	if s.state == stateEnded || s.request.search.ended {
		return false
	}
	e.deliverResults() // what another has answered before comes first
	if s.state == stateEnded {
		return false
	}
	return e.policy.Committed(s.request.index, s.number, answering)
}

// ClientSending tells that the client is still sending what a search carries, or has ended.
func (e *Engine) ClientSending(q *Search, open bool) {
	if !q.ended && len(q.requests) > 0 {
		for _, req := range q.requests {
			e.policy.ClientSending(req.index, open)
		}
	}
}

// Pushback hands on a server's wish: milliseconds until a retry, below 0 for none at all.
func (e *Engine) Pushback(s *Attempt, wait float64) {
	e.Count.Pushbacks++
	e.policy.Pushback(s.request.index, wait)
}

// startCarried begins an attempt of a search that has its own carrier.
func (e *Engine) startCarried(attempt *attempt) {
	attempt.state = stateSent
	e.Count.Sent++
	attempt.timer = e.timers.add(attempt.deadline, func(e *Engine) { e.attemptTimedOut(attempt) })
	attempt.request.search.carrier.Send(attempt)
}

func (e *Engine) handlerClosed(c transport.Conn, handler ConnHandler, upTo int64) {
	*e.endpoint(c) = endpoint{}
	handler.Closed(upTo)
}

func (e *Engine) frontsIdle() bool {
	for _, front := range e.fronts {
		if !front.Idle() {
			return false
		}
	}
	return true
}

// answerCarrier gives a front its search's one final answer.
func (e *Engine) answerCarrier(search *search, status int, back float64) {
	how := Failed
	switch {
	case status == 200 && search.complete:
		how = Complete
	case status == 200:
		how = Partial
	case status == 503:
		how = Shed
	}
	invariant.Check(search.carrier != nil, "a front waits")
	search.carrier.Final(how, back)
}
