package forward

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// attempt is the sending of a request to one broker, as the router asked for it.
type attempt struct {
	call    *call
	planned *routing.Attempt
	context context.Context
	cancel  context.CancelFunc // set for copies only
	// after is the id of the last event that the client has; the broker is asked to go on behind it.
	after eventID
	// copy: this attempt is the copy of another.
	copy bool

	answer *upstream.Answer
	events *eventReader

	// Below: guarded by call.mu.
	conn     *upstream.Conn
	canceled bool
}

// launch prepares an attempt.
func (c *call) launch(planned *routing.Attempt, after eventID) *attempt {
	c.proxy.counters.attempts.Add(1)
	if planned.ByPrediction {
		c.proxy.counters.byPrediction.Add(1)
	}
	a := &attempt{call: c, planned: planned, context: c.request.Context(), after: after}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

// send puts the request on a connection to the broker. nil: it is on its way.
func (a *attempt) send() *attemptResult {
	c := a.call
	target := upstream.Target{
		InstanceID:     a.planned.Instance.ID,
		Address:        a.planned.Instance.Address,
		MaxConnections: c.connLimit,
		Earlier:        a.planned.Number,
	}
	for {
		conn, err := c.proxy.pool.Get(a.context, target, c.wall(c.intake.deadline))
		if err != nil {
			return a.failed(err)
		}
		if !a.hold(conn) {
			conn.Close()
			return a.withheld()
		}
		err = a.settle(conn)
		if err == nil {
			err = a.write(conn)
		}
		if err == nil {
			return nil
		}
		a.drop()
		// A kept connection that took nothing has ended; another can be tried, for nothing was sent.
		if errorx.IsOfType(err, upstream.Unsent) && conn.Reused() {
			continue
		}
		if errorx.IsOfType(err, errWithheld) {
			return a.withheld()
		}
		return a.failed(err)
	}
}

// errWithheld says that the request must not be sent any more.
var errWithheld = errorx.NewNamespace("forward").ApplyModifiers(errorx.TypeModifierOmitStackTrace).NewType("withheld")

// settle makes sure of a new connection where a reset would cost the request.
func (a *attempt) settle(conn *upstream.Conn) error {
	if a.call.intake.route.Idempotent() {
		return nil
	}
	return conn.Settle(a.call.holdUntil())
}

func (a *attempt) write(conn *upstream.Conn) error {
	c := a.call
	head := takeBuffer()
	defer head.release()
	now := c.now()
	head.bytes = a.appendHead(head.bytes, now)
	head.grow(min(len(c.bodyBytes()), upstream.JoinedBytes))
	if c.clientHasLeft() || now >= c.intake.deadline || !c.proxy.mayServe(now, c.intake.route.Public) {
		return errWithheld.New("client left, deadline passed or configuration too old")
	}
	return conn.Send(head.bytes, c.bodyBytes(), c.holdUntil())
}

// hold makes the connection known to those who may interrupt the attempt. false: it was interrupted before.
func (a *attempt) hold(conn *upstream.Conn) bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	if a.canceled || a.call.left {
		return false
	}
	a.conn = conn
	return true
}

// letGo takes the connection out of the reach of those who may interrupt the attempt.
func (a *attempt) letGo() *upstream.Conn {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	conn := a.conn
	a.conn = nil
	return conn
}

// drop closes the connection.
func (a *attempt) drop() {
	if conn := a.letGo(); conn != nil {
		conn.Close()
	}
}

// giveBack ends the attempt's use of its connection, which is kept where the answer was whole.
func (a *attempt) giveBack() {
	if a.letGo() != nil {
		a.answer.Done()
	}
}

// clientLeft decides what becomes of the attempt for a client that has left. The mutex of the call is held.
func (a *attempt) clientLeft() {
	if a.conn == nil {
		return
	}
	if a.call.intake.route.Kind == config.KindStreaming {
		a.conn.Interrupt()
		return
	}
	a.conn.LimitWait(time.Now().Add(a.call.proxy.bounds.FinishAfterLeave))
}

// interrupt calls the attempt off. What was sent of it may have run.
func (a *attempt) interrupt() {
	a.call.mu.Lock()
	a.canceled = true
	if a.conn != nil {
		a.conn.Interrupt()
	}
	a.call.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *attempt) wasCanceled() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.canceled || a.call.left
}
