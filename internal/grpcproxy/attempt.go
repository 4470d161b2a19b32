package grpcproxy

import (
	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
)

// attempt is one attempt of a call: its first, a retry, or a hedge.
type attempt struct {
	call        *call
	sub         *engine.Attempt
	serverIndex int
	conn        *serverConn // nil: it waits for a connection
	stream      *h2.Stream  // nil: its headers have not been written
	startTimer  engine.Timer

	forwardedOffset int64 // of the request
	headersStart    int64 // where its headers lie in the bytes of the connection
	headersEnd      int64

	responseHeaders []h2.Field
	response        byteQueue
	deliveredOffset int64 // of the response, to the client
	creditedOffset  int64 // of the response, to the server
	scanner         grpcwire.MessageScanner
	trailers        []h2.Field // nil: the server sent none

	ended    bool
	reported bool // ended by its server or connection, not called off
	result   grpcwire.Result
}

// Next implements h2.DataSource: the request for the server.
func (a *attempt) Next(maxBytes int) (b []byte, end bool, trailers []h2.Field) {
	k := a.call
	k.commitIfBufferExceeded()
	if a.ended {
		return nil, false, nil
	}
	b = k.request.peek(a.forwardedOffset, maxBytes)
	a.forwardedOffset += int64(len(b))
	end = k.requestEnded && a.forwardedOffset == k.request.end
	if len(b) > 0 {
		k.creditClient()
	}
	return b, end, nil
}

// startTimedOut withdraws an attempt that has not begun in time. If its headers are in a connection
// that the network takes nothing from, that is possible only with the connection.
func (a *attempt) startTimedOut() {
	switch {
	case a.stream == nil:
		a.finish(grpcwire.NotSent)
	case a.headersStart >= a.conn.sentBytes:
		a.conn.abort()
	}
}

// ready has the server's stream asked for more of the request.
func (a *attempt) ready() {
	if a.stream != nil && !a.ended {
		a.stream.Ready()
		a.call.proxy.scheduleFlush(a.conn)
	}
}

// fail ends an attempt for what its server sent.
func (a *attempt) fail(result grpcwire.Result) {
	if result.Outcome != policy.Answered {
		a.call.proxy.Counters.ServerProtocolErrors++
	}
	a.finish(result)
}

// finish reports to the engine how an attempt ended. The first report counts.
func (a *attempt) finish(result grpcwire.Result) {
	if a.ended {
		return
	}
	k := a.call
	a.result, a.reported = result, true
	a.stop()
	answered := result.Outcome == policy.Answered
	switch {
	case answered && (k.committed == nil || k.committed == a) && k.answered == nil:
		k.answered = a
	case answered && k.committed != a:
		k.proxy.Counters.LateResponses++
		a.discardResponse()
	default:
		k.lastFailed = a
		if k.committed != a {
			a.discardResponse()
		}
	}
	k.proxy.router.AttemptEnded(a.sub, result.Outcome)
}

// stop ends the stream, if there is one, and gives up the place on its connection. What has come of the
// response is kept if it is the answer.
func (a *attempt) stop() {
	if a.ended {
		return
	}
	a.ended = true
	k := a.call
	a.stopStartTimer()
	k.removeAttempt(a)
	if a.conn != nil {
		a.conn.removeAttempt(a, http2.ErrCodeCancel)
	} else {
		k.proxy.pool.CancelRequest(a.serverIndex, a)
	}
	isAnswer := k.answered == a || k.committed == a || a.reported && a.result.Outcome == policy.Answered
	if k.ended || !isAnswer {
		a.discardResponse()
	}
	if !k.ended {
		k.creditClient()
	}
}

// stopStartTimer stops the timer of an attempt that has begun, or can't begin any more. If its headers
// wait in a connection that the network takes nothing from, it could still begin, called off or not.
// It must not if its client has its status or has gone. Headers can't be withdrawn one by one, as each
// block depends on those before it (RFC 7541): the connection is closed if it stays stalled.
func (a *attempt) stopStartTimer() {
	k := a.call
	router := k.proxy.router
	if a.stream == nil || a.headersStart < a.conn.sentBytes {
		router.CancelTimer(a.startTimer)
		return
	}
	if k.decided && !a.conn.closed {
		router.CancelTimer(a.startTimer)
		delay := min(stalledConnGrace, max(a.sub.BeginDeadline()-router.Now(), 0))
		a.startTimer = router.AfterFunc(delay, a.startTimedOut)
	}
}

func (k *call) removeAttempt(a *attempt) {
	for i, other := range k.attempts {
		if other == a {
			k.attempts = append(k.attempts[:i], k.attempts[i+1:]...)
			return
		}
	}
}

// discardResponse drops what has come of the response.
func (a *attempt) discardResponse() {
	a.call.addBuffered(-a.response.size())
	a.response.clear()
	a.deliveredOffset = a.response.end
}
