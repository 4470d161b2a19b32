package grpcproxy

import (
	"slices"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/invariant"
)

// Messages of statuses that several places give.
const (
	deadlineMessage   = "the client's time is up"
	overBufferMessage = "too much is held"
)

// endAnswered ends a call whose search was answered.
func (k *call) endAnswered() {
	if k.committed == nil {
		k.committed = k.answered
	}
	if k.committed == nil {
		k.terminate(grpcwire.Internal, "no answer is there", noRetry)
		return
	}
	k.committed.complete()
}

// endFailed ends a call that was shed or failed, by what its last server said if one said anything.
func (k *call) endFailed(isNearDeadline bool, pushback float64) {
	a := k.committed
	if a == nil || !a.ended {
		a = k.lastFailed
	}
	switch {
	case isNearDeadline && (a == nil || a != k.committed):
		k.endWithStatus(grpcwire.DeadlineExceeded, deadlineMessage, noAdvice)
	case a == nil && pushback < 0:
		k.endWithStatus(grpcwire.Unavailable, "no server answered", pushback)
	case a == nil:
		k.endWithStatus(grpcwire.Unavailable, "shed", pushback)
	case a.trailers != nil && a.result.Outcome != policy.Answered:
		k.endWithServerTrailers(a, pushback)
	default:
		k.proxy.Counters.Statuses[a.result.Status]++
		k.endAfterResponse(grpcwire.AppendTrailers(nil, a.result.Status, a.result.Message, pushback))
	}
}

// endWithServerTrailers forwards a server's trailers, details included. Only the pushback is this
// proxy's, which knows what was tried.
func (k *call) endWithServerTrailers(a *attempt, pushback float64) {
	trailers := make([]h2.Field, 0, len(a.trailers)+1)
	for _, field := range a.trailers {
		if isTrailer(field.Name) {
			trailers = append(trailers, field)
		}
	}
	if _, found := grpcwire.FirstValue(trailers, "grpc-status"); !found {
		k.endWithStatus(a.result.Status, a.result.Message, pushback)
		return
	}
	// The longer pushback wins; a server that wants no retry at all isn't overruled.
	serverPushback, found := grpcwire.RetryPushback(a.trailers)
	if found && (serverPushback < 0 || pushback >= 0 && serverPushback > pushback) {
		pushback = serverPushback
	}
	k.proxy.Counters.Statuses[a.result.Status]++
	k.endAfterResponse(grpcwire.AppendPushback(trailers, pushback))
}

// isTrailer reports whether a field of a server's trailers is forwarded: those of a response of header
// fields alone belong to its hop in part.
func isTrailer(name string) bool {
	switch name {
	case "grpc-retry-pushback-ms", "content-type", "content-length":
		return false
	}
	return name[0] != ':'
}

// terminate ends a call from this side, whatever the engine would decide: the client has violated a
// limit, or its time is up.
func (k *call) terminate(status grpcwire.Status, message string, pushback float64) {
	if !k.decided {
		k.decided = true
		k.proxy.Counters.Errored++
		if k.search != nil {
			k.proxy.router.ClientGone(k.search)
		}
	}
	k.endWithStatus(status, message, pushback)
}

// endWithStatus ends a call now with a status of this side.
func (k *call) endWithStatus(status grpcwire.Status, message string, pushback float64) {
	k.proxy.Counters.Statuses[status]++
	k.endNow(grpcwire.AppendTrailers(nil, status, message, pushback))
}

// endAfterResponse ends a call once the client has what has come of the response.
func (k *call) endAfterResponse(trailers []h2.Field) {
	a := k.committed
	if a != nil && a.responseHeaders != nil && a.deliveredOffset < a.response.end {
		k.finalTrailers = trailers
		a.deliver()
		return
	}
	k.endNow(trailers)
}

// endNow ends a call with trailers, whatever still waits to be sent: the status says that the response
// is incomplete.
func (k *call) endNow(trailers []h2.Field) {
	if k.ended {
		return
	}
	if mutantLost && !k.stream.HeadersSent() {
		k.release()
		return
	}
	if k.stream.HeadersSent() {
		k.client.http2.EndWithTrailers(k.stream, trailers)
	} else {
		k.client.http2.Respond(k.stream, append(grpcwire.NewResponseHeaders(), trailers...), true, nil)
	}
	k.proxy.scheduleFlush(k.client)
	k.release()
}

// clientCancelled ends a call whose client has gone or has reset it.
func (k *call) clientCancelled() {
	if k.ended {
		return
	}
	if !k.decided {
		k.decided = true
		k.proxy.Counters.ClientCancelled++
		if k.search != nil {
			k.proxy.router.ClientGone(k.search)
		}
	}
	k.release()
}

// release frees all that a call has. It comes once, when the client has its status or has gone.
func (k *call) release() {
	invariant.Check(!k.ended, "a call is over once")
	k.ended = true
	p := k.proxy
	p.router.CancelTimer(k.deadlineTimer)
	p.openCalls--
	p.callsByCustomer[k.customer]--
	if p.callsByCustomer[k.customer] == 0 {
		delete(p.callsByCustomer, k.customer)
	}
	for _, a := range slices.Clone(k.attempts) {
		// The engine has called them off with the search; one that it counts as answered may still be
		// receiving.
		a.stop()
	}
	if k.committed != nil {
		k.committed.discardResponse()
	}
	if k.answered != nil {
		k.answered.discardResponse()
	}
	k.addBuffered(-k.request.size())
	p.metadataBytes -= k.metadataBytes
	invariant.Check(p.metadataBytes >= 0, "the metadata of calls is accounted for")
	k.request.clear()
}

// Next implements h2.DataSource: the committed attempt's response for the client.
func (k *call) Next(maxBytes int) (b []byte, end bool, trailers []h2.Field) {
	a := k.committed
	if a == nil || k.ended {
		return nil, false, nil
	}
	b = a.response.peek(a.deliveredOffset, maxBytes)
	if len(b) > 0 {
		a.deliveredOffset += int64(len(b))
		k.addBuffered(-a.response.discard(a.deliveredOffset))
		a.creditServer()
	}
	if k.finalTrailers == nil || a.deliveredOffset < a.response.end {
		return b, false, nil
	}
	k.release()
	return b, true, k.finalTrailers
}
