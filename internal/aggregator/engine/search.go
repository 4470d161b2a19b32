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
	conn    transport.Conn
	in      protocol.HTTP
	stored  bool    // its request has a buffer of its own
	lent    bool    // or the one that all share within an event
	search  *search // that waits for its answer
	early   []byte  // what came before it has gone out, and when
	earlyAt float64
	last    bool // no more is taken on it
	done    bool // only waits for the other side to close
	gone    bool
	spoke   bool // it has sent a whole request
	idleAt  float64
	begunAt float64 // when the request at hand began; the first one counts from connecting
	heardAt float64
	doneAt  float64
	timer   *timer
	asked   int64 // bytes given to be written, and written so far
	written int64
}

func (c *client) idle() bool {
	return c.search == nil && !c.done && !c.gone && !c.in.Begun() && len(c.early) == 0
}

// patience ends at a time, unless something happens before.
func (c *client) patience() float64 {
	switch {
	case c.done:
		return min(c.heardAt+lingers, c.doneAt+lingerMost)
	case c.asked > c.written:
		return c.idleAt + slowest
	case c.search != nil:
		return math.Inf(1)
	case c.in.Begun():
		return c.begunAt + wholeWithin
	case !c.spoke:
		return c.begunAt + firstByte
	}
	return c.idleAt + idleMost
}

// mind has a connection looked at when patience with it ends. One timer is enough, and it may come too soon.
func (r *Router) mind(c *client) {
	at := c.patience()
	if c.timer != nil && c.timer.pos >= 0 && c.timer.at <= at {
		return
	}
	r.timers.drop(c.timer)
	if c.timer = nil; !math.IsInf(at, 1) {
		c.timer = r.timers.add(at, func(r *Router) { r.weary(c) })
	}
}

func (r *Router) weary(c *client) {
	switch {
	case c.gone:
	case r.now < c.patience():
		r.mind(c)
	case r.now > c.timer.at+stalled: // what it sent meanwhile may be unread yet
		c.timer = r.after(stalled, func(r *Router) { r.weary(c) })
	case c.done || c.in.Begun():
		if !c.done {
			c.last = true
			r.reject(c, &protocol.Bad{Status: 408, Why: "half a request"})
			return
		}
		r.part(c)
	case c.asked > c.written: // it does not read: what waits for it is memory
		r.Count.Stuck++
		r.part(c)
	case !c.spoke:
		r.Count.Silent++
		r.part(c)
	default:
		r.Count.Idle++
		r.part(c)
	}
}

// part ends a connection at once.
func (r *Router) part(c *client) {
	r.close(c.conn)
	r.clientGone(c)
	r.acceptAgain()
}

// search is what a client waits for; part is what is asked of one shard.
type search struct {
	at        int
	id        string
	text      []byte
	mark      []byte // what its client said a repeat is known by
	until     float64
	by        *client // nil once it has its answer or has gone
	parts     []*part
	ended     bool
	forgotten bool
	limit     *timer
	call      Call // of a further front, with its own carrier
	used      usage
	metered   bool
	whole     bool
}

type part struct {
	at    int
	q     *search
	id    string
	shard int
	subs  []*sub
	value []byte
	got   bool // its value is here
	in    bool // and the module knows
}

// draft is a part of a body that may yet prove to be broken.
type draft struct {
	shard       int
	share, work float64
	key         uint64
}

// Accepted implements transport.Handler: a client has connected.
func (r *Router) Accepted(conn transport.Conn) {
	r.Count.Accepted++
	r.sockets++
	if door := r.net.Door(conn); door > 0 {
		r.fronts[door-1].Accepted(conn)
		return
	}
	r.clients++
	c := &client{conn: conn, begunAt: r.now, heardAt: r.now, idleAt: r.now}
	*r.peer(conn) = peer{client: c}
	r.silent = append(keep(r.silent, r.clients), resting{c, r.now})
	r.mind(c)
	if r.clients >= r.clientsMost() {
		r.pause("%d client connections", r.clients)
	}
}

// clientsMost leaves descriptors for servers, two for each.
func (r *Router) clientsMost() int {
	lanes := min(max(lanesLeast, 2*len(r.catalog.index)), r.rules.limit/2)
	return max(r.rules.limit-spareSockets-lanes, 1)
}

// AcceptFailed implements transport.Handler: no descriptor was left for a client.
func (r *Router) AcceptFailed() { r.pause("no descriptor, %d held", r.sockets) }

// pause stops accepting: who has connected and is not accepted waits, who has been idle gives way, and answers
// end their connections until there is room. A connection just accepted is never closed for another: its
// search is on the way.
func (r *Router) pause(why string, args ...any) {
	if !r.accepting || r.leaving {
		return
	}
	r.accepting = false
	r.Count.Paused++
	r.log.warn("accepting paused", why, args...)
	r.net.Accept(false)
	r.relieve()
}

// relieve has some give way at once, or looks again soon.
func (r *Router) relieve() {
	r.crowded = true
	for range max(int(relieved*float64(r.clientsMost())), 1) {
		if !r.giveWay() {
			break
		}
		r.crowded = false
	}
	if !r.crowded {
		r.acceptAgain()
	}
	if r.accepting || r.relieving {
		return // one who looks again is enough, however often accepting starts and stops
	}
	r.relieving = true
	r.after(resume, func(r *Router) {
		r.relieving = false
		if r.acceptAgain(); !r.accepting && !r.leaving {
			r.relieve()
		}
	})
}

func (r *Router) acceptAgain() {
	if !r.accepting && !r.leaving && r.clients < r.clientsMost() {
		r.accepting, r.crowded = true, false
		r.net.Accept(true)
	}
}

// rests puts a connection last in the order in which idle ones give way.
func (r *Router) rests(c *client) {
	c.idleAt = r.now
	r.idle = append(keep(r.idle, r.clients), resting{c, r.now})
}

// keep drops those of a list that rest no more, once there are many.
func keep(list []resting, clients int) []resting {
	if len(list) <= 64 || len(list) <= 4*clients {
		return list
	}
	kept := list[:0]
	for _, k := range list {
		if k.still() {
			kept = append(kept, k)
		}
	}
	clear(list[len(kept):])
	return kept
}

type resting struct {
	c  *client
	at float64
}

func (k resting) still() bool { return k.c.idleAt == k.at && k.c.idle() }

// first takes out the first of a list that has rested for so long, if there is one.
func (r *Router) first(list *[]resting, least float64) *client {
	for len(*list) > 0 {
		k := (*list)[0]
		if k.still() && r.now < k.at+least {
			return nil
		}
		*list = (*list)[1:]
		if k.still() && k.c.asked == k.c.written {
			return k.c
		}
	}
	return nil
}

// giveWay frees a descriptor at once: who has never said anything goes first.
func (r *Router) giveWay() bool {
	c := r.first(&r.silent, mute)
	if c == nil {
		c = r.first(&r.idle, idleLeast)
	}
	if c == nil {
		return false
	}
	r.Count.GaveWay++
	r.close(c.conn)
	r.clientGone(c)
	return true
}

// clientBytes reads requests. While one waits for its answer, what comes is kept, up to one buffer. A request that
// comes in one piece needs no buffer of its own: however many others stop halfway, it is taken.
func (r *Router) clientBytes(c *client, b []byte, came float64) {
	c.heardAt = r.now
	for len(b) > 0 && !c.done && !c.gone {
		if c.search != nil {
			if c.early == nil {
				if c.early = r.half(); c.early == nil {
					c.last = true
					return
				}
			}
			c.earlyAt = came
			n := min(cap(c.early)-len(c.early), len(b))
			c.early = append(c.early, b[:n]...)
			if len(c.early) == cap(c.early) {
				r.net.Reading(c.conn, false)
			}
			if n < len(b) {
				c.last = true // it sends without waiting, more than is kept: what is cut off is not taken
			}
			return
		}
		if !c.stored && !c.lent {
			c.lent = true
			c.in.Store(r.work)
		}
		used, step, err := c.in.Feed(b)
		b = b[used:]
		switch {
		case err != nil:
			c.last = true // where the next message begins is no longer sure
			r.reject(c, err)
		case step == protocol.Headed:
			if expects, n := c.in.Header("expect"); n > 0 {
				if !strings.EqualFold(string(expects), "100-continue") {
					c.last = true
					r.reject(c, &protocol.Bad{Status: 417, Why: "an expectation that is not known"})
				} else if len(b) == 0 {
					r.write(c, []byte(protocol.Continue))
				}
			}
		case step == protocol.Done:
			c.spoke = true
			c.last = c.last || c.in.Last()
			r.request(c, came)
		}
	}
	r.settle(c)
}

// settle finds what has come in part a buffer of its own, and gives back one that is not needed.
func (r *Router) settle(c *client) {
	switch {
	case !c.in.Begun():
		r.unstore(c)
	case c.lent:
		buf := r.half()
		if buf == nil {
			c.last = true
			r.respond(c, 503, 0, nil)
			r.unstore(c)
			return
		}
		c.in.Move(buf)
		if c.lent, c.stored = false, true; c.spoke {
			c.begunAt = r.now
		}
		r.mind(c)
	}
}

// half gives a buffer for what has come in part, or nil: some must be left for servers and answers.
func (r *Router) half() []byte {
	if r.halves >= max(r.pool.Most/halvesMost, 1) {
		r.Count.NoBuffer++
		return nil
	}
	buf := r.pool.Get()
	if buf == nil {
		r.Count.NoBuffer++
		return nil
	}
	r.halves++
	return buf
}

func (r *Router) unhalf(buf []byte) {
	r.halves--
	r.pool.Put(buf)
}

func (r *Router) unstore(c *client) {
	switch {
	case c.stored:
		c.stored = false
		r.unhalf(c.in.Store(nil))
	case c.lent:
		c.lent = false
		c.in.Store(nil)
	}
}

// feedHeld goes on with what came while a search was held.
func (r *Router) feedHeld(c *client) {
	if c.gone || c.done || c.search != nil || c.early == nil {
		return
	}
	early := c.early
	c.early = nil
	r.net.Reading(c.conn, true)
	r.clientBytes(c, early, c.earlyAt)
	r.unhalf(early)
}

func (r *Router) request(c *client, came float64) {
	path := string(c.in.Path())
	switch {
	case path == "/ready" && c.in.Is("GET"):
		if r.stopping || r.catalog.ready == 0 {
			r.respond(c, 503, 0, nil)
			return
		}
		r.respond(c, 200, 0, []byte("ready\n"))
	case path == "/api" && c.in.Is("POST"):
		if err := r.search(c, came); err != nil {
			r.reject(c, err)
		}
	case path == "/api" || path == "/ready":
		r.reject(c, &protocol.Bad{Status: 405, Why: "method not allowed"})
	default:
		r.reject(c, &protocol.Bad{Status: 404, Why: "no such path"})
	}
}

func badRequest(why string) error { return &protocol.Bad{Status: 400, Why: why} }

// search takes a search, once all of it has proved sound.
func (r *Router) search(c *client, came float64) error {
	id, ids := c.in.Header("x-call-id")
	class, classes := c.in.Header("x-call-class")
	budgetText, budgets := c.in.Header("x-budget-ms")
	budget, err := strconv.ParseUint(string(budgetText), 10, 32)
	kind, known := r.rules.kinds[string(class)]
	switch {
	case ids != 1 || len(id) == 0 || len(id) > 128 || !plain(id):
		return badRequest("no id")
	case classes != 1 || !known:
		return badRequest("no known query type")
	case r.rules.second[kind]:
		// An answer from its first step alone would be under its floor, or be marked whole though it is not.
		return &protocol.Bad{Status: 501, Why: "a query type with a second step, which is not spoken here"}
	case r.open[string(id)] != nil:
		return &protocol.Bad{Status: 409, Why: "a search with this id is open"}
	case budgets != 1 || err != nil || budget == 0 || budget > 24*3600*1000:
		return badRequest("no sound budget")
	}
	token, tokens := c.in.Header("idempotency-key")
	if tokens > 1 || len(token) > 128 || !plain(token) || bytes.IndexByte(token, ',') >= 0 {
		return badRequest("no sound idempotency key")
	}
	customer := nobody
	if name, n := c.in.Header("x-caller"); n > 0 {
		customer = r.Customer(string(name))
	}
	r.drafts = r.drafts[:0]
	text, sum, err := protocol.Search(c.in.Body(), r.rules.shards, func(shard int, share, work float64, key uint64) {
		r.drafts = append(r.drafts, draft{shard, share, work, key})
	})
	if err != nil {
		return err
	}
	r.mark++
	for _, d := range r.drafts {
		if d.shard >= len(r.marks) {
			r.marks = append(r.marks, make([]int64, d.shard+1-len(r.marks))...)
		}
		if r.marks[d.shard] == r.mark {
			return badRequest("a segment stands there twice")
		}
		r.marks[d.shard] = r.mark
	}
	r.Count.Searches++
	// What a broker that is told to stop still takes, it has to end before it is killed.
	until := min(came+float64(budget), r.killed-lastWord)
	q := &search{id: string(id), text: append([]byte(nil), text...), mark: append([]byte(nil), token...), until: until, by: c,
		used: usage{kind: kind, customer: customer, in: int64(len(c.in.Body()))}}
	c.search = q
	r.open[q.id] = q
	if r.rules.most > 0 && r.held >= r.rules.most {
		r.Count.OverHeld++
		r.unstore(c)
		r.end(q, 503, r.port.RetryAfter(kind), nil)
		return nil
	}
	key := protocol.Key(c.in.Cookie("k"))
	mark, marks := c.in.Header("x-again")
	again := marks == 1 && string(mark) == "1"
	r.unstore(c)
	r.enlist(q, kind, customer, sum, key)
	if again {
		r.port.MarkRetry(q.at)
	}
	return nil
}

// enlist hands a sound search with its drafts to the module.
func (r *Router) enlist(q *search, kind, customer int, sum float64, key uint64) {
	r.searches++
	r.held += 1 + len(r.drafts)
	q.at = r.take(slot{search: q})
	r.port.Search(q.at, kind, customer, q.until, len(r.drafts))
	for _, d := range r.drafts {
		q.used.work += d.work / 1000
		p := &part{q: q, shard: d.shard, id: q.id + "." + strconv.Itoa(d.shard)}
		p.at = r.take(slot{part: p})
		q.parts = append(q.parts, p)
		if d.key == 0 && key != 0 {
			d.key = mixed(key, d.shard)
		}
		r.port.ShardRequest(q.at, p.at, d.shard, d.share/sum, d.work, d.key)
	}
	r.limit(q)
}

// limit has a search ended whatever the module does.
func (r *Router) limit(q *search) {
	q.limit = r.timers.add(q.until+overdue, func(r *Router) {
		q.limit = r.after(1, func(r *Router) { // the module comes first: this turn may be the first after a stall
			if must.Hold(q.ended, "the module ends a search in its time"); !q.ended {
				r.end(q, 500, 0, nil)
				r.lapses = append(r.lapses, q)
			}
		})
	})
}

// mixed stands for what a search is about and a shard: the same at every broker.
func mixed(key uint64, shard int) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), uint64(shard)))
	return h.Sum64()
}

// plain: what goes into the line of a frame has no spaces and no controls.
func plain(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return true
}

// Answer implements policy.Out: a search is answered from the parts that are in.
func (r *Router) Answer(at int, allIn bool) {
	q := r.slots[at].search
	q.whole = allIn
	if q.call != nil {
		if allIn {
			r.Count.Whole++
		} else {
			r.Count.Partial++
		}
		r.lapses = append(r.lapses, q)
		r.end(q, 200, 0, nil)
		return
	}
	r.body = protocol.AppendAnswer(r.body[:0], allIn)
	for _, p := range q.parts {
		if p.in {
			r.body = protocol.AppendMatch(r.body, p.shard, p.value)
		}
	}
	r.body = protocol.EndAnswer(r.body)
	r.lapses = append(r.lapses, q)
	if len(r.body) > protocol.MaxBody { // no client has to take such a body
		r.Count.TooLong++
		r.log.warn("answer too long", "%d bytes of values", len(r.body))
		r.end(q, 500, 0, nil)
		return
	}
	if allIn {
		r.Count.Whole++
	} else {
		r.Count.Partial++
	}
	r.end(q, 200, 0, r.body)
}

// Shed implements policy.Out: a search is refused, with advice when to ask again (0: none).
func (r *Router) Shed(at int, comeBack float64) {
	r.Count.Shed++
	r.end(r.slots[at].search, 503, comeBack, nil)
}

// Fail implements policy.Out: a search ends in error.
func (r *Router) Fail(at int) {
	r.Count.Errored++
	r.end(r.slots[at].search, 500, 0, nil)
}

// end gives a search its one final answer.
func (r *Router) end(q *search, status int, back float64, body []byte) {
	must.Hold(!q.ended, "one final answer")
	if q.ended {
		return
	}
	switch {
	case status == 200 && q.whole:
		q.used.how = Whole
	case status == 200:
		q.used.how = Partial
	case status == 503:
		q.used.how = Shed
	default:
		q.used.how = Failed
	}
	q.used.out = int64(len(body))
	r.release(q)
	if q.call != nil {
		r.finalTo(q, status, back)
	} else if c := q.by; c != nil {
		q.by, c.search = nil, nil
		r.respond(c, status, back, body)
	}
}

func (r *Router) release(q *search) {
	q.ended = true
	r.timers.drop(q.limit)
	if q.id != "" {
		delete(r.open, q.id)
	}
	q.used.at = r.now
	if len(q.parts) == 0 {
		r.meterSearch(q) // it never came to the module, which forgets the others
		return
	}
	r.searches--
	r.held--
	for _, p := range q.parts {
		if !p.in {
			r.held--
		}
		for _, s := range p.subs {
			// Nobody waits for it: a frame that the network has not begun to take is not to begin.
			if s.state == out && s.call != nil && s.call == s.call.lane.last && r.unbegin(s.call.lane) {
				r.pump(s.call.lane)
			}
		}
	}
}

func (r *Router) reject(c *client, err error) {
	r.Count.BadRequests++
	status := 400
	var bad *protocol.Bad
	if errors.As(err, &bad) {
		status = bad.Status
	}
	r.log.warn("bad request", "%v", err)
	r.respond(c, status, 0, append([]byte(err.Error()), '\n'))
}

// respond writes a response and makes the connection ready for the next request, or ends it.
func (r *Router) respond(c *client, status int, back float64, body []byte) {
	last := c.last || r.leaving || r.crowded
	kind := "text/plain"
	if status == 200 && c.search == nil && len(body) > 0 && body[0] == '{' {
		kind = "application/json"
	}
	r.scratch = protocol.AppendResponse(r.scratch[:0], status, kind, last, back, body)
	r.write(c, r.scratch)
	c.in.Next()
	r.rests(c)
	if r.mind(c); last {
		r.finish(c)
	} else if c.early != nil {
		r.resumed = append(r.resumed, c)
	}
}

func (r *Router) write(c *client, b []byte) {
	c.asked += int64(len(b))
	r.Count.BytesOut += int64(len(b))
	r.net.Write(c.conn, b)
}

// finish closes a connection so that what was written arrives.
func (r *Router) finish(c *client) {
	if c.done {
		return
	}
	c.done, c.doneAt, c.heardAt = true, r.now, r.now
	r.drop(c)
	r.net.Finish(c.conn)
	r.mind(c)
}

// drop gives back what a connection holds.
func (r *Router) drop(c *client) {
	r.unstore(c)
	if c.early != nil {
		r.unhalf(c.early)
		c.early = nil
	}
}

// clientGone: nobody waits for its search any more.
func (r *Router) clientGone(c *client) {
	c.gone = true
	r.clients--
	r.timers.drop(c.timer)
	*r.peer(c.conn) = peer{}
	r.drop(c)
	if q := c.search; q != nil {
		c.search, q.by = nil, nil
		r.Leave(q)
	}
}
