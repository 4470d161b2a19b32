package engine

import (
	"errors"
	"math"
	"strings"

	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// Time limits for clients, in milliseconds. Something has gone wrong if neither a request nor the
// end of one has been received within 3 s.
const (
	firstRequestTimeout  = 2000  // from connecting to the beginning of the first request
	requestTimeout       = 2500  // from connecting, or from the beginning of a later request, to the request's end
	writeTimeout         = 10000 // to read an answer
	lingerTimeout        = 1000  // to close the connection after the last answer, renewed whenever the client sends more
	maxLinger            = 5000  // the same, even if the client keeps sending
	clientIdleTimeout    = 10000 // to send the next request
	partialBufferDivisor = 2     // at most this fraction of the buffers, 1/2, holds incomplete requests
)

// client is an HTTP connection. It carries one search at a time.
type client struct {
	conn               transport.Conn
	parser             protocol.Message
	ownsBuffer         bool    // the current request is stored in a buffer of its own
	usesSharedBuffer   bool    // the current request is stored in e.sharedBuffer, for the current event only
	search             *search // the search that waits for its answer, or nil
	pipelined          []byte  // received before the answer was written
	pipelinedAt        float64 // when the last of pipelined was received
	closeAfterResponse bool    // no further request is accepted: the connection is closed after the response
	finishing          bool    // all is written; it waits for the client to close
	closed             bool
	sentRequest        bool    // it has sent a complete request
	idleSince          float64 // when the last response was written, or when the client connected
	requestBegunAt     float64 // when the current request began; for the first request, when the client connected
	lastReceivedAt     float64
	finishingSince     float64
	timer              *timer
	writeOffset        int64 // bytes passed to the network
	writtenOffset      int64 // bytes that the operating system has accepted
}

// idle reports whether no part of a request has been received and no answer is due.
func (client *client) idle() bool {
	return client.search == nil && !client.finishing && !client.closed && !client.parser.HasPartial() && len(client.pipelined) == 0
}

// deadline returns when the connection is closed unless something happens before.
func (client *client) deadline() float64 {
	switch {
	case client.finishing:
		return min(client.lastReceivedAt+lingerTimeout, client.finishingSince+maxLinger)
	case client.writeOffset > client.writtenOffset:
		return client.idleSince + writeTimeout
	case client.search != nil:
		return math.Inf(1)
	case client.parser.HasPartial():
		return client.requestBegunAt + requestTimeout
	case !client.sentRequest:
		return client.requestBegunAt + firstRequestTimeout
	}
	return client.idleSince + clientIdleTimeout
}

// armClientTimer makes sure that clientTimedOut runs by the connection's deadline. One timer is
// enough; it may fire before the deadline if that has moved.
func (e *Engine) armClientTimer(client *client) {
	at := client.deadline()
	if client.timer != nil && client.timer.heapIndex >= 0 && client.timer.dueAt <= at {
		return
	}
	e.timers.cancel(client.timer)
	client.timer = nil
	if !math.IsInf(at, 1) {
		client.timer = e.timers.add(at, func(e *Engine) { e.clientTimedOut(client) })
	}
}

// clientTimedOut closes a connection whose deadline has passed. After a stall of the aggregator
// itself it waits once more, because bytes that the client has sent meanwhile may still be unread.
func (e *Engine) clientTimedOut(client *client) {
	switch {
	case client.closed:
		return
	case e.now < client.deadline():
		e.armClientTimer(client)
		return
	case e.now > client.timer.dueAt+stallThreshold:
		client.timer = e.afterFunc(stallThreshold, func(e *Engine) { e.clientTimedOut(client) })
		return
	case client.finishing:
	case client.parser.HasPartial():
		client.closeAfterResponse = true
		e.rejectRequest(client, &protocol.RequestError{Status: 408, Reason: "half a request"})
		return
	case client.writeOffset > client.writtenOffset: // it does not read its answer, which takes up memory
		e.Counters.WriteTimeouts++
	case !client.sentRequest:
		e.Counters.SilentClientsDropped++
	default:
		e.Counters.IdleClientsDropped++
	}
	e.dropClient(client)
}

// dropClient closes a connection immediately.
func (e *Engine) dropClient(client *client) {
	e.close(client.conn)
	e.clientClosed(client)
	e.resumeAccepting()
}

// clientBytes reads requests from received bytes. Bytes that arrive while a search waits for its
// answer are kept for later. A request that arrives in one piece needs no buffer of its own, so it
// is accepted however many other clients have stopped in the middle of a request.
func (e *Engine) clientBytes(client *client, b []byte, receivedAt float64) {
	client.lastReceivedAt = e.now
	for len(b) > 0 && !client.finishing && !client.closed {
		if client.search != nil {
			e.storePipelined(client, b, receivedAt)
			return
		}
		if !client.ownsBuffer && !client.usesSharedBuffer {
			client.usesSharedBuffer = true
			client.parser.SetBuffer(e.sharedBuffer)
		}
		used, step, err := client.parser.Feed(b)
		b = b[used:]
		switch {
		case err != nil:
			client.closeAfterResponse = true // it is unknown where the next message begins
			e.rejectRequest(client, err)
		case step == protocol.HeadComplete:
			e.answerExpectation(client, len(b) == 0)
		case step == protocol.Complete:
			client.sentRequest = true
			client.closeAfterResponse = client.closeAfterResponse || client.parser.ClosesConnection()
			e.handleRequest(client, receivedAt)
		}
	}
	e.storePartial(client)
}

// storePipelined stores up to one buffer of bytes that arrive before the answer has been written. If
// a client sends more without waiting, its connection is closed after the answer.
func (e *Engine) storePipelined(client *client, b []byte, receivedAt float64) {
	if client.pipelined == nil {
		client.pipelined = e.takeBuffer()
	}
	if client.pipelined == nil {
		client.closeAfterResponse = true
		return
	}
	client.pipelinedAt = receivedAt
	n := min(cap(client.pipelined)-len(client.pipelined), len(b))
	client.pipelined = append(client.pipelined, b[:n]...)
	if len(client.pipelined) == cap(client.pipelined) {
		e.network.SetReading(client.conn, false)
	}
	if n < len(b) {
		client.closeAfterResponse = true
	}
}

// answerExpectation answers an Expect header: a client that waits for permission to send its body
// gets "100 Continue".
func (e *Engine) answerExpectation(client *client, bodyAwaited bool) {
	expectation, n := client.parser.Header("expect")
	if n == 0 {
		return
	}
	if !strings.EqualFold(string(expectation), "100-continue") {
		client.closeAfterResponse = true
		e.rejectRequest(client, &protocol.RequestError{Status: 417, Reason: "an expectation that is not known"})
		return
	}
	if bodyAwaited {
		e.writeToClient(client, []byte(protocol.ContinueResponse))
	}
}

// storePartial moves an incomplete request to a buffer of its own, and releases the storage if no
// request has begun.
func (e *Engine) storePartial(client *client) {
	switch {
	case !client.parser.HasPartial():
		e.releaseRequest(client)
	case client.usesSharedBuffer:
		buf := e.takeBuffer()
		if buf == nil {
			client.closeAfterResponse = true
			e.respond(client, 503, 0, nil)
			e.releaseRequest(client)
			return
		}
		client.parser.MoveToBuffer(buf)
		client.usesSharedBuffer, client.ownsBuffer = false, true
		if client.sentRequest {
			client.requestBegunAt = e.now
		}
		e.armClientTimer(client)
	}
}

// takeBuffer returns a buffer for an incomplete request, or nil if too few are free: some must be
// left for servers and answers.
func (e *Engine) takeBuffer() []byte {
	if e.partialBuffers >= max(e.pool.Max/partialBufferDivisor, 1) {
		e.Counters.NoBuffer++
		return nil
	}
	buf := e.pool.Get()
	if buf == nil {
		e.Counters.NoBuffer++
		return nil
	}
	e.partialBuffers++
	return buf
}

// returnBuffer returns a buffer that takeBuffer gave out.
func (e *Engine) returnBuffer(buf []byte) {
	e.partialBuffers--
	e.pool.Put(buf)
}

// releaseRequest releases the storage of the current request.
func (e *Engine) releaseRequest(client *client) {
	switch {
	case client.ownsBuffer:
		client.ownsBuffer = false
		e.returnBuffer(client.parser.SetBuffer(nil))
	case client.usesSharedBuffer:
		client.usesSharedBuffer = false
		client.parser.SetBuffer(nil)
	}
}

// resumeClient reads the bytes that arrived while the client waited for its answer.
func (e *Engine) resumeClient(client *client) {
	if client.closed || client.finishing || client.search != nil || client.pipelined == nil {
		return
	}
	pipelined := client.pipelined
	client.pipelined = nil
	e.network.SetReading(client.conn, true)
	e.clientBytes(client, pipelined, client.pipelinedAt)
	e.returnBuffer(pipelined)
}

// handleRequest answers a complete request, or starts its search.
func (e *Engine) handleRequest(client *client, receivedAt float64) {
	path := string(client.parser.Path())
	switch {
	case path == "/ready" && client.parser.HasMethod("GET"):
		if e.stopping || e.serverList.readyCount == 0 {
			e.respond(client, 503, 0, nil)
			return
		}
		e.respond(client, 200, 0, []byte("ready\n"))
	case path == "/api" && client.parser.HasMethod("POST"):
		if err := e.acceptSearch(client, receivedAt); err != nil {
			e.rejectRequest(client, err)
		}
	case path == "/api" || path == "/ready":
		e.rejectRequest(client, &protocol.RequestError{Status: 405, Reason: "method not allowed"})
	default:
		e.rejectRequest(client, &protocol.RequestError{Status: 404, Reason: "no such path"})
	}
}

// badRequest returns an error that is answered with status 400.
func badRequest(reason string) error { return &protocol.RequestError{Status: 400, Reason: reason} }

// rejectRequest answers an invalid request with the status and the text of its error.
func (e *Engine) rejectRequest(client *client, err error) {
	e.Counters.BadRequests++
	status := 400
	var requestError *protocol.RequestError
	if errors.As(err, &requestError) {
		status = requestError.Status
	}
	e.log.warn("bad request", "%v", err)
	e.respond(client, status, 0, append([]byte(err.Error()), '\n'))
}

// respond writes a response. It then prepares the connection for the next request, or closes it.
// retryAfter is in milliseconds, 0: none.
func (e *Engine) respond(client *client, status int, retryAfter float64, body []byte) {
	last := client.closeAfterResponse || e.listenersClosed || e.outOfDescriptors
	contentType := "text/plain"
	if status == 200 && client.search == nil && len(body) > 0 && body[0] == '{' {
		contentType = "application/json"
	}
	e.writeBuffer = protocol.AppendResponse(e.writeBuffer[:0], status, contentType, last, retryAfter, body)
	e.writeToClient(client, e.writeBuffer)
	client.parser.Reset()
	e.markIdle(client)
	e.armClientTimer(client)
	if last {
		e.finishClient(client)
	} else if client.pipelined != nil {
		e.resumedClients = append(e.resumedClients, client)
	}
}

// writeToClient writes to a client and counts the bytes.
func (e *Engine) writeToClient(client *client, b []byte) {
	client.writeOffset += int64(len(b))
	e.Counters.BytesOut += int64(len(b))
	e.network.Write(client.conn, b)
}

// finishClient closes a connection after everything written has been delivered.
func (e *Engine) finishClient(client *client) {
	if client.finishing {
		return
	}
	client.finishing, client.finishingSince, client.lastReceivedAt = true, e.now, e.now
	e.releaseClient(client)
	e.network.Finish(client.conn)
	e.armClientTimer(client)
}

// releaseClient releases the buffers that a connection holds.
func (e *Engine) releaseClient(client *client) {
	e.releaseRequest(client)
	if client.pipelined != nil {
		e.returnBuffer(client.pipelined)
		client.pipelined = nil
	}
}

// clientClosed releases a closed connection. Nobody waits for its search any more.
func (e *Engine) clientClosed(client *client) {
	client.closed = true
	e.clientCount--
	e.timers.cancel(client.timer)
	*e.endpoint(client.conn) = endpoint{}
	e.releaseClient(client)
	if search := client.search; search != nil {
		client.search, search.client = nil, nil
		e.ClientGone(search)
	}
}
