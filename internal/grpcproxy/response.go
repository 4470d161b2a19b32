package grpcproxy

import (
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/routes"
)

// headersFromServer takes the response headers.
func (a *attempt) headersFromServer(fields []h2.Field) {
	a.responseHeaders = grpcwire.ForwardedResponseHeaders(fields)
	k := a.call
	if k.committed != a && k.route.CommitPoint != routes.AtHeaders {
		return
	}
	a.commit()
	if !a.ended {
		a.deliver()
	}
}

// dataFromServer takes a part of the response.
func (a *attempt) dataFromServer(b []byte) {
	k := a.call
	if a.ended {
		return
	}
	if k.committed != nil && k.committed != a {
		// Another was committed in this turn, and this one is being called off.
		k.proxy.Counters.LateResponses++
		return
	}
	if !k.addBuffered(len(b)) {
		k.addBuffered(-len(b))
		k.proxy.Counters.OverBufferLimit++
		a.fail(grpcwire.Result{Status: grpcwire.ResourceExhausted, Message: overBufferMessage, Outcome: policy.Answered})
		return
	}
	a.response.append(b)
	switch a.scanner.Feed(b, k.route.MaxMessageBytes) {
	case grpcwire.InvalidFlag:
		a.fail(grpcwire.MalformedResponse)
		return
	case grpcwire.MessageOverLimit:
		k.proxy.Counters.MessageTooLarge++
		a.fail(grpcwire.MessageTooLarge)
		return
	}
	if k.route.CommitPoint == routes.AtEnd && a.response.size() <= k.route.ResponseBufferBytes {
		a.creditServer()
		return
	}
	a.commit()
	if !a.ended {
		a.deliver()
	}
}

// commit makes this the attempt whose response reaches the client, if the engine agrees.
func (a *attempt) commit() {
	k := a.call
	if k.committed != nil {
		return
	}
	if !mutantRepeat && !k.proxy.router.CommitAttempt(a.sub, true) {
		k.proxy.Counters.LateResponses++
		a.stop()
		k.proxy.router.AttemptEnded(a.sub, policy.Cancelled)
		return
	}
	k.proxy.Counters.Committed++
	k.committed = a
	k.discardForwarded()
}

// deliver passes what has come of the committed response to the client.
func (a *attempt) deliver() {
	k := a.call
	if k.ended || k.committed != a || a.responseHeaders == nil {
		return
	}
	if !k.stream.HeadersSent() {
		k.client.http2.Respond(k.stream, a.responseHeaders, false, k)
	}
	k.stream.Ready()
	k.proxy.scheduleFlush(k.client)
}

// complete ends the call with this response, once the client has taken all of it.
func (a *attempt) complete() {
	k := a.call
	if a.result.Outcome != policy.Answered || a.trailers == nil {
		// The answer is over a limit of this proxy: the request was executed, its response isn't passed.
		k.endWithStatus(a.result.Status, a.result.Message, noRetry)
		return
	}
	k.proxy.Counters.Statuses[a.result.Status]++
	if a.responseHeaders == nil { // a response of header fields alone passes as it came
		k.client.http2.Respond(k.stream, a.trailers, true, nil)
		k.proxy.scheduleFlush(k.client)
		k.release()
		return
	}
	k.finalTrailers = a.trailers
	a.deliver()
}

// creditServer allows the server to send as much as the client has taken, or, while the response is
// kept back for its end, as much as has come.
func (a *attempt) creditServer() {
	if a.stream == nil || a.ended {
		return
	}
	offset := a.deliveredOffset
	if a.call.committed == nil {
		offset = a.response.end
	}
	if credit := offset - a.creditedOffset; credit > 0 {
		a.creditedOffset = offset
		a.stream.Credit(int(credit))
		a.call.proxy.scheduleFlush(a.conn)
	}
}

// endedByServer takes the end of the response; trailers are nil if it came without.
func (a *attempt) endedByServer(trailers []h2.Field) {
	if a.ended {
		return
	}
	k := a.call
	result := grpcwire.ResultFromTrailers(trailers, k.route.RejectedUnprocessed, a.scanner.CompleteMessages)
	a.trailers = trailers
	if result.Outcome == policy.Answered && !a.scanner.AtBoundary() {
		result, a.trailers = grpcwire.TruncatedMessage, nil
	}
	pushback, found := grpcwire.RetryPushback(trailers)
	if found && result.Outcome != policy.Answered && k.committed == nil {
		k.proxy.router.ReportPushback(a.sub, pushback)
	}
	a.finish(result)
}
