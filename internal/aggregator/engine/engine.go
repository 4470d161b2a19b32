// Package engine is the aggregator's event-driven core. Each network event changes the engine's
// state and may request effects, such as writing to a connection. The engine reads searches from
// clients, sends shard requests to servers and writes the answers. It owns no socket and no clock.
// It makes no decision about searches: it passes events to the policy through policy.Decider and
// carries out the policy's decisions as its policy.Executor.
//
// Invariants: all events of a turn form one round of the policy, between BeginRound and EndRound;
// the policy is never called while one of its own calls is in progress, so the results of its
// decisions are delivered in the next turn; each search gets exactly one final answer; no connection
// carries the same request id twice at the same time; a frame that the network has not begun to send
// can be retracted, and is retracted once nobody waits for its requests.
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

// Network performs the engine's effects on the network. It reports events through transport.Handler.
type Network interface {
	// Connect opens a connection. Opened or Closed is called when it succeeds or fails.
	Connect(addr netip.AddrPort) transport.Conn
	// Write queues bytes for writing. Written reports how many the operating system has accepted.
	Write(c transport.Conn, b []byte)
	// Finish closes a connection after everything written has been delivered. Closed is called
	// then.
	Finish(c transport.Conn)
	// Close closes a connection immediately. Closed is not called.
	Close(c transport.Conn)
	// SetReading enables or disables reading from a connection.
	SetReading(c transport.Conn, on bool)
	// SetAccepting enables or disables the accepting of client connections.
	SetAccepting(on bool)
	// Retract discards everything written from an offset on, if the operating system has accepted
	// none of it, and reports whether it did.
	Retract(c transport.Conn, from int64) bool
	// CloseListeners closes the listeners. It returns false if some clients have connected but cannot
	// be accepted yet; their listeners stay open, and it must be called again.
	CloseListeners() (closed bool)
	// ListenerIndex returns the number of the listener that accepted a connection; 0 is the HTTP listener.
	ListenerIndex(c transport.Conn) int
	// SetTimer requests a turn at the given time, in place of the time requested before.
	SetTimer(at float64)
	// Stop ends the event loop.
	Stop()
}

// Engine holds the state of one aggregator. Everything in it belongs to the goroutine of the event
// loop, except the atomic address of discovery and Post.
type Engine struct {
	DiscoveryAddr atomic.Pointer[netip.AddrPort] // address of discovery; other goroutines store it before they notify MoveDiscovery

	network        Network
	pool           *transport.Pool
	log            *rateLimitedLog
	policy         policy.Decider
	Counters       Counters
	now            float64 // time of the current turn, in ms of the loop's clock
	wakeAt         float64 // when the policy is to be woken; +Inf: not requested
	timers         timers
	endpoints      []endpoint   // indexed by connection
	clientCount    int          // open HTTP client connections
	partialBuffers int          // buffers held by incomplete requests
	idleClients    []idleClient // clients that have sent a request, in the order in which they became idle
	silentClients  []idleClient // clients that have sent nothing yet, in the order in which they connected
	serverList     serverList
	initialList    []byte // server list that was known at start; nil once applied
	config         config
	frontends      []Frontend  // listener number i belongs to frontends[i-1]
	postedFuncs    chan func() // functions of other goroutines that wait to run in the loop
	meter          Meter       // nil: usage is not metered
	started        bool        // the first turn has begun

	entries           []indexEntry       // by the policy's index
	freeEntries       []int              // indices that are free
	pendingCount      int                // open searches and shard requests without a reply
	openSearches      int                // searches without an answer that the policy knows
	searchByID        map[string]*search // searches of HTTP clients without an answer
	serversToSend     []int              // servers for which this round has planned attempts
	outcomes          []attemptResult    // not yet delivered to the policy
	probeResults      []probeResult      // not yet delivered to the policy
	endedSearches     []*search          // ended in this turn; the policy is notified in EndTurn
	resumedClients    []*client          // clients whose pipelined bytes can be read now
	turnRequested     bool               // work is left for which no event will start a turn
	writeBuffer       []byte             // for the message that is being written
	answerBuffer      []byte             // for the answer that is being encoded
	sharedBuffer      []byte             // storage for requests and frames that arrive in one piece
	parsedRequests    []parsedRequest    // shard requests of the search that is being read
	lastSearchOfShard []int64            // by shard: the sequence number of the last search that named it
	searchSequence    int64              // sequence number of the search that is being read

	socketCount          int            // open connections of all kinds
	closedConn           transport.Conn // closed by the peer in the event that is being handled, or noConn
	accepting            bool           // client connections are being accepted
	evictionScheduled    bool           // a further eviction is scheduled
	outOfDescriptors     bool           // accepting is suspended and no client can be evicted
	stopping             bool           // the shutdown has begun
	listenersClosed      bool           // no further client is accepted
	listenerClosePending bool           // clients have connected that cannot be accepted yet, so the listeners are still open
	stoppedAt            float64        // when the shutdown began
	killAt               float64        // earliest time at which the process may be killed; +Inf: no shutdown has begun
}

// endpoint identifies the peer of a connection; at most one field is set.
type endpoint struct {
	client  *client
	conn    *serverConn
	watch   *watch
	handler ConnHandler
}

// indexEntry is the search or the shard request that one of the policy's indices refers to.
type indexEntry struct {
	search  *search
	request *shardRequest
}

// probeResult is the result of a health check that the policy has not been told yet.
type probeResult struct {
	server int
	ok     bool
	sentAt float64
	report []float64
}

// attemptResult is the outcome of an attempt that the policy has not been told yet.
type attemptResult struct {
	attempt *attempt
	outcome policy.Outcome
	report  []float64
}

// New returns an engine that has its settings and knows no server yet. sockets is the number of
// descriptors that the process may open, known is the server list that the first turn applies, and
// epoch is the Unix time in milliseconds at which the loop's clock was 0.
func New(network Network, pool *transport.Pool, log zerolog.Logger, set settings.Values, seed uint64, sockets int,
	known []byte, discovery netip.AddrPort, epoch float64) *Engine {
	e := &Engine{
		network:      network,
		pool:         pool,
		log:          &rateLimitedLog{log: log},
		wakeAt:       math.Inf(1),
		killAt:       math.Inf(1),
		accepting:    true,
		initialList:  known,
		closedConn:   noConn,
		postedFuncs:  make(chan func(), maxPosted),
		searchByID:   map[string]*search{},
		sharedBuffer: make([]byte, 0, pool.Size),
		serverList:   serverList{addr: discovery, epoch: epoch, indexOf: map[string]int{}},
		config:       newConfig(set, sockets),
	}
	for queryType, twoPhase := range e.config.twoPhase {
		if twoPhase {
			e.log.warn("two-phase query type", "searches of query type %q fail: the second phase is not implemented",
				e.config.queryTypeNames[queryType])
		}
	}
	e.policy = set.NewPolicy(e, seed)
	return e
}

// Policy returns the policy, or the one set by ReplacePolicy.
func (e *Engine) Policy() policy.Decider { return e.policy }

// BeginTurn starts a turn, and with it a round of the policy: all events of the turn belong to it.
func (e *Engine) BeginTurn(now float64) {
	e.now, e.log.now = now, now
	e.turnRequested = false
	e.policy.BeginRound(now)
	if !e.started {
		e.started = true
		e.openWatch() // before the list is applied: the watch must be open even if the list is unusable
		known := e.initialList
		e.initialList = nil
		if err := e.applyList(&watch{}, known); err != nil {
			e.Counters.BadLists++
			e.log.warn("no list to begin with", "%v", err)
		}
	}
}

// EndTurn runs the timers that are due, lets the policy decide and carries out its decisions. Results
// of these decisions are delivered in the next turn, because the policy is never called while one
// of its own calls is in progress. again reports whether work is left for which no event will start
// a turn.
func (e *Engine) EndTurn() (again bool) {
	e.deliverResults()
	for len(e.timers) > 0 && e.timers[0].dueAt <= e.now {
		e.timers.popEarliest().run(e)
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
		e.policy.WakeUpDue()
	}
	e.policy.EndRound()
	e.sendBatches()
	for _, frontend := range e.frontends {
		frontend.Flush()
	}
	e.stopWhenIdle()
	next := e.wakeAt
	if len(e.timers) > 0 {
		next = min(next, e.timers[0].dueAt)
	}
	if !math.IsInf(next, 1) {
		e.network.SetTimer(next)
	}
	return e.turnRequested || len(e.outcomes)+len(e.probeResults) > 0 || len(e.resumedClients) > 0
}

// deliverResults tells the policy the outcomes of attempts and health checks.
func (e *Engine) deliverResults() {
	for i := 0; i < len(e.outcomes); i++ {
		result := e.outcomes[i]
		req := result.attempt.request
		if result.outcome == policy.Answered && !req.reported {
			if req.reported = true; !req.search.ended {
				e.pendingCount--
			}
		}
		e.Counters.countOutcome(result.outcome)
		e.policy.AttemptDone(req.index, result.attempt.number, result.outcome, result.report)
	}
	e.outcomes = e.outcomes[:0]
	for _, result := range e.probeResults {
		e.policy.ProbeDone(result.server, result.ok, e.now-result.sentAt, result.report)
	}
	e.probeResults = e.probeResults[:0]
}

// afterFunc schedules run to be called after a delay in milliseconds.
func (e *Engine) afterFunc(delay float64, run func(e *Engine)) *timer {
	return e.timers.add(e.now+delay, run)
}

// Post runs do in the loop; it may be called from other goroutines. tell must notify the loop,
// which then calls Notified. The queue is bounded: if it is full, Post does nothing and returns
// false, so that the callers are slowed down and never the loop.
func (e *Engine) Post(tell func(what int32), do func()) bool {
	select {
	case e.postedFuncs <- do:
		tell(RunPosted)
		return true
	default:
		return false
	}
}

// newIndex assigns a free index to a search or a shard request.
func (e *Engine) newIndex(entry indexEntry) int {
	if n := len(e.freeEntries); n > 0 {
		index := e.freeEntries[n-1]
		e.freeEntries = e.freeEntries[:n-1]
		e.entries[index] = entry
		return index
	}
	e.entries = append(e.entries, entry)
	return len(e.entries) - 1
}

// endpoint returns the endpoint of a connection, or an empty one for noConn.
func (e *Engine) endpoint(c transport.Conn) *endpoint {
	for int(c) >= len(e.endpoints) {
		e.endpoints = append(e.endpoints, endpoint{})
	}
	if c < 0 {
		return &endpoint{}
	}
	return &e.endpoints[c]
}

// ScheduleWakeUp implements policy.Executor. The other methods of policy.Executor are in the files of the operations
// that they start.
func (e *Engine) ScheduleWakeUp(delay float64) { e.wakeAt = min(e.wakeAt, e.now+delay) }

// Log implements policy.Executor. Lines about a zone have a kind of their own in the rate limit, so that
// lines about single servers do not suppress them.
func (e *Engine) Log(text string) {
	kind := "decision"
	if strings.HasPrefix(text, "site ") {
		kind = "site"
	}
	e.log.info(kind, "%s", text)
}

// ReleaseSearch implements policy.Executor. It frees the indices of a search that has no attempt in flight.
func (e *Engine) ReleaseSearch(index int) {
	search := e.entries[index].search
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			invariant.Check(attempt.state == stateEnded, "a forgotten search has no attempt in flight")
		}
		e.entries[req.index] = indexEntry{}
		e.freeEntries = append(e.freeEntries, req.index)
	}
	invariant.Check(search.ended, "a forgotten search has its final answer")
	search.forgotten = true
	e.recordUsage(search)
	e.entries[index] = indexEntry{}
	e.freeEntries = append(e.freeEntries, index)
}

const (
	noConn = transport.Conn(-1)

	maxPosted       = 256 // functions from other goroutines that may wait for a turn
	reservedSockets = 16  // descriptors reserved for the runtime, the loop, standard streams, discovery and the listeners
	stallThreshold  = 100 // ms; a timer that is later than this means that the aggregator itself was stalled
	roundRetryDelay = 10  // ms from a round that panicked to the next turn
)
