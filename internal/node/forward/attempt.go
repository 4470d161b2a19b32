package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// attempt is one attempt to get an answer from one broker, as the router planned it.
type attempt struct {
	call    *call
	planned *routing.Attempt
	context context.Context
	cancel  context.CancelFunc // nil unless isHedge
	// resumeAfter is the id of the last event that the client has; the broker is asked to resume
	// after it.
	resumeAfter eventID
	// isHedge: this attempt runs in parallel to another one.
	isHedge bool

	answer *upstream.Answer
	events *eventReader

	// call.mutex guards the fields below.
	conn     *upstream.Conn
	canceled bool
}

// newAttempt prepares an attempt and adds it to the call, so that it can be interrupted.
func (c *call) newAttempt(planned *routing.Attempt, resumeAfter eventID) *attempt {
	c.proxy.counters.attempts.Add(1)
	if planned.ByPrediction {
		c.proxy.counters.byPrediction.Add(1)
	}
	a := &attempt{call: c, planned: planned, context: c.request.Context(), resumeAfter: resumeAfter}
	c.mutex.Lock()
	c.attempts = append(c.attempts, a)
	c.mutex.Unlock()
	return a
}

// send sends the request to the broker. nil: it was sent, and its answer is to be received. Every
// other result is final, with a verdict on whether the request may have run.
func (a *attempt) send() *attemptResult {
	c := a.call
	target := upstream.Target{
		InstanceID:      a.planned.Instance.ID,
		Address:         a.planned.Instance.Address,
		MaxConnections:  c.connLimit,
		EarlierAttempts: a.planned.Number,
	}
	for {
		conn, err := c.proxy.pool.Get(a.context, target, c.wallTime(c.intake.deadline))
		if err != nil {
			return a.failed(err)
		}
		if !a.attachConn(conn) {
			conn.Close()
			return a.notSent()
		}
		err = a.awaitReset(conn)
		if err == nil {
			err = a.write(conn)
		}
		if err == nil {
			return nil
		}
		a.closeConn()
		// A reused connection that took no byte is dead. Nothing was sent: try another connection.
		if errors.Is(err, upstream.ErrUnsent) && conn.Reused() {
			continue
		}
		if errors.Is(err, errNotSent) {
			return a.notSent()
		}
		return a.failed(err)
	}
}

// errNotSent says that the request must not be sent any more.
var errNotSent = errors.New("forward: request withheld")

// awaitReset waits until a new connection can't be reset any more for being one too many.
// Idempotent requests don't need that: they are repeated.
func (a *attempt) awaitReset(conn *upstream.Conn) error {
	if a.call.intake.route.Idempotent() {
		return nil
	}
	return conn.AwaitReset(a.call.answerDeadline())
}

// write encodes and sends the request, after a last check that it may be sent.
func (a *attempt) write(conn *upstream.Conn) error {
	c := a.call
	head := takeBuffer()
	defer head.release()
	now := c.now()
	if !c.proxy.confirmed(now) {
		a.isolate()
	}
	head.bytes = a.appendHead(head.bytes, now)
	head.grow(min(len(c.bodyBytes()), upstream.MaxJoinedBytes))
	if c.clientGone() || now >= c.intake.deadline || !c.proxy.mayServe(now, c.intake.route.Public) {
		return fmt.Errorf("%w: client left, deadline passed or configuration too old", errNotSent)
	}
	return conn.Send(head.bytes, c.bodyBytes(), c.answerDeadline())
}

// isolate keeps the request's prefixes apart from those of other tenants: the process may have stood
// still since the router chose the salt, and the tenant may be isolated by now. A source of parts under
// the salt that all share is not asked.
func (a *attempt) isolate() {
	if a.planned.Salt == a.planned.IsolatedSalt {
		return
	}
	isolated := *a.planned
	isolated.Salt, isolated.FetchFrom, isolated.SaveTo = isolated.IsolatedSalt, "", ""
	a.planned = &isolated
}

// attachConn makes the connection visible to those who may interrupt the attempt. It reports false
// where that has happened before.
func (a *attempt) attachConn(conn *upstream.Conn) bool {
	a.call.mutex.Lock()
	defer a.call.mutex.Unlock()
	if a.canceled || a.call.clientDisconnected {
		return false
	}
	a.conn = conn
	return true
}

// detachConn hides the connection from those who may interrupt the attempt, and returns it; nil
// where none is attached.
func (a *attempt) detachConn() *upstream.Conn {
	a.call.mutex.Lock()
	defer a.call.mutex.Unlock()
	conn := a.conn
	a.conn = nil
	return conn
}

// closeConn closes the connection, if one is attached.
func (a *attempt) closeConn() {
	if conn := a.detachConn(); conn != nil {
		conn.Close()
	}
}

// releaseConn ends the attempt's use of its connection, which is kept if the answer was complete.
func (a *attempt) releaseConn() {
	if a.detachConn() != nil {
		a.answer.Done()
	}
}

// handleDisconnect ends the attempt of a client that has disconnected: a stream at once, any other
// answer after a grace. The mutex of the call must be held.
func (a *attempt) handleDisconnect() {
	if a.conn == nil {
		return
	}
	if a.call.intake.route.Kind == config.KindStreaming {
		a.conn.Interrupt()
		return
	}
	a.conn.SetWaitLimit(time.Now().Add(a.call.disconnectGrace()))
}

// interrupt cancels the attempt. What was sent of it may have run.
func (a *attempt) interrupt() {
	a.call.mutex.Lock()
	a.canceled = true
	if a.conn != nil {
		a.conn.Interrupt()
	}
	a.call.mutex.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}

// wasCanceled reports whether the attempt was interrupted, or its client has disconnected.
func (a *attempt) wasCanceled() bool {
	a.call.mutex.Lock()
	defer a.call.mutex.Unlock()
	return a.canceled || a.call.clientDisconnected
}
