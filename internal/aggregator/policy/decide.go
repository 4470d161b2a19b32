// Package policy takes the decisions of a kestrelspread broker, all of them. Callers use it through Port (port.go):
// New, the settings, then for each round Begin, the events, End; what is decided at End goes to Out.
//
// The ordinary path is LinnOS's, as docs/design.md tells: predict slow replicas, skip them, send to the one
// with the fewest own calls outstanding, copy a part past pX. Beside it stand at most six mechanisms:
//  1. aside: a server that is silent, unreachable or quick to fail gets no parts but a metered trial,
//     and where probes are allowed a probe before it
//  2. further sub-requests after failures and off dead servers, within every stated limit
//  3. cold guard: this broker's share of what a server that came back can bear
//  4. admission: a search that cannot be answered by its latency target is shed, cheapest value first
//  5. part answers at the latency target where a query type allows them, and giving up in time
//  6. fresh connections: where what goes over idle ones is lost, they are closed before the next send
package policy

import (
	"math"

	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	histSize   = predict.HistorySize
	histLife   = predict.HistoryLife
	featureCap = predict.FeatureCap
	lineSpan   = predict.LineSpan
	fadeOver   = 3000.0      // past the expiry, what was heard fades over so long
	copyFew    = predict.Few // answers of a query type before its pX means something
	copyShare  = 0.10        // of a search's parts
	crowdSlow  = 2.0         // medians that a server takes which is slow even among a crowd, as one that is cold
	hintTrust  = 0.5         // hints are rough: a small part is taken to be at least so big

	// Between equals, in average loads: a choice that saves work is worth less than one that saves a wait.
	tieJoin   = 1.1 // a call that is open anyway: more than its own load and chance make of it
	tieTook   = 2.0 // what it took lately
	tieHall   = 2.2 // the own hall
	tieTrial  = 10. // a trial that is due
	tieChance = 0.1
	tieParked = 1.0 // calls that wait for their client or are being read: an average server's worth
	tookFade  = 10000.
	tookNew   = 0.5 // weight of the newest answer in what a server takes

	silentLines  = 2.0   // no answer for so many fleet lines, with parts out, is silence
	silentLeast  = 1.6   // and never under so many, however short the latency target
	silentOwn    = 1.5   // nor under so many times what it took lately
	silentAim    = 0.5   // of the shortest latency target
	errFew       = 2.0   // errors lately before a share of them counts
	errShare     = 0.3   // a server that fails more is set aside
	errSpan      = 4000. // lately
	spareGain    = 0.67  // a second place must be expected to take at most so much of what was waited
	trialFirst   = 1000. // first trial after so long, then twice as long each time
	trialLines   = 8.0   // but no later than so many fleet lines: one that only paused is missed meanwhile
	trialLongest = 2000.
	paceSpan     = 10000.
	fullPause    = 300.   // after a full queue: long enough for a few parts to be done
	againAfter   = 300.   // before a part comes to whoever failed it, or to one that fails others
	fullGiveUp   = 2      // a part that two turned away is not worth a third's place
	carryLasts   = 90000. // what servers carried at their best is remembered so long
	busyTaken    = 0.67   // what servers say of themselves may be untrue; wholly busy, the budget still holds
	carrySpan    = 10000.
	carryEvery   = 500.
	newsLast     = 4000. // a list tells of a restart within so long
	coldAfter    = 5000. // silent for longer: it may have restarted unannounced
	coldSafe     = 0.75  // of the budget: what servers say comes late, and chance varies
	lotFew       = 4.0   // sub-requests that one broker sends by lot in the window, where others even it out
	lotPer       = 50.0  // brokers for each of them: alone, more than one needs a measure of its own

	admitLow   = 0.52 // share of the latency target that the least valued search may be expected to take
	admitHigh  = 0.88 // and the most valued
	tailLow    = 0.65 // share of the target that the slowest part may be expected to take, least valued
	tailHigh   = 1.0  // and most
	tailPower  = 3.0  // past it, the chance to be taken falls so fast
	tailSpan   = 3000.
	crowdTight = 0.8   // of that in a crowd: a full server does no more for a longer queue, only later
	heldLow    = 0.85  // of the hold limit: beyond, only the most valued
	quotaSpan  = 4000. // a customer's share is watched over so long
	quotaOver  = 1.25  // and passed beyond so much: brokers see unequal parts
	backShare  = 0.25  // of the latency target: advice to a shed client

	idleLeast = 1000. // since the last answer: shorter, a connection is in use
	idleSpan  = 20000.
	idleFew   = 3    // lost on idle connections
	idleShare = 0.2  // of what was sent on them
	probeSlow = 100. // a failure after so long is no refusal
	logEvery  = 500.
	margin    = 25.0 // a final answer goes out so long before the client timeout
	stall     = 100. // a wake-up so late is a stall
	stir      = 10.0 // while searches are held, look again after so long
)

// Latencies are told to a tenth; what is kept over a span, to a tenth of the span.
func hist(span float64) *window.Hist     { return window.NewHist(10, span/10, 1, 1.1, 100) }
func counts(span float64) *window.Counts { return window.NewCounts(12, span/10) }

const wholeStages = 2 // stages that take a search; the others take its parts

// New makes the module. Decisions go to out; seed is the source of its chance, brokers how many of its kind
// there are, hall its own site.
func New(out Out, seed uint64, brokers, hall int) *Broker {
	b := &Broker{out: out, dice: dice{seed: seed}, brokers: max(brokers, 1), hall: hall, trialAfter: trialFirst,
		lastWake: math.Inf(-1), lastLog: math.Inf(-1), shortAim: math.Inf(1), retries: 1}
	b.Fleet(1, 1, 1, 0, false)
	b.Limits(1, 0, false, false)
	b.predict = predictor{weights: predict.Start, pool: hist(lineSpan), late: hist(tailSpan), submits: predict.NewSubmits()}
	b.sends = counts(paceSpan)
	for i := range 2 {
		b.links.lost[i], b.links.fine[i] = counts(idleSpan), counts(idleSpan)
	}
	b.stages = []stage{{b.admit, nil}, {b.gather, b.gathered}, {b.more, nil}, {b.guard, b.judge},
		{b.pick, b.learn}, {b.send, b.returned}}
	return b
}

// Done implements Port; what a sub-request tells goes up through the stages, last first.
func (b *Broker) Done(id, no int, how Outcome, report []float64) {
	p := at(b.parts, id)
	if p == nil || no >= len(p.tries) || !p.tries[no].out {
		return
	}
	t := p.tries[no]
	b.report(b.servers[t.server], report)
	for i := len(b.stages) - 1; i >= 0; i-- {
		if up := b.stages[i].up; up != nil {
			up(t, how)
		}
	}
	b.forget(p.q)
}

// Committed learns from a sub-request as from an answer, now: how long the client goes on reading tells nothing of the
// server, and a stream that lasts must not read as silence. It still counts as a call that is out.
func (b *Broker) Committed(id, no int, answering bool) bool {
	p := at(b.parts, id)
	if p == nil || no >= len(p.tries) || !p.tries[no].out || p.kept != nil || p.in || p.tries[no].called {
		return false
	}
	y := p.tries[no]
	if p.kept = y; answering {
		b.learn(y, Answered)
		b.judge(y, Answered)
	}
	s := b.servers[y.server]
	b.count(s, y.call, 0, 1-y.parked())
	y.begun, y.noted = true, true
	s.lose(y)
	b.callOff(p)
	return true
}

// Pushback keeps to the latest wish; one that says never is not overruled.
func (b *Broker) Pushback(id int, wait float64) {
	if p := at(b.parts, id); p != nil {
		if p.notBefore = max(p.notBefore, b.now+wait); wait < 0 {
			p.notBefore = math.Inf(1)
		}
	}
}

// Probed implements Port; it counts only for a server that is set aside as dead.
func (b *Broker) Probed(id int, ok bool, elapsed float64, report []float64) {
	s := b.servers[id]
	if s.probing = false; ok {
		b.report(s, report)
	}
	if !s.aside || !s.dead {
		return
	}
	if ok || elapsed >= probeSlow {
		if !s.sure {
			s.sureAt = b.now
		}
		s.sure = true // no answer to a probe that waits in a queue proves nothing
	} else {
		b.retreat(s)
	}
}

// Server implements Port; a server of which it is the first news is added.
func (b *Broker) Server(id, hall, cell int, state State, size, started float64) {
	for len(b.servers) <= id {
		b.servers = append(b.servers, nil)
	}
	s := b.servers[id]
	if s == nil {
		s = &server{line: hist(lineSpan), errs: counts(errSpan), oks: counts(errSpan),
			sent: counts(max(b.cold.over, 1)), loadAt: math.Inf(-1)}
		b.servers[id] = s
	}
	if was, is := s.listed && s.state == Ready, state == Ready; was != is || s.cell != cell {
		b.unindex(s.cell)
		b.unindex(cell)
		if was && !is {
			b.ready--
		} else if is && !was {
			b.ready++
			b.readyMost = max(b.readyMost, b.ready)
		}
	}
	if state != Gone {
		s.hall, s.cell, s.size = hall, cell, max(size, 0)
		if started > s.started && started > 0 {
			s.started = started
			s.coldFrom, s.coldTo = started, started+b.cold.lasts
			if s.aside && s.dead {
				s.trialAt, s.backoff = b.now, b.trialAfter // news of a restart: ask again at once
			}
		}
	}
	if s.listed, s.state = state != Gone, state; state == Gone && !math.IsInf(s.loadAt, -1) {
		b.predict.heard--
		b.predict.loads -= s.load
		s.load, s.loadAt = 0, math.Inf(-1)
	}
}

// Begin implements Port; a round that begins late tells that this broker stood still.
func (b *Broker) Begin(now float64) {
	// A wake-up that comes late means that this broker stood still: what it did not hear meanwhile is no
	// silence of servers.
	if !math.IsInf(b.lastWake, 0) && now > b.lastWake+stall {
		b.awake = now
	}
	b.now, b.round = now, b.round+1
}

// Unlisted implements Port; the list is asked for again after 0.5 to 1 s.
func (b *Broker) Unlisted() {
	if b.lister.ask {
		b.lister.due, b.lister.at = true, b.now+500+500*b.dice.roll()
	}
}

// End implements Port; here everything is decided.
func (b *Broker) End() {
	if b.lister.due && b.now >= b.lister.at {
		b.lister.due = false
		b.out.Subscribe()
	}
	b.tend()
	kept := b.live[:0]
	for _, q := range b.live {
		b.walk(q)
		if !q.over {
			kept = append(kept, q)
		}
		b.forget(q)
	}
	clear(b.live[len(kept):])
	b.live = kept
	if (len(b.live) > 0 || b.lister.due) && b.now >= b.lastWake {
		b.lastWake = b.now + stir
		b.out.Wake(stir)
	}
}

func (b *Broker) walk(q *search) {
	t := &turn{q: q}
	for _, s := range b.stages[:wholeStages] {
		if q.over || s.down(t) != pass {
			return
		}
	}
	for _, p := range q.parts {
		t.p, t.copy, t.spare, t.to = p, false, false, -1
		for _, s := range b.stages[wholeStages:] {
			if s.down(t) != pass {
				break
			}
		}
	}
}

// admit sheds on arrival: later, work is lost with it. What a search will take is told by what servers took
// lately for each of their calls; a queue that nobody reports shows there, whatever made it.
func (b *Broker) admit(t *turn) verdict {
	q, k := t.q, t.q.k
	if q.admitted {
		return pass
	}
	if k != nil {
		// The time that is missing to what the type usually has tells how long it waited, at a client that asks
		// again or at this broker while it stood still.
		k.given = max(k.given, q.until-b.now)
		q.aim = q.until - k.given + k.aim
	}
	if k == nil || q.want <= 0 || b.now >= q.until-margin || b.reach(q) < k.floor-1e-4 {
		b.giveUp(q, b.unsound(q))
		return end
	}
	worst, usable, aim := 0.0, 0.0, min(k.aim, q.until-b.now)
	for _, p := range q.parts {
		best, calls, then := math.Inf(1), 0.0, 0.0
		p.expect = math.Inf(1)
		holders := b.holds(p.shard)
		for _, i := range holders {
			s := b.servers[i]
			// One that fails some parts still answers others, and one that has just fallen silent may be back in time.
			out := s.aside && s.dead && !b.trialDue(s) && (s.broke || s.backoff > admitLow*aim)
			if out || !b.room(s, holders, p) {
				continue
			}
			if p.expect = 0; !s.aside {
				best, calls, then = min(best, b.expect(s)), calls+2+float64(s.calls-s.parked), then+2+s.tookCalls
			}
		}
		if then > 0 {
			// With more out than when the latest answers were asked for, a queue grows.
			p.expect = best * calls / then
		}
		if !math.IsInf(p.expect, 1) {
			worst = max(worst, p.expect)
		}
	}
	limit := admitLow + (admitHigh-admitLow)*b.value(q)/max(b.topValue, 1e-9)
	top := b.value(q) >= b.topValue
	// One that waited may be too late for its target: it is worth less.
	if limit *= aim; b.predict.crowded() {
		limit *= crowdTight
	}
	if left := q.aim - b.now; worst > admitHigh*left {
		limit *= k.late
	}
	// Where a part answer will do, what is not worth waiting for is not asked for: a shard whose holders are
	// all busy is left to the searches that need it.
	for _, p := range q.parts {
		if p.skip = p.expect > limit; !p.skip {
			usable += p.weight
		}
	}
	// A search waits for the slowest of its parts, and the more it has the slower that is: a fleet's crowd shows
	// there first. By chance past the limit, as brokers that shed all at once take all at once again.
	tail, n := b.predict.late.Quantile(b.now, math.Pow(0.5, 1/float64(q.want)))
	bear := aim * (tailLow + (tailHigh-tailLow)*b.value(q)/max(b.topValue, 1e-9))
	slow := b.borne.worth == 0 && n >= copyFew && tail > bear && b.dice.roll() > math.Pow(bear/tail, tailPower)
	less := b.borne.worth - b.value(q) // what servers bear is known better: by the harm done, and least value first
	full := less > 0 || less == 0 && b.borne.worth > 0 && b.dice.roll() < b.borne.beyond
	if usable < k.floor-1e-4 || slow || full ||
		b.limits.most > 0 && !top && float64(b.limits.held) > heldLow*float64(b.limits.most) {
		why := b.step(q, usable >= k.floor-1e-4, slow, full)
		b.log("shed: %v, expected %.0f ms against a target of %.0f, %d held", why, worst, aim, b.limits.held)
		b.giveUp(q, why)
		return end
	}
	q.admitted = true
	return pass
}

// value per unit of work, as the goal counts it.
func (b *Broker) value(q *search) float64 {
	c := at(b.customers, q.customer)
	if c != nil && c.quota > 0 &&
		c.came.Sum(b.now, quotaSpan)*float64(b.brokers) > quotaOver*c.quota*quotaSpan/1000 {
		return q.k.value * q.worth * c.beyond
	}
	return q.k.value * q.worth
}

// gather ends a search: whole as soon as it is, in part at its latency target where that is worth more than
// waiting, and given up while the client can still hear of it.
func (b *Broker) gather(t *turn) verdict {
	q, k := t.q, t.q.k
	got, could, have, left := 0.0, 0.0, 0, 0
	for _, p := range q.parts {
		if p.step != q.step {
			continue
		}
		if p.in {
			got, have = got+p.weight, have+1
		} else if b.alive(p) {
			could, left = could+p.weight, left+1
		}
	}
	need, floor := k.need, k.floor
	if q.step > 0 {
		if need = 1; k.floor >= k.need {
			floor = 1
		}
	}
	whole := q.step == 0 && got >= need-1e-5 || q.step > 0 && have >= q.want
	last := b.now >= q.until-margin
	some := got >= max(floor, 1e-3)-1e-5 && have > 0
	// What can't come to its least share any more is over, whatever is still out: that work is for nobody.
	over := len(q.parts) > 0 && (left == 0 || q.step == 0 && got+could < floor-1e-4)
	due := b.now >= q.aim-margin && k.partial*got >= k.late*need
	switch {
	case whole && have > 0, some && (last || over || due):
		b.out.Answer(q.id, whole && (q.step == 0 || q.firstWhole))
		if q.step == 0 && k.followUp > 0 {
			q.firstWhole, q.step, q.want = whole, 1, min(k.followUp, have)
			b.stop(q)
			return keep
		}
		b.finish(q)
		return end
	case last || over && have < q.want:
		b.giveUp(q, GivenUp)
		return end
	}
	return pass
}

// alive: its answer may still come.
func (b *Broker) alive(p *part) bool {
	if p.skip {
		return false
	}
	if len(p.tries) < b.limits.tries && b.mayRepeat(p) {
		return true
	}
	for _, t := range p.tries {
		if t.out {
			return true
		}
	}
	return false
}

// mayRepeat keeps an effect from happening twice: only a sub-request proved not to have run may be followed
// by another, unless a repeat does no harm or is still dropped by whoever holds the shard.
func (b *Broker) mayRepeat(p *part) bool {
	k, y := p.q.k, p.mayRun()
	if p.kept != nil || p.notBefore >= p.q.until-margin {
		return false
	}
	return k.effect == Idempotent || y == nil || k.effect == Tokened && b.now < y.sent+k.tokenFor-margin
}

// windowed: a window that ends before a repeat could be sent is none, and the type's parts may not run twice. Taken for
// one, it would leave the first sub-request no time to begin either.
func windowed(effect Effect, window float64) Effect {
	if effect == Tokened && window <= 2*margin {
		return NonIdempotent
	}
	return effect
}

// more decides whether a part gets a sub-request: its first, another after a failure, one off a dead
// server, or the design's copy.
func (b *Broker) more(t *turn) verdict {
	p, q := t.p, t.q
	if p.in || p.skip || p.step != q.step || len(p.tries) >= b.limits.tries || !b.mayRepeat(p) || b.now < p.notBefore {
		return keep
	}
	if len(p.tries) > 0 && !b.budget.affords(b.now) {
		return keep
	}
	out, dead := 0, 0
	var last *try
	for _, y := range p.tries {
		if y.out {
			out++
			last = y
			if s := b.servers[y.server]; s.aside && s.dead && s.trial != y {
				dead++
			}
		}
	}
	k := q.k
	switch {
	case out == 0:
		return pass
	case out == dead && out < 2:
		if b.limits.copies {
			t.spare = true
			return pass
		}
		if b.limits.cancel && !last.called {
			last.called = true
			b.out.Cancel(p.id, last.no) // no two at once here: the next goes when this one is off
		}
		return keep
	case out > 1 || p.copied || p.open || !b.limits.copies || k.effect != Idempotent:
		return keep
	}
	limit, n := k.lat.Quantile(b.now, b.predict.submits.CopyShare(b.now))
	if most := math.Ceil(copyShare*float64(q.want) - 1e-9); n < copyFew || b.now-last.at-last.extra < limit ||
		float64(q.copies) >= most || b.predict.crowded() {
		return keep
	}
	t.copy, t.spare = true, true
	return pass
}

// budget is the stated one for further sub-requests, where over is set: they are counted long, the searches
// and parts that earn them short, so that no window of its length can be overdrawn.
func (g *budget) affords(now float64) bool {
	return g.over == 0 || g.further.Sum(now, g.over)+1 <= g.spare+g.ratio*g.taken.Inside(now, g.over)
}

// guard leaves the servers that may get this part: listed, sound, and with room while cold.
func (b *Broker) guard(t *turn) verdict {
	t.cands = t.cands[:0]
	var again, failing []int
	holders := b.holds(t.p.shard)
	for _, i := range holders {
		s := b.servers[i]
		if b.now < s.fullUntil || !b.room(s, holders, t.p) {
			continue
		}
		tried, here := false, false
		for _, y := range t.p.tries {
			tried = tried || y.server == i
			here = here || y.server == i && y.out
		}
		switch {
		case here:
		case s.aside && !b.trialDue(s):
			if !s.dead {
				failing = append(failing, i)
			}
		case tried:
			again = append(again, i)
		default:
			t.cands = append(t.cands, i)
		}
	}
	// Whoever has failed this part, or fails others, is asked again only after a while: its tries would be gone within
	// milliseconds, and with them all of its search, where a place that is full or slow would have been free soon.
	if n := len(t.p.tries); len(t.cands) == 0 && !t.copy && (n == 0 || b.now >= t.p.ended+againAfter) {
		if t.cands = append(t.cands, again...); len(t.cands) == 0 {
			t.cands = append(t.cands, failing...) // some quick errors beat no answer
		}
	}
	if len(t.cands) == 0 {
		return keep
	}
	return pass
}

func (b *Broker) trialDue(s *server) bool {
	return b.now >= s.trialAt && s.trial == nil && (s.sure || !s.dead || !b.reports.mayProbe)
}

// room wards off pushing over a server that has just come back: all brokers together must stay under a
// multiple of what it can do, and each knows only itself. What warm servers carried for this one at best,
// taken as fairly busy, is its part of what one can do: the brokers' parts add up to no more. With many
// brokers that is less than one sub-request, and one from each would push the server over: then chance lets
// through, of what a warm holder would get, the share that a cold one bears, and the sum is right without
// knowing the others. One that was unreachable or silent for long may have restarted: its trials count too.
//
// The lot is the search's, not the part's: drawn apart, a search of many parts would hardly ever have them all, and
// whoever has only cold holders in reach would shed everything. It falls among the holders that this broker can use:
// who can't be reached takes no share. Where those are under half of what there were, some of it falls to nobody, as
// each then gets more than twice what a warm one usually does.
func (b *Broker) room(s *server, holders []int, p *part) bool {
	g, share := &b.cold, b.cold.share
	switch {
	case g.multiple <= 0:
		return true
	case b.now < s.coldTo:
		share += (1 - share) * max(b.now-s.coldFrom, 0) / (s.coldTo - s.coldFrom)
	case !s.aside || !s.dead || !s.broke && b.now-s.since <= coldAfter, s.sure && b.now > s.sureAt+newsLast:
		return true
	}
	safe, work, sent := coldSafe*g.multiple*share, b.workOf(p), s.sent.Sum(b.now, g.over)
	if sent+work <= safe*g.carry*max(s.size, 1e-3)*g.over {
		return true
	}
	usable, nth := 0.0, 0.0
	for _, i := range holders {
		if o := b.servers[i]; o == s {
			nth = usable
			usable++
		} else if !o.aside || !o.dead {
			usable++
		}
	}
	most := max(float64(len(holders)), float64(b.readyMost*min(b.fleet.span, b.fleet.places))/float64(b.fleet.places))
	lot := p.q.lot*max(usable, most/2) - nth
	few := min(max(float64(b.brokers)/lotPer, 1), lotFew)
	return sent+work <= few*work && lot >= 0 && lot < min(safe, 1)
}

// tend takes the measure while most servers are warm: what the last few carry tells nothing of what one can.
func (g *coldGuard) tend(now, warm, size float64) {
	g.carry *= math.Exp((g.at - now) / carryLasts)
	g.at, g.warm = now, warm
	if warm > size/2 {
		g.carry = max(g.carry, g.did.Inside(now, carrySpan)/carrySpan/busyTaken)
	}
}

// extra is a part's hinted work over its query type's: a big part takes longer without being slow, by its
// work and not by what it waits.
func (b *Broker) extra(p *part) float64 {
	if k := p.q.k; p.work > 0 {
		return min(max(p.work-k.work, -hintTrust*k.work), k.work)
	}
	return 0
}

func (b *Broker) workOf(p *part) float64 {
	k := p.q.k
	if k.work > 0 {
		return k.work + b.fleet.callWork
	}
	return 0.1*k.aim + b.fleet.callWork
}

// pick is the design's: skip the predicted-slow, then the fewest own calls outstanding, also when all look
// slow, as in a crowd: what looks fast there is who was left alone for a second, and all brokers come at once. But who takes
// far longer than even a crowd does, as one that came back cold, is slow there too.
// Between equals: a call that is open anyway, less load reported, the own hall.
func (b *Broker) pick(t *turn) verdict {
	best, bestSlow, bestCalls, bestTie, crowd := -1, false, 0, 0.0, b.predict.crowded()
	for _, i := range t.cands {
		s := b.servers[i]
		slow := b.slow(b.predict.features(b.now, s, b.loadOf(s))) && !(crowd && b.expect(s) < crowdSlow*b.predict.mid)
		calls, join := s.calls-s.parked+1, b.joins(s)
		if join {
			calls--
		}
		tie := b.loadOf(s)/(b.predict.avgLoad+1) + tieTook*b.expect(s)/max(b.predict.mid, 1)
		tie += tieChance * b.dice.roll()
		tie += tieParked * float64(s.parked*b.ready) / float64(b.parked+b.ready)
		if join {
			tie -= tieJoin
		}
		if s.hall != b.hall {
			tie += tieHall
		}
		if s.aside {
			tie -= tieTrial
		}
		if best < 0 || slow != bestSlow && bestSlow ||
			slow == bestSlow && (calls < bestCalls || calls == bestCalls && tie < bestTie) {
			best, bestSlow, bestCalls, bestTie = i, slow, calls, tie
		}
	}
	// Two in slow places keep a crowd up: what a part gains there, another loses.
	if last := len(t.p.tries) - 1; t.spare && (bestSlow ||
		b.expect(b.servers[best]) > spareGain*(b.now-t.p.tries[last].at)) {
		return keep
	}
	t.to = best
	return pass
}

func (b *Broker) joins(s *server) bool {
	return s.open != nil && s.openRound == b.round && s.open.size < b.fleet.batch
}

func (b *Broker) send(t *turn) verdict {
	p, q, s := t.p, t.q, b.servers[t.to]
	y := &try{p: p, no: len(p.tries), server: t.to, load: b.loadOf(s), calls: s.calls - s.parked, at: b.now, sent: b.now, out: true}
	y.extra = b.extra(p)
	y.idle = len(s.tries) == 0 && s.answered > 0 && b.now-s.answered >= idleLeast
	// Idle connections may be dropped unseen; trials take a new one too, unless new ones failed there.
	if y.fresh = y.idle && (s.aside && !s.broke || b.links.stale(b.now)); y.fresh {
		b.out.Close(t.to)
	}
	y.x = b.predict.features(b.now, s, y.load)
	y.fast = !b.slow(y.x)
	if !b.joins(s) {
		s.open, s.openRound = &call{}, b.round
		s.calls++
		b.calls++
	}
	s.open.size++
	y.call, y.quiet = s.open, p.open
	b.count(s, y.call, 1, y.parked())
	work := b.workOf(p)
	s.sent.Add(b.now, work)
	if len(p.tries) > 0 {
		b.budget.spend(b.now)
	}
	if t.copy {
		p.copied = true
		q.copies++
	}
	if s.aside {
		s.trial = y
	}
	begin := 0.0 // the first has a limit too: held up on its way, it could come when the next one's window is over
	if q.k.effect == Tokened {
		if begin = q.k.tokenFor - margin; p.mayRun() != nil {
			begin += p.mayRun().sent - b.now
		}
	}
	p.tries = append(p.tries, y)
	if !y.quiet {
		s.tries = append(s.tries, y)
	}
	b.sends.Add(b.now, 1)
	b.watch(t.to)
	q.out++
	within := 0.0
	if !b.limits.cancel && !b.limits.copies {
		within = min(q.until-b.now, 0.5*q.k.aim) // nothing else could take it off a silent server
	}
	b.out.Send(p.id, t.to, within, begin)
	return pass
}

func (g *links) stale(now float64) bool {
	lost, fine := g.lost[1].Sum(now, idleSpan), g.fine[1].Sum(now, idleSpan)
	used, well := g.lost[0].Sum(now, idleSpan), g.fine[0].Sum(now, idleSpan)
	return lost >= idleFew && lost > idleShare*(lost+fine) && lost*(used+well+1) > 2*used*(lost+fine)
}

// learn teaches the predictor what it is told by parts that were sent, and only by answers: errors are no
// quick answers.
func (b *Broker) learn(y *try, how Outcome) {
	if b.now == b.awake {
		return // what waited for this broker to move tells nothing of its server
	}
	s, lat := b.servers[y.server], max(b.now-y.at-y.extra, 1)
	if how == Cancelled && !y.p.in && y.parked() == 0 && lat > b.expect(s) {
		// Called off, it would have taken longer still. Where clients leave before they are answered, only the
		// quick parts were heard of, and a jam read as calm.
		b.took(y, lat)
	}
	if how != Answered || y.begun || y.quiet {
		return
	}
	if !y.noted {
		b.predict.teach(b.now, y, lat > b.predict.line(b.now, s))
	}
	copy(s.hist[1:], s.hist[:histSize-1])
	s.hist[0] = sample{lat, b.now, y.load}
	s.line.Add(b.now, lat)
	if b.cold.warm > 0 && b.now >= s.coldTo { // over who shared it then: a hall may restart within the span
		b.cold.did.Add(b.now, b.workOf(y.p)/b.cold.warm)
	}
	y.p.q.k.lat.Add(b.now, lat)
	b.took(y, lat)
}

func (b *Broker) took(y *try, lat float64) {
	s := b.servers[y.server]
	b.predict.pool.Add(b.now, lat)
	b.predict.late.Add(b.now, lat)
	if b.now-s.tookAt > tookFade || s.tookAt == 0 {
		s.took, s.tookCalls = b.predict.mid, float64(y.calls)
	}
	s.tookAt = b.now
	s.took += tookNew * (lat - s.took)
	s.tookCalls += tookNew * (float64(y.calls) - s.tookCalls)
}

func (g *predictor) teach(now float64, y *try, slow bool) {
	y.noted = true
	g.weights.Teach(&y.x, slow, y.fast)
	if y.fast {
		g.submits.Note(now, slow)
	}
}

func (g *predictor) line(now float64, s *server) float64 {
	return predict.Line(now, s.line, g.top, g.seen)
}

func (g *predictor) features(now float64, s *server, load float64) vector {
	line := g.line(now, s)
	f := predict.NewFeatures(line, g.avgLoad, load)
	// A hang must not read as fast: a part out for longer than the line stands for the latest latency.
	if len(s.tries) > 0 {
		if age := now - s.tries[0].at - s.tries[0].extra; age > line {
			f.Add(age, s.tries[0].load)
		}
	}
	for _, h := range s.hist {
		if h.at > 0 && now-h.at < histLife {
			f.Add(h.lat, h.load)
		}
	}
	return f.X
}

// slow: an empty history counts as fast. Where this broker comes to each server within the expiry, it is
// empty because the server was passed over, and the score's bias decides; at full size most are empty for
// want of searches, and in bad times the bias made all servers slow, so that no part was sent again.
func (b *Broker) slow(x vector) bool {
	return (x[2] > 0 || b.pace() < histLife) && b.predict.score(x) > 0.5
}

// loadOf is the last reported count with what this broker changed since; its own calls where no report comes
// with answers, as a probe for one tells of a queue that has passed, and costs; the average for a server
// that has not reported.
func (b *Broker) loadOf(s *server) float64 {
	if !b.reports.any() {
		return float64(s.calls)
	}
	if math.IsInf(s.loadAt, -1) {
		return b.predict.avgLoad
	}
	w := b.fresh(s.loadAt)
	return max(w*(s.load+float64(len(s.tries)-s.loadOwn))+(1-w)*b.predict.avgLoad, 0)
}

// fresh fades what was last heard of a server to the average: a queue that was long is not long for ever, and
// a server that is skipped for it is not heard of again.
func (b *Broker) fresh(heard float64) float64 {
	return min(max(1-(b.now-heard-histLife)/fadeOver, 0), 1)
}

func (b *Broker) report(s *server, values []float64) {
	best := Other
	for i, v := range values[:min(len(values), len(b.reports.fields))] {
		switch field := b.reports.fields[i]; {
		case field > Busy && (best == Other || field == InFlight):
			if math.IsInf(s.loadAt, -1) {
				b.predict.heard++
			}
			b.predict.loads += v - s.load
			best, s.load, s.loadAt, s.loadOwn = field, v, b.now, len(s.tries)
		}
	}
}

// crowded: slowness on most replicas together, where the design assumes short bursts on few. A copy then
// takes from another part what it gives to its own.
func (g *predictor) crowded() bool { return predict.Crowded(g.mid, g.calm) }

// expect is what answers took lately or, if longer, what has been out for; of a server not heard of for long,
// what is typical: shedding on old news would keep itself true.
func (b *Broker) expect(s *server) float64 {
	w := max(1-(b.now-s.tookAt)/tookFade, 0)
	if s.tookAt == 0 {
		w = 0
	}
	took := w*s.took + (1-w)*b.predict.mid
	if len(s.tries) > 0 {
		took = max(took, b.now-s.tries[0].at-s.tries[0].extra)
	}
	return took
}

// judge tells a server's health from what came back, never from the list alone: a list knows late, and only
// of processes.
func (b *Broker) judge(y *try, how Outcome) {
	s := b.servers[y.server]
	if s.trial == y {
		s.trial = nil
		if how != Answered && how != Moot && how != Cancelled && s.aside {
			b.retreat(s) // called off by this broker says nothing of the server: the next trial stays due
		}
	}
	if how == Answered || how == Reset || how == NoConnect { // new ones that fail speak against idle ones' age
		y.fresh = y.fresh || how == NoConnect
		b.links.note(b.now, y, how != Answered)
	}
	switch how {
	case Answered:
		if s.answered = b.now; y.begun {
			return // judged when it began to answer
		}
		s.oks.Add(b.now, 1)
		if s.streak++; s.aside && (s.dead || s.streak >= 2) {
			if y.at > s.since && (s.broke || s.dead && b.now-s.since > coldAfter) && b.now >= s.coldTo {
				// It may have restarted and no list has told yet. An answer to what was sent before disproves
				// that; without news in time it was a hang or a crowd, and the guard lets go.
				s.coldFrom, s.coldTo = b.now, b.now+newsLast
			}
			s.aside, s.broke = false, false
			b.log("server %d back after %.0f ms", y.server, b.now-s.since)
		}
	case Errored, TimedOut, Reset:
		// Parts that share a connection break together: one event, and no proof that the server is gone.
		s.streak = 0
		if how != Reset || s.resetAt != b.now {
			s.errs.Add(b.now, 1)
		}
		if how == Reset {
			s.resetAt = b.now
		}
		few := errFew
		if b.pace() > errSpan {
			few = 1 // two seldom fall into one span where this broker comes by so seldom, and one costs a search a try
		}
		if e := s.errs.Sum(b.now, errSpan); e >= few && e > errShare*(e+s.oks.Sum(b.now, errSpan)) {
			b.setAside(y.server, false, "errors")
		}
	case Full:
		// A refusal is quick, and frees this broker's place there at once: the fewest-outstanding choice
		// would send everything to whoever turns it away.
		s.fullUntil = b.now + fullPause
		b.predict.late.Add(b.now, y.p.q.k.aim) // as good as late: a queue so long that no more fits
		// Where a whole set is full, a third try only takes the place of another part.
		if y.p.fulls++; y.p.fulls >= fullGiveUp {
			y.p.skip = true
		}
	case NoConnect:
		s.streak = 0
		b.setAside(y.server, true, "unreachable")
		s.broke = true
	}
}

func (b *Broker) setAside(id int, dead bool, why string) {
	s := b.servers[id]
	if s.aside && (s.dead || !dead) {
		return
	}
	s.aside, s.dead, s.sure, s.since, s.streak = true, dead, false, b.now, 0
	if s.backoff = b.trialAfter; !b.links.stale(b.now) { // there a fresh connection may do at once
		s.backoff = max(b.trialAfter, b.pace())
	}
	s.trialAt = b.now + s.backoff
	b.watch(id)
	b.log("server %d aside: %s", id, why)
}

// Site takes many servers aside, or back to trials, at once: judged each by itself, each would take searches with it.
// Trials are spread by chance, so that neither one broker's nor all brokers' come as one.
func (b *Broker) Site(hall int, lost bool, spread float64) {
	b.noteHall(hall, lost)
	for i, s := range b.servers {
		if s == nil || !s.listed || s.hall != hall {
			continue
		}
		if spread < 0 { // it was not lost: who was set aside then, for that alone, is not
			s.aside = s.aside && (s.broke || math.Abs(b.now+spread-s.since) > 1)
			continue
		}
		at := b.now + spread*b.dice.roll()
		if lost {
			b.setAside(i, true, "its hall is lost")
			s.trialAt = at
		} else if !lost && s.aside && s.dead {
			s.trialAt, s.backoff = min(s.trialAt, at), b.trialAfter
		}
	}
}

func (b *Broker) retreat(s *server) {
	s.sure = false
	s.backoff = min(2*s.backoff, max(trialLongest, 2*b.pace()))
	s.trialAt = b.now + s.backoff
}

// pace is how long this broker leaves a server alone by itself: at full size trials sooner than that would be
// all that it sends there, and a server set aside would get as much as ever.
func (b *Broker) pace() float64 {
	return min(paceSpan*float64(b.ready)/max(b.sends.Sum(b.now, paceSpan), float64(b.ready)/10), paceSpan)
}

// tend looks at what has not come: parts older than the line are evidence of slowness, and a server with
// parts out that answers nothing is silent, hung or lost alike.
func (b *Broker) tend() {
	g := &b.predict
	g.mid, _ = g.pool.Quantile(b.now, 0.5)
	g.top, g.seen = g.pool.Quantile(b.now, predict.LineShare)
	if g.seen >= copyFew && (g.calm == 0 || g.mid < g.calm) {
		g.calm = g.mid
	}
	if g.avgLoad = float64(b.calls) / float64(max(b.ready, 1)); b.reports.any() {
		g.avgLoad = g.loads / max(g.heard, 1)
	}
	patience := max(silentLeast*g.top, min(silentLines*g.top, silentAim*b.shortAim))
	b.trialAfter = min(trialFirst, trialLines*g.top)
	if g.seen < copyFew {
		patience, b.trialAfter = silentAim*b.shortAim, trialFirst
	}
	stale := b.links.stale(b.now)
	found := stale && !b.links.was // then those set aside for it need not wait
	b.links.was = stale
	kept := b.tending[:0]
	for _, i := range b.tending {
		s := b.servers[i]
		line, patience := b.predict.line(b.now, s), patience
		if len(s.tries) > 0 && b.now-s.answered < fadeOver {
			patience = max(patience, silentOwn*s.took) // slow in answering is not silent
		}
		for _, y := range s.tries {
			if !y.noted && b.now-max(y.at, b.awake)-y.extra > line {
				b.predict.teach(b.now, y, true)
			}
		}
		if s.trial != nil && b.now-max(s.trial.at, b.awake) > patience {
			s.trial = nil
			b.retreat(s)
		} else if !s.aside && len(s.tries) > 0 && b.now-max(s.answered, s.tries[0].at, b.awake) > patience {
			b.links.note(b.now, s.tries[0], true)
			b.setAside(i, true, "silent")
		}
		if found && s.aside && s.dead {
			s.trialAt, s.backoff = min(s.trialAt, b.now), b.trialAfter
		}
		if s.listed && s.state == Ready && b.reports.mayProbe && !s.probing && s.aside && s.dead && !s.sure &&
			b.now >= s.trialAt {
			s.probing = true
			b.out.Probe(i)
		}
		if s.watched = s.aside || len(s.tries) > 0; s.watched {
			kept = append(kept, i)
		}
	}
	b.tending = kept
	if b.cold.multiple > 0 && b.now >= b.cold.at+carryEvery {
		size, warm := 0.0, 0.0
		for _, s := range b.servers {
			if s != nil && s.listed && s.state == Ready {
				if size += max(s.size, 1e-3); b.now >= s.coldTo {
					warm += max(s.size, 1e-3)
				}
			}
		}
		b.cold.tend(b.now, warm, size)
	}
}

// gathered counts a part once, and stops what its answer made needless.
func (b *Broker) gathered(y *try, how Outcome) {
	p := y.p
	if how != Answered || p.in || p.q.over || p.step != p.q.step || p.kept != nil && p.kept != y {
		return
	}
	p.in = true
	b.limits.held--
	b.callOff(p)
}

func (b *Broker) callOff(p *part) {
	if !b.limits.cancel {
		return
	}
	for _, y := range p.tries {
		if y.out && !y.called && (y != p.kept || p.q.over) {
			y.called = true
			b.out.Cancel(p.id, y.no)
		}
	}
}

func (b *Broker) stop(q *search) {
	for _, p := range q.parts {
		b.callOff(p)
	}
}

// giveUp ends a search at once. It may be called harmless to ask again only where nothing can have run.
func (b *Broker) giveUp(q *search, why Step) {
	harmless := true
	for _, p := range q.parts {
		harmless = harmless && p.kept == nil && (p.mayRun() == nil || q.k.effect == Idempotent)
	}
	if q.refused(why); harmless {
		b.out.Shed(q.id, b.back(q.k))
	} else {
		b.out.Fail(q.id)
	}
	b.finish(q)
}

// back is when a shed client may come again, spread by chance, or those who were shed together would come together; the
// hold limit sheds before a search comes here, and asks too. While a hall is lost it is spread over the outage, which is
// taken to last as long again, and never all at the longest advice: that would be one beat for all.
func (b *Broker) back(k *queryType) float64 {
	if k == nil {
		return 0
	}
	over := backShare * k.aim
	if b.outage > 0 {
		over = max(over, min(b.now-b.outage, b.longestAdvice/1.5))
	}
	return min(b.longestAdvice, over*(0.5+b.dice.roll()))
}
