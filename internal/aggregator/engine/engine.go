// Package engine is the broker's one reducer: each event changes its state and asks for effects. It has no
// socket and no clock, and decides nothing about searches: that is the module's, which it drives through
// policy.Port and whose decisions it carries out as policy.Out.
package engine

import (
	"math"
	"net/netip"
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
	MoveDiscovery // to the address that Discovery holds
	ReloadFronts  // the settings of the fronts
	RunPosted     // something waits in the post
)

const (
	noConn = transport.Conn(-1)

	maxPosted = 256 // functions from other goroutines that wait for a turn

	spareSockets         = 16 // the runtime's, the loop's, standard streams, discovery's, the listener
	minServerDescriptors = 16 // descriptors for servers
	// What a client may take its time over. One that is heard of neither a request nor its end in 3 s has gone wrong.
	firstRequestTimeout = 2000  // to begin its first request
	requestTimeout      = 2500  // from connecting, or from the beginning of a later request, to its end
	writeTimeout        = 10000 // to read an answer
	lingerTimeout       = 1000  // to close after the last answer, as long as it sends no more
	maxLinger           = 5000  // though it sends on
	clientIdleTimeout   = 10000 // to ask again
	stallAfter          = 100   // a timer so late means that this broker stood still
	// After SIGTERM clients go on coming for up to 400 ms, and those who have a connection ask on it as long as it is
	// open: elsewhere there may be nobody yet, as another broker was stopped just before. SIGKILL follows no sooner
	// than the longest client timeout, taken as 3 s at most, and 700 ms more.
	minServeAfterStop      = 500
	serveShareAfterStop    = 0.6 // of that time clients are served; the rest is for what is held by then
	maxClientTimeout       = 3000
	killMargin             = 700
	answerBeforeKill       = 150  // so long before it every answer is out
	lastRequestWindow      = 100  // what had asked before the address closed may ask again for so long
	maxRequestAfterClose   = 1000 // who has only just connected may still ask within so long, and a request that has begun end
	requestShareAfterClose = 0.75 // and within such a share of what is left: the rest is for its answer
	closeRetryDelay        = 10   // out of descriptors while the address is to be closed: try again after so long
	lingerEndBeforeKill    = 20   // so long before it, who was turned away and has not closed is not waited for
	acceptRetryDelay       = 100  // out of descriptors: try accepting again after so long
	evictShare             = 0.25 // and have so many of the connections give way each time
	partialBufferDivisor   = 2    // of the buffers, one in so many at most
	minIdleBeforeEvict     = 2000 // that were idle for so long: another search is less likely to be on the way
	minSilenceBeforeEvict  = 250  // or have never said anything for so long: who connects to ask asks at once
	roundRetryDelay        = 10   // after a round of the module that failed
	searchOverdueAfter     = 15   // past a search's time: the module has given its answer long before
)

// Engine is one broker.
type Engine struct {
	Discovery atomic.Pointer[netip.AddrPort] // set by others before they tell Move

	network        Net
	pool           *transport.Pool
	log            *limitedLog
	policy         policy.Port
	Count          Counters
	now            float64
	wakeAt         float64
	timers         timers
	endpoints      []endpoint // by connection
	clients        int
	partialBuffers int          // buffers held by requests that have come in part
	idleClients    []idleClient // in the order in which they came to rest
	silentClients  []idleClient // in the order in which they came, of those that have said nothing
	list           serverList
	initialList    []byte // the list to begin with
	config         config
	fronts         []Front // by door, from 1
	posted         chan func()
	meter          Meter // or nil
	started        bool

	entries        []indexEntry
	freeEntries    []int
	pending        int
	openSearches   int
	searchByID     map[string]*search // by id, those without an answer
	sending        []int              // servers that this round sends to
	outcomes       []attemptResult
	probeResults   []probeResult
	endedSearches  []*search
	resumedClients []*client
	turnRequested  bool // something waits for a turn of its own
	scratch        []byte
	body           []byte
	sharedBuffer   []byte // storage for what comes whole in one piece
	parsed         []parsedRequest
	shardMarks     []int64 // by shard: the last search that named it
	shardMark      int64

	sockets          int
	closedConn       transport.Conn // by the other side, in the event at hand
	accepting        bool
	evicting         bool
	outOfDescriptors bool // accepting is off, and nobody can give way
	stopping         bool
	listenersClosed  bool
	closeIncomplete  bool    // some have connected that can't be taken yet
	stoppedAt        float64 // when it was told to stop
	killAt           float64 // when it may be killed, or infinite
}

// endpoint is who stands at the other end of a connection.
type endpoint struct {
	client  *client
	conn    *serverConn
	watch   *watch
	handler ConnHandler
}

func (e *Engine) endpoint(c transport.Conn) *endpoint {
	for int(c) >= len(e.endpoints) {
		e.endpoints = append(e.endpoints, endpoint{})
	}
	if c < 0 {
		return &endpoint{}
	}
	return &e.endpoints[c]
}

// indexEntry is what an index of the module stands for.
type indexEntry struct {
	search  *search
	request *shardRequest
}

type probeResult struct {
	server int
	ok     bool
	sentAt float64
	report []float64
}

type attemptResult struct {
	attempt *attempt
	outcome policy.Outcome
	report  []float64
}

// New makes an aggregator that knows its settings and no server yet.
func New(net Net, pool *transport.Pool, log zerolog.Logger, set settings.Values, seed uint64, sockets int,
	known []byte, discovery netip.AddrPort, epoch float64) *Engine {
	e := &Engine{
		network:      net,
		pool:         pool,
		log:          &limitedLog{log: log},
		wakeAt:       math.Inf(1),
		killAt:       math.Inf(1),
		accepting:    true,
		initialList:  known,
		closedConn:   noConn,
		posted:       make(chan func(), maxPosted),
		searchByID:   map[string]*search{},
		sharedBuffer: make([]byte, 0, pool.Size),
		list:         serverList{addr: discovery, epoch: epoch, indexOf: map[string]int{}},
		config:       newConfig(set, sockets),
	}
	for kind, twoPhase := range e.config.twoPhase {
		if twoPhase {
			e.log.warn("second step", "searches of type %q are errored: their second step is not spoken on sockets",
				e.config.kindNames[kind])
		}
	}
	e.policy = set.Port(e, seed)
	return e
}

// Post has something done in the loop, from another goroutine; tell wakes it. The post is bounded: false, and nothing done,
// where it is full. Whoever posts is pushed back, never the loop.
func (e *Engine) Post(tell func(what int32), do func()) bool {
	select {
	case e.posted <- do:
		tell(RunPosted)
		return true
	default:
		return false
	}
}

// Policy is the module, or what stands before it.
func (e *Engine) Policy() policy.Port { return e.policy }

// Begin opens a turn: all its events are one round of the module.
func (e *Engine) Begin(now float64) {
	e.now, e.log.now = now, now
	e.turnRequested = false
	e.policy.Begin(now)
	if !e.started {
		e.started = true
		e.openWatch() // first: whatever the list to begin with holds, the watch must be open
		known := e.initialList
		e.initialList = nil
		if err := e.applyList(&watch{}, known); err != nil {
			e.Count.BadLists++
			e.log.warn("no list to begin with", "%v", err)
		}
	}
}

// End does what is due, has the module decide, and carries it out. What came of that waits for the next turn:
// the module is never called while it is calling.
func (e *Engine) End() (again bool) {
	e.deliverResults()
	for len(e.timers) > 0 && e.timers[0].at <= e.now {
		e.timers.take().due(e)
		e.deliverResults()
	}
	resumed := e.resumedClients
	e.resumedClients = nil
	for _, client := range resumed {
		e.resumeClient(client)
		e.deliverResults()
	}
	for _, search := range e.endedSearches {
		if !search.forgotten && len(search.requests) > 0 {
			e.policy.ClientGone(search.index)
		}
	}
	e.endedSearches = e.endedSearches[:0]
	e.deliverResults()
	if e.now >= e.wakeAt {
		e.wakeAt = math.Inf(1)
		e.policy.Woken()
	}
	e.policy.End()
	e.sendBatches()
	for _, front := range e.fronts {
		front.Flush()
	}
	e.stopWhenIdle()
	next := e.wakeAt
	if len(e.timers) > 0 {
		next = min(next, e.timers[0].at)
	}
	if !math.IsInf(next, 1) {
		e.network.Arm(next)
	}
	return e.turnRequested || len(e.outcomes)+len(e.probeResults) > 0 || len(e.resumedClients) > 0
}

// deliverResults tells the module how sub-requests ended.
func (e *Engine) deliverResults() {
	for i := 0; i < len(e.outcomes); i++ {
		result := e.outcomes[i]
		req := result.attempt.request
		if result.outcome == policy.Answered && !req.reported {
			if req.reported = true; !req.search.ended {
				e.pending--
			}
		}
		e.Count.outcome(result.outcome)
		e.policy.Done(req.index, result.attempt.number, result.outcome, result.report)
	}
	e.outcomes = e.outcomes[:0]
	for _, result := range e.probeResults {
		e.policy.Probed(result.server, result.ok, e.now-result.sentAt, result.report)
	}
	e.probeResults = e.probeResults[:0]
}

// after has something done once a time has come.
func (e *Engine) after(in float64, due func(e *Engine)) *timer { return e.timers.add(e.now+in, due) }

// Told takes a word from another goroutine: that the process has to end, that the configuration was read,
// and the like.
func (e *Engine) Told(what int32) {
	switch what {
	case Terminate:
		e.terminate()
	case Report:
		e.Print("asked for")
	case MoveDiscovery:
		if to := e.Discovery.Load(); to != nil {
			e.moveDiscovery(*to)
		}
	case RunPosted:
		for {
			select {
			case do := <-e.posted:
				do()
				continue
			default:
			}
			break
		}
	case ReloadFronts:
		for _, front := range e.fronts {
			front.Reload()
		}
	}
}

// terminate goes on serving while clients still come and ask, then takes no more and leaves once all is answered.
func (e *Engine) terminate() {
	if e.stopping {
		return
	}
	grace := min(e.config.longestTimeout, maxClientTimeout) + killMargin
	e.stopping, e.stoppedAt, e.killAt = true, e.now, e.now+grace
	e.log.info("stopping", "%d searches held, %d clients", e.openSearches, e.clients)
	e.after(minServeAfterStop, func(*Engine) {}) // a turn, for leave
	for _, entry := range e.entries {
		if entry.search != nil && !entry.search.ended {
			e.shortenDeadline(entry.search, e.killAt-answerBeforeKill)
		}
	}
	for _, front := range e.fronts {
		front.Stopping(e.killAt - answerBeforeKill)
	}
	e.after(max(minServeAfterStop, serveShareAfterStop*grace), (*Engine).stopAccepting)
}

func (e *Engine) stopAccepting() {
	if e.listenersClosed {
		return
	}
	e.accepting, e.listenersClosed = false, true
	e.closeListeners()
	for _, front := range e.fronts {
		front.Leaving()
	}
	// All of it follows from the time that is left: with short client timeouts that is far less than a second.
	left := max(e.killAt-answerBeforeKill-e.now, 0)
	cut := min(maxRequestAfterClose, requestShareAfterClose*left)
	e.after(min(lastRequestWindow, cut/2), func(e *Engine) {
		e.finishClients(func(client *client) bool { return client.idle() && client.sentRequest })
	})
	e.after(cut, func(e *Engine) { e.finishClients(func(client *client) bool { return client.search == nil }) })
	e.after(left+answerBeforeKill-lingerEndBeforeKill, func(e *Engine) { // their answers are out for long
		for _, p := range e.endpoints {
			if p.client != nil && p.client.finishing {
				e.dropClient(p.client)
			}
		}
	})
}

// closeListeners takes who has connected and closes the addresses. Who can't be taken for want of a descriptor would be ended
// without a word: idle ones give way, and it is tried again until all are in.
func (e *Engine) closeListeners() {
	if e.closeIncomplete = !e.network.Unlisten(); !e.closeIncomplete {
		return
	}
	e.Count.CloseRetries++
	for range max(int(evictShare*float64(e.maxClients())), 1) {
		if !e.evictClient() {
			break
		}
	}
	e.after(closeRetryDelay, (*Engine).closeListeners)
}

// shortenDeadline brings a search's end forward: this broker will be gone by then.
func (e *Engine) shortenDeadline(search *search, until float64) {
	if until >= search.deadline {
		return
	}
	search.deadline = until
	e.timers.drop(search.timer)
	e.armSearchTimer(search)
	e.policy.ShortenDeadline(search.index, until)
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			if attempt.state != stateEnded && attempt.deadline > until {
				attempt.deadline = until
				if attempt.timer != nil {
					e.timers.drop(attempt.timer)
					attempt.timer = e.timers.add(until, func(e *Engine) { e.attemptTimedOut(attempt) })
				}
			}
		}
	}
}

func (e *Engine) finishClients(which func(*client) bool) {
	for _, p := range e.endpoints {
		if p.client != nil && which(p.client) {
			e.finishClient(p.client)
		}
	}
}

func (e *Engine) stopWhenIdle() {
	if e.stopping && e.clients == 0 && e.frontsIdle() && e.now >= e.stoppedAt+minServeAfterStop {
		e.stopAccepting() // which may bring clients
	}
	if e.listenersClosed && !e.closeIncomplete && e.clients == 0 && e.frontsIdle() {
		e.network.Stop()
	}
}

// Opened implements transport.Handler: a connection that was asked for is up.
func (e *Engine) Opened(c transport.Conn) {
	if conn := e.endpoint(c).conn; conn != nil {
		e.serverConnOpened(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.watchOpened(watch)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Opened()
	}
	e.deliverResults()
}

// Bytes implements transport.Handler: bytes came on a connection, at a time.
func (e *Engine) Bytes(c transport.Conn, b []byte, came float64) {
	e.Count.BytesIn += int64(len(b))
	if client := e.endpoint(c).client; client != nil {
		e.clientBytes(client, b, came)
	} else if conn := e.endpoint(c).conn; conn != nil {
		e.serverConnBytes(conn, b)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.watchBytes(watch, b)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Bytes(b, came)
	}
	e.deliverResults()
}

// Written implements transport.Handler: the system has taken what was written on a connection up to there.
func (e *Engine) Written(c transport.Conn, upTo int64) {
	if client := e.endpoint(c).client; client != nil {
		client.writtenOffset = upTo
	} else if conn := e.endpoint(c).conn; conn != nil {
		if conn.writtenOffset = upTo; upTo > conn.frameStart {
			conn.lastBatch, conn.writtenAfter = nil, conn.writtenAfter[:0]
		}
		e.writeNextBatch(conn)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Written(upTo)
		e.deliverResults()
	}
}

// Closed implements transport.Handler: a connection is gone, and what was written behind upTo never left.
func (e *Engine) Closed(c transport.Conn, upTo int64) {
	e.sockets--
	e.closedConn = c
	if client := e.endpoint(c).client; client != nil {
		e.clientClosed(client)
	} else if conn := e.endpoint(c).conn; conn != nil {
		conn.writtenOffset = upTo
		e.serverConnClosed(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		*e.endpoint(c) = endpoint{}
		e.watchLost(watch, "closed")
	} else if handler := e.endpoint(c).handler; handler != nil {
		e.handlerClosed(c, handler, upTo)
	}
	e.deliverResults()
	e.resumeAccepting()
	e.closedConn = noConn
}

// close drops a connection from this side.
func (e *Engine) close(c transport.Conn) {
	if c == e.closedConn {
		return // the other side was first, and handling that failed
	}
	e.sockets--
	e.network.Close(c)
}

// Panicked errors what a failed event concerns, and nothing else where that is known.
func (e *Engine) Panicked(c transport.Conn, what any, stack []byte) {
	e.Count.Panics++
	defer func() { e.closedConn = noConn }()
	e.log.fail(what, stack)
	if must.Debug {
		panic(what)
	}
	if client := e.endpoint(c).client; client != nil {
		if search := client.search; search != nil {
			e.endSearch(search, 500, 0, nil)
			e.endedSearches = append(e.endedSearches, search)
		}
		if c == e.closedConn {
			e.clientClosed(client)
		} else {
			e.finishClient(client)
		}
	} else if conn := e.endpoint(c).conn; conn != nil {
		e.close(c)
		e.serverConnClosed(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.dropWatch(watch, "failed")
	} else if handler := e.endpoint(c).handler; handler != nil {
		e.close(c)
		e.handlerClosed(c, handler, 0)
	} else {
		e.network.Arm(e.now + roundRetryDelay) // the round was cut short: what it would have armed is not known
		for _, entry := range e.entries {
			if entry.search != nil && !entry.search.ended {
				e.endSearch(entry.search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, entry.search)
			}
		}
	}
}

// newIndex gives an index to a search or a part.
func (e *Engine) newIndex(entry indexEntry) int {
	if n := len(e.freeEntries); n > 0 {
		at := e.freeEntries[n-1]
		e.freeEntries = e.freeEntries[:n-1]
		e.entries[at] = entry
		return at
	}
	e.entries = append(e.entries, entry)
	return len(e.entries) - 1
}

// Wake implements policy.Out, as does Log; its other methods stand with what they concern.
func (e *Engine) Wake(in float64) { e.wakeAt = min(e.wakeAt, e.now+in) }

// Log writes what the module has to say. News of a whole site must not be held back behind lines about single servers.
func (e *Engine) Log(text string) {
	kind := "decision"
	if strings.HasPrefix(text, "site ") {
		kind = "site"
	}
	e.log.info(kind, "%s", text)
}

// Forget frees the indices of a search of which nothing is out any more.
func (e *Engine) Forget(at int) {
	search := e.entries[at].search
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			must.Hold(attempt.state == stateEnded, "nothing is out of a search that is forgotten")
		}
		e.entries[req.index] = indexEntry{}
		e.freeEntries = append(e.freeEntries, req.index)
	}
	must.Hold(search.ended, "a search is forgotten after its answer")
	search.forgotten = true
	e.recordUsage(search)
	e.entries[at] = indexEntry{}
	e.freeEntries = append(e.freeEntries, at)
}
