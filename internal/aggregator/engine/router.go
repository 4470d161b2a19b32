// Package engine is the broker's one reducer: each event changes its state and asks for effects. It has no
// socket and no clock, and decides nothing about searches: that is the module's, which it drives through
// policy.Port and whose decisions it carries out as policy.Out.
package engine

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/must"
	"kestrelspread/internal/transport"
)

// Net performs the effects.
type Net interface {
	Connect(addr netip.AddrPort) transport.Conn
	Write(c transport.Conn, b []byte)
	Finish(c transport.Conn)
	Close(c transport.Conn)
	Reading(c transport.Conn, on bool)
	Accept(on bool)
	Retract(c transport.Conn, from int64) bool
	Unlisten() (closed bool)
	Door(c transport.Conn) int // by which address it came in, 0 for HTTP's
	Arm(at float64)
	Stop()
}

// What may be told from outside the loop.
const (
	Terminate = iota
	Report
	Move   // to the address that Discovery holds
	Reread // the settings of the fronts
	Posted // something waits in the post
)

const (
	none = transport.Conn(-1)

	spareSockets = 16 // the runtime's, the loop's, standard streams, discovery's, the listener
	lanesLeast   = 16 // descriptors for servers
	// What a client may take its time over. One that is heard of neither a request nor its end in 3 s has gone wrong.
	firstByte   = 2000  // to begin its first request
	wholeWithin = 2500  // from connecting, or from the beginning of a later request, to its end
	slowest     = 10000 // to read an answer
	lingers     = 1000  // to close after the last answer, as long as it sends no more
	lingerMost  = 5000  // though it sends on
	idleMost    = 10000 // to ask again
	stalled     = 100   // a timer so late means that this broker stood still
	// After SIGTERM clients go on coming for up to 400 ms, and those who have a connection ask on it as long as it is
	// open: elsewhere there may be nobody yet, as another broker was stopped just before. SIGKILL follows no sooner
	// than the longest client timeout, taken as 3 s at most, and 700 ms more.
	stopLeast  = 500
	stopShare  = 0.6 // of that time clients are served; the rest is for what is held by then
	graceMost  = 3000
	graceMore  = 700
	lastWord   = 150  // so long before it every answer is out
	lastCalls  = 100  // what had asked before the address closed may ask again for so long
	cutOff     = 1000 // who has only just connected may still ask within so long, and a request that has begun end
	cutShare   = 0.75 // and within such a share of what is left: the rest is for its answer
	doorAgain  = 10   // out of descriptors while the address is to be closed: try again after so long
	lastLook   = 20   // so long before it, who was turned away and has not closed is not waited for
	resume     = 100  // out of descriptors: try accepting again after so long
	relieved   = 0.25 // and have so many of the connections give way each time
	halvesMost = 2    // of the buffers, one in so many at most
	idleLeast  = 2000 // that were idle for so long: another search is less likely to be on the way
	mute       = 250  // or have never said anything for so long: who connects to ask asks at once
	retry      = 10   // after a round of the module that failed
	overdue    = 15   // past a search's time: the module has given its answer long before
)

// Router is one broker.
type Router struct {
	Discovery atomic.Pointer[netip.AddrPort] // set by others before they tell Move

	net     Net
	pool    *transport.Pool
	log     *notes
	port    policy.Port
	Count   Counters
	now     float64
	wake    float64
	timers  timers
	peers   []peer // by connection
	clients int
	halves  int       // buffers held by requests that have come in part
	idle    []resting // in the order in which they came to rest
	silent  []resting // in the order in which they came, of those that have said nothing
	catalog catalog
	known   []byte // the list to begin with
	rules   rules
	fronts  []Front // by door, from 1
	post    chan func()
	meter   Meter // or nil
	started bool

	slots    []slot
	free     []int
	held     int
	searches int
	open     map[string]*search // by id, those without an answer
	sending  []int              // servers that this round sends to
	outcomes []outcome
	probes   []probe
	lapses   []*search
	resumed  []*client
	failing  bool // something waits for a turn of its own
	scratch  []byte
	body     []byte
	work     []byte // storage for what comes whole in one piece
	drafts   []draft
	marks    []int64 // by shard: the last search that named it
	mark     int64

	sockets   int
	closed    transport.Conn // by the other side, in the event at hand
	accepting bool
	relieving bool
	crowded   bool // accepting is off, and nobody can give way
	stopping  bool
	leaving   bool
	ajar      bool    // some have connected that can't be taken yet
	stopped   float64 // when it was told to stop
	killed    float64 // when it may be killed, or infinite
}

// rules are the settings that the network obeys.
type rules struct {
	connect, idle, grace float64
	streams, batch       int
	most                 int
	longest              float64 // client timeout of a query type
	shards               int
	places, span         int
	kinds, halls         map[string]int
	second               []bool // by query type: its answer takes a second step, which is not spoken here
	customers            map[string]int
	kindNames            []string
	customerNames        []string
	fields               map[string]int
	nFields              int
	ask                  byte // the letter of probes
	limit                int  // descriptors
	asked                bool // discovery is asked, it does not push
}

// peer is who stands at the other end of a connection.
type peer struct {
	client *client
	lane   *lane
	watch  *watch
	party  Party
}

func (r *Router) peer(c transport.Conn) *peer {
	for int(c) >= len(r.peers) {
		r.peers = append(r.peers, peer{})
	}
	if c < 0 {
		return &peer{}
	}
	return &r.peers[c]
}

// slot is what an index of the module stands for.
type slot struct {
	search *search
	part   *part
}

type probe struct {
	server int
	ok     bool
	sent   float64
	report []float64
}

type outcome struct {
	s      *sub
	how    policy.Outcome
	report []float64
}

// New makes a broker that knows its settings and no server yet.
func New(net Net, pool *transport.Pool, log zerolog.Logger, set settings.Values, seed uint64, sockets int,
	known []byte, discovery netip.AddrPort, epoch float64) *Router {
	r := &Router{net: net, pool: pool, log: &notes{log: log}, wake: math.Inf(1), killed: math.Inf(1), accepting: true,
		known: known, closed: none, post: make(chan func(), postMost), open: map[string]*search{}, work: make([]byte, 0, pool.Size)}
	r.catalog = catalog{addr: discovery, epoch: epoch, index: map[string]int{}}
	g := &r.rules
	*g = rules{connect: set.Num("limits.connect-timeout-ms", 1000), idle: set.Num("limits.conn-idle-ms", math.Inf(1)),
		grace: set.Num("safety.drain-grace-ms", 0), streams: max(set.Whole("limits.streams-per-conn", 1), 1),
		batch: max(set.Whole("family-info.batch", 1), 1), most: set.Whole("limits.most-held", 0),
		shards: set.Whole("family-info.slabs", maxShards), places: max(set.Whole("family-info.places", 1), 1),
		span: max(set.Whole("family-info.span", 1), 1), kinds: map[string]int{}, halls: map[string]int{},
		customers: map[string]int{}, fields: map[string]int{}, ask: 'G', limit: sockets, asked: set["discovery"] == "ask"}
	for i := range set.Count("classes") {
		first(g.kinds, set.Item("classes", i, "name"), i)
		g.kindNames = append(g.kindNames, set.Item("classes", i, "name"))
		g.longest = max(g.longest, set.Num("classes."+strconv.Itoa(i)+".deadline-ms", graceMost))
		if g.second = append(g.second, set.Nth("family-info.follow-up", i, 0) > 0); g.second[i] {
			r.log.warn("second step", "searches of type %q are errored: their second step is not spoken on sockets", g.kindNames[i])
		}
	}
	for i := range set.Count("customers") {
		first(g.customers, set.Item("customers", i, "name"), i)
		g.customerNames = append(g.customerNames, set.Item("customers", i, "name"))
	}
	for i, hall := range set.List("localities") {
		first(g.halls, hall, i)
	}
	for i, name := range set.List("report.fields") {
		g.fields[name] = i
		// Servers may write a value by the name that the site's own pages use.
		if own, ok := reportNames[name]; ok {
			g.fields[own] = i
		}
		g.nFields = i + 1
	}
	if g.nFields > 0 && set["report.via"] != "none" {
		g.ask = 'T'
	}
	r.port = set.Port(r, seed)
	return r
}

// first keeps a name's first number: settings may state a name twice.
func first(of map[string]int, name string, i int) {
	if _, known := of[name]; !known {
		of[name] = i
	}
}

const (
	maxShards = 1 << 20
	postMost  = 256 // words from other goroutines that wait for a turn
)

var reportNames = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

// Post has something done in the loop, from another goroutine; tell wakes it. The post is bounded: false, and nothing done,
// where it is full. Whoever posts is pushed back, never the loop.
func (r *Router) Post(tell func(what int32), do func()) bool {
	select {
	case r.post <- do:
		tell(Posted)
		return true
	default:
		return false
	}
}

// Port is the module, or what stands before it.
func (r *Router) Port() policy.Port { return r.port }

// Begin opens a turn: all its events are one round of the module.
func (r *Router) Begin(now float64) {
	r.now, r.log.now = now, now
	r.failing = false
	r.port.Begin(now)
	if !r.started {
		r.started = true
		r.watch() // first: whatever the list to begin with holds, the watch must be open
		known := r.known
		r.known = nil
		if err := r.list(&watch{}, known); err != nil {
			r.Count.BadLists++
			r.log.warn("no list to begin with", "%v", err)
		}
	}
}

// End does what is due, has the module decide, and carries it out. What came of that waits for the next turn:
// the module is never called while it is calling.
func (r *Router) End() (again bool) {
	r.drain()
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		r.timers.take().due(r)
		r.drain()
	}
	resumed := r.resumed
	r.resumed = nil
	for _, c := range resumed {
		r.feedHeld(c)
		r.drain()
	}
	for _, q := range r.lapses {
		if !q.forgotten && len(q.parts) > 0 {
			r.port.ClientGone(q.at)
		}
	}
	r.lapses = r.lapses[:0]
	r.drain()
	if r.now >= r.wake {
		r.wake = math.Inf(1)
		r.port.Woken()
	}
	r.port.End()
	r.dispatch()
	for _, f := range r.fronts {
		f.Flush()
	}
	r.leave()
	next := r.wake
	if len(r.timers) > 0 {
		next = min(next, r.timers[0].at)
	}
	if !math.IsInf(next, 1) {
		r.net.Arm(next)
	}
	return r.failing || len(r.outcomes)+len(r.probes) > 0 || len(r.resumed) > 0
}

// drain tells the module how sub-requests ended.
func (r *Router) drain() {
	for i := 0; i < len(r.outcomes); i++ {
		o := r.outcomes[i]
		p := o.s.part
		if o.how == policy.Answered && !p.in {
			if p.in = true; !p.q.ended {
				r.held--
			}
		}
		r.Count.outcome(o.how)
		r.port.Done(p.at, o.s.no, o.how, o.report)
	}
	r.outcomes = r.outcomes[:0]
	for _, p := range r.probes {
		r.port.Probed(p.server, p.ok, r.now-p.sent, p.report)
	}
	r.probes = r.probes[:0]
}

// after has something done once a time has come.
func (r *Router) after(in float64, due func(r *Router)) *timer { return r.timers.add(r.now+in, due) }

// Told takes a word from another goroutine: that the process has to end, that the configuration was read,
// and the like.
func (r *Router) Told(what int32) {
	switch what {
	case Terminate:
		r.terminate()
	case Report:
		r.Print("asked for")
	case Move:
		if to := r.Discovery.Load(); to != nil {
			r.move(*to)
		}
	case Posted:
		for {
			select {
			case do := <-r.post:
				do()
				continue
			default:
			}
			break
		}
	case Reread:
		for _, f := range r.fronts {
			f.Reload()
		}
	}
}

// terminate goes on serving while clients still come and ask, then takes no more and leaves once all is answered.
func (r *Router) terminate() {
	if r.stopping {
		return
	}
	grace := min(r.rules.longest, graceMost) + graceMore
	r.stopping, r.stopped, r.killed = true, r.now, r.now+grace
	r.log.info("stopping", "%d searches held, %d clients", r.searches, r.clients)
	r.after(stopLeast, func(*Router) {}) // a turn, for leave
	for _, s := range r.slots {
		if s.search != nil && !s.search.ended {
			r.hasten(s.search, r.killed-lastWord)
		}
	}
	for _, f := range r.fronts {
		f.Stopping(r.killed - lastWord)
	}
	r.after(max(stopLeast, stopShare*grace), (*Router).unlisten)
}

func (r *Router) unlisten() {
	if r.leaving {
		return
	}
	r.accepting, r.leaving = false, true
	r.shutDoors()
	for _, f := range r.fronts {
		f.Leaving()
	}
	// All of it follows from the time that is left: with short client timeouts that is far less than a second.
	left := max(r.killed-lastWord-r.now, 0)
	cut := min(cutOff, cutShare*left)
	r.after(min(lastCalls, cut/2), func(r *Router) { r.finishAll(func(c *client) bool { return c.idle() && c.spoke }) })
	r.after(cut, func(r *Router) { r.finishAll(func(c *client) bool { return c.search == nil }) })
	r.after(left+lastWord-lastLook, func(r *Router) { // their answers are out for long
		for _, p := range r.peers {
			if p.client != nil && p.client.done {
				r.part(p.client)
			}
		}
	})
}

// shutDoors takes who has connected and closes the addresses. Who can't be taken for want of a descriptor would be ended
// without a word: idle ones give way, and it is tried again until all are in.
func (r *Router) shutDoors() {
	if r.ajar = !r.net.Unlisten(); !r.ajar {
		return
	}
	r.Count.Ajar++
	for range max(int(relieved*float64(r.clientsMost())), 1) {
		if !r.giveWay() {
			break
		}
	}
	r.after(doorAgain, (*Router).shutDoors)
}

// hasten brings a search's end forward: this broker will be gone by then.
func (r *Router) hasten(q *search, until float64) {
	if until >= q.until {
		return
	}
	q.until = until
	r.timers.drop(q.limit)
	r.limit(q)
	r.port.ShortenDeadline(q.at, until)
	for _, p := range q.parts {
		for _, s := range p.subs {
			if s.state != over && s.within > until {
				s.within = until
				if s.limit != nil {
					r.timers.drop(s.limit)
					s.limit = r.timers.add(until, func(r *Router) { r.timedOut(s) })
				}
			}
		}
	}
}

func (r *Router) finishAll(which func(*client) bool) {
	for _, p := range r.peers {
		if p.client != nil && which(p.client) {
			r.finish(p.client)
		}
	}
}

func (r *Router) leave() {
	if r.stopping && r.clients == 0 && r.idleFronts() && r.now >= r.stopped+stopLeast {
		r.unlisten() // which may bring clients
	}
	if r.leaving && !r.ajar && r.clients == 0 && r.idleFronts() {
		r.net.Stop()
	}
}

// Opened implements transport.Handler: a connection that was asked for is up.
func (r *Router) Opened(c transport.Conn) {
	if l := r.peer(c).lane; l != nil {
		r.laneOpened(l)
	} else if w := r.peer(c).watch; w != nil {
		r.watchOpened(w)
	} else if p := r.peer(c).party; p != nil {
		p.Opened()
	}
	r.drain()
}

// Bytes implements transport.Handler: bytes came on a connection, at a time.
func (r *Router) Bytes(c transport.Conn, b []byte, came float64) {
	r.Count.BytesIn += int64(len(b))
	if k := r.peer(c).client; k != nil {
		r.clientBytes(k, b, came)
	} else if l := r.peer(c).lane; l != nil {
		r.laneBytes(l, b)
	} else if w := r.peer(c).watch; w != nil {
		r.watchBytes(w, b)
	} else if p := r.peer(c).party; p != nil {
		p.Bytes(b, came)
	}
	r.drain()
}

// Written implements transport.Handler: the system has taken what was written on a connection up to there.
func (r *Router) Written(c transport.Conn, upTo int64) {
	if k := r.peer(c).client; k != nil {
		k.written = upTo
	} else if l := r.peer(c).lane; l != nil {
		if l.written = upTo; upTo > l.frame {
			l.last, l.behind = nil, l.behind[:0]
		}
		r.pump(l)
	} else if p := r.peer(c).party; p != nil {
		p.Written(upTo)
		r.drain()
	}
}

// Closed implements transport.Handler: a connection is gone, and what was written behind upTo never left.
func (r *Router) Closed(c transport.Conn, upTo int64) {
	r.sockets--
	r.closed = c
	if k := r.peer(c).client; k != nil {
		r.clientGone(k)
	} else if l := r.peer(c).lane; l != nil {
		l.written = upTo
		r.laneGone(l)
	} else if w := r.peer(c).watch; w != nil {
		*r.peer(c) = peer{}
		r.watchLost(w, "closed")
	} else if p := r.peer(c).party; p != nil {
		r.partyGone(c, p, upTo)
	}
	r.drain()
	r.acceptAgain()
	r.closed = none
}

// close drops a connection from this side.
func (r *Router) close(c transport.Conn) {
	if c == r.closed {
		return // the other side was first, and handling that failed
	}
	r.sockets--
	r.net.Close(c)
}

// Panicked errors what a failed event concerns, and nothing else where that is known.
func (r *Router) Panicked(c transport.Conn, what any, stack []byte) {
	r.Count.Panics++
	defer func() { r.closed = none }()
	r.log.fail(what, stack)
	if must.Debug {
		panic(what)
	}
	if k := r.peer(c).client; k != nil {
		if q := k.search; q != nil {
			r.end(q, 500, 0, nil)
			r.lapses = append(r.lapses, q)
		}
		if c == r.closed {
			r.clientGone(k)
		} else {
			r.finish(k)
		}
	} else if l := r.peer(c).lane; l != nil {
		r.close(c)
		r.laneGone(l)
	} else if w := r.peer(c).watch; w != nil {
		r.dropWatch(w, "failed")
	} else if p := r.peer(c).party; p != nil {
		r.close(c)
		r.partyGone(c, p, 0)
	} else {
		r.net.Arm(r.now + retry) // the round was cut short: what it would have armed is not known
		for _, s := range r.slots {
			if s.search != nil && !s.search.ended {
				r.end(s.search, 500, 0, nil)
				r.lapses = append(r.lapses, s.search)
			}
		}
	}
}

// take gives an index to a search or a part.
func (r *Router) take(s slot) int {
	if n := len(r.free); n > 0 {
		at := r.free[n-1]
		r.free = r.free[:n-1]
		r.slots[at] = s
		return at
	}
	r.slots = append(r.slots, s)
	return len(r.slots) - 1
}

// Wake implements policy.Out, as does Log; its other methods stand with what they concern.
func (r *Router) Wake(in float64) { r.wake = min(r.wake, r.now+in) }

// Log writes what the module has to say. News of a whole site must not be held back behind lines about single servers.
func (r *Router) Log(text string) {
	kind := "decision"
	if strings.HasPrefix(text, "site ") {
		kind = "site"
	}
	r.log.info(kind, "%s", text)
}

// Forget frees the indices of a search of which nothing is out any more.
func (r *Router) Forget(at int) {
	q := r.slots[at].search
	for _, p := range q.parts {
		for _, s := range p.subs {
			must.Hold(s.state == over, "nothing is out of a search that is forgotten")
		}
		r.slots[p.at] = slot{}
		r.free = append(r.free, p.at)
	}
	must.Hold(q.ended, "a search is forgotten after its answer")
	q.forgotten = true
	r.meterSearch(q)
	r.slots[at] = slot{}
	r.free = append(r.free, at)
}
