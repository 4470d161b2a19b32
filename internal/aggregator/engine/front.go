package engine

import (
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/must"
	"kestrelspread/internal/transport"
)

// What further ways in are given, and what they owe. The HTTP client of this package is the first front and frames are
// the first carrier; others bring searches and carry sub-requests through what stands here. They know no replica's
// health, no budget and no repeat: all that is the module's.

// Ending is what a search's one final answer says.
type Ending uint8

// How a search ended.
const (
	Whole   Ending = iota
	Partial        // at or over the floor, and said to be in part
	Shed           // refused: asking again is harmless
	Failed         // errored
)

// Call is a search that a front brought, and the carrier of its sub-requests.
type Call interface {
	// Final comes exactly once, unless Leave came before it. Nothing of the search is sent after it.
	Final(how Ending, back float64)
	// Send begins a sub-request. Ended tells its outcome, at once or later.
	Send(s *Sub)
	// TakeBack stops a sub-request: nothing of it counts any more, and its outcome is known already.
	TakeBack(s *Sub)
	// Door is the front's number.
	Door() int
	// Bytes tells what the client has sent and was given, without heads; asked once the search is over.
	Bytes() (in, out int64)
}

// Party stands behind a connection that this package does not read itself. After Closed nothing more comes.
type Party interface {
	Opened()
	Bytes(b []byte, came float64)
	Written(upTo int64)
	Closed(upTo int64)
}

// Front is a further way in.
type Front interface {
	Accepted(c transport.Conn)
	// Server is news of one server of the list.
	Server(at int, id string, addr netip.AddrPort, state policy.State)
	// Late: the server has been draining or gone for so long that what has not begun there must not begin.
	Late(at int)
	// Forgotten: the index may stand for another server from now on.
	Forgotten(at int)
	// Stopping: this broker was told to stop and may be killed at a time; whoever is served still is.
	Stopping(killed float64)
	// Leaving: the addresses are closed.
	Leaving()
	// Idle tells whether nobody is connected.
	Idle() bool
	// Flush comes last in a turn, after the module has decided: what is to be written is written.
	Flush()
	// Reload takes new settings, if there are any.
	Reload()
	// Print writes the front's counters.
	Print(log zerolog.Logger, why string)
}

// Sub is a sub-request as a carrier knows it.
type Sub = sub

// Server is the index of the server that the module chose.
func (s *sub) Server() int { return s.server }

// Until is when the broker stops waiting for it, in milliseconds of the loop.
func (s *sub) Until() float64 { return s.within }

// Begin is the latest time at which it may begin, or +Inf: past it, an earlier one of its part may count a second time.
func (s *sub) Begin() float64 { return s.begin }

// No numbers the sub-requests of a part from 0.
func (s *sub) No() int { return s.no }

// Over tells whether its outcome is known.
func (s *sub) Over() bool { return s.state == over }

// Search is one that a front brought.
type Search = search

// Piece is what is asked of one shard: its share of the whole, the hinted work (0: not known) and the hash of what it
// is about (0: none).
type Piece struct {
	Shard       int
	Share, Work float64
	Key         uint64
}

// Replace puts a policy to be measured in the module's place, before the loop runs.
func (r *Router) Replace(policy func(out policy.Out) policy.Port) { r.port = policy(r) }

// Add registers a front; connections of the door by its number from 1 are its own. Before the loop runs.
func (r *Router) Add(f Front) { r.fronts = append(r.fronts, f) }

// Now is the time of this turn, in milliseconds of the loop.
func (r *Router) Now() float64 { return r.now }

// Stopping tells whether this broker was told to stop.
func (r *Router) Stopping() bool { return r.stopping }

// QueryType gives the number of a query type by its name.
func (r *Router) QueryType(name string) (kind int, known bool) {
	kind, known = r.rules.kinds[name]
	return kind, known
}

// Customer gives the number of a customer by its name, or nobody: who is not named in the settings must not use up the
// share of one who is.
func (r *Router) Customer(name string) int {
	if at, known := r.rules.customers[name]; known {
		return at
	}
	return nobody
}

const nobody = -1

// Note writes a log line; of one kind at most one a second.
func (r *Router) Note(kind, form string, args ...any) { r.log.warn(kind, form, args...) }

// Timer can be taken back.
type Timer struct{ t *timer }

// After has something done in so many milliseconds.
func (r *Router) After(in float64, due func()) Timer {
	return Timer{r.after(in, func(*Router) { due() })}
}

// Forgo takes a timer back; one that is over, or none, is fine.
func (r *Router) Forgo(t Timer) { r.timers.drop(t.t) }

// Again asks for a turn of its own: something waits that no event will bring.
func (r *Router) Again() { r.failing = true }

// Connect opens a connection for a party, or gives false where there is no descriptor for it.
func (r *Router) Connect(p Party, addr netip.AddrPort) (transport.Conn, bool) {
	if r.sockets >= r.rules.limit-spareSockets && !r.giveWay() {
		r.Count.NoSocket++
		return none, false
	}
	r.Count.Connects++
	r.sockets++
	c := r.net.Connect(addr)
	*r.peer(c) = peer{party: p}
	return c, true
}

// Seat gives an accepted connection its party.
func (r *Router) Seat(c transport.Conn, p Party) { *r.peer(c) = peer{party: p} }

// Room tells how many descriptors clients of a further front may take: half of what HTTP's may, so that neither shuts
// the other out.
func (r *Router) Room() int { return max(r.clientsMost()/2, 1) }

// Put writes to a party's connection.
func (r *Router) Put(c transport.Conn, b []byte) {
	r.Count.BytesOut += int64(len(b))
	r.net.Write(c, b)
}

// Reading switches the reading of a party's connection on or off.
func (r *Router) Reading(c transport.Conn, on bool) { r.net.Reading(c, on) }

// Hang drops a party's connection; its Closed does not come.
func (r *Router) Hang(c transport.Conn) {
	*r.peer(c) = peer{}
	r.close(c)
	r.acceptAgain()
}

// FinishParty closes a party's connection once what was written has arrived; Closed tells of that.
func (r *Router) FinishParty(c transport.Conn) { r.net.Finish(c) }

// Ask takes a search for a front. Its final answer may come within the call where the hold limit keeps it from the
// module. until is when its client gives up; again: it says that it has asked before.
func (r *Router) Ask(kind, customer int, until float64, again bool, pieces []Piece, by Call) *Search {
	r.Count.Searches++
	q := &search{until: min(until, r.killed-lastWord), call: by, used: usage{kind: kind, customer: customer, front: by.Door()}}
	if r.rules.second[kind] {
		r.Count.BadRequests++
		r.end(q, 501, 0, nil)
		return q
	}
	if r.rules.most > 0 && r.held >= r.rules.most {
		r.Count.OverHeld++
		r.end(q, 503, r.port.RetryAfter(kind), nil)
		return q
	}
	r.drafts = r.drafts[:0]
	sum := 0.0
	for _, p := range pieces {
		r.drafts = append(r.drafts, draft{p.Shard, p.Share, p.Work, p.Key})
		sum += p.Share
	}
	r.enlist(q, kind, customer, sum, 0)
	if again {
		r.port.MarkRetry(q.at)
	}
	return q
}

// Leave tells that nobody waits for a search any more.
func (r *Router) Leave(q *Search) {
	if !q.ended {
		r.Count.Left++
		q.used.left = true
		r.release(q)
		r.letGo(q)
		if len(q.parts) > 0 {
			r.port.ClientGone(q.at)
		}
	}
}

// Ended tells how a sub-request ended; only the first outcome counts.
func (r *Router) Ended(s *Sub, how policy.Outcome) {
	if s.state != over && how == policy.Answered {
		s.part.got = true
	}
	r.over(s, how, nil)
}

// Committed asks the module whether a sub-request may be the one whose bytes reach the client. False: another is, and
// this one is called off.
//
// answering: bytes of the server's go to the client; else what the client sent can't be sent again.
func (r *Router) Committed(s *Sub, answering bool) bool {
	if s.state == over || s.part.q.ended {
		return false
	}
	r.drain() // what another has answered before comes first
	if s.state == over {
		return false
	}
	return r.port.Committed(s.part.at, s.no, answering)
}

// Open tells that the client is still sending what a search carries, or has ended.
func (r *Router) Open(q *Search, open bool) {
	if !q.ended && len(q.parts) > 0 {
		for _, p := range q.parts {
			r.port.ClientSending(p.at, open)
		}
	}
}

// Pushback hands on a server's wish: milliseconds until a repeat, below 0 for none at all.
func (r *Router) Pushback(s *Sub, wait float64) {
	r.Count.Pushbacks++
	r.port.Pushback(s.part.at, wait)
}

// carry begins a sub-request of a search that has its own carrier.
func (r *Router) carry(s *sub) {
	s.state = out
	r.Count.Sent++
	s.limit = r.timers.add(s.within, func(r *Router) { r.timedOut(s) })
	s.part.q.call.Send(s)
}

func (r *Router) partyGone(c transport.Conn, p Party, upTo int64) {
	*r.peer(c) = peer{}
	p.Closed(upTo)
}

func (r *Router) idleFronts() bool {
	for _, f := range r.fronts {
		if !f.Idle() {
			return false
		}
	}
	return true
}

// finalTo gives a front its search's one final answer.
func (r *Router) finalTo(q *search, status int, back float64) {
	how := Failed
	switch {
	case status == 200 && q.whole:
		how = Whole
	case status == 200:
		how = Partial
	case status == 503:
		how = Shed
	}
	must.Hold(q.call != nil, "a front waits")
	q.call.Final(how, back)
}
