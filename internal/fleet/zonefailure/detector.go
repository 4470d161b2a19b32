// Package zonefailure tells the common failure of a whole site (hall, zone) from many single ones, by a broker's own sight, and
// when and how fast it returns. It is a reducer: events in, changes out; no I/O, no clock, no chance. What a site's state
// means for servers and searches is the module's to decide.
//
// The sign of a lost site is that nothing of it answers any more: of a burst of sub-requests to several of its servers,
// every one is out for longer than nearly all answers take, not one answer of the whole site has come since the first of
// them went, and other sites go on answering. Servers that are bad each for itself have mates that answer; a crowd is
// slow everywhere; a broker that stood still heard nobody. So few servers suffice, and it takes the time of one burst,
// where judging each server by itself takes one for each.
package zonefailure

import (
	"math"

	"kestrelspread/internal/window"
)

// State is what a broker believes of a site.
type State uint8

// The states of a site.
const (
	Well      State = iota
	Doubted         // some of it fails together, too few to tell
	Lost            // nothing of it answers
	Returning       // it answers again, and is tried in steps
)

var stateNames = [...]string{"well", "doubted", "lost", "returning"}

// String gives the state's name, as log lines have it.
func (s State) String() string { return stateNames[s] }

// Rules are the thresholds. What they are in practice is measured in docs/measure/site.md.
type Rules struct {
	Few      int     // so many servers of a burst, each failing, make a loss; a site of fewer needs all of them
	Line     float64 // quantile of latencies past which a sub-request counts as failing
	Times    float64 // and so many of these
	Least    float64 // ms, whatever the quantile
	Unproven float64 // ms: the line before enough answers have been seen, at least
	Aim      float64 // and this share of the shortest latency target: who works for seconds answers nothing in a quarter of one
	Stood    float64 // ms without a turn: this broker stood still, and what it did not hear says nothing
	Trial    float64 // ms between two trials at a lost site, by this broker
	Step     float64 // ms over which a returning site's servers are tried
	Relapse  float64 // each loss within Calm makes the next return so many times slower
	Slowest  float64 // ms, the longest step
	Proof    int     // answering servers that end a return
	Brief    float64 // ms: a loss that is proven wrong within so long is taken back, and not returned from in steps
	Calm     float64 // ms without a loss, after which earlier ones are forgotten
	Fresh    float64 // ms for which another site's answer shows that this broker hears at all
	Told     float64 // ms for which what a peer saw counts
	Peers    int     // so many of them have to say the same
}

// Usual are the rules that brokers go by.
var Usual = Rules{Few: 5, Line: 0.95, Times: 1.25, Least: 25, Unproven: 250, Aim: 0.5, Stood: 100, Trial: 500, Step: 250, Relapse: 2,
	Slowest: 8000, Proof: 3, Brief: 1000, Calm: 60000, Fresh: 2000, Told: 5000, Peers: 2}

// Change is what became of a site. Spread is over how many ms its servers are to be tried, by chance: at a lost site so
// that trials stay few however many servers it has, at a returning one so that brokers do not come as one.
type Change struct {
	Site   int
	From   State
	To     State
	Spread float64
	Failed int     // servers that failed together
	Mute   float64 // ms since anything of the site was heard
	Alone  bool    // no other site but this broker's own answers: it may be this broker that is cut off
	Wrong  float64 // ms since a loss that there was not, to be undone; 0: nothing is
	Hint   bool    // nothing changed, but peers hear of it again: trials are worth while now
}

type server struct {
	site   int // -1: none
	listed bool
	out    int
	after  float64 // when the first went, of those sent since its site was last heard; -Inf: none
	last   float64 // when the latest went
	failed float64 // when that went which failed with no more to wait for (unreachable, reset, timed out), or -Inf
}

type site struct {
	state    State
	servers  int     // listed
	heard    float64 // the latest answer of any of its servers
	pending  []int   // servers with something out or failed since the latest answer
	lost     float64 // when it was held to be lost
	losses   int     // lately
	answered int     // servers that answered in this return
	step     float64
	stepAt   float64 // when the return began
	calmAt   float64
	told     map[string]told // by peer
	share    float64         // the fleet's stage of its return, and when that was so
	shareAt  float64
	hinted   float64
	answers  [recent]float64 // when that was sent which it answered lately, in a ring
	next     int
}

const recent = 16

// told is what a peer saw, and when.
type told struct {
	lost bool
	at   float64
}

const peersMost = 256 // whose word is kept for a site

// Sight is one broker's view.
type Sight struct {
	rules    Rules
	now      float64
	turn     float64 // the latest turn's time
	awake    float64 // the end of the latest standstill
	own      int
	aim      float64 // the shortest target
	unproven float64
	servers  []server
	sites    []*site
	pool     *window.Hist
	line     float64
	lineAt   float64
	changes  []Change
	False    int // losses that late answers proved wrong
}

// New makes the view of a broker at a site of its own, or -1.
func New(rules Rules, own int) *Sight {
	return &Sight{rules: rules, own: own, aim: math.Inf(1), unproven: rules.Unproven, pool: window.NewHist(10, 1000, 1, 1.1, 100), turn: math.Inf(-1),
		awake: math.Inf(-1), lineAt: math.Inf(-1), line: rules.Unproven}
}

// State gives what is believed of a site.
func (v *Sight) State(at int) State {
	if at >= 0 && at < len(v.sites) && v.sites[at] != nil {
		return v.sites[at].state
	}
	return Well
}

// Target is a query type's latency target, in ms.
func (v *Sight) Target(aim float64) {
	if aim < v.aim {
		v.aim = aim
		v.rules.Unproven = max(v.unproven, v.rules.Aim*aim)
		v.line = v.rules.Unproven
	}
}

// Line is after how long without an answer a sub-request counts as failing, in ms.
func (v *Sight) Line() float64 { return v.line }

// Losses is how often a site was held to be lost within the calm.
func (v *Sight) Losses(at int) int {
	if at >= 0 && at < len(v.sites) && v.sites[at] != nil {
		return v.sites[at].losses
	}
	return 0
}

// Begin opens a turn. Times never fall.
func (v *Sight) Begin(now float64) {
	if now > v.turn+v.rules.Stood && !math.IsInf(v.turn, 0) && v.anyOut() && !plantStood {
		v.awake = now
	}
	v.now, v.turn = now, now
	if now >= v.lineAt+v.rules.Fresh/10 {
		v.lineAt = now
		if q, n := v.pool.Quantile(now, v.rules.Line); n >= 4*v.rules.Few {
			v.line = max(q*v.rules.Times, v.rules.Least)
		} else {
			v.line = v.rules.Unproven
		}
	}
}

// anyOut: without anything out this broker sleeps, and a long sleep is no standstill.
func (v *Sight) anyOut() bool {
	for _, s := range v.sites {
		if s != nil && len(s.pending) > 0 {
			return true
		}
	}
	return false
}

// Server is news of the list.
func (v *Sight) Server(id, at int, listed bool) {
	for len(v.servers) <= id {
		v.servers = append(v.servers, nobody())
	}
	s := &v.servers[id]
	if s.listed && s.site >= 0 {
		v.sites[s.site].servers--
		v.forget(id)
	}
	s.listed = listed
	if listed {
		s.site = at
	}
	if !listed || at < 0 {
		if !listed {
			s.after, s.last, s.failed = never, never, never
		}
		return
	}
	for len(v.sites) <= at {
		v.sites = append(v.sites, nil)
	}
	if v.sites[at] == nil {
		v.sites[at] = &site{heard: math.Inf(-1), step: v.rules.Step, calmAt: math.Inf(-1), share: 1, shareAt: math.Inf(-1)}
	}
	v.sites[at].servers++
	if s.out > 0 || s.failed > never {
		v.pend(id)
	}
}

// Drop forgets a server: its index may be used again.
func (v *Sight) Drop(id int) {
	if id < len(v.servers) {
		v.Server(id, -1, false)
		v.servers[id] = nobody()
	}
}

var never = math.Inf(-1)

func nobody() server { return server{site: -1, after: never, last: never, failed: never} }

func (v *Sight) pend(id int) {
	p := v.sites[v.servers[id].site]
	for _, i := range p.pending {
		if i == id {
			return
		}
	}
	p.pending = append(p.pending, id)
}

func (v *Sight) forget(id int) {
	p := v.sites[v.servers[id].site]
	for j, i := range p.pending {
		if i == id {
			p.pending = append(p.pending[:j], p.pending[j+1:]...)
			return
		}
	}
}

// Sent counts a sub-request that went to a server.
func (v *Sight) Sent(id int) {
	s := &v.servers[id]
	s.out++
	s.last = v.now
	if s.site >= 0 && s.listed {
		// A server that is asked all the time always has something out; what went after its site was last heard is what
		// its mates have not answered for.
		if s.after <= v.sites[s.site].heard {
			s.after = v.now
		}
		v.pend(id)
	}
}

// Done counts the end of one that went at a time. alive: an answer of any kind has come from the server;
// else failing where no more need be waited for (unreachable, reset, timed out), and neither where it was
// called off or never sent.
func (v *Sight) Done(id int, sent float64, alive, failing bool) {
	s := &v.servers[id]
	s.out = max(s.out-1, 0)
	switch {
	case alive:
		if v.now > v.awake {
			v.pool.Add(v.now, max(v.now-sent, 1))
		}
		v.Alive(id, sent)
	case failing:
		s.failed = max(s.failed, sent)
	case s.out == 0 && s.site >= 0 && s.listed:
		if p := v.sites[s.site]; !v.fails(s, p) { // called off before it had to answer: nothing is known
			s.after, s.last = never, never
			v.forget(id)
		}
	}
}

// Alive tells that a server answered what was sent at a time, a probe perhaps.
func (v *Sight) Alive(id int, sent float64) {
	s := &v.servers[id]
	s.failed = never
	if s.site < 0 || !s.listed {
		return
	}
	p := v.sites[s.site]
	p.heard = v.now
	p.answers[p.next%recent] = sent
	p.next++
	if s.out == 0 {
		v.forget(id)
	}
	if p.state != Lost && p.state != Returning {
		return
	}
	// What was sent before the loss shows that there was none: the site was slow. What was sent after it is a return.
	if p.state == Lost {
		if sent < p.lost && !plantLate {
			v.False++
			p.losses = max(p.losses-1, 0)
			// In a crowd a whole site may be later than nearly all answers were. Tried server by server as one that returns, it
			// would be out of use for seconds each time, and its work on the others. After longer it is no slowness but a
			// stall, and what comes out of one is not to be met by all at once.
			if v.now < p.lost+v.rules.Brief {
				v.change(s.site, Well, 0)
				v.changes[len(v.changes)-1].Wrong = v.now - p.lost
				return
			}
		}
		p.step = v.rules.Step
		for n := 1; n < p.losses && !plantRelapse; n++ {
			p.step = min(p.step*v.rules.Relapse, v.rules.Slowest)
		}
		p.answered, p.stepAt = 0, v.now
		v.change(s.site, Returning, p.step/v.stage(p))
	}
	if p.answered++; (p.answered >= min(v.rules.Proof, max(p.servers, 1)) || plantClock) && v.now >= p.stepAt+p.step && v.stage(p) >= 1 {
		v.change(s.site, Well, 0)
	}
}

// Told takes what a peer reports: that it saw a site lost, or was told so, age milliseconds ago. That is
// weaker than own sight: it can neither make a loss nor end one. With several who say the same, fewer
// servers of a burst suffice, and trials come sooner.
func (v *Sight) Told(peer string, at int, lost bool, age float64) {
	if at < 0 || at >= len(v.sites) || v.sites[at] == nil || !(age >= 0 && age < v.rules.Told) {
		return
	}
	p := v.sites[at]
	if p.told == nil {
		p.told = map[string]told{}
	}
	for who, t := range p.told { // a few at most: what is old goes when something new comes
		if v.now-t.at >= v.rules.Told {
			delete(p.told, who)
		}
	}
	was, known := p.told[peer]
	if known && was.at > v.now-age || !known && len(p.told) >= peersMost {
		return // an older word than the one that is held, or one too many
	}
	p.told[peer] = told{lost, v.now - age}
}

// Staged takes what the pacer of the whole fleet's returns reports: how far a site had come age
// milliseconds ago. It slows this broker's own return down, the less the older it is; it neither makes a
// loss nor ends one.
func (v *Sight) Staged(at int, share, age float64) {
	if at < 0 || at >= len(v.sites) || v.sites[at] == nil || !(share >= 0 && share <= 1) || !(age >= 0 && age < v.rules.Told) {
		return
	}
	p := v.sites[at]
	if v.now-age < p.shareAt {
		return
	}
	was := v.stage(p)
	p.share, p.shareAt = share, v.now-age
	if is := v.stage(p); p.state == Returning && is >= was+stageLeast {
		v.change(at, Returning, p.step/is)
	}
}

const stageLeast = 0.125 // no stage holds trials up for longer than eight steps

// stage is the share in force: the fleet's while it is fresh, and all of it once it is old.
func (v *Sight) stage(p *site) float64 {
	old := min((v.now-p.shareAt)/v.rules.Told, 1)
	if !(old >= 0) {
		old = 1
	}
	return max(p.share+(1-p.share)*old, stageLeast)
}

// say counts the peers that lately saw a site lost since a time, and those that heard of it.
func (v *Sight) say(p *site, since float64) (lost, well int) {
	for _, t := range p.told {
		switch {
		case v.now-t.at >= v.rules.Told || t.at < since:
		case t.lost:
			lost++
		default:
			well++
		}
	}
	return lost, well
}

func (v *Sight) change(at int, to State, spread float64) {
	p := v.sites[at]
	failed := 0
	for _, id := range p.pending {
		if v.fails(&v.servers[id], p) {
			failed++
		}
	}
	v.changes = append(v.changes, Change{Site: at, From: p.state, To: to, Spread: spread, Failed: failed,
		Mute: v.now - p.heard, Alone: v.alone(at)})
	p.state = to
}

// since is when that went which a server has not answered while its site was mute, or never. What went before the site was
// last heard has mates that answered since: such a server fails by itself.
func (s *server) since(p *site) float64 {
	switch {
	case s.after > p.heard || plantMates:
		return s.after
	case s.last > p.heard:
		return s.last
	}
	return never
}

// fails: it was asked after anything of its site was last heard, and has not answered in time.
func (v *Sight) fails(s *server, p *site) bool {
	if s.failed > p.heard {
		return true
	}
	since := s.since(p)
	return since > never && v.now-max(since, v.awake) > v.line
}

// hears: other sites answer what was sent to them from a time on, most of it in time. So it is neither this broker that
// hears nobody, nor a crowd that is slow everywhere.
func (v *Sight) hears(but int, from float64, few int) bool {
	answers, overdue := 0, 0
	for i, p := range v.sites {
		if i == but || p == nil || v.now-p.heard >= v.rules.Fresh {
			continue
		}
		for _, sent := range p.answers {
			if sent >= from {
				answers++
			}
		}
		for _, id := range p.pending {
			if s := &v.servers[id]; s.out > 0 && s.last >= from && v.now-max(s.after, s.last, v.awake) > v.line {
				overdue++
			}
		}
	}
	return 2*answers >= few && answers >= 2*overdue
}

// alone: nobody but the own site answers.
func (v *Sight) alone(but int) bool {
	for i, p := range v.sites {
		if i != but && i != v.own && p != nil && p.servers > 0 && v.now-p.heard < v.rules.Fresh {
			return false
		}
	}
	return but != v.own
}

// End closes a turn and gives what changed, valid until the next one.
func (v *Sight) End() []Change {
	for at, p := range v.sites {
		if p == nil {
			continue
		}
		if p.losses > 0 && p.state == Well && v.now > p.calmAt+v.rules.Calm {
			p.losses = 0
		}
		if p.state == Lost {
			if _, well := v.say(p, max(p.lost, p.hinted)); well >= v.rules.Peers {
				p.hinted = v.now
				v.changes = append(v.changes, Change{Site: at, From: Lost, To: Lost, Spread: v.rules.Step, Hint: true, Mute: v.now - p.heard})
			}
			continue
		}
		if p.servers < 2 || len(p.pending) == 0 && p.state != Doubted {
			continue
		}
		failed, first := 0, math.Inf(1)
		for _, id := range p.pending {
			if s := &v.servers[id]; v.fails(s, p) {
				failed++
				if at := max(s.since(p), s.failed); at < first {
					first = at
				}
			}
		}
		need := min(v.rules.Few, p.servers)
		if lost, well := v.say(p, p.heard); lost >= v.rules.Peers && lost > well && !plantDeaf {
			need = min(need, max(need/2, 2)) // own sight is still needed
		}
		if plantFew {
			need = 1
		}
		switch {
		case failed >= need && (v.hears(at, first, need) || plantDeaf):
			p.losses++
			p.lost, p.calmAt = v.now, v.now
			spread := v.rules.Trial * float64(p.servers)
			if plantBeat {
				spread = 0
			}
			v.change(at, Lost, spread)
		case failed*2 >= need && failed > 0 && p.state == Well:
			v.change(at, Doubted, 0)
		case failed*2 < need && p.state == Doubted:
			v.change(at, Well, 0)
		}
	}
	list := v.changes
	v.changes = v.changes[:0]
	return list
}
