package routing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
)

// This file simulates model brokers: an engine runs requests in batches, prefills prompts in chunks
// between the decode steps of other requests, and evicts cached parts when it needs memory. The
// simulation shows how many prompt tokens are prefilled repeatedly because of the router's choices.

const (
	engineStepTime           = 3.0  // ms a step
	engineStepTimePerRequest = 0.1  // ms more for each request in the batch
	enginePrefillRate        = 57.  // prompt tokens per ms
	enginePrefillChunk       = 1024 // prompt tokens per step
	engineMemoryTokens       = 112000
	engineBatchSize          = 64    // requests
	engineQueueLimit         = 192   // requests
	engineTransferRate       = 3700. // tokens per ms between engines of a zone
	engineFirstEventDelay    = 13.0  // ms until a token reaches the network as an event
	deadSourceFetchTime      = 300.0 // ms that a fetch from a dead source takes
	storeTransferRate        = 340.  // tokens per ms to or from the store
	storeMemoryTokens        = 1800000
	storeAddress             = "10.9.0.1:9000"
)

// kvKey identifies a cached part of a prompt.
type kvKey struct {
	salt string
	part uint64
}

// kvPart is a cached part of a prompt. It is evicted only while it has no users.
type kvPart struct {
	tokens     int
	users      int // running requests whose prompt contains it
	lastUsedAt core.Time
}

// engine is a simulated model broker, or the store, which only caches parts.
type engine struct {
	sim        *engineSim
	id, zone   string
	parts      map[kvKey]*kvPart
	usedTokens int // of its memory
	waiting    []*generation
	running    []*generation
	busy       bool // a step is scheduled
	dead       bool
	linkFreeAt core.Time // when its current transfers are over
}

// generation is a request at an engine.
type generation struct {
	client          *simClient
	attempt         *Attempt
	engine          *engine
	arrivedAt       core.Time
	fetchedAt       core.Time // when its cached parts have been fetched
	unreadTokens    int       // prompt tokens to prefill
	remainingTokens int       // tokens to generate
	reservedTokens  int       // memory for the tokens to generate
	started         bool      // the first token was generated
	ended           bool
}

// engineSim is a simulation whose brokers are engines.
type engineSim struct {
	*simulation
	engines        map[string]*engine // by instance id
	byAddress      map[string]*engine // the store included
	prefilledParts map[kvKey]bool     // parts that some engine has prefilled

	index       *delayedIndex // nil: none
	notifyPeers bool          // proxies notify one another of the prompts that they send
	store       *engine
	results     map[string]*routeResult // by route

	// Prompt tokens in all.
	prefilledTokens int
	repeatedTokens  int // prefilled, although some engine had prefilled them before
	fetchedTokens   int
	savedTokens     int
}

func newEngineSim(t *testing.T, proxies, brokers int, indexed bool) *engineSim {
	var index *delayedIndex
	sim := newSimulation
	if indexed {
		index = &delayedIndex{}
		sim = func(t *testing.T, proxies, brokers int) *simulation {
			return newSimulationWith(t, proxies, brokers, index)
		}
	}
	s := &engineSim{simulation: sim(t, proxies, brokers), index: index, engines: map[string]*engine{}, byAddress: map[string]*engine{},
		prefilledParts: map[kvKey]bool{}, results: map[string]*routeResult{}}
	s.store = &engine{sim: s, zone: "z0", parts: map[kvKey]*kvPart{}}
	s.byAddress[storeAddress] = s.store
	s.heartbeat()
	for id, b := range s.brokers {
		b.instance.Slots = engineBatchSize
		b.instance.Address = "10.1.0.1:" + id
		e := &engine{sim: s, id: id, zone: b.instance.Zone, parts: map[kvKey]*kvPart{}}
		s.engines[id] = e
		s.byAddress[b.instance.Address] = e
	}
	return s
}

// sendRequests sends requests at an average rate until a time. request returns a request and the number
// of tokens to generate for it.
func (s *engineSim) sendRequests(perSecond float64, until core.Time, request func() (Request, int)) {
	var next func()
	next = func() {
		q, out := request()
		s.newRequest(q, out)
		if gap := core.Time(s.random.ExpFloat64() / perSecond * float64(time.Second)); s.now+gap < until {
			s.at(s.now+gap, next)
		}
	}
	s.at(s.now, next)
}

// heartbeat tells the proxies whether the store is alive, and updates the index, once a second.
func (s *engineSim) heartbeat() {
	s.refreshIndex()
	for _, r := range s.proxies {
		r.RecordStoreHealth(s.now, storeAddress, !s.store.dead, false)
	}
	if s.now < time.Minute {
		s.at(s.now+time.Second, s.heartbeat)
	}
}

// routeResult counts the requests of one route by their result.
type routeResult struct {
	requests           int
	inTime             int
	inTimeAfterRefusal int
	late               int
	ttfb               []float64 // times to the first event, ms
}

func (s *engineSim) result(q *Request) *routeResult {
	k := s.results[q.Route.Name]
	if k == nil {
		k = &routeResult{}
		s.results[q.Route.Name] = k
	}
	return k
}

// newRequest sends a request that has out tokens to generate. Its client tries again once if it is
// refused.
func (s *engineSim) newRequest(q Request, out int) {
	q.Deadline = s.now + units.FromMilliseconds(q.Route.TimeoutMs)
	q.TokensOut = out
	s.result(&q).requests++
	s.beginRequest(q, false)
}

// beginRequest sends a request to a random proxy. retried: it is the second try of its client.
func (s *engineSim) beginRequest(q Request, retried bool) {
	q.Received = s.now
	c := &simClient{proxy: s.random.IntN(len(s.proxies)), request: q, retried: retried}
	s.requests++
	var d Decision
	c.id, d = s.proxies[c.proxy].Begin(s.now, q)
	s.at(q.Deadline, func() { s.finishRequest(c, &s.failed) })
	s.carryOut(c, d, q.TokensOut)
}

// carryOut carries out a decision of the client's proxy.
func (s *engineSim) carryOut(c *simClient, d Decision, out int) {
	if s.trace != nil {
		s.trace.add(s.now, d)
	}
	if d.Refusal != nil {
		s.finishRequest(c, &s.refused)
		if !c.retried {
			s.at(s.now+max(d.Refusal.RetryAfter, networkDelay), func() { s.beginRequest(c.request, true) })
		}
	}
	if d.Attempt == nil {
		return
	}
	s.deliverSentPrompt(c.proxy, d.Attempt.SentPrompt)
	g := &generation{client: c, attempt: d.Attempt, engine: s.engines[d.Attempt.Instance.ID], remainingTokens: out}
	c.calls = append(c.calls, &simCall{client: c, attempt: d.Attempt, broker: s.brokers[g.engine.id]})
	if d.Attempt.HedgeAt != core.Never {
		s.at(d.Attempt.HedgeAt, func() {
			if !c.done && !g.started && !g.ended {
				s.carryOut(c, s.proxies[c.proxy].Hedge(s.now, c.id), out)
			}
		})
	}
	s.at(s.now+networkDelay, func() { g.engine.receive(g) })
}

// deliverSentPrompt notifies the other proxies of a prompt that one has sent to an engine.
func (s *engineSim) deliverSentPrompt(from int, sent *SentPrompt) {
	if !s.notifyPeers || sent == nil {
		return
	}
	s.at(s.now+2*networkDelay, func() {
		for i, r := range s.proxies {
			if i != from {
				r.RecordPeerPrompt(s.now, *sent)
			}
		}
	})
}

func (e *engine) load() *Load {
	return &Load{Running: len(e.running), Waiting: len(e.waiting), Slots: engineBatchSize}
}

// receive queues a request by its priority, or refuses it if the queue is full.
func (e *engine) receive(g *generation) {
	if g.client.done || e.dead {
		return
	}
	if len(e.waiting) >= engineQueueLimit {
		s := e.sim
		s.at(s.now+networkDelay, func() {
			o := outcomeFull
			o.Load = e.load()
			g.ended = true
			s.carryOut(g.client, s.proxies[g.client.proxy].AttemptEnded(s.now, g.client.id, g.attempt.Number, o, false), g.remainingTokens)
		})
		return
	}
	g.arrivedAt = e.sim.now
	e.waiting = append(e.waiting, g)
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return cmp.Compare(a.attempt.Priority, b.attempt.Priority) })
	e.startSteps()
}

// startSteps schedules steps unless the engine is busy or dead.
func (e *engine) startSteps() {
	if !e.busy && !e.dead {
		e.busy = true
		e.step()
	}
}

// step admits the waiting requests that fit, prefills a chunk of prompts, and generates a token for each
// other running request.
func (e *engine) step() {
	s := e.sim
	e.running = slices.DeleteFunc(e.running, func(g *generation) bool {
		if g.client.done || g.ended {
			e.release(g)
			return true
		}
		return false
	})
	e.waiting = slices.DeleteFunc(e.waiting, func(g *generation) bool { return g.client.done })
	for len(e.waiting) > 0 && len(e.running) < engineBatchSize && e.admit(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	took := engineStepTime + engineStepTimePerRequest*float64(len(e.running))
	budget := enginePrefillChunk
	for _, g := range e.running {
		if g.unreadTokens > 0 && budget > 0 && s.now >= g.fetchedAt {
			n := min(g.unreadTokens, budget)
			g.unreadTokens -= n
			budget -= n
		}
	}
	took += float64(enginePrefillChunk-budget) / enginePrefillRate
	s.at(s.now+units.FromMilliseconds(took), func() {
		for _, g := range e.running {
			if g.unreadTokens == 0 && s.now >= g.fetchedAt {
				e.emitToken(g)
			}
		}
		e.step()
	})
}

// admit reserves memory for a request and starts to fetch its cached parts. It returns false, and changes
// nothing but evictions, if there isn't enough memory.
func (e *engine) admit(g *generation) bool {
	s, q := e.sim, g.client.request
	cached := 0
	for cached < len(q.Parts) && e.parts[kvKey{g.attempt.Salt, q.Parts[cached].ID}] != nil {
		cached++
	}
	need := q.TokensOut
	for _, p := range q.Parts[cached:] {
		need += p.Tokens
	}
	for _, p := range q.Parts[:cached] {
		e.parts[kvKey{g.attempt.Salt, p.ID}].users++
	}
	if !e.makeRoom(need, engineMemoryTokens) {
		for _, p := range q.Parts[:cached] {
			e.parts[kvKey{g.attempt.Salt, p.ID}].users--
		}
		return false
	}
	fetched := e.fetch(g, q.Parts[cached:])
	for i, p := range q.Parts[cached:] {
		key := kvKey{g.attempt.Salt, p.ID}
		if i >= fetched {
			g.unreadTokens += p.Tokens
			s.prefilledTokens += p.Tokens
			if s.prefilledParts[key] {
				s.repeatedTokens += p.Tokens
			}
			s.prefilledParts[key] = true
		}
	}
	for _, p := range q.Parts[cached:] {
		key := kvKey{g.attempt.Salt, p.ID}
		e.parts[key] = &kvPart{tokens: p.Tokens, users: 1, lastUsedAt: s.now}
	}
	e.usedTokens += need
	g.reservedTokens = q.TokensOut
	g.unreadTokens = max(g.unreadTokens, 1)
	return true
}

// fetch fetches missing parts from the source that the attempt names, as far as the source caches them in
// order, and returns their number.
func (e *engine) fetch(g *generation, missing []prompt.Part) int {
	s := e.sim
	source := s.byAddress[g.attempt.FetchFrom]
	if source == nil || len(missing) == 0 {
		return 0
	}
	if source.dead {
		g.fetchedAt = s.now + units.FromMilliseconds(deadSourceFetchTime)
		return 0
	}
	tokens, n := 0, 0
	for _, p := range missing {
		if source.parts[kvKey{g.attempt.Salt, p.ID}] == nil {
			break
		}
		tokens += p.Tokens
		n++
	}
	took := 1 + float64(tokens)/engineTransferRate
	if source == s.store {
		took = 1 + float64(tokens)/storeTransferRate
	}
	if source.zone != e.zone {
		took *= 2
	}
	from := max(e.linkFreeAt, source.linkFreeAt, s.now)
	g.fetchedAt = from + units.FromMilliseconds(took)
	e.linkFreeAt, source.linkFreeAt = g.fetchedAt, g.fetchedAt
	s.fetchedTokens += tokens
	return n
}

// save saves the parts of a prefilled prompt in the store if the attempt says so.
func (e *engine) save(g *generation) {
	store := e.sim.store
	if g.attempt.SaveTo == "" || store.dead {
		return
	}
	for _, p := range g.client.request.Parts {
		key := kvKey{g.attempt.Salt, p.ID}
		if part := store.parts[key]; part != nil {
			part.lastUsedAt = e.sim.now
			continue
		}
		store.makeRoom(p.Tokens, storeMemoryTokens)
		store.parts[key] = &kvPart{tokens: p.Tokens, lastUsedAt: e.sim.now}
		store.usedTokens += p.Tokens
		e.sim.savedTokens += p.Tokens
	}
}

// makeRoom evicts the parts that weren't used for longest until need tokens fit into the memory. It
// returns false if too many parts are in use.
func (e *engine) makeRoom(need, memory int) bool {
	for e.usedTokens+need > memory {
		var oldest kvKey
		var unused *kvPart
		for k, p := range e.parts {
			if p.users == 0 && (unused == nil || p.lastUsedAt < unused.lastUsedAt || p.lastUsedAt == unused.lastUsedAt && k.part < oldest.part) {
				oldest, unused = k, p
			}
		}
		if unused == nil {
			return false
		}
		e.usedTokens -= unused.tokens
		delete(e.parts, oldest)
	}
	return true
}

// release frees the reserved memory of a request. Its parts stay cached.
func (e *engine) release(g *generation) {
	for _, p := range g.client.request.Parts {
		if part := e.parts[kvKey{g.attempt.Salt, p.ID}]; part != nil {
			part.users--
			part.lastUsedAt = e.sim.now
		}
	}
	e.usedTokens -= g.reservedTokens
	g.reservedTokens = 0
}

// emitToken generates one token of a request. The first one starts the answer, the last one ends it.
func (e *engine) emitToken(g *generation) {
	s, c := e.sim, g.client
	if g.ended || c.done {
		return
	}
	if !g.started {
		g.started = true
		e.save(g)
		s.at(s.now+units.FromMilliseconds(engineFirstEventDelay)+networkDelay, func() {
			if c.done {
				return
			}
			s.proxies[c.proxy].AnswerStarted(s.now, c.id, g.attempt.Number, e.load())
			if c.answered {
				return
			}
			c.answered = true
			took := units.Milliseconds(s.now - c.request.Received)
			k := s.result(&c.request)
			k.ttfb = append(k.ttfb, took)
			switch {
			case took > c.request.Route.TargetLatencyMs:
				k.late++
			case c.retried:
				k.inTimeAfterRefusal++
			default:
				k.inTime++
			}
		})
	}
	if g.remainingTokens--; g.remainingTokens <= 0 {
		g.ended = true
		s.at(s.now+units.FromMilliseconds(engineFirstEventDelay)+2*networkDelay, func() {
			if !c.done {
				s.proxies[c.proxy].AttemptEnded(s.now, c.id, g.attempt.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
				s.finishRequest(c, &s.served)
			}
		})
	}
}
