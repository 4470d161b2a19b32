package routing

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
)

// A model broker's answer begins when it has read what was sent there before, and then the prompt itself. So a request goes
// where that is least: the tokens that wait there, those of the prompt that the broker lacks and nobody else keeps, and what
// moving the others takes. Counts of requests tell little of it, as one prompt may be a hundred times another.
const (
	againFactor   = 3.0   // what a token counts more that was read lately elsewhere: its reading holds others up, and is priced
	ownerShare    = 0.5   // of what must be read anew is taken off at the broker that should keep it
	ownerLeast    = 4.0   // ms that are taken off there at least, so that proxies agree where costs are nearly equal
	movesZones    = 2.0   // times as long between zones (PROTOCOL.md, "KV cache")
	moveFixed     = 3.0   // ms for any move
	zoneCost      = 2.0   // ms for a broker of another zone
	requestCost   = 0.3   // ms for each request that runs there
	fullCost      = 200.  // ms where all places are taken
	chanceCost    = 1.0   // ms at most, by chance
	moveAssumed   = 0.001 // ms a token, where the configuration doesn't tell
	bitsPerByte   = 8
	bitsPerMsMbps = 1000 // bits in a ms at 1 Mbps
)

// placing is what the costs of all candidates for a request have in common.
type placing struct {
	perToken float64 // ms to read a token at the candidate that is looked at
	engine   *config.Engine
	store    *config.Service // nil: none that is well
	shared   int             // tokens that others may keep
	own      int             // tokens that nobody else can keep
	owner    *broker         // should keep the shared parts
	versions []versionParts  // used again by each request
}

// versionParts is what is known of the prompt's parts under a version of the weights.
type versionParts struct {
	version uint64
	kept    int // the most tokens that any candidate keeps
	unseen  int // tokens at the end of the shared ones that no broker was sent lately
}

// pickByWork takes the candidate that is expected to begin its answer first, of those that aren't predicted slow; if all are,
// the first of all.
func (r *Router) pickByWork(now core.Time, req *request, f *field) (*candidate, bool) {
	r.assess(now, req, f.sound)
	for {
		best := cheapest(f.sound, false)
		if best == nil {
			r.counters.AllSlow++
			return cheapest(f.sound, true), false
		}
		if r.score(now, req, f, best); best.slow {
			continue
		}
		r.countChoice(f, best)
		return best, len(f.sound) > 1
	}
}

func (r *Router) countChoice(f *field, best *candidate) {
	switch {
	case anySlow(f.sound):
		r.counters.ByPrediction++
	case best.kept > 0 || best.broker == r.placing.owner:
		r.counters.ByAffinity++
	default:
		r.counters.ByLoad++
	}
}

// cheapest is the candidate with the least cost, of those not known to look slow or of all; nil where there is none.
func cheapest(found []candidate, slowToo bool) *candidate {
	var best *candidate
	for i := range found {
		if c := &found[i]; (slowToo || !c.slow) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// assess fills in what candidates lack of the prompt and what it costs to send the request there.
func (r *Router) assess(now core.Time, req *request, found []candidate) {
	r.rankHolders(now, req, found)
	r.place(now, req, found)
	for i := range found {
		c := &found[i]
		r.placing.perToken = req.pool.perToken(c.broker)
		r.placing.work(c)
		c.cost += r.waiting(now, req.pool, c.broker)
		c.cost += r.conditions(c)
		if now < c.broker.instance.WarmingUpUntil {
			c.cost *= coldFactor
		}
	}
}

// place fills in what the candidates have in common.
func (r *Router) place(now core.Time, req *request, found []candidate) {
	p := &r.placing
	p.engine = r.compiled.Services[req.Service].Engine
	p.store = r.storeFor(now, req)
	p.shared = prompt.SharedTokens(req.Parts)
	p.own = max(req.TokensIn-p.shared, 0)
	p.owner = nil
	if r.switches.On(mechanism.Affinity) {
		p.owner = owner(req, found)
	}
	p.versions = p.versions[:0]
	for i := range found {
		if p.parts(found[i].version) == nil {
			unseen := r.noteReads(now, req, found, found[i].version)
			p.versions = append(p.versions, versionParts{version: found[i].version, unseen: unseen})
		}
	}
	for i := range found {
		parts := p.parts(found[i].version)
		parts.kept = max(parts.kept, found[i].kept)
	}
}

// noteReads notes at the candidates of a version what they are reading or have just read of the prompt, and returns how many
// tokens at the end of the shared ones were not sent to any broker lately.
func (r *Router) noteReads(now core.Time, req *request, found []candidate, version uint64) (unseen int) {
	salt := cachesalt.ID(cachesalt.Text(req.model, version, req.wall))
	tokens := 0
	for _, part := range prompt.SharedParts(req.Parts) {
		tokens += part.Tokens
		reads := r.reads.of(now, salt, part)
		if reads == nil {
			unseen += part.Tokens
			continue
		}
		unseen = 0
		for i := range reads.places {
			if place := &reads.places[i]; r.switches.On(mechanism.RecentPrefills) && place.broker != nil && now < place.at+readsBelieved {
				noteRead(now, found, place, tokens)
			}
		}
	}
	return unseen
}

// noteRead notes that a broker has so many tokens of the prompt, or will have them before its next request's turn.
func noteRead(now core.Time, found []candidate, place *readPlace, tokens int) {
	for i := range found {
		c := &found[i]
		if c.broker != place.broker {
			continue
		}
		c.coming = max(c.coming, tokens)
		if now >= place.readyAt {
			c.kept = max(c.kept, tokens)
		}
		return
	}
}

func (p *placing) parts(version uint64) *versionParts {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	return nil
}

// owner is the candidate that should keep the prompt's parts, by the rendezvous order; nil where there is none.
func owner(req *request, found []candidate) *broker {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok {
		return nil
	}
	key := prompt.AffinityKey(part, req.model, req.wall)
	var best *broker
	highest := uint64(0)
	for i := range found {
		if w := prompt.RendezvousWeight(key, found[i].broker.hash); best == nil || w > highest {
			best, highest = found[i].broker, w
		}
	}
	return best
}

// work fills in how many tokens a candidate has to read for the request, how long reading and moving them takes, and what that
// counts.
func (p *placing) work(c *candidate) {
	known := p.parts(c.version)
	missing := max(p.shared-max(c.kept, c.coming), 0)
	moved, perMoved := p.move(c, known, missing)
	anew := missing - moved
	again := max(anew-known.unseen, 0)
	c.unread, c.anew, c.again = p.own+anew, anew, again
	c.reading = p.perToken * float64(c.unread)
	if moved > 0 {
		c.reading += moveFixed + perMoved*float64(moved)
	}
	c.cost = c.reading + p.perToken*againFactor*float64(again)
	if c.broker == p.owner {
		c.cost -= ownerLeast + ownerShare*p.perToken*(float64(anew)+againFactor*float64(again))
	}
}

// move is how many of the missing tokens can be fetched, and what each takes, ms.
func (p *placing) move(c *candidate, known *versionParts, missing int) (moved int, perToken float64) {
	if missing < fetchLeastTokens {
		return 0, 0
	}
	had := p.shared - missing
	if known.kept > had && known.kept >= c.stored {
		return known.kept - had, moveTime(p.engine, p.engine.LinkMbps, movesZones)
	}
	if p.store == nil || c.stored <= had {
		return 0, 0
	}
	return min(c.stored-had, missing), moveTime(p.engine, p.store.LinkMbps, zonesFactor(p.store.Zone, c))
}

// moveTime is how long moving a token takes over a link, ms.
func moveTime(engine *config.Engine, mbps, times float64) float64 {
	if mbps <= 0 || engine.KVTokenBytes <= 0 {
		return moveAssumed * times
	}
	return times * engine.KVTokenBytes * bitsPerByte / (mbps * bitsPerMsMbps)
}

// waiting is how long a broker will read before a new request's turn, ms.
func (r *Router) waiting(now core.Time, p *pool, b *broker) float64 {
	perToken := p.perToken(b)
	b.backlog.advance(now, 1/perToken, b.oldestWaiting())
	return perToken * b.backlog.tokens()
}

// conditions is what counts against a broker besides the work, ms.
func (r *Router) conditions(c *candidate) float64 {
	instance := c.broker.instance
	cost := requestCost*c.load + chanceCost*r.options.Random.Float64()
	if instance.Zone != r.options.Zone {
		cost += zoneCost
	}
	if instance.Slots > 0 && c.load >= float64(instance.Slots) {
		cost += fullCost
	}
	return cost
}

// PeerSent tells what another proxy has sent to a model broker.
func (r *Router) PeerSent(now core.Time, sent Sent) {
	b := r.brokers[sent.Instance]
	if b == nil {
		return
	}
	r.noteSent(now, r.pool(b.instance.Service), b, sent.Salt, sent.Parts, sent.Unread)
}

// noteSent puts a prompt at the end of what its broker has to read, and returns where it ends there.
func (r *Router) noteSent(now core.Time, p *pool, b *broker, salt uint64, parts []prompt.Part, unread int) (end float64) {
	perToken := p.perToken(b)
	b.longReads.note(now, unread)
	end = b.backlog.add(now, float64(unread), 1/perToken, b.oldestWaiting())
	r.reads.note(now, now+units.FromMilliseconds(perToken*b.backlog.tokens()), b, salt, parts)
	return end
}
