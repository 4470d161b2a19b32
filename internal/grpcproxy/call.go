package grpcproxy

import (
	"math"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/routes"
)

// call is one gRPC call: a search of one shard. What its client has sent is buffered once for all
// attempts, each of which has its own offset into it. Until an attempt is committed all of it is kept,
// up to the route's retry buffer; from then on only what is still to be forwarded.
type call struct {
	proxy          *Proxy
	client         *clientConn
	stream         *h2.Stream
	route          *routes.Route
	settings       *Settings // with which it began
	customer       int
	deadline       float64
	deadlineTimer  engine.Timer
	requestHeaders []h2.Field
	metadataBytes  int // of requestHeaders, as MaxMetadataBytes counts
	search         *engine.Search

	request        byteQueue
	requestScanner grpcwire.MessageScanner
	requestEnded   bool  // the client has sent all
	creditedBytes  int64 // of the request
	creditDeferred bool  // in Proxy.deferredCredit

	attempts      []*attempt // that have not ended
	committed     *attempt   // whose response reaches the client; nil: none yet
	answered      *attempt   // whose response counts as the answer, if none was committed before
	lastFailed    *attempt   // the last that ended without an answer
	decided       bool       // the engine's final answer has come, or is no longer wanted
	finalTrailers []h2.Field // to be sent behind the response
	ended         bool       // the client has its status, or has gone
}

var _ engine.SearchHandler = (*call)(nil)

// start makes a search of the call.
func (k *call) start(shard int, metadata routes.Lookup) {
	pieces := [1]engine.ShardRequest{{Shard: shard, Share: 1, Work: k.route.WorkHint, Key: k.route.AffinityHash(metadata)}}
	isRetry := grpcwire.IsRetry(metadata)
	k.search = k.proxy.router.StartSearch(k.route.QueryType, k.customer, k.deadline, isRetry, pieces[:], k)
	if !k.decided && !k.requestEnded {
		k.proxy.router.SetClientSending(k.search, true)
	}
}

// armDeadline has the call end in time, whatever it waits for then: a window that its client never
// opens, or, if this process will be killed sooner, anything.
func (k *call) armDeadline() {
	router := k.proxy.router
	router.CancelTimer(k.deadlineTimer)
	endAt := min(k.deadline-finalStatusMargin, k.proxy.killAt)
	k.deadlineTimer = router.AfterFunc(max(endAt-router.Now(), 0), k.deadlineReached)
}

func (k *call) deadlineReached() {
	if k.ended {
		return
	}
	if k.proxy.router.Now() < k.deadline-nearDeadline {
		k.proxy.Counters.EndedByShutdown++
		k.terminate(grpcwire.Unavailable, "the broker is stopping", noRetry)
		return
	}
	k.proxy.Counters.DeadlineExceeded++
	k.terminate(grpcwire.DeadlineExceeded, deadlineMessage, noAdvice)
}

// addBuffered counts bytes that are buffered for the call, or no longer are, and reports whether they
// are within the limits of the proxy and of the client's connection.
func (k *call) addBuffered(n int) bool {
	k.client.bufferedBytes += n
	invariant.Check(k.client.bufferedBytes >= 0, "what a client holds is accounted for")
	withinProxy := k.proxy.addBuffered(n)
	return withinProxy && k.client.bufferedBytes <= k.settings.Limits.MaxBufferedBytesPerConnection
}

// Send implements engine.SearchHandler: it begins an attempt.
func (k *call) Send(sub *engine.Attempt) {
	a := &attempt{call: k, sub: sub, serverIndex: sub.Server()}
	k.attempts = append(k.attempts, a)
	k.proxy.Counters.Attempts++
	if !k.proxy.hasAddress(a.serverIndex) {
		a.finish(grpcwire.NoAddress)
		return
	}
	router := k.proxy.router
	if startBy := sub.BeginDeadline(); !math.IsInf(startBy, 1) {
		a.startTimer = router.AfterFunc(startBy-router.Now(), a.startTimedOut)
	}
	k.proxy.pool.RequestStream(router.Now(), a.serverIndex, a)
}

// FrontendNumber implements engine.SearchHandler: the number of this front.
func (k *call) FrontendNumber() int { return 1 }

// BodyBytes implements engine.SearchHandler: the bytes of the messages of the client and for the client.
func (k *call) BodyBytes() (in, out int64) {
	if k.committed != nil {
		out = k.committed.response.end
	}
	return k.request.end, out
}

// Cancel implements engine.SearchHandler: it stops an attempt whose outcome is known.
func (k *call) Cancel(sub *engine.Attempt) {
	for _, a := range k.attempts {
		if a.sub == sub {
			a.stop()
			return
		}
	}
}

// Answer implements engine.SearchHandler: the search has ended.
func (k *call) Answer(ending engine.Result, pushback float64) {
	invariant.Check(!k.decided, "a call has one final answer")
	k.decided = true
	if k.ended {
		return
	}
	isNearDeadline := k.proxy.router.Now() >= k.deadline-nearDeadline
	switch ending {
	case engine.Complete, engine.Partial:
		k.proxy.Counters.Answered++
		k.endAnswered()
	case engine.Shed:
		k.proxy.Counters.Shed++
		k.endFailed(isNearDeadline, pushback)
	default:
		k.proxy.Counters.Errored++
		k.endFailed(isNearDeadline, noRetry)
	}
}
