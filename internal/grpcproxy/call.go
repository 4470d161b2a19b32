package grpcproxy

import (
	"math"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/must"
	"kestrelspread/internal/routes"
)

// call is one gRPC call: a search of one part. What its client has sent is kept once for all sub-requests, each of which
// has its own place in it. Until one sub-request is committed all of it is kept, up to the route's repeat buffer; from
// then on only what is still to go out.
type call struct {
	proxy          *Proxy
	client         *clientConn
	stream         *h2.Stream
	route          *routes.Route
	settings       *Settings // those that it began under
	customer       int
	deadline       float64
	requestHeaders []h2.Field
	search         *engine.Search

	request        byteQueue
	requestScanner grpcwire.MessageScanner
	requestEnded   bool
	creditedBytes  int64 // of what has come, told to the client as room

	attempts       []*attempt // not over
	committed      *attempt   // whose bytes reach the client
	answered       *attempt   // that the module counts as the answer, where none was committed before
	lastFailed     *attempt   // the latest that ended otherwise
	decided        bool       // the one final answer is given, or nobody waits for it
	finalTrailers  []h2.Field // that end what goes to the client
	ended          bool       // the client's side has its end
	creditDeferred bool
	deadlineTimer  engine.Timer
}

// byteQueue holds bytes from a place on. What was given out is not changed: pieces are let go of whole.
type byteQueue struct {
	chunks [][]byte
	start  int64
	end    int64
}

func (q *byteQueue) append(b []byte) {
	q.end += int64(len(b))
	if n := len(q.chunks); n > 0 {
		if last := q.chunks[n-1]; cap(last)-len(last) >= len(b) {
			q.chunks[n-1] = append(last, b...)
			return
		}
		// A body that comes byte by byte must not cost a slice for each.
		q.chunks = append(q.chunks, append(make([]byte, 0, max(len(b), minChunkBytes)), b...))
		return
	}
	q.chunks = append(q.chunks, append([]byte(nil), b...))
}

// at gives what stands at a place, at most so many bytes of it.
func (q *byteQueue) peek(place int64, most int) []byte {
	skip := place - q.start
	for _, p := range q.chunks {
		if skip < int64(len(p)) {
			return p[skip:min(int64(len(p)), skip+int64(most))]
		}
		skip -= int64(len(p))
	}
	return nil
}

// discard lets go of whole pieces before a place, and tells how many bytes that frees.
func (q *byteQueue) discard(place int64) (freed int) {
	for len(q.chunks) > 0 && q.start+int64(len(q.chunks[0])) <= place {
		n := len(q.chunks[0])
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
		q.start += int64(n)
		freed += n
	}
	if len(q.chunks) == 0 {
		q.chunks = nil
	}
	return freed
}

const (
	minChunkBytes    = 1 << 10
	stalledConnGrace = 200. // ms
)

func (q *byteQueue) size() int { return int(q.end - q.start) }

// addBuffered accounts for bytes of the call, and tells whether there is room for them: at this broker, and for its connection, so
// that one client does not take what is for all.
func (k *call) addBuffered(n int) bool {
	k.client.bufferedBytes += n
	must.Hold(k.client.bufferedBytes >= 0, "what a client holds is accounted for")
	return k.proxy.addBuffered(n) && k.client.bufferedBytes <= k.settings.Limits.MaxBufferedBytesPerConnection
}

// start makes a search of the call.
func (k *call) start(shard int, look routes.Lookup) {
	pieces := [1]engine.ShardRequest{{Shard: shard, Share: 1, Work: k.route.WorkHint, Key: k.route.AffinityHash(look)}}
	q := k.proxy.router.StartSearch(k.route.QueryType, k.customer, k.deadline, grpcwire.IsRetry(look), pieces[:], k)
	if k.search = q; !k.decided && !k.requestEnded {
		k.proxy.router.ClientSending(q, true)
	}
}

// armDeadline has the call ended in time, whatever else goes wrong: also where its last bytes wait for a window that its client
// never opens, or the broker is to be killed sooner.
func (k *call) armDeadline() {
	k.proxy.router.CancelTimer(k.deadlineTimer)
	k.deadlineTimer = k.proxy.router.After(max(min(k.deadline-finalStatusMargin, k.proxy.killAt)-k.proxy.router.Now(), 0), func() {
		if k.ended {
			return
		}
		if k.proxy.router.Now() < k.deadline-nearDeadline {
			k.proxy.Counters.EndedByShutdown++
			k.terminate(grpcwire.Unavailable, "the broker is stopping", -1)
			return
		}
		k.proxy.Counters.DeadlineExceeded++
		k.terminate(grpcwire.DeadlineExceeded, "the client's time is up", 0)
	})
}

// dataFromClient takes what the client sends.
func (k *call) dataFromClient(b []byte, end bool) {
	if k.ended {
		return
	}
	switch k.requestScanner.Feed(b, k.route.MaxMessageBytes) {
	case grpcwire.MessageOverLimit:
		k.proxy.Counters.MessageTooLarge++
		k.terminate(grpcwire.ResourceExhausted, "the message is over the limit", -1)
		return
	case grpcwire.InvalidFlag:
		k.proxy.Counters.InvalidCalls++
		k.terminate(grpcwire.Internal, "no gRPC message", -1)
		return
	}
	if end && !k.requestScanner.AtBoundary() {
		k.proxy.Counters.InvalidCalls++
		k.terminate(grpcwire.Internal, "the last message is not whole", -1)
		return
	}
	if len(b) > 0 {
		k.request.append(b)
		if !k.addBuffered(len(b)) {
			// The last guard: what all hold together may not pass the limit, however it came about.
			k.proxy.Counters.OverBufferLimit++
			k.terminate(grpcwire.ResourceExhausted, "too much is held", -1)
			return
		}
	}
	if end && !k.requestEnded {
		k.requestEnded = true
		k.proxy.router.ClientSending(k.search, false)
	}
	k.commitIfBufferExceeded()
	for _, a := range k.attempts {
		a.ready()
	}
	k.creditClient()
}

// commitIfBufferExceeded commits the one sub-request that is out once the repeat buffer is full: what is needed to begin another will be
// gone. Where two are out, the one that has got further goes on.
func (k *call) commitIfBufferExceeded() {
	if k.committed != nil || k.request.end <= int64(k.route.RetryBufferBytes) {
		return
	}
	var far *attempt
	for _, a := range k.attempts {
		if a.stream != nil && (far == nil || a.forwardedOffset > far.forwardedOffset) {
			far = a
		}
	}
	if far != nil && k.proxy.router.Committed(far.sub, false) {
		k.proxy.Counters.RetryBufferExceeded++
		k.committed = far
		k.discardForwarded()
		if far.stream != nil && far.responseHeaders != nil && k.route.CommitPoint != routes.AtEnd {
			far.deliver()
		}
	}
}

// forwardedOffset tells how far all that are out have got: nothing before it is still to go.
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
	place := int64(math.MaxInt64)
	for _, a := range k.attempts {
		place = min(place, a.forwardedOffset)
	}
	return place
}

// discardForwarded lets go of what no sub-request will need.
func (k *call) discardForwarded() {
	if k.committed != nil || k.decided {
		if freed := k.request.discard(k.forwardedOffset()); freed > 0 {
			k.addBuffered(-freed)
		}
	}
}

// creditClient lets the client send on as what it sent goes out. A server that does not read thus costs its client's window
// and no more; where too much is held here, nobody is given room.
func (k *call) creditClient() {
	if k.ended {
		return
	}
	k.discardForwarded()
	due := k.forwardedOffset() - k.creditedBytes
	if due <= 0 {
		return
	}
	if k.proxy.aboveSoftLimit() {
		if !k.creditDeferred {
			k.creditDeferred = true
			k.proxy.deferredCredit = append(k.proxy.deferredCredit, k)
		}
		return
	}
	k.creditedBytes += due
	k.stream.Credit(int(due))
	k.proxy.scheduleFlush(k.client)
}

// Send begins a sub-request (engine.Carrier).
func (k *call) Send(s *engine.Attempt) {
	a := &attempt{call: k, sub: s, serverIndex: s.Server()}
	k.attempts = append(k.attempts, a)
	k.proxy.Counters.Attempts++
	if at := k.proxy.servers; a.serverIndex >= len(at) || !at[a.serverIndex].hasAddress {
		a.finish(grpcwire.NoAddress)
		return
	}
	if by := s.BeginDeadline(); !math.IsInf(by, 1) {
		a.startTimer = k.proxy.router.After(by-k.proxy.router.Now(), a.startTimedOut)
	}
	k.proxy.pool.RequestStream(k.proxy.router.Now(), a.serverIndex, a)
}

// Door is where gRPC comes in (engine.Carrier).
func (k *call) Door() int { return 1 }

// Bytes are those of the client's messages and of the messages that it is given (engine.Carrier).
func (k *call) Bytes() (in, out int64) {
	if w := k.committed; w != nil {
		out = w.response.end
	}
	return k.request.end, out
}

// TakeBack stops one whose outcome is known (engine.Carrier).
func (k *call) Cancel(s *engine.Attempt) {
	for _, a := range k.attempts {
		if a.sub == s {
			a.stop()
			return
		}
	}
}

// Final is the module's one final answer (engine.Carrier).
func (k *call) Final(how engine.Result, back float64) {
	must.Hold(!k.decided, "a call has one final answer")
	k.decided = true
	if k.ended {
		return
	}
	late := k.proxy.router.Now() >= k.deadline-nearDeadline
	switch how {
	case engine.Complete, engine.Partial:
		k.proxy.Counters.Answered++
		if k.committed == nil {
			k.committed = k.answered
		}
		if w := k.committed; w != nil {
			w.complete()
			return
		}
		k.terminate(grpcwire.Internal, "no answer is there", -1)
	case engine.Shed:
		k.proxy.Counters.Shed++
		k.endFailed(late, back)
	default:
		k.proxy.Counters.Errored++
		k.endFailed(late, -1)
	}
}

// endFailed ends a call that was shed or errored: with what its last server said, if one said anything. -1: asking again is not
// known to be harmless.
func (k *call) endFailed(late bool, back float64) {
	a := k.committed
	if a == nil || !a.ended {
		a = k.lastFailed
	}
	switch {
	case late && (a == nil || a != k.committed):
		k.endWithStatus(grpcwire.DeadlineExceeded, "the client's time is up", 0)
	case a != nil && a.trailers != nil && a.result.Outcome != policy.Answered:
		// The server's own words, its details included; only the advice is the broker's, who knows what was tried.
		t := make([]h2.Field, 0, len(a.trailers)+1)
		for _, f := range a.trailers {
			if f.Name != "grpc-retry-pushback-ms" && f.Name[0] != ':' && f.Name != "content-type" && f.Name != "content-length" {
				t = append(t, f)
			}
		}
		if _, found := grpcwire.FirstValue(t, "grpc-status"); !found {
			k.endWithStatus(a.result.Status, a.result.Message, back)
			return
		}
		// Whoever wants the longer rest has it; a server that wants no repeat at all is not overruled.
		if wish, found := grpcwire.RetryPushback(a.trailers); found && (wish < 0 || back >= 0 && wish > back) {
			back = wish
		}
		if back != 0 {
			t = append(t, grpcwire.AppendTrailers(nil, 0, "", back)[1])
		}
		k.proxy.Counters.Statuses[a.result.Status]++
		k.endAfterResponse(t)
	case a != nil:
		k.proxy.Counters.Statuses[a.result.Status]++
		k.endAfterResponse(grpcwire.AppendTrailers(nil, a.result.Status, a.result.Message, back))
	case back < 0:
		k.endWithStatus(grpcwire.Unavailable, "no server answered", back)
	default:
		k.endWithStatus(grpcwire.Unavailable, "shed", back)
	}
}

// terminate ends a call from here, whatever the module would do: the client broke a limit, or time is up.
func (k *call) terminate(code grpcwire.Status, why string, back float64) {
	if !k.decided {
		k.decided = true
		k.proxy.Counters.Errored++
		if k.search != nil {
			k.proxy.router.ClientGone(k.search)
		}
	}
	k.endWithStatus(code, why, back)
}

func (k *call) endWithStatus(code grpcwire.Status, why string, back float64) {
	k.proxy.Counters.Statuses[code]++
	k.endNow(grpcwire.AppendTrailers(nil, code, why, back))
}

// endAfterResponse ends the client's side once it has what came before the end.
func (k *call) endAfterResponse(trailers []h2.Field) {
	if w := k.committed; w != nil && w.responseHeaders != nil && w.deliveredOffset < w.response.end {
		k.finalTrailers = trailers
		w.deliver()
		return
	}
	k.endNow(trailers)
}

// endNow ends the client's side now, whatever still waits to be sent: a status that is not OK tells that it is not whole.
func (k *call) endNow(trailers []h2.Field) {
	if k.ended {
		return
	}
	if plantLost && !k.stream.HeadersSent() {
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

// clientCancelled: the client has gone, or given this call up.
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

// release gives back all that a call holds. It comes once, when its client has its end or has gone.
func (k *call) release() {
	must.Hold(!k.ended, "a call is over once")
	k.ended = true
	k.proxy.router.CancelTimer(k.deadlineTimer)
	k.proxy.openCalls--
	if k.proxy.callsByCustomer[k.customer]--; k.proxy.callsByCustomer[k.customer] == 0 {
		delete(k.proxy.callsByCustomer, k.customer)
	}
	for _, a := range append([]*attempt(nil), k.attempts...) {
		// The module has called them off, as the search is over; one that it counts as answered may still be sending.
		a.stop()
	}
	if w := k.committed; w != nil {
		w.discardResponse()
	}
	if a := k.answered; a != nil {
		a.discardResponse()
	}
	k.addBuffered(-k.request.size())
	k.request = byteQueue{start: k.request.end, end: k.request.end}
}

// Next gives the client's stream what the winner has brought (h2.Source).
func (k *call) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	w := k.committed
	if w == nil || k.ended {
		return nil, false, nil
	}
	if b = w.response.peek(w.deliveredOffset, most); len(b) > 0 {
		w.deliveredOffset += int64(len(b))
		k.addBuffered(-w.response.discard(w.deliveredOffset))
		w.creditServer()
	}
	if k.finalTrailers == nil || w.deliveredOffset < w.response.end {
		return b, false, nil
	}
	k.release()
	return b, true, k.finalTrailers
}

// attempt is one sub-request of a call on its way.
type attempt struct {
	call            *call
	sub             *engine.Attempt
	serverIndex     int
	conn            *serverConn // nil: it waits for its channel
	stream          *h2.Stream
	forwardedOffset int64 // how far of the request it has gone
	headersStart    int64 // of its head in what the connection was given, and its end
	headersEnd      int64
	responseHeaders []h2.Field
	response        byteQueue
	deliveredOffset int64 // to the client
	creditedOffset  int64 // credited
	scanner         grpcwire.MessageScanner
	whole           bool // the server has sent all
	ended           bool
	result          grpcwire.Result
	reported        bool // by its server or its connection, not called off
	// trailers are what the server ended with, nil where it did not
	trailers   []h2.Field
	startTimer engine.Timer // until when it may begin
}

// Next gives the server's stream what the client has sent (h2.Source).
func (a *attempt) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	k := a.call
	if k.commitIfBufferExceeded(); a.ended {
		return nil, false, nil
	}
	b = k.request.peek(a.forwardedOffset, most)
	a.forwardedOffset += int64(len(b))
	end = k.requestEnded && a.forwardedOffset == k.request.end
	if len(b) > 0 {
		k.creditClient()
	}
	return b, end, nil
}

// startTimedOut takes back what has not begun in its time; where its head stands in a connection that takes nothing, that is
// the only way to take it back.
func (a *attempt) startTimedOut() {
	switch {
	case a.stream == nil:
		a.finish(grpcwire.NotSent)
	case a.headersStart >= a.conn.sentBytes:
		a.conn.abort("too late to begin")
	}
}

func (a *attempt) ready() {
	if a.stream != nil && !a.ended {
		a.stream.Ready()
		a.call.proxy.scheduleFlush(a.conn)
	}
}

// dataFromServer takes a piece of the response.
func (a *attempt) dataFromServer(b []byte) {
	k := a.call
	if a.ended {
		return
	}
	if k.committed != nil && k.committed != a {
		// Two answered at once, and this one was second: it is being called off.
		k.proxy.Counters.LateResponses++
		return
	}
	if !k.addBuffered(len(b)) {
		k.addBuffered(-len(b))
		k.proxy.Counters.OverBufferLimit++
		a.fail(grpcwire.Result{Status: grpcwire.ResourceExhausted, Message: "too much is held", Outcome: policy.Answered})
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

// commit makes this the one whose bytes reach the client, if the module says so.
func (a *attempt) commit() {
	k := a.call
	if k.committed != nil {
		return
	}
	if !plantRepeat && !k.proxy.router.Committed(a.sub, true) {
		k.proxy.Counters.LateResponses++
		a.stop()
		k.proxy.router.AttemptEnded(a.sub, policy.Cancelled)
		return
	}
	k.proxy.Counters.Committed++
	k.committed = a
	k.discardForwarded()
}

// deliver lets the client have what has come.
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

// complete: the module has the answer; the client has it once all has gone out.
func (a *attempt) complete() {
	k := a.call
	if a.result.Outcome == policy.Answered && a.trailers != nil {
		k.proxy.Counters.Statuses[a.result.Status]++
		if a.responseHeaders == nil { // nothing but a status, as it came
			k.client.http2.Respond(k.stream, a.trailers, true, nil)
			k.proxy.scheduleFlush(k.client)
			k.release()
			return
		}
		k.finalTrailers = a.trailers
		a.deliver()
		return
	}
	// An answer over this broker's limits: it has run, and is not passed on.
	k.endWithStatus(a.result.Status, a.result.Message, -1)
}

// creditServer lets the server send on as the client takes, or as long as all is held back for the end.
func (a *attempt) creditServer() {
	if a.stream == nil || a.ended {
		return
	}
	to := a.deliveredOffset
	if a.call.committed == nil {
		to = a.response.end // held back for its end, within the route's hold
	}
	if n := to - a.creditedOffset; n > 0 {
		a.creditedOffset = to
		a.stream.Credit(int(n))
		a.call.proxy.scheduleFlush(a.conn)
	}
}

// statusReceived is the server's end.
func (a *attempt) statusReceived(trailers []h2.Field) {
	if a.ended {
		return
	}
	a.whole = true
	k := a.call
	e := grpcwire.ResultFromTrailers(trailers, k.route.RejectedUnprocessed, a.scanner.CompleteMessages)
	a.trailers = trailers
	if e.Outcome == policy.Answered && !a.scanner.AtBoundary() {
		e, a.trailers = grpcwire.TruncatedMessage, nil
	}
	if wait, found := grpcwire.RetryPushback(trailers); found && e.Outcome != policy.Answered && k.committed == nil {
		k.proxy.router.Pushback(a.sub, wait)
	}
	a.finish(e)
}

// fail ends one from this side, for what its server sent.
func (a *attempt) fail(e grpcwire.Result) {
	if e.Outcome != policy.Answered {
		a.call.proxy.Counters.ServerProtocolErrors++
	}
	a.finish(e)
}

// finish tells the module how a sub-request ended. The first word counts.
func (a *attempt) finish(e grpcwire.Result) {
	if a.ended {
		return
	}
	k := a.call
	a.result, a.reported = e, true
	a.stop()
	switch {
	case e.Outcome == policy.Answered && (k.committed == nil || k.committed == a) && k.answered == nil:
		k.answered = a
	case e.Outcome == policy.Answered && k.committed != a:
		k.proxy.Counters.LateResponses++
		a.discardResponse()
	default:
		k.lastFailed = a
		if k.committed != a {
			a.discardResponse()
		}
	}
	k.proxy.router.AttemptEnded(a.sub, e.Outcome)
}

// stop ends the stream, if it is open, and lets go of its place. What has come of its response stays for who answered.
func (a *attempt) stop() {
	if a.ended {
		return
	}
	a.ended = true
	k := a.call
	if a.stream == nil || a.headersStart < a.conn.sentBytes {
		k.proxy.router.CancelTimer(a.startTimer) // else it could still begin, called off or not
	} else if k.decided && !a.conn.closed {
		// Its client is gone or has its end. What the network takes later would begin for nobody; heads can't be taken back
		// one by one, as each says what the next may leave out, so a connection that goes on standing still is dropped.
		k.proxy.router.CancelTimer(a.startTimer)
		a.startTimer = k.proxy.router.After(min(stalledConnGrace, max(a.sub.BeginDeadline()-k.proxy.router.Now(), 0)), a.startTimedOut)
	}
	for i, o := range k.attempts {
		if o == a {
			k.attempts = append(k.attempts[:i], k.attempts[i+1:]...)
			break
		}
	}
	if a.conn != nil {
		a.conn.removeAttempt(a, http2.ErrCodeCancel)
	} else {
		k.proxy.pool.CancelRequest(a.serverIndex, a)
	}
	if k.ended || k.answered != a && k.committed != a && !(a.reported && a.result.Outcome == policy.Answered) {
		a.discardResponse()
	}
	if !k.ended {
		k.creditClient()
	}
}

// discardResponse lets go of what has come of the response.
func (a *attempt) discardResponse() {
	a.call.addBuffered(-a.response.size())
	a.response = byteQueue{start: a.response.end, end: a.response.end}
	a.deliveredOffset = a.response.end
}
