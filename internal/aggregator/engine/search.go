package engine

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
	"strings"

	"kestrelspread/internal/must"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// client is a connection on which searches come, one at a time.
type client struct {
	conn           transport.Conn
	parser         protocol.HTTP
	ownsBuffer     bool    // its request has a buffer of its own
	sharesBuffer   bool    // or the one that all share within an event
	search         *search // that waits for its answer
	pipelined      []byte  // what came before it has gone out, and when
	pipelinedAt    float64
	closeAfter     bool // no more is taken on it
	finishing      bool // only waits for the other side to close
	closed         bool
	sentRequest    bool // it has sent a whole request
	idleSince      float64
	requestBegunAt float64 // when the request at hand began; the first one counts from connecting
	lastReceivedAt float64
	finishingSince float64
	timer          *timer
	writeOffset    int64 // bytes given to be written, and written so far
	writtenOffset  int64
}

func (client *client) idle() bool {
	return client.search == nil && !client.finishing && !client.closed && !client.parser.Begun() && len(client.pipelined) == 0
}

// deadline ends at a time, unless something happens before.
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

// armClientTimer has a connection looked at when patience with it ends. One timer is enough, and it may come too soon.
func (e *Engine) armClientTimer(client *client) {
	at := client.deadline()
	if client.timer != nil && client.timer.heapIndex >= 0 && client.timer.at <= at {
		return
	}
	e.timers.drop(client.timer)
	if client.timer = nil; !math.IsInf(at, 1) {
		client.timer = e.timers.add(at, func(e *Engine) { e.clientTimedOut(client) })
	}
}

func (e *Engine) clientTimedOut(client *client) {
	switch {
	case client.closed:
	case e.now < client.deadline():
		e.armClientTimer(client)
	case e.now > client.timer.at+stallAfter: // what it sent meanwhile may be unread yet
		client.timer = e.after(stallAfter, func(e *Engine) { e.clientTimedOut(client) })
	case client.finishing || client.parser.Begun():
		if !client.finishing {
			client.closeAfter = true
			e.rejectRequest(client, &protocol.Bad{Status: 408, Why: "half a request"})
			return
		}
		e.dropClient(client)
	case client.writeOffset > client.writtenOffset: // it does not read: what waits for it is memory
		e.Count.WriteTimeouts++
		e.dropClient(client)
	case !client.sentRequest:
		e.Count.Silent++
		e.dropClient(client)
	default:
		e.Count.Idle++
		e.dropClient(client)
	}
}

// dropClient ends a connection at once.
func (e *Engine) dropClient(client *client) {
	e.close(client.conn)
	e.clientClosed(client)
	e.resumeAccepting()
}

// search is what a client waits for; part is what is asked of one shard.
type search struct {
	index     int
	id        string
	query     []byte
	token     []byte // what its client said a repeat is known by
	deadline  float64
	client    *client // nil once it has its answer or has gone
	requests  []*shardRequest
	ended     bool
	forgotten bool
	timer     *timer
	carrier   Carrier // of a further front, with its own carrier
	usage     usageRecord
	metered   bool
	complete  bool
}

type shardRequest struct {
	index    int
	search   *search
	id       string
	shard    int
	attempts []*attempt
	value    []byte
	hasValue bool // its value is here
	reported bool // and the module knows
}

// parsedRequest is a part of a body that may yet prove to be broken.
type parsedRequest struct {
	shard       int
	share, work float64
	key         uint64
}

// Accepted implements transport.Handler: a client has connected.
func (e *Engine) Accepted(conn transport.Conn) {
	e.Count.Accepted++
	e.sockets++
	if door := e.network.Door(conn); door > 0 {
		e.fronts[door-1].Accepted(conn)
		return
	}
	e.clients++
	client := &client{conn: conn, requestBegunAt: e.now, lastReceivedAt: e.now, idleSince: e.now}
	*e.endpoint(conn) = endpoint{client: client}
	e.silentClients = append(compactIdle(e.silentClients, e.clients), idleClient{client, e.now})
	e.armClientTimer(client)
	if e.clients >= e.maxClients() {
		e.pauseAccepting("%d client connections", e.clients)
	}
}

// maxClients leaves descriptors for servers, two for each.
func (e *Engine) maxClients() int {
	lanes := min(max(minServerDescriptors, 2*len(e.list.indexOf)), e.config.maxDescriptors/2)
	return max(e.config.maxDescriptors-spareSockets-lanes, 1)
}

// AcceptFailed implements transport.Handler: no descriptor was left for a client.
func (e *Engine) AcceptFailed() { e.pauseAccepting("no descriptor, %d held", e.sockets) }

// pauseAccepting stops accepting: who has connected and is not accepted waits, who has been idle gives way, and answers
// end their connections until there is room. A connection just accepted is never closed for another: its
// search is on the way.
func (e *Engine) pauseAccepting(why string, args ...any) {
	if !e.accepting || e.listenersClosed {
		return
	}
	e.accepting = false
	e.Count.Paused++
	e.log.warn("accepting paused", why, args...)
	e.network.Accept(false)
	e.evictClients()
}

// evictClients has some give way at once, or looks again soon.
func (e *Engine) evictClients() {
	e.outOfDescriptors = true
	for range max(int(evictShare*float64(e.maxClients())), 1) {
		if !e.evictClient() {
			break
		}
		e.outOfDescriptors = false
	}
	if !e.outOfDescriptors {
		e.resumeAccepting()
	}
	if e.accepting || e.evicting {
		return // one who looks again is enough, however often accepting starts and stops
	}
	e.evicting = true
	e.after(acceptRetryDelay, func(e *Engine) {
		e.evicting = false
		if e.resumeAccepting(); !e.accepting && !e.listenersClosed {
			e.evictClients()
		}
	})
}

func (e *Engine) resumeAccepting() {
	if !e.accepting && !e.listenersClosed && e.clients < e.maxClients() {
		e.accepting, e.outOfDescriptors = true, false
		e.network.Accept(true)
	}
}

// markIdle puts a connection last in the order in which idle ones give way.
func (e *Engine) markIdle(client *client) {
	client.idleSince = e.now
	e.idleClients = append(compactIdle(e.idleClients, e.clients), idleClient{client, e.now})
}

// compactIdle drops those of a list that rest no more, once there are many.
func compactIdle(list []idleClient, clients int) []idleClient {
	if len(list) <= 64 || len(list) <= 4*clients {
		return list
	}
	kept := list[:0]
	for _, idle := range list {
		if idle.still() {
			kept = append(kept, idle)
		}
	}
	clear(list[len(kept):])
	return kept
}

type idleClient struct {
	client *client
	since  float64
}

func (idle idleClient) still() bool { return idle.client.idleSince == idle.since && idle.client.idle() }

// firstIdle takes out the first of a list that has rested for so long, if there is one.
func (e *Engine) firstIdle(list *[]idleClient, least float64) *client {
	for len(*list) > 0 {
		idle := (*list)[0]
		if idle.still() && e.now < idle.since+least {
			return nil
		}
		*list = (*list)[1:]
		if idle.still() && idle.client.writeOffset == idle.client.writtenOffset {
			return idle.client
		}
	}
	return nil
}

// evictClient frees a descriptor at once: who has never said anything goes first.
func (e *Engine) evictClient() bool {
	client := e.firstIdle(&e.silentClients, minSilenceBeforeEvict)
	if client == nil {
		client = e.firstIdle(&e.idleClients, minIdleBeforeEvict)
	}
	if client == nil {
		return false
	}
	e.Count.Evicted++
	e.close(client.conn)
	e.clientClosed(client)
	return true
}

// clientBytes reads requests. While one waits for its answer, what comes is kept, up to one buffer. A request that
// comes in one piece needs no buffer of its own: however many others stop halfway, it is taken.
func (e *Engine) clientBytes(client *client, b []byte, came float64) {
	client.lastReceivedAt = e.now
	for len(b) > 0 && !client.finishing && !client.closed {
		if client.search != nil {
			if client.pipelined == nil {
				if client.pipelined = e.takeBuffer(); client.pipelined == nil {
					client.closeAfter = true
					return
				}
			}
			client.pipelinedAt = came
			n := min(cap(client.pipelined)-len(client.pipelined), len(b))
			client.pipelined = append(client.pipelined, b[:n]...)
			if len(client.pipelined) == cap(client.pipelined) {
				e.network.Reading(client.conn, false)
			}
			if n < len(b) {
				client.closeAfter = true // it sends without waiting, more than is kept: what is cut off is not taken
			}
			return
		}
		if !client.ownsBuffer && !client.sharesBuffer {
			client.sharesBuffer = true
			client.parser.Store(e.sharedBuffer)
		}
		used, step, err := client.parser.Feed(b)
		b = b[used:]
		switch {
		case err != nil:
			client.closeAfter = true // where the next message begins is no longer sure
			e.rejectRequest(client, err)
		case step == protocol.Headed:
			if expects, n := client.parser.Header("expect"); n > 0 {
				if !strings.EqualFold(string(expects), "100-continue") {
					client.closeAfter = true
					e.rejectRequest(client, &protocol.Bad{Status: 417, Why: "an expectation that is not known"})
				} else if len(b) == 0 {
					e.writeToClient(client, []byte(protocol.Continue))
				}
			}
		case step == protocol.Done:
			client.sentRequest = true
			client.closeAfter = client.closeAfter || client.parser.Last()
			e.handleRequest(client, came)
		}
	}
	e.storePartial(client)
}

// storePartial finds what has come in part a buffer of its own, and gives back one that is not needed.
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
		client.parser.Move(buf)
		if client.sharesBuffer, client.ownsBuffer = false, true; client.sentRequest {
			client.requestBegunAt = e.now
		}
		e.armClientTimer(client)
	}
}

// takeBuffer gives a buffer for what has come in part, or nil: some must be left for servers and answers.
func (e *Engine) takeBuffer() []byte {
	if e.partialBuffers >= max(e.pool.Most/partialBufferDivisor, 1) {
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

func (e *Engine) returnBuffer(buf []byte) {
	e.partialBuffers--
	e.pool.Put(buf)
}

func (e *Engine) releaseRequest(client *client) {
	switch {
	case client.ownsBuffer:
		client.ownsBuffer = false
		e.returnBuffer(client.parser.Store(nil))
	case client.sharesBuffer:
		client.sharesBuffer = false
		client.parser.Store(nil)
	}
}

// resumeClient goes on with what came while a search was held.
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

func (e *Engine) handleRequest(client *client, came float64) {
	path := string(client.parser.Path())
	switch {
	case path == "/ready" && client.parser.Is("GET"):
		if e.stopping || e.list.ready == 0 {
			e.respond(client, 503, 0, nil)
			return
		}
		e.respond(client, 200, 0, []byte("ready\n"))
	case path == "/api" && client.parser.Is("POST"):
		if err := e.acceptSearch(client, came); err != nil {
			e.rejectRequest(client, err)
		}
	case path == "/api" || path == "/ready":
		e.rejectRequest(client, &protocol.Bad{Status: 405, Why: "method not allowed"})
	default:
		e.rejectRequest(client, &protocol.Bad{Status: 404, Why: "no such path"})
	}
}

func badRequest(why string) error { return &protocol.Bad{Status: 400, Why: why} }

// acceptSearch takes a search, once all of it has proved sound.
func (e *Engine) acceptSearch(client *client, came float64) error {
	id, ids := client.parser.Header("x-call-id")
	class, classes := client.parser.Header("x-call-class")
	budgetText, budgets := client.parser.Header("x-budget-ms")
	budget, err := strconv.ParseUint(string(budgetText), 10, 32)
	kind, known := e.config.kinds[string(class)]
	switch {
	case ids != 1 || len(id) == 0 || len(id) > 128 || !printable(id):
		return badRequest("no id")
	case classes != 1 || !known:
		return badRequest("no known query type")
	case e.config.twoPhase[kind]:
		// An answer from its first step alone would be under its floor, or be marked whole though it is not.
		return &protocol.Bad{Status: 501, Why: "a query type with a second step, which is not spoken here"}
	case e.searchByID[string(id)] != nil:
		return &protocol.Bad{Status: 409, Why: "a search with this id is open"}
	case budgets != 1 || err != nil || budget == 0 || budget > 24*3600*1000:
		return badRequest("no sound budget")
	}
	token, tokens := client.parser.Header("idempotency-key")
	if tokens > 1 || len(token) > 128 || !printable(token) || bytes.IndexByte(token, ',') >= 0 {
		return badRequest("no sound idempotency key")
	}
	customer := unknownCustomer
	if name, n := client.parser.Header("x-caller"); n > 0 {
		customer = e.Customer(string(name))
	}
	e.parsed = e.parsed[:0]
	text, sum, err := protocol.Search(client.parser.Body(), e.config.shards, func(shard int, share, work float64, key uint64) {
		e.parsed = append(e.parsed, parsedRequest{shard, share, work, key})
	})
	if err != nil {
		return err
	}
	e.shardMark++
	for _, parsed := range e.parsed {
		if parsed.shard >= len(e.shardMarks) {
			e.shardMarks = append(e.shardMarks, make([]int64, parsed.shard+1-len(e.shardMarks))...)
		}
		if e.shardMarks[parsed.shard] == e.shardMark {
			return badRequest("a segment stands there twice")
		}
		e.shardMarks[parsed.shard] = e.shardMark
	}
	e.Count.Searches++
	// What a broker that is told to stop still takes, it has to end before it is killed.
	until := min(came+float64(budget), e.killAt-answerBeforeKill)
	search := &search{id: string(id), query: append([]byte(nil), text...), token: append([]byte(nil), token...), deadline: until, client: client,
		usage: usageRecord{kind: kind, customer: customer, bytesIn: int64(len(client.parser.Body()))}}
	client.search = search
	e.searchByID[search.id] = search
	if e.config.maxPending > 0 && e.pending >= e.config.maxPending {
		e.Count.OverPending++
		e.releaseRequest(client)
		e.endSearch(search, 503, e.policy.RetryAfter(kind), nil)
		return nil
	}
	key := protocol.Key(client.parser.Cookie("k"))
	mark, marks := client.parser.Header("x-again")
	again := marks == 1 && string(mark) == "1"
	e.releaseRequest(client)
	e.submitSearch(search, kind, customer, sum, key)
	if again {
		e.policy.MarkRetry(search.index)
	}
	return nil
}

// submitSearch hands a sound search with its drafts to the module.
func (e *Engine) submitSearch(search *search, kind, customer int, sum float64, key uint64) {
	e.openSearches++
	e.pending += 1 + len(e.parsed)
	search.index = e.newIndex(indexEntry{search: search})
	e.policy.Search(search.index, kind, customer, search.deadline, len(e.parsed))
	for _, parsed := range e.parsed {
		search.usage.work += parsed.work / 1000
		req := &shardRequest{search: search, shard: parsed.shard, id: search.id + "." + strconv.Itoa(parsed.shard)}
		req.index = e.newIndex(indexEntry{request: req})
		search.requests = append(search.requests, req)
		if parsed.key == 0 && key != 0 {
			parsed.key = mixKey(key, parsed.shard)
		}
		e.policy.ShardRequest(search.index, req.index, parsed.shard, parsed.share/sum, parsed.work, parsed.key)
	}
	e.armSearchTimer(search)
}

// armSearchTimer has a search ended whatever the module does.
func (e *Engine) armSearchTimer(search *search) {
	search.timer = e.timers.add(search.deadline+searchOverdueAfter, func(e *Engine) {
		search.timer = e.after(1, func(e *Engine) { // the module comes first: this turn may be the first after a stall
			if must.Hold(search.ended, "the module ends a search in its time"); !search.ended {
				e.endSearch(search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, search)
			}
		})
	})
}

// mixKey stands for what a search is about and a shard: the same at every broker.
func mixKey(key uint64, shard int) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), uint64(shard)))
	return h.Sum64()
}

// printable: what goes into the line of a frame has no spaces and no controls.
func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return true
}

// Answer implements policy.Out: a search is answered from the parts that are in.
func (e *Engine) Answer(at int, allIn bool) {
	search := e.entries[at].search
	search.complete = allIn
	if search.carrier != nil {
		if allIn {
			e.Count.Complete++
		} else {
			e.Count.Partial++
		}
		e.endedSearches = append(e.endedSearches, search)
		e.endSearch(search, 200, 0, nil)
		return
	}
	e.body = protocol.AppendAnswer(e.body[:0], allIn)
	for _, req := range search.requests {
		if req.reported {
			e.body = protocol.AppendMatch(e.body, req.shard, req.value)
		}
	}
	e.body = protocol.EndAnswer(e.body)
	e.endedSearches = append(e.endedSearches, search)
	if len(e.body) > protocol.MaxBody { // no client has to take such a body
		e.Count.TooLong++
		e.log.warn("answer too long", "%d bytes of values", len(e.body))
		e.endSearch(search, 500, 0, nil)
		return
	}
	if allIn {
		e.Count.Complete++
	} else {
		e.Count.Partial++
	}
	e.endSearch(search, 200, 0, e.body)
}

// Shed implements policy.Out: a search is refused, with advice when to ask again (0: none).
func (e *Engine) Shed(at int, comeBack float64) {
	e.Count.Shed++
	e.endSearch(e.entries[at].search, 503, comeBack, nil)
}

// Fail implements policy.Out: a search ends in error.
func (e *Engine) Fail(at int) {
	e.Count.Errored++
	e.endSearch(e.entries[at].search, 500, 0, nil)
}

// endSearch gives a search its one final answer.
func (e *Engine) endSearch(search *search, status int, back float64, body []byte) {
	must.Hold(!search.ended, "one final answer")
	if search.ended {
		return
	}
	switch {
	case status == 200 && search.complete:
		search.usage.result = Complete
	case status == 200:
		search.usage.result = Partial
	case status == 503:
		search.usage.result = Shed
	default:
		search.usage.result = Failed
	}
	search.usage.bytesOut = int64(len(body))
	e.releaseSearch(search)
	if search.carrier != nil {
		e.answerCarrier(search, status, back)
	} else if client := search.client; client != nil {
		search.client, client.search = nil, nil
		e.respond(client, status, back, body)
	}
}

func (e *Engine) releaseSearch(search *search) {
	search.ended = true
	e.timers.drop(search.timer)
	if search.id != "" {
		delete(e.searchByID, search.id)
	}
	search.usage.answeredAt = e.now
	if len(search.requests) == 0 {
		e.recordUsage(search) // it never came to the module, which forgets the others
		return
	}
	e.openSearches--
	e.pending--
	for _, req := range search.requests {
		if !req.reported {
			e.pending--
		}
		for _, attempt := range req.attempts {
			// Nobody waits for it: a frame that the network has not begun to take is not to begin.
			if attempt.state == stateSent && attempt.batch != nil && attempt.batch == attempt.batch.conn.lastBatch && e.retractBatch(attempt.batch.conn) {
				e.writeNextBatch(attempt.batch.conn)
			}
		}
	}
}

func (e *Engine) rejectRequest(client *client, err error) {
	e.Count.BadRequests++
	status := 400
	var bad *protocol.Bad
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
	if e.armClientTimer(client); last {
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
