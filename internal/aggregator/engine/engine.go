// Package engine is the aggregator's one reducer: each event of the network changes its state and
// asks for effects. It reads searches, carries shard requests to servers and writes answers. It has
// no socket and no clock, and decides nothing about searches: that is the policy's, which it drives
// through policy.Port and whose decisions it carries out as policy.Out.
//
// Invariants: all events of a turn are one round of the policy, between Begin and End; the policy
// is never called while it is calling, so what its decisions cause is delivered in the next turn;
// each search gets one final answer; no connection carries one id twice at a time; what the network
// has not begun to write can be retracted, and is once nobody waits for it.
package engine

import (
	"math"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// Net performs the effects. It reports what happens as transport.Handler has it.
type Net interface {
	// Connect opens a connection; Opened or Closed follows.
	Connect(addr netip.AddrPort) transport.Conn
	// Write gives bytes to be written; Written tells how far the system has taken them.
	Write(c transport.Conn, b []byte)
	// Finish closes a connection once what was written has arrived; Closed follows.
	Finish(c transport.Conn)
	// Close drops a connection at once; Closed does not follow.
	Close(c transport.Conn)
	// Reading switches the reading of a connection on or off.
	Reading(c transport.Conn, on bool)
	// Accept switches the accepting of clients on or off.
	Accept(on bool)
	// Retract takes back what was written from an offset on, if the system has taken none of it.
	Retract(c transport.Conn, from int64) bool
	// Unlisten closes the addresses; false: some clients have connected that can't be accepted yet.
	Unlisten() (closed bool)
	// Door is the number of the address by which a connection came in, 0 for HTTP's.
	Door(c transport.Conn) int
	// Arm asks for a turn at a time.
	Arm(at float64)
	// Stop ends the loop.
	Stop()
}

// Engine is one aggregator's state. All of it belongs to the goroutine of the loop, but Discovery
// and Post.
type Engine struct {
	Discovery atomic.Pointer[netip.AddrPort] // set by others before they notify MoveDiscovery

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
	partialBuffers int          // buffers of incomplete requests
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
	sharedBuffer   []byte // storage for requests that come in one piece
	parsed         []parsedRequest
	shardMarks     []int64 // by shard: the last search that named it
	shardMark      int64

	sockets          int
	closedConn       transport.Conn // by the other side, in the event at hand
	accepting        bool
	evicting         bool
	outOfDescriptors bool // accepting is off, and nobody can be evicted
	stopping         bool
	listenersClosed  bool
	closeIncomplete  bool    // some have connected that can't be taken yet
	stoppedAt        float64 // when the shutdown began
	killAt           float64 // when it may be killed, or infinite
}

// endpoint is who stands at the other end of a connection.
type endpoint struct {
	client  *client
	conn    *serverConn
	watch   *watch
	handler ConnHandler
}

// indexEntry is what an index of the policy stands for.
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
	e.policy = set.NewPolicy(e, seed)
	return e
}

// Policy is the policy, or what stands before it.
func (e *Engine) Policy() policy.Port { return e.policy }

// Begin opens a turn: all its events are one round of the policy.
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

// End does what is due, has the policy decide, and carries it out. What that causes waits for the
// next turn: the policy is never called while it is calling. It tells whether something waits for a
// turn that no event will bring.
func (e *Engine) End() (again bool) {
	e.deliverResults()
	for len(e.timers) > 0 && e.timers[0].dueAt <= e.now {
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
		next = min(next, e.timers[0].dueAt)
	}
	if !math.IsInf(next, 1) {
		e.network.Arm(next)
	}
	return e.turnRequested || len(e.outcomes)+len(e.probeResults) > 0 || len(e.resumedClients) > 0
}

// deliverResults notifies the policy of how attempts ended.
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

// Post has something done in the loop, from another goroutine; tell wakes it. The post is bounded:
// false, and nothing done, where it is full. Whoever posts is pushed back, never the loop.
func (e *Engine) Post(tell func(what int32), do func()) bool {
	select {
	case e.posted <- do:
		tell(RunPosted)
		return true
	default:
		return false
	}
}

// newIndex gives an index to a search or a shard request.
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

func (e *Engine) endpoint(c transport.Conn) *endpoint {
	for int(c) >= len(e.endpoints) {
		e.endpoints = append(e.endpoints, endpoint{})
	}
	if c < 0 {
		return &endpoint{}
	}
	return &e.endpoints[c]
}

// Wake implements policy.Out, as does Log; its other methods stand with what they concern.
func (e *Engine) Wake(in float64) { e.wakeAt = min(e.wakeAt, e.now+in) }

// Log implements policy.Out. Lines about a zone must not be suppressed behind lines about single
// servers.
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
			invariant.Check(attempt.state == stateEnded, "nothing is out of a search that is forgotten")
		}
		e.entries[req.index] = indexEntry{}
		e.freeEntries = append(e.freeEntries, req.index)
	}
	invariant.Check(search.ended, "a search is forgotten after its answer")
	search.forgotten = true
	e.recordUsage(search)
	e.entries[at] = indexEntry{}
	e.freeEntries = append(e.freeEntries, at)
}

const (
	noConn = transport.Conn(-1)

	maxPosted       = 256 // functions from other goroutines that wait for a turn
	spareSockets    = 16  // descriptors of the runtime, the loop, standard streams, discovery, the listener
	stallAfter      = 100 // ms by which a timer is late that means that this aggregator stood still
	roundRetryDelay = 10  // ms after a round of the policy that failed
)
