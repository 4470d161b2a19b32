package routing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
)

// A simulation of model brokers: requests run in batches, prompts are read piece by piece between
// other requests' tokens, and the memory keeps parts until room is needed. It shows what the
// router's choices mean for reading prompts again.

const (
	engineStep      = 3.0 // ms a step
	engineStepEach  = 0.1 // ms more for each request in the batch
	engineRead      = 57. // prompt tokens read in a ms
	engineChunk     = 1024
	engineMemory    = 112000
	engineBatch     = 64
	engineQueue     = 192
	engineMove      = 3700. // tokens moved in a ms within a zone
	engineFirst     = 13.0  // ms before the first event
	engineDeadFetch = 300.0 // ms that a fetch from a dead source costs
	storeMove       = 340.  // tokens moved in a ms to or from the store
	storeMemory     = 1800000
	storeAddress    = "10.9.0.1:9000"
)

type kvKey struct {
	salt string
	part uint64
}

type kvPart struct {
	tokens int
	users  int
	used   core.Time
}

type engine struct {
	sim      *engineSim
	id, zone string
	parts    map[kvKey]*kvPart
	held     int
	waiting  []*generation
	running  []*generation
	busy     bool
	dead     bool
	moveFree core.Time
}

type generation struct {
	client   *simClient
	attempt  *Attempt
	engine   *engine
	arrived  core.Time
	readyAt  core.Time // fetched
	left     int       // tokens to read
	out      int       // tokens to make
	reserved int
	first    bool
	over     bool
}

type engineSim struct {
	*simulation
	engines map[string]*engine
	byAddr  map[string]*engine
	known   map[kvKey]bool // parts that some broker has read

	index            *lateIndex
	notifies         bool // proxies tell one another what they send
	store            *engine
	kinds            map[string]*kindResult
	readAgain, moved int
	readAll, saved   int
}

func newEngineSim(t *testing.T, proxies, brokers int, indexed bool) *engineSim {
	var index *lateIndex
	sim := newSimulation
	if indexed {
		index = &lateIndex{}
		sim = func(t *testing.T, proxies, brokers int) *simulation {
			return newSimulationWith(t, proxies, brokers, index)
		}
	}
	s := &engineSim{simulation: sim(t, proxies, brokers), index: index, engines: map[string]*engine{}, byAddr: map[string]*engine{},
		known: map[kvKey]bool{}, kinds: map[string]*kindResult{}}
	s.store = &engine{sim: s, zone: "z0", parts: map[kvKey]*kvPart{}}
	s.byAddr[storeAddress] = s.store
	s.heartbeat()
	for id, b := range s.brokers {
		b.instance.Slots = engineBatch
		b.instance.Address = "10.1.0.1:" + id
		e := &engine{sim: s, id: id, zone: b.instance.Zone, parts: map[kvKey]*kvPart{}}
		s.engines[id] = e
		s.byAddr[b.instance.Address] = e
	}
	return s
}

func (s *engineSim) generate(perSecond float64, until core.Time, request func() (Request, int)) {
	var next func()
	next = func() {
		q, out := request()
		s.begin(q, out)
		if gap := core.Time(s.random.ExpFloat64() / perSecond * float64(time.Second)); s.now+gap < until {
			s.at(s.now+gap, next)
		}
	}
	s.at(s.now, next)
}

// lateIndex is an index that is brought up to date once a second.
type lateIndex struct {
	holders map[kvKeyID][]prefixcache.Holder
}

type kvKeyID struct{ salt, part uint64 }

func (x *lateIndex) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	var found []prefixcache.Holder
	for i, part := range parts {
		keep := x.holders[kvKeyID{salt, part.ID}]
		if i == 0 {
			found = slices.Clone(keep)
			continue
		}
		for j := range found {
			for _, h := range keep {
				if h.Instance == found[j].Instance && found[j].Tokens == sumTokens(parts[:i]) {
					found[j].Tokens += h.Tokens
				}
			}
		}
	}
	return found
}

func sumTokens(parts []prompt.Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

func (s *engineSim) reindex() {
	if s.index == nil {
		return
	}
	s.index.holders = map[kvKeyID][]prefixcache.Holder{}
	addHolders := func(e *engine, h prefixcache.Holder) {
		for key, part := range e.parts {
			id := kvKeyID{cachesalt.ID(key.salt), key.part}
			h.Tokens = part.tokens
			s.index.holders[id] = append(s.index.holders[id], h)
		}
	}
	for id, e := range s.engines {
		addHolders(e, prefixcache.Holder{Instance: id})
	}
	addHolders(s.store, prefixcache.Holder{Instance: storeAddress, Store: true})
}

// heartbeat gives the store's signs of life, and brings the index up to date.
func (s *engineSim) heartbeat() {
	s.reindex()
	for _, r := range s.proxies {
		r.StoreSeen(s.now, storeAddress, !s.store.dead, false)
	}
	if s.now < time.Minute {
		s.at(s.now+time.Second, s.heartbeat)
	}
}

// kindResult is what became of the requests of one route.
type kindResult struct {
	owed, inTime, afterRefusal, late int
	ttfb                             []float64
}

func (s *engineSim) kind(q *Request) *kindResult {
	k := s.kinds[q.Route.Name]
	if k == nil {
		k = &kindResult{}
		s.kinds[q.Route.Name] = k
	}
	return k
}

// begin sends a new request; a client comes again once where it is refused.
func (s *engineSim) begin(q Request, out int) {
	q.Deadline = s.now + units.FromMilliseconds(q.Route.TimeoutMs)
	q.TokensOut = out
	s.kind(&q).owed++
	s.try(q, false)
}

func (s *engineSim) try(q Request, again bool) {
	q.Received = s.now
	c := &simClient{proxy: s.random.IntN(len(s.proxies)), request: q, retried: again}
	s.requests++
	var d Decision
	c.id, d = s.proxies[c.proxy].Begin(s.now, q)
	s.at(q.Deadline, func() { s.finish(c, &s.failed) })
	s.decide(c, d, q.TokensOut)
}

func (s *engineSim) decide(c *simClient, d Decision, out int) {
	if s.trace != nil {
		s.trace.add(s.now, d)
	}
	if d.Refusal != nil {
		s.finish(c, &s.refused)
		if !c.retried {
			s.at(s.now+max(d.Refusal.RetryAfter, hop), func() { s.try(c.request, true) })
		}
	}
	if d.Attempt == nil {
		return
	}
	s.notify(c.proxy, d.Attempt.SentPrompt)
	g := &generation{client: c, attempt: d.Attempt, engine: s.engines[d.Attempt.Instance.ID], out: out}
	c.calls = append(c.calls, &simCall{client: c, attempt: d.Attempt, broker: s.brokers[g.engine.id]})
	if d.Attempt.HedgeAt != core.Never {
		s.at(d.Attempt.HedgeAt, func() {
			if !c.done && !g.first && !g.over {
				s.decide(c, s.proxies[c.proxy].Hedge(s.now, c.id), out)
			}
		})
	}
	s.at(s.now+hop, func() { g.engine.take(g) })
}

// notify passes on what a proxy has sent to a broker.
func (s *engineSim) notify(from int, sent *SentPrompt) {
	if !s.notifies || sent == nil {
		return
	}
	s.at(s.now+2*hop, func() {
		for i, r := range s.proxies {
			if i != from {
				r.PeerSentPrompt(s.now, *sent)
			}
		}
	})
}

func (e *engine) load() *Load {
	return &Load{Running: len(e.running), Waiting: len(e.waiting), Slots: engineBatch}
}

func (e *engine) take(g *generation) {
	if g.client.done || e.dead {
		return
	}
	if len(e.waiting) >= engineQueue {
		s := e.sim
		s.at(s.now+hop, func() {
			o := outcomeFull
			o.Load = e.load()
			g.over = true
			s.decide(g.client, s.proxies[g.client.proxy].Finished(s.now, g.client.id, g.attempt.Number, o, false), g.out)
		})
		return
	}
	g.arrived = e.sim.now
	e.waiting = append(e.waiting, g)
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return cmp.Compare(a.attempt.Priority, b.attempt.Priority) })
	e.wake()
}

func (e *engine) wake() {
	if !e.busy && !e.dead {
		e.busy = true
		e.step()
	}
}

// step lets in what fits, reads a piece of a prompt and makes a token for each other request.
func (e *engine) step() {
	s := e.sim
	e.running = slices.DeleteFunc(e.running, func(g *generation) bool {
		if g.client.done || g.over {
			e.leave(g)
			return true
		}
		return false
	})
	e.waiting = slices.DeleteFunc(e.waiting, func(g *generation) bool { return g.client.done })
	for len(e.waiting) > 0 && len(e.running) < engineBatch && e.enter(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	took := engineStep + engineStepEach*float64(len(e.running))
	budget := engineChunk
	for _, g := range e.running {
		if g.left > 0 && budget > 0 && s.now >= g.readyAt {
			n := min(g.left, budget)
			g.left -= n
			budget -= n
		}
	}
	took += float64(engineChunk-budget) / engineRead
	s.at(s.now+units.FromMilliseconds(took), func() {
		for _, g := range e.running {
			if g.left == 0 && s.now >= g.readyAt {
				e.token(g)
			}
		}
		e.step()
	})
}

// enter admits a request if its memory can be had.
func (e *engine) enter(g *generation) bool {
	s, q := e.sim, g.client.request
	kept := 0
	for kept < len(q.Parts) && e.parts[kvKey{g.attempt.Salt, q.Parts[kept].ID}] != nil {
		kept++
	}
	need := q.TokensOut
	for _, p := range q.Parts[kept:] {
		need += p.Tokens
	}
	for _, p := range q.Parts[:kept] {
		e.parts[kvKey{g.attempt.Salt, p.ID}].users++
	}
	if !e.freeTokens(need, engineMemory) {
		for _, p := range q.Parts[:kept] {
			e.parts[kvKey{g.attempt.Salt, p.ID}].users--
		}
		return false
	}
	moved := e.fetch(g, q.Parts[kept:])
	for i, p := range q.Parts[kept:] {
		key := kvKey{g.attempt.Salt, p.ID}
		if i >= moved {
			g.left += p.Tokens
			s.readAll += p.Tokens
			if s.known[key] {
				s.readAgain += p.Tokens
			}
			s.known[key] = true
		}
	}
	for _, p := range q.Parts[kept:] {
		key := kvKey{g.attempt.Salt, p.ID}
		e.parts[key] = &kvPart{tokens: p.Tokens, users: 1, used: s.now}
	}
	e.held += need
	g.reserved = q.TokensOut
	g.left = max(g.left, 1)
	return true
}

// fetch moves what the named source keeps, and returns how many parts come.
func (e *engine) fetch(g *generation, missing []prompt.Part) int {
	s := e.sim
	source := s.byAddr[g.attempt.FetchFrom]
	if source == nil || len(missing) == 0 {
		return 0
	}
	if source.dead {
		g.readyAt = s.now + units.FromMilliseconds(engineDeadFetch)
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
	took := 1 + float64(tokens)/engineMove
	if source == s.store {
		took = 1 + float64(tokens)/storeMove
	}
	if source.zone != e.zone {
		took *= 2
	}
	from := max(e.moveFree, source.moveFree, s.now)
	g.readyAt = from + units.FromMilliseconds(took)
	e.moveFree, source.moveFree = g.readyAt, g.readyAt
	s.moved += tokens
	return n
}

// save sends the parts of a prompt that was read to the store.
func (e *engine) save(g *generation) {
	store := e.sim.store
	if g.attempt.SaveTo == "" || store.dead {
		return
	}
	for _, p := range g.client.request.Parts {
		key := kvKey{g.attempt.Salt, p.ID}
		if kept := store.parts[key]; kept != nil {
			kept.used = e.sim.now
			continue
		}
		store.freeTokens(p.Tokens, storeMemory)
		store.parts[key] = &kvPart{tokens: p.Tokens, used: e.sim.now}
		store.held += p.Tokens
		e.sim.saved += p.Tokens
	}
}

func (e *engine) freeTokens(need, memory int) bool {
	for e.held+need > memory {
		var oldest kvKey
		var unused *kvPart
		for k, p := range e.parts {
			if p.users == 0 && (unused == nil || p.used < unused.used || p.used == unused.used && k.part < oldest.part) {
				oldest, unused = k, p
			}
		}
		if unused == nil {
			return false
		}
		e.held -= unused.tokens
		delete(e.parts, oldest)
	}
	return true
}

func (e *engine) leave(g *generation) {
	for _, p := range g.client.request.Parts {
		if part := e.parts[kvKey{g.attempt.Salt, p.ID}]; part != nil {
			part.users--
			part.used = e.sim.now
		}
	}
	e.held -= g.reserved
	g.reserved = 0
}

func (e *engine) token(g *generation) {
	s, c := e.sim, g.client
	if g.over || c.done {
		return
	}
	if !g.first {
		g.first = true
		e.save(g)
		s.at(s.now+units.FromMilliseconds(engineFirst)+hop, func() {
			if c.done {
				return
			}
			s.proxies[c.proxy].Started(s.now, c.id, g.attempt.Number, e.load())
			if c.answered {
				return
			}
			c.answered = true
			took := units.Milliseconds(s.now - c.request.Received)
			k := s.kind(&c.request)
			k.ttfb = append(k.ttfb, took)
			switch {
			case took > c.request.Route.TargetLatencyMs:
				k.late++
			case c.retried:
				k.afterRefusal++
			default:
				k.inTime++
			}
		})
	}
	if g.out--; g.out <= 0 {
		g.over = true
		s.at(s.now+units.FromMilliseconds(engineFirst)+2*hop, func() {
			if !c.done {
				s.proxies[c.proxy].Finished(s.now, c.id, g.attempt.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
				s.finish(c, &s.served)
			}
		})
	}
}
