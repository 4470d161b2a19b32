package engine

import (
	"errors"
	"math"
	"strings"

	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// What a client may take its time over, in ms. One of which neither a request nor its end is received
// within 3 s has gone wrong.
const (
	firstRequestTimeout  = 2000  // to begin its first request
	requestTimeout       = 2500  // from connecting, or from the beginning of a later request, to its end
	writeTimeout         = 10000 // to read an answer
	lingerTimeout        = 1000  // to close after the last answer, as long as it sends no more
	maxLinger            = 5000  // though it sends on
	clientIdleTimeout    = 10000 // to send its next request
	partialBufferDivisor = 2     // of the buffers, one in so many at most holds an incomplete request
)

// client is a connection on which searches come, one at a time.
type client struct {
	conn           transport.Conn
	parser         protocol.Message
	ownsBuffer     bool    // its request has a buffer of its own
	sharesBuffer   bool    // or the one that all share within an event
	search         *search // that waits for its answer
	pipelined      []byte  // what came before it has gone out, and when
	pipelinedAt    float64
	closeAfter     bool // no more is taken on it
	finishing      bool // only waits for the other side to close
	closed         bool
	sentRequest    bool // it has sent a complete request
	idleSince      float64
	requestBegunAt float64 // when the request at hand began; the first one counts from connecting
	lastReceivedAt float64
	finishingSince float64
	timer          *timer
	writeOffset    int64 // bytes given to be written, and written so far
	writtenOffset  int64
}

// idle: nothing of a request has come, and nothing is owed.
func (client *client) idle() bool {
	return client.search == nil && !client.finishing && !client.closed && !client.parser.Begun() && len(client.pipelined) == 0
}

// deadline is when the connection is given up, unless something happens before.
func (client *client) deadline() float64 {
	switch {
	case client.finishing:
		return min(client.lastReceivedAt+lingerTimeout, client.finishingSince+maxLinger)
	case client.writeOffset > client.writtenOffset:
		return client.idleSince + writeTimeout
	case client.search != nil:
		return math.Inf(1)
	case client.parser.Begun():
		return client.requestBegunAt + requestTimeout
	case !client.sentRequest:
		return client.requestBegunAt + firstRequestTimeout
	}
	return client.idleSince + clientIdleTimeout
}

// armClientTimer has a connection looked at by its deadline. One timer is enough, and it may come
// too soon.
func (e *Engine) armClientTimer(client *client) {
	at := client.deadline()
	if client.timer != nil && client.timer.heapIndex >= 0 && client.timer.dueAt <= at {
		return
	}
	e.timers.drop(client.timer)
	client.timer = nil
	if !math.IsInf(at, 1) {
		client.timer = e.timers.add(at, func(e *Engine) { e.clientTimedOut(client) })
	}
}

// clientTimedOut ends a connection whose deadline has passed. After a stall of this aggregator it
// waits once more, as what the client sent meanwhile may be unread yet.
func (e *Engine) clientTimedOut(client *client) {
	switch {
	case client.closed:
		return
	case e.now < client.deadline():
		e.armClientTimer(client)
		return
	case e.now > client.timer.dueAt+stallAfter:
		client.timer = e.after(stallAfter, func(e *Engine) { e.clientTimedOut(client) })
		return
	case client.finishing:
	case client.parser.Begun():
		client.closeAfter = true
		e.rejectRequest(client, &protocol.RequestError{Status: 408, Reason: "half a request"})
		return
	case client.writeOffset > client.writtenOffset: // it does not read: what waits for it is memory
		e.Count.WriteTimeouts++
	case !client.sentRequest:
		e.Count.Silent++
	default:
		e.Count.Idle++
	}
	e.dropClient(client)
}

// dropClient ends a connection at once.
func (e *Engine) dropClient(client *client) {
	e.close(client.conn)
	e.clientClosed(client)
	e.resumeAccepting()
}

// clientBytes reads requests. While a search waits for its answer, what comes is kept. A request
// that comes in one piece needs no buffer of its own: however many others stop halfway, it is
// taken.
func (e *Engine) clientBytes(client *client, b []byte, came float64) {
	client.lastReceivedAt = e.now
	for len(b) > 0 && !client.finishing && !client.closed {
		if client.search != nil {
			e.keepPipelined(client, b, came)
			return
		}
		if !client.ownsBuffer && !client.sharesBuffer {
			client.sharesBuffer = true
			client.parser.SetStorage(e.sharedBuffer)
		}
		used, step, err := client.parser.Feed(b)
		b = b[used:]
		switch {
		case err != nil:
			client.closeAfter = true // where the next message begins is no longer sure
			e.rejectRequest(client, err)
		case step == protocol.HeadComplete:
			e.answerExpectation(client, len(b) == 0)
		case step == protocol.Complete:
			client.sentRequest = true
			client.closeAfter = client.closeAfter || client.parser.IsLast()
			e.handleRequest(client, came)
		}
	}
	e.storePartial(client)
}

// keepPipelined keeps what comes before an answer has gone out, up to one buffer. A client that
// sends more without waiting is cut off after its answer.
func (e *Engine) keepPipelined(client *client, b []byte, came float64) {
	if client.pipelined == nil {
		client.pipelined = e.takeBuffer()
	}
	if client.pipelined == nil {
		client.closeAfter = true
		return
	}
	client.pipelinedAt = came
	n := min(cap(client.pipelined)-len(client.pipelined), len(b))
	client.pipelined = append(client.pipelined, b[:n]...)
	if len(client.pipelined) == cap(client.pipelined) {
		e.network.Reading(client.conn, false)
	}
	if n < len(b) {
		client.closeAfter = true
	}
}

// answerExpectation lets a client go on that waits for leave to send its body.
func (e *Engine) answerExpectation(client *client, bodyAwaited bool) {
	expectation, n := client.parser.Header("expect")
	if n == 0 {
		return
	}
	if !strings.EqualFold(string(expectation), "100-continue") {
		client.closeAfter = true
		e.rejectRequest(client, &protocol.RequestError{Status: 417, Reason: "an expectation that is not known"})
		return
	}
	if bodyAwaited {
		e.writeToClient(client, []byte(protocol.Continue))
	}
}

// storePartial gives an incomplete request a buffer of its own, and returns one that is not needed.
func (e *Engine) storePartial(client *client) {
	switch {
	case !client.parser.Begun():
		e.releaseRequest(client)
	case client.sharesBuffer:
		buf := e.takeBuffer()
		if buf == nil {
			client.closeAfter = true
			e.respond(client, 503, 0, nil)
			e.releaseRequest(client)
			return
		}
		client.parser.MoveStorage(buf)
		client.sharesBuffer, client.ownsBuffer = false, true
		if client.sentRequest {
			client.requestBegunAt = e.now
		}
		e.armClientTimer(client)
	}
}

// takeBuffer gives a buffer for an incomplete request, or nil: some must be left for servers and
// answers.
func (e *Engine) takeBuffer() []byte {
	if e.partialBuffers >= max(e.pool.Max/partialBufferDivisor, 1) {
		e.Count.NoBuffer++
		return nil
	}
	buf := e.pool.Get()
	if buf == nil {
		e.Count.NoBuffer++
		return nil
	}
	e.partialBuffers++
	return buf
}

// returnBuffer gives back a buffer of takeBuffer.
func (e *Engine) returnBuffer(buf []byte) {
	e.partialBuffers--
	e.pool.Put(buf)
}

// releaseRequest gives up the storage of the request at hand.
func (e *Engine) releaseRequest(client *client) {
	switch {
	case client.ownsBuffer:
		client.ownsBuffer = false
		e.returnBuffer(client.parser.SetStorage(nil))
	case client.sharesBuffer:
		client.sharesBuffer = false
		client.parser.SetStorage(nil)
	}
}

// resumeClient goes on with what came while a search was pending.
func (e *Engine) resumeClient(client *client) {
	if client.closed || client.finishing || client.search != nil || client.pipelined == nil {
		return
	}
	early := client.pipelined
	client.pipelined = nil
	e.network.Reading(client.conn, true)
	e.clientBytes(client, early, client.pipelinedAt)
	e.returnBuffer(early)
}

// handleRequest answers a complete request, or takes its search.
func (e *Engine) handleRequest(client *client, came float64) {
	path := string(client.parser.Path())
	switch {
	case path == "/ready" && client.parser.HasMethod("GET"):
		if e.stopping || e.list.ready == 0 {
			e.respond(client, 503, 0, nil)
			return
		}
		e.respond(client, 200, 0, []byte("ready\n"))
	case path == "/api" && client.parser.HasMethod("POST"):
		if err := e.acceptSearch(client, came); err != nil {
			e.rejectRequest(client, err)
		}
	case path == "/api" || path == "/ready":
		e.rejectRequest(client, &protocol.RequestError{Status: 405, Reason: "method not allowed"})
	default:
		e.rejectRequest(client, &protocol.RequestError{Status: 404, Reason: "no such path"})
	}
}

// badRequest is an error that is answered with status 400.
func badRequest(why string) error { return &protocol.RequestError{Status: 400, Reason: why} }

// rejectRequest answers a request that is not sound with the status of its error.
func (e *Engine) rejectRequest(client *client, err error) {
	e.Count.BadRequests++
	status := 400
	var bad *protocol.RequestError
	if errors.As(err, &bad) {
		status = bad.Status
	}
	e.log.warn("bad request", "%v", err)
	e.respond(client, status, 0, append([]byte(err.Error()), '\n'))
}

// respond writes a response and makes the connection ready for the next request, or ends it.
func (e *Engine) respond(client *client, status int, back float64, body []byte) {
	last := client.closeAfter || e.listenersClosed || e.outOfDescriptors
	kind := "text/plain"
	if status == 200 && client.search == nil && len(body) > 0 && body[0] == '{' {
		kind = "application/json"
	}
	e.scratch = protocol.AppendResponse(e.scratch[:0], status, kind, last, back, body)
	e.writeToClient(client, e.scratch)
	client.parser.Next()
	e.markIdle(client)
	e.armClientTimer(client)
	if last {
		e.finishClient(client)
	} else if client.pipelined != nil {
		e.resumedClients = append(e.resumedClients, client)
	}
}

func (e *Engine) writeToClient(client *client, b []byte) {
	client.writeOffset += int64(len(b))
	e.Count.BytesOut += int64(len(b))
	e.network.Write(client.conn, b)
}

// finishClient closes a connection so that what was written arrives.
func (e *Engine) finishClient(client *client) {
	if client.finishing {
		return
	}
	client.finishing, client.finishingSince, client.lastReceivedAt = true, e.now, e.now
	e.releaseClient(client)
	e.network.Finish(client.conn)
	e.armClientTimer(client)
}

// releaseClient gives back what a connection holds.
func (e *Engine) releaseClient(client *client) {
	e.releaseRequest(client)
	if client.pipelined != nil {
		e.returnBuffer(client.pipelined)
		client.pipelined = nil
	}
}

// clientClosed: nobody waits for its search any more.
func (e *Engine) clientClosed(client *client) {
	client.closed = true
	e.clients--
	e.timers.drop(client.timer)
	*e.endpoint(client.conn) = endpoint{}
	e.releaseClient(client)
	if search := client.search; search != nil {
		client.search, search.client = nil, nil
		e.ClientGone(search)
	}
}
