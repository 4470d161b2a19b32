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
	f        *Front
	c        *client
	s        *h2.Stream
	route    *routes.Route
	rules    *Rules // those that it began under
	customer int
	until    float64
	head     []h2.Field
	q        *engine.Search

	req      queue
	reqScan  grpcwire.MessageScanner
	reqEnd   bool
	credited int64 // of what has come, told to the client as room

	attempts []*attempt // not over
	winner   *attempt   // whose bytes reach the client
	answered *attempt   // that the module counts as the answer, where none was committed before
	last     *attempt   // the latest that ended otherwise
	final    bool       // the one final answer is given, or nobody waits for it
	trailers []h2.Field // that end what goes to the client
	told     bool       // the client's side has its end
	owes     bool
	timer    engine.Timer
}

// queue holds bytes from a place on. What was given out is not changed: pieces are let go of whole.
type queue struct {
	pieces [][]byte
	from   int64
	to     int64
}

func (q *queue) add(b []byte) {
	q.to += int64(len(b))
	if n := len(q.pieces); n > 0 {
		if last := q.pieces[n-1]; cap(last)-len(last) >= len(b) {
			q.pieces[n-1] = append(last, b...)
			return
		}
		// A body that comes byte by byte must not cost a slice for each.
		q.pieces = append(q.pieces, append(make([]byte, 0, max(len(b), pieceLeast)), b...))
		return
	}
	q.pieces = append(q.pieces, append([]byte(nil), b...))
}

// at gives what stands at a place, at most so many bytes of it.
func (q *queue) at(place int64, most int) []byte {
	skip := place - q.from
	for _, p := range q.pieces {
		if skip < int64(len(p)) {
			return p[skip:min(int64(len(p)), skip+int64(most))]
		}
		skip -= int64(len(p))
	}
	return nil
}

// drop lets go of whole pieces before a place, and tells how many bytes that frees.
func (q *queue) drop(place int64) (freed int) {
	for len(q.pieces) > 0 && q.from+int64(len(q.pieces[0])) <= place {
		n := len(q.pieces[0])
		q.pieces[0] = nil
		q.pieces = q.pieces[1:]
		q.from += int64(n)
		freed += n
	}
	if len(q.pieces) == 0 {
		q.pieces = nil
	}
	return freed
}

const (
	pieceLeast  = 1 << 10
	standsStill = 200. // ms
)

func (q *queue) size() int { return int(q.to - q.from) }

// hold accounts for bytes of the call, and tells whether there is room for them: at this broker, and for its connection, so
// that one client does not take what is for all.
func (k *call) hold(n int) bool {
	k.c.held += n
	must.Hold(k.c.held >= 0, "what a client holds is accounted for")
	return k.f.hold(n) && k.c.held <= k.rules.Limits.HeldPerConn
}

// start makes a search of the call.
func (k *call) start(shard int, look routes.Lookup) {
	pieces := [1]engine.ShardRequest{{Shard: shard, Share: 1, Work: k.route.WorkHint, Key: k.route.AffinityHash(look)}}
	q := k.f.r.StartSearch(k.route.QueryType, k.customer, k.until, grpcwire.IsRetry(look), pieces[:], k)
	if k.q = q; !k.final && !k.reqEnd {
		k.f.r.ClientSending(q, true)
	}
}

// mind has the call ended in time, whatever else goes wrong: also where its last bytes wait for a window that its client
// never opens, or the broker is to be killed sooner.
func (k *call) mind() {
	k.f.r.CancelTimer(k.timer)
	k.timer = k.f.r.After(max(min(k.until-lastCall, k.f.killed)-k.f.r.Now(), 0), func() {
		if k.told {
			return
		}
		if k.f.r.Now() < k.until-timeIsUp {
			k.f.Count.Stopped++
			k.finish(grpcwire.Unavailable, "the broker is stopping", -1)
			return
		}
		k.f.Count.Expired++
		k.finish(grpcwire.DeadlineExceeded, "the client's time is up", 0)
	})
}

// fromClient takes what the client sends.
func (k *call) fromClient(b []byte, end bool) {
	if k.told {
		return
	}
	switch k.reqScan.Feed(b, k.route.MaxMessageBytes) {
	case grpcwire.MessageOverLimit:
		k.f.Count.TooLong++
		k.finish(grpcwire.ResourceExhausted, "the message is over the limit", -1)
		return
	case grpcwire.InvalidFlag:
		k.f.Count.Unsound++
		k.finish(grpcwire.Internal, "no gRPC message", -1)
		return
	}
	if end && !k.reqScan.AtBoundary() {
		k.f.Count.Unsound++
		k.finish(grpcwire.Internal, "the last message is not whole", -1)
		return
	}
	if len(b) > 0 {
		k.req.add(b)
		if !k.hold(len(b)) {
			// The last guard: what all hold together may not pass the limit, however it came about.
			k.f.Count.OverHeld++
			k.finish(grpcwire.ResourceExhausted, "too much is held", -1)
			return
		}
	}
	if end && !k.reqEnd {
		k.reqEnd = true
		k.f.r.ClientSending(k.q, false)
	}
	k.outgrow()
	for _, a := range k.attempts {
		a.ready()
	}
	k.credit()
}

// outgrow commits the one sub-request that is out once the repeat buffer is full: what is needed to begin another will be
// gone. Where two are out, the one that has got further goes on.
func (k *call) outgrow() {
	if k.winner != nil || k.req.to <= int64(k.route.RetryBufferBytes) {
		return
	}
	var far *attempt
	for _, a := range k.attempts {
		if a.s != nil && (far == nil || a.place > far.place) {
			far = a
		}
	}
	if far != nil && k.f.r.Committed(far.sub, false) {
		k.f.Count.Outgrown++
		k.winner = far
		k.trim()
		if far.s != nil && far.head != nil && k.route.CommitPoint != routes.AtEnd {
			far.release()
		}
	}
}

// gone tells how far all that are out have got: nothing before it is still to go.
func (k *call) gone() int64 {
	if k.winner != nil {
		if k.winner.over {
			return k.req.to
		}
		return k.winner.place
	}
	if len(k.attempts) == 0 {
		return k.req.from
	}
	place := int64(math.MaxInt64)
	for _, a := range k.attempts {
		place = min(place, a.place)
	}
	return place
}

// trim lets go of what no sub-request will need.
func (k *call) trim() {
	if k.winner != nil || k.final {
		if freed := k.req.drop(k.gone()); freed > 0 {
			k.hold(-freed)
		}
	}
}

// credit lets the client send on as what it sent goes out. A server that does not read thus costs its client's window
// and no more; where too much is held here, nobody is given room.
func (k *call) credit() {
	if k.told {
		return
	}
	k.trim()
	due := k.gone() - k.credited
	if due <= 0 {
		return
	}
	if k.f.tight() {
		if !k.owes {
			k.owes = true
			k.f.owing = append(k.f.owing, k)
		}
		return
	}
	k.credited += due
	k.s.Credit(int(due))
	k.f.touch(k.c)
}

// Send begins a sub-request (engine.Call).
func (k *call) Send(s *engine.Attempt) {
	a := &attempt{k: k, sub: s, server: s.Server()}
	k.attempts = append(k.attempts, a)
	k.f.Count.Sent++
	if at := k.f.servers; a.server >= len(at) || !at[a.server].has {
		a.ended(grpcwire.NoAddress)
		return
	}
	if by := s.BeginDeadline(); !math.IsInf(by, 1) {
		a.by = k.f.r.After(by-k.f.r.Now(), a.tooLate)
	}
	k.f.pool.Want(k.f.r.Now(), a.server, a)
}

// Door is where gRPC comes in (engine.Call).
func (k *call) Door() int { return 1 }

// Bytes are those of the client's messages and of the messages that it is given (engine.Call).
func (k *call) Bytes() (in, out int64) {
	if w := k.winner; w != nil {
		out = w.resp.to
	}
	return k.req.to, out
}

// Cancel stops one whose outcome is known (engine.Call).
func (k *call) Cancel(s *engine.Attempt) {
	for _, a := range k.attempts {
		if a.sub == s {
			a.stop()
			return
		}
	}
}

// Final is the module's one final answer (engine.Call).
func (k *call) Final(how engine.Result, back float64) {
	must.Hold(!k.final, "a call has one final answer")
	k.final = true
	if k.told {
		return
	}
	late := k.f.r.Now() >= k.until-timeIsUp
	switch how {
	case engine.Complete, engine.Partial:
		k.f.Count.Answered++
		if k.winner == nil {
			k.winner = k.answered
		}
		if w := k.winner; w != nil {
			w.finish()
			return
		}
		k.finish(grpcwire.Internal, "no answer is there", -1)
	case engine.Shed:
		k.f.Count.Shed++
		k.fail(late, back)
	default:
		k.f.Count.Errored++
		k.fail(late, -1)
	}
}

// fail ends a call that was shed or errored: with what its last server said, if one said anything. -1: asking again is not
// known to be harmless.
func (k *call) fail(late bool, back float64) {
	a := k.winner
	if a == nil || !a.over {
		a = k.last
	}
	switch {
	case late && (a == nil || a != k.winner):
		k.tell(grpcwire.DeadlineExceeded, "the client's time is up", 0)
	case a != nil && a.trailers != nil && a.end.Outcome != policy.Answered:
		// The server's own words, its details included; only the advice is the broker's, who knows what was tried.
		t := make([]h2.Field, 0, len(a.trailers)+1)
		for _, f := range a.trailers {
			if f.Name != "grpc-retry-pushback-ms" && f.Name[0] != ':' && f.Name != "content-type" && f.Name != "content-length" {
				t = append(t, f)
			}
		}
		if _, found := grpcwire.FirstValue(t, "grpc-status"); !found {
			k.tell(a.end.Status, a.end.Message, back)
			return
		}
		// Whoever wants the longer rest has it; a server that wants no repeat at all is not overruled.
		if wish, found := grpcwire.RetryPushback(a.trailers); found && (wish < 0 || back >= 0 && wish > back) {
			back = wish
		}
		if back != 0 {
			t = append(t, grpcwire.AppendTrailers(nil, 0, "", back)[1])
		}
		k.f.Count.Statuses[a.end.Status]++
		k.close(t)
	case a != nil:
		k.f.Count.Statuses[a.end.Status]++
		k.close(grpcwire.AppendTrailers(nil, a.end.Status, a.end.Message, back))
	case back < 0:
		k.tell(grpcwire.Unavailable, "no server answered", back)
	default:
		k.tell(grpcwire.Unavailable, "shed", back)
	}
}

// finish ends a call from here, whatever the module would do: the client broke a limit, or time is up.
func (k *call) finish(code grpcwire.Status, why string, back float64) {
	if !k.final {
		k.final = true
		k.f.Count.Errored++
		if k.q != nil {
			k.f.r.ClientGone(k.q)
		}
	}
	k.tell(code, why, back)
}

func (k *call) tell(code grpcwire.Status, why string, back float64) {
	k.f.Count.Statuses[code]++
	k.cut(grpcwire.AppendTrailers(nil, code, why, back))
}

// close ends the client's side once it has what came before the end.
func (k *call) close(trailers []h2.Field) {
	if w := k.winner; w != nil && w.head != nil && w.given < w.resp.to {
		k.trailers = trailers
		w.release()
		return
	}
	k.cut(trailers)
}

// cut ends the client's side now, whatever still waits to be sent: a status that is not OK tells that it is not whole.
func (k *call) cut(trailers []h2.Field) {
	if k.told {
		return
	}
	if plantLost && !k.s.HeadersSent() {
		k.over()
		return
	}
	if k.s.HeadersSent() {
		k.c.h.EndWithTrailers(k.s, trailers)
	} else {
		k.c.h.Respond(k.s, append(grpcwire.NewResponseHeaders(), trailers...), true, nil)
	}
	k.f.touch(k.c)
	k.over()
}

// left: the client has gone, or given this call up.
func (k *call) left() {
	if k.told {
		return
	}
	if !k.final {
		k.final = true
		k.f.Count.Left++
		if k.q != nil {
			k.f.r.ClientGone(k.q)
		}
	}
	k.over()
}

// over gives back all that a call holds. It comes once, when its client has its end or has gone.
func (k *call) over() {
	must.Hold(!k.told, "a call is over once")
	k.told = true
	k.f.r.CancelTimer(k.timer)
	k.f.open--
	if k.f.byOwner[k.customer]--; k.f.byOwner[k.customer] == 0 {
		delete(k.f.byOwner, k.customer)
	}
	for _, a := range append([]*attempt(nil), k.attempts...) {
		// The module has called them off, as the search is over; one that it counts as answered may still be sending.
		a.stop()
	}
	if w := k.winner; w != nil {
		w.free()
	}
	if a := k.answered; a != nil {
		a.free()
	}
	k.hold(-k.req.size())
	k.req = queue{from: k.req.to, to: k.req.to}
}

// Next gives the client's stream what the winner has brought (h2.Source).
func (k *call) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	w := k.winner
	if w == nil || k.told {
		return nil, false, nil
	}
	if b = w.resp.at(w.given, most); len(b) > 0 {
		w.given += int64(len(b))
		k.hold(-w.resp.drop(w.given))
		w.credit()
	}
	if k.trailers == nil || w.given < w.resp.to {
		return b, false, nil
	}
	k.over()
	return b, true, k.trailers
}

// attempt is one sub-request of a call on its way.
type attempt struct {
	k      *call
	sub    *engine.Attempt
	server int
	l      *line // nil: it waits for its channel
	s      *h2.Stream
	place  int64 // how far of the request it has gone
	start  int64 // of its head in what the connection was given, and its end
	begun  int64
	head   []h2.Field
	resp   queue
	given  int64 // to the client
	owed   int64 // credited
	scan   grpcwire.MessageScanner
	whole  bool // the server has sent all
	over   bool
	end    grpcwire.Result
	said   bool // by its server or its connection, not called off
	// trailers are what the server ended with, nil where it did not
	trailers []h2.Field
	by       engine.Timer // until when it may begin
}

// Next gives the server's stream what the client has sent (h2.Source).
func (a *attempt) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	k := a.k
	if k.outgrow(); a.over {
		return nil, false, nil
	}
	b = k.req.at(a.place, most)
	a.place += int64(len(b))
	end = k.reqEnd && a.place == k.req.to
	if len(b) > 0 {
		k.credit()
	}
	return b, end, nil
}

// tooLate takes back what has not begun in its time; where its head stands in a connection that takes nothing, that is
// the only way to take it back.
func (a *attempt) tooLate() {
	switch {
	case a.s == nil:
		a.ended(grpcwire.NotSent)
	case a.start >= a.l.written:
		a.l.drop("too late to begin")
	}
}

func (a *attempt) ready() {
	if a.s != nil && !a.over {
		a.s.Ready()
		a.k.f.touch(a.l)
	}
}

// fromServer takes a piece of the response.
func (a *attempt) fromServer(b []byte) {
	k := a.k
	if a.over {
		return
	}
	if k.winner != nil && k.winner != a {
		// Two answered at once, and this one was second: it is being called off.
		k.f.Count.LateAnswers++
		return
	}
	if !k.hold(len(b)) {
		k.hold(-len(b))
		k.f.Count.OverHeld++
		a.broken(grpcwire.Result{Status: grpcwire.ResourceExhausted, Message: "too much is held", Outcome: policy.Answered})
		return
	}
	a.resp.add(b)
	switch a.scan.Feed(b, k.route.MaxMessageBytes) {
	case grpcwire.InvalidFlag:
		a.broken(grpcwire.MalformedResponse)
		return
	case grpcwire.MessageOverLimit:
		k.f.Count.TooLong++
		a.broken(grpcwire.MessageTooLarge)
		return
	}
	if k.route.CommitPoint == routes.AtEnd && a.resp.size() <= k.route.ResponseBufferBytes {
		a.credit()
		return
	}
	a.commit()
	if !a.over {
		a.release()
	}
}

// commit makes this the one whose bytes reach the client, if the module says so.
func (a *attempt) commit() {
	k := a.k
	if k.winner != nil {
		return
	}
	if !plantRepeat && !k.f.r.Committed(a.sub, true) {
		k.f.Count.LateAnswers++
		a.stop()
		k.f.r.AttemptEnded(a.sub, policy.Cancelled)
		return
	}
	k.f.Count.Committed++
	k.winner = a
	k.trim()
}

// release lets the client have what has come.
func (a *attempt) release() {
	k := a.k
	if k.told || k.winner != a || a.head == nil {
		return
	}
	if !k.s.HeadersSent() {
		k.c.h.Respond(k.s, a.head, false, k)
	}
	k.s.Ready()
	k.f.touch(k.c)
}

// finish: the module has the answer; the client has it once all has gone out.
func (a *attempt) finish() {
	k := a.k
	if a.end.Outcome == policy.Answered && a.trailers != nil {
		k.f.Count.Statuses[a.end.Status]++
		if a.head == nil { // nothing but a status, as it came
			k.c.h.Respond(k.s, a.trailers, true, nil)
			k.f.touch(k.c)
			k.over()
			return
		}
		k.trailers = a.trailers
		a.release()
		return
	}
	// An answer over this broker's limits: it has run, and is not passed on.
	k.tell(a.end.Status, a.end.Message, -1)
}

// credit lets the server send on as the client takes, or as long as all is held back for the end.
func (a *attempt) credit() {
	if a.s == nil || a.over {
		return
	}
	to := a.given
	if a.k.winner == nil {
		to = a.resp.to // held back for its end, within the route's hold
	}
	if n := to - a.owed; n > 0 {
		a.owed = to
		a.s.Credit(int(n))
		a.k.f.touch(a.l)
	}
}

// status is the server's end.
func (a *attempt) status(trailers []h2.Field) {
	if a.over {
		return
	}
	a.whole = true
	k := a.k
	e := grpcwire.ResultFromTrailers(trailers, k.route.RejectedUnprocessed, a.scan.CompleteMessages)
	a.trailers = trailers
	if e.Outcome == policy.Answered && !a.scan.AtBoundary() {
		e, a.trailers = grpcwire.TruncatedMessage, nil
	}
	if wait, found := grpcwire.RetryPushback(trailers); found && e.Outcome != policy.Answered && k.winner == nil {
		k.f.r.Pushback(a.sub, wait)
	}
	a.ended(e)
}

// broken ends one from this side, for what its server sent.
func (a *attempt) broken(e grpcwire.Result) {
	if e.Outcome != policy.Answered {
		a.k.f.Count.BadServers++
	}
	a.ended(e)
}

// ended tells the module how a sub-request ended. The first word counts.
func (a *attempt) ended(e grpcwire.Result) {
	if a.over {
		return
	}
	k := a.k
	a.end, a.said = e, true
	a.stop()
	switch {
	case e.Outcome == policy.Answered && (k.winner == nil || k.winner == a) && k.answered == nil:
		k.answered = a
	case e.Outcome == policy.Answered && k.winner != a:
		k.f.Count.LateAnswers++
		a.free()
	default:
		k.last = a
		if k.winner != a {
			a.free()
		}
	}
	k.f.r.AttemptEnded(a.sub, e.Outcome)
}

// stop ends the stream, if it is open, and lets go of its place. What has come of its response stays for who answered.
func (a *attempt) stop() {
	if a.over {
		return
	}
	a.over = true
	k := a.k
	if a.s == nil || a.start < a.l.written {
		k.f.r.CancelTimer(a.by) // else it could still begin, called off or not
	} else if k.final && !a.l.gone {
		// Its client is gone or has its end. What the network takes later would begin for nobody; heads can't be taken back
		// one by one, as each says what the next may leave out, so a connection that goes on standing still is dropped.
		k.f.r.CancelTimer(a.by)
		a.by = k.f.r.After(min(standsStill, max(a.sub.BeginDeadline()-k.f.r.Now(), 0)), a.tooLate)
	}
	for i, o := range k.attempts {
		if o == a {
			k.attempts = append(k.attempts[:i], k.attempts[i+1:]...)
			break
		}
	}
	if a.l != nil {
		a.l.end(a, http2.ErrCodeCancel)
	} else {
		k.f.pool.Forget(a.server, a)
	}
	if k.told || k.answered != a && k.winner != a && !(a.said && a.end.Outcome == policy.Answered) {
		a.free()
	}
	if !k.told {
		k.credit()
	}
}

// free lets go of what has come of the response.
func (a *attempt) free() {
	a.k.hold(-a.resp.size())
	a.resp = queue{from: a.resp.to, to: a.resp.to}
	a.given = a.resp.to
}
