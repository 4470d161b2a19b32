package engine

import (
	"math"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/protocol"
)

// attemptState is how far an attempt has come.
type attemptState uint8

const (
	statePlanned attemptState = iota // in this round
	stateQueued                      // for its connection, or for the frame before it
	stateSent                        // in a frame
	stateEnded
)

// attempt is one attempt of a shard request at one server. Times are in milliseconds of the loop.
type attempt struct {
	request       *shardRequest
	number        int
	server        int
	deadline      float64
	beginDeadline float64 // no later may it begin
	sentAt        float64 // when the policy sent it
	endedAt       float64 // when its outcome was known
	kind          attemptKind
	cancelled     bool
	state         attemptState
	batch         *batch
	frameEnd      int64 // where its frame ends on the connection
	timer         *timer
	moved         bool // to another connection, when the first broke before it had begun
}

// Send implements policy.Out: one more attempt of a shard request goes to a server.
func (e *Engine) Send(at, server int, within, begin float64) {
	req := e.entries[at].request
	attempt := &attempt{
		request:       req,
		number:        len(req.attempts),
		server:        server,
		deadline:      req.search.deadline,
		beginDeadline: math.Inf(1),
		sentAt:        e.now,
		kind:          req.nextKind(),
	}
	e.Count.AttemptsAsked++
	if begin != 0 {
		attempt.beginDeadline = e.now + begin
	}
	req.attempts = append(req.attempts, attempt)
	if within != 0 {
		attempt.deadline = min(req.search.deadline, e.now+within)
	}
	srv := e.list.servers[server]
	holds := ((srv.position-req.shard)%e.config.positions+e.config.positions)%e.config.positions < e.config.replicas
	invariant.Check(holds, "a part goes to a server that holds its shard")
	if !holds || req.search.ended || attempt.deadline <= e.now {
		e.endAttempt(attempt, policy.NeverSent, nil)
		return
	}
	if req.search.carrier != nil {
		e.startCarried(attempt)
		return
	}
	if len(srv.planned) == 0 {
		e.sending = append(e.sending, server)
	}
	srv.planned = append(srv.planned, attempt)
}

// Cancel implements policy.Out.
func (e *Engine) Cancel(at, no int) {
	req := e.entries[at].request
	invariant.Check(no < len(req.attempts), "only what was sent is called off")
	if no < len(req.attempts) {
		e.cancelAttempt(req.attempts[no], policy.Cancelled)
	}
}

// attemptTimedOut cancels an attempt at its own deadline.
func (e *Engine) attemptTimedOut(attempt *attempt) {
	if attempt.state != stateEnded {
		e.cancelAttempt(attempt, policy.TimedOut)
	}
}

// cancelAttempt stops waiting for an attempt: what has not begun is not sent, what has is cancelled
// at its server. There its id stays on the connection, so that a late reply finds it.
func (e *Engine) cancelAttempt(attempt *attempt, how policy.Outcome) {
	if carrier := attempt.request.search.carrier; carrier != nil && attempt.state == stateSent {
		e.Count.Cancelled++
		carrier.Cancel(attempt)
		e.endAttempt(attempt, how, nil)
		return
	}
	switch attempt.state {
	case statePlanned:
		e.list.servers[attempt.server].unplan(attempt)
	case stateQueued:
		delete(attempt.batch.conn.attempts, attempt.request.id)
	case stateSent:
		conn := attempt.batch.conn
		if attempt.batch == conn.lastBatch && e.retractBatch(conn) {
			delete(conn.attempts, attempt.request.id)
			e.endAttempt(attempt, how, nil)
			e.writeNextBatch(conn)
			return
		}
		e.abandonAttempt(attempt)
	}
	e.endAttempt(attempt, how, nil)
}

// unplan takes an attempt out of this round.
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
	e.Count.Cancelled++
	e.scratch = protocol.AppendShortFrame(e.scratch[:0], protocol.FrameAbandon, attempt.request.id)
	e.writeToServer(conn, e.scratch)
	e.timers.add(attempt.request.search.deadline+lateReplyTimeout, func(_ *Engine) {
		if conn.attempts[attempt.request.id] == attempt {
			delete(conn.attempts, attempt.request.id)
		}
	})
}

const lateReplyTimeout = 10000 // ms after its search's deadline: no reply comes any more to what was cancelled

// endAttempt ends an attempt; the policy is notified when it is not calling.
func (e *Engine) endAttempt(attempt *attempt, how policy.Outcome, report []float64) {
	if attempt.state == stateEnded {
		return
	}
	attempt.state = stateEnded
	attempt.endedAt, attempt.cancelled = e.now, how == policy.Cancelled
	e.timers.drop(attempt.timer)
	attempt.timer = nil
	if batch := attempt.batch; batch != nil {
		batch.conn.inFlight--
		batch.open--
		if batch.open == 0 {
			batch.conn.batches--
		}
	}
	e.outcomes = append(e.outcomes, attemptResult{attempt, how, report})
}
