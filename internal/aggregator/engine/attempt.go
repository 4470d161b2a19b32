package engine

import (
	"math"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/protocol"
)

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	statePlanned attemptState = iota // sent by the policy in this round, not yet in a batch
	stateQueued                      // waits until its connection is open and the frame before it is written
	stateSent                        // written in a frame, or passed to its front end
	stateEnded                       // its outcome is known
)

// attempt is one attempt of a shard request at one server. Times are in milliseconds of the loop.
type attempt struct {
	request       *shardRequest
	number        int     // among the attempts of its shard request, counted from 0
	server        int     // index of the server
	deadline      float64 // when the aggregator stops waiting for it
	beginDeadline float64 // it must not begin later; +Inf: no limit
	sentAt        float64 // when the policy sent it
	endedAt       float64 // when its outcome was known
	kind          attemptKind
	cancelled     bool // its outcome is policy.Cancelled
	state         attemptState
	batch         *batch // nil until it is queued
	frameEnd      int64  // offset on the connection at which its frame ends
	timer         *timer // expires at deadline
	alreadyMoved  bool   // already moved to another connection, because the first one broke before it began
}

// Send implements policy.Executor. It starts another attempt of a shard request at a server. timeLimit
// is the attempt's own time limit and beginWithin the time within which it must begin, both in
// milliseconds; 0: none.
func (e *Engine) Send(index, server int, timeLimit, beginWithin float64) {
	req := e.entries[index].request
	attempt := &attempt{
		request:       req,
		number:        len(req.attempts),
		server:        server,
		deadline:      req.search.deadline,
		beginDeadline: math.Inf(1),
		sentAt:        e.now,
		kind:          req.nextAttemptKind(),
	}
	e.Counters.AttemptsRequested++
	if beginWithin != 0 {
		attempt.beginDeadline = e.now + beginWithin
	}
	req.attempts = append(req.attempts, attempt)
	if timeLimit != 0 {
		attempt.deadline = min(req.search.deadline, e.now+timeLimit)
	}
	srv := e.serverList.servers[server]
	// A shard lies on consecutive positions of the ring, as many as it has replicas, from the
	// position of its own number on.
	holds := ((srv.position-req.shard)%e.config.positions+e.config.positions)%e.config.positions < e.config.replicas
	invariant.Check(holds, "an attempt goes to a server that holds the shard")
	if !holds || req.search.ended || attempt.deadline <= e.now {
		e.endAttempt(attempt, policy.NeverSent, nil)
		return
	}
	if req.search.handler != nil {
		e.sendByFrontend(attempt)
		return
	}
	if len(srv.planned) == 0 {
		e.serversToSend = append(e.serversToSend, server)
	}
	srv.planned = append(srv.planned, attempt)
}

// Cancel implements policy.Executor. It cancels an attempt, by its number among those of the shard
// request.
func (e *Engine) Cancel(index, number int) {
	req := e.entries[index].request
	invariant.Check(number < len(req.attempts), "only an attempt that was sent is cancelled")
	if number < len(req.attempts) {
		e.cancelAttempt(req.attempts[number], policy.Cancelled)
	}
}

// attemptTimedOut cancels an attempt whose own deadline has passed.
func (e *Engine) attemptTimedOut(attempt *attempt) {
	if attempt.state != stateEnded {
		e.cancelAttempt(attempt, policy.TimedOut)
	}
}

// cancelAttempt ends an attempt with an outcome. One that has not begun is not sent; one that has
// begun is cancelled at its server, and its id stays registered on the connection so that a late
// reply is recognised.
func (e *Engine) cancelAttempt(attempt *attempt, outcome policy.Outcome) {
	if handler := attempt.request.search.handler; handler != nil && attempt.state == stateSent {
		e.Counters.AttemptsCancelled++
		handler.Cancel(attempt)
		e.endAttempt(attempt, outcome, nil)
		return
	}
	switch attempt.state {
	case statePlanned:
		e.serverList.servers[attempt.server].unplan(attempt)
	case stateQueued:
		delete(attempt.batch.conn.attempts, attempt.request.id)
	case stateSent:
		conn := attempt.batch.conn
		if attempt.batch == conn.lastBatch && e.retractBatch(conn) {
			delete(conn.attempts, attempt.request.id)
			e.endAttempt(attempt, outcome, nil)
			e.writeNextBatch(conn)
			return
		}
		e.abandonAttempt(attempt)
	}
	e.endAttempt(attempt, outcome, nil)
}

// unplan removes an attempt from those planned in this round.
func (srv *server) unplan(attempt *attempt) {
	for i, other := range srv.planned {
		if other == attempt {
			srv.planned = append(srv.planned[:i], srv.planned[i+1:]...)
			break
		}
	}
}

// abandonAttempt tells the server that nobody waits for an attempt any more.
func (e *Engine) abandonAttempt(attempt *attempt) {
	conn := attempt.batch.conn
	if conn.closed {
		return
	}
	e.Counters.AttemptsCancelled++
	e.writeBuffer = protocol.AppendFrame(e.writeBuffer[:0], protocol.FrameCancel, attempt.request.id)
	e.writeToServer(conn, e.writeBuffer)
	e.timers.add(attempt.request.search.deadline+lateReplyTimeout, func(_ *Engine) {
		if conn.attempts[attempt.request.id] == attempt {
			delete(conn.attempts, attempt.request.id)
		}
	})
}

const lateReplyTimeout = 10000 // ms after the search's deadline; no reply to a cancelled attempt arrives later

// endAttempt ends an attempt. The policy is told the outcome by deliverResults, once none of its
// own calls is in progress.
func (e *Engine) endAttempt(attempt *attempt, outcome policy.Outcome, report []float64) {
	if attempt.state == stateEnded {
		return
	}
	attempt.state = stateEnded
	attempt.endedAt, attempt.cancelled = e.now, outcome == policy.Cancelled
	e.timers.cancel(attempt.timer)
	attempt.timer = nil
	if batch := attempt.batch; batch != nil {
		batch.conn.inFlight--
		batch.openAttempts--
		if batch.openAttempts == 0 {
			batch.conn.openBatches--
		}
	}
	e.outcomes = append(e.outcomes, attemptResult{attempt, outcome, report})
}
