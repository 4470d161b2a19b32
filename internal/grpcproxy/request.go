package grpcproxy

import (
	"math"

	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/routes"
)

// dataFromClient takes a part of the request.
func (k *call) dataFromClient(b []byte, end bool) {
	if k.ended || !k.validRequest(b, end) {
		return
	}
	if len(b) > 0 {
		k.request.append(b)
		if !k.addBuffered(len(b)) {
			// Credit keeps most calls from getting here; the limit holds in any case.
			k.proxy.Counters.OverBufferLimit++
			k.terminate(grpcwire.ResourceExhausted, overBufferMessage, noRetry)
			return
		}
	}
	if end && !k.requestEnded {
		k.requestEnded = true
		k.proxy.router.SetClientSending(k.search, false)
	}
	k.commitIfBufferExceeded()
	for _, a := range k.attempts {
		a.ready()
	}
	k.creditClient()
}

// validRequest checks the prefixes of messages, and ends the call if one is wrong.
func (k *call) validRequest(b []byte, end bool) bool {
	switch k.requestScanner.Feed(b, k.route.MaxMessageBytes) {
	case grpcwire.MessageOverLimit:
		k.proxy.Counters.MessageTooLarge++
		k.terminate(grpcwire.ResourceExhausted, "the message is over the limit", noRetry)
		return false
	case grpcwire.InvalidFlag:
		k.proxy.Counters.InvalidCalls++
		k.terminate(grpcwire.Internal, "no gRPC message", noRetry)
		return false
	}
	if end && !k.requestScanner.AtBoundary() {
		k.proxy.Counters.InvalidCalls++
		k.terminate(grpcwire.Internal, "the last message is not whole", noRetry)
		return false
	}
	return true
}

// commitIfBufferExceeded commits an attempt once the request has outgrown the retry buffer: what
// another attempt would need is going to be discarded. Of two attempts the one that has forwarded more
// is committed.
func (k *call) commitIfBufferExceeded() {
	if k.committed != nil || k.request.end <= int64(k.route.RetryBufferBytes) {
		return
	}
	var furthest *attempt
	for _, a := range k.attempts {
		if a.stream != nil && (furthest == nil || a.forwardedOffset > furthest.forwardedOffset) {
			furthest = a
		}
	}
	if furthest == nil || !k.proxy.router.CommitAttempt(furthest.sub, false) {
		return
	}
	k.proxy.Counters.RetryBufferExceeded++
	k.committed = furthest
	k.discardForwarded()
	if furthest.stream != nil && furthest.responseHeaders != nil && k.route.CommitPoint != routes.AtEnd {
		furthest.deliver()
	}
}

// forwardedOffset returns the offset into the request up to which all attempts have forwarded it.
func (k *call) forwardedOffset() int64 {
	if k.committed != nil {
		if k.committed.ended {
			return k.request.end
		}
		return k.committed.forwardedOffset
	}
	if len(k.attempts) == 0 {
		return k.request.start
	}
	offset := int64(math.MaxInt64)
	for _, a := range k.attempts {
		offset = min(offset, a.forwardedOffset)
	}
	return offset
}

// discardForwarded discards what no attempt will need.
func (k *call) discardForwarded() {
	if k.committed == nil && !k.decided {
		return
	}
	if freed := k.request.discard(k.forwardedOffset()); freed > 0 {
		k.addBuffered(-freed)
	}
}

// creditClient allows the client to send as much as has been forwarded. A server that doesn't read
// thus stalls its client, and no other; above the soft limit nobody is credited for now.
func (k *call) creditClient() {
	if k.ended {
		return
	}
	k.discardForwarded()
	credit := k.forwardedOffset() - k.creditedBytes
	if credit <= 0 {
		return
	}
	if k.proxy.aboveSoftLimit() {
		if !k.creditDeferred {
			k.creditDeferred = true
			k.proxy.deferredCredit = append(k.proxy.deferredCredit, k)
		}
		return
	}
	k.creditedBytes += credit
	k.stream.Credit(int(credit))
	k.proxy.scheduleFlush(k.client)
}
