package forward

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// flight is one attempt: a request that is sent to one broker.
type flight struct {
	call    *call
	attempt *routing.Attempt
	context context.Context
	cancel  context.CancelFunc // set for copies only
	// after is the id of the last event that the client has; the broker is asked to go on behind it.
	after eventID
	// copy: this flight is the copy of another.
	copy bool

	answer *upstream.Answer
	events *eventReader

	// Below: guarded by call.mu.
	conn     *upstream.Conn
	canceled bool
}

// launch prepares an attempt.
func (c *call) launch(attempt *routing.Attempt, after eventID) *flight {
	c.proxy.counters.attempts.Add(1)
	if attempt.ByPrediction {
		c.proxy.counters.byPrediction.Add(1)
	}
	f := &flight{call: c, attempt: attempt, context: c.request.Context(), after: after}
	c.mu.Lock()
	c.flights = append(c.flights, f)
	c.mu.Unlock()
	return f
}

// send puts the request on a connection to the broker. nil: it is on its way.
func (f *flight) send() *arrival {
	c := f.call
	target := upstream.Target{
		InstanceID:     f.attempt.Instance.ID,
		Address:        f.attempt.Instance.Address,
		MaxConnections: c.connLimit,
		Earlier:        f.attempt.Number,
	}
	for {
		conn, err := c.proxy.pool.Get(f.context, target, c.wall(c.intake.deadline))
		if err != nil {
			return f.failed(err)
		}
		if !f.hold(conn) {
			conn.Close()
			return f.withheld()
		}
		err = f.settle(conn)
		if err == nil {
			err = f.write(conn)
		}
		if err == nil {
			return nil
		}
		f.drop()
		// A kept connection that took nothing has ended; another can be tried, for nothing was sent.
		if errorx.IsOfType(err, upstream.Unsent) && conn.Reused() {
			continue
		}
		if errorx.IsOfType(err, errWithheld) {
			return f.withheld()
		}
		return f.failed(err)
	}
}

// errWithheld says that the request must not be sent any more.
var errWithheld = errorx.NewNamespace("forward").ApplyModifiers(errorx.TypeModifierOmitStackTrace).NewType("withheld")

// settle makes sure of a new connection where a reset would cost the request.
func (f *flight) settle(conn *upstream.Conn) error {
	if f.call.intake.route.Idempotent() {
		return nil
	}
	return conn.Settle(f.call.holdUntil())
}

func (f *flight) write(conn *upstream.Conn) error {
	c := f.call
	head := takeBuffer()
	defer head.release()
	now := c.now()
	head.bytes = f.appendHead(head.bytes, now)
	head.grow(min(len(c.bodyBytes()), upstream.JoinedBytes))
	if c.clientHasLeft() || now >= c.intake.deadline || !c.proxy.mayServe(now, c.intake.route.Public) {
		return errWithheld.New("client left, deadline passed or configuration too old")
	}
	return conn.Send(head.bytes, c.bodyBytes(), c.holdUntil())
}

// hold makes the connection known to those who may interrupt the flight. false: it was interrupted before.
func (f *flight) hold(conn *upstream.Conn) bool {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	if f.canceled || f.call.left {
		return false
	}
	f.conn = conn
	return true
}

// letGo takes the connection out of the reach of those who may interrupt the flight.
func (f *flight) letGo() *upstream.Conn {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	conn := f.conn
	f.conn = nil
	return conn
}

// drop closes the connection.
func (f *flight) drop() {
	if conn := f.letGo(); conn != nil {
		conn.Close()
	}
}

// giveBack ends the flight's use of its connection, which is kept where the answer was whole.
func (f *flight) giveBack() {
	if f.letGo() != nil {
		f.answer.Done()
	}
}

// clientLeft decides what becomes of the flight of a client that has left. The mutex of the call is held.
func (f *flight) clientLeft() {
	if f.conn == nil {
		return
	}
	if f.call.intake.route.Kind == config.KindStreaming {
		f.conn.Interrupt()
		return
	}
	f.conn.LimitWait(time.Now().Add(f.call.proxy.bounds.FinishAfterLeave))
}

// interrupt calls the flight off. What was sent of it may have run.
func (f *flight) interrupt() {
	f.call.mu.Lock()
	f.canceled = true
	if f.conn != nil {
		f.conn.Interrupt()
	}
	f.call.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *flight) wasCanceled() bool {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	return f.canceled || f.call.left
}
