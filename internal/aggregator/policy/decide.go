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
	historySize        = predict.HistorySize
	historyLife        = predict.HistoryLife
	featureCap         = predict.FeatureCap
	latencySpan        = predict.LineSpan
	reportFadeSpan     = 3000.0      // past the expiry, what was heard fades over so long
	minSamples         = predict.Few // answers of a query type before its pX means something
	maxHedgeShare      = 0.10        // of a search's parts
	overloadSlowFactor = 2.0         // medians that a server takes which is slow even among a crowd, as one that is cold
	hintTrust          = 0.5         // hints are rough: a small part is taken to be at least so big

	// Between equals, in average loads: a choice that saves work is worth less than one that saves a wait.
	tieOpenBatch     = 1.1 // a call that is open anyway: more than its own load and chance make of it
	tieLatency       = 2.0 // what it took lately
	tieOtherZone     = 2.2 // the own hall
	tieTrial         = 10. // a trial that is due
	tieRandom        = 0.1
	tieParked        = 1.0 // calls that wait for their client or are being read: an average server's worth
	latencyFadeSpan  = 10000.
	latencyNewWeight = 0.5 // weight of the newest answer in what a server takes

	timeoutLines        = 2.0   // no answer for so many fleet lines, with parts out, is silence
	timeoutMinLines     = 1.6   // and never under so many, however short the latency target
	timeoutOwnLatencies = 1.5   // nor under so many times what it took lately
	timeoutTargetShare  = 0.5   // of the shortest latency target
	minErrors           = 2.0   // errors lately before a share of them counts
	maxErrorShare       = 0.3   // a server that fails more is set aside
	errorSpan           = 4000. // lately
	replacementGain     = 0.67  // a second place must be expected to take at most so much of what was waited
	maxFirstTrialDelay  = 1000. // first trial after so long, then twice as long each time
	firstTrialLines     = 8.0   // but no later than so many fleet lines: one that only paused is missed meanwhile
	maxTrialBackoff     = 2000.
	sendSpan            = 10000.
	rejectionBackoff    = 300.   // after a full queue: long enough for a few parts to be done
	sameServerBackoff   = 300.   // before a part comes to whoever failed it, or to one that fails others
	maxRejections       = 2      // a part that two turned away is not worth a third's place
	rateMemory          = 90000. // what servers carried at their best is remembered so long
	assumedBusyShare    = 0.67   // what servers say of themselves may be untrue; wholly busy, the budget still holds
	rateSpan            = 10000.
	rateInterval        = 500.
	restartReportDelay  = 4000. // a list tells of a restart within so long
	restartLikelyAfter  = 5000. // silent for longer: it may have restarted unannounced
	warmUpSafetyShare   = 0.75  // of the budget: what servers say comes late, and chance varies
	maxDrawnRequests    = 4.0   // sub-requests that one broker sends by lot in the window, where others even it out
	aggregatorsPerDraw  = 50.0  // brokers for each of them: alone, more than one needs a measure of its own

	admitMinShare      = 0.52 // share of the latency target that the least valued search may be expected to take
	admitMaxShare      = 0.88 // and the most valued
	tailMinShare       = 0.65 // share of the target that the slowest part may be expected to take, least valued
	tailMaxShare       = 1.0  // and most
	tailPower          = 3.0  // past it, the chance to be taken falls so fast
	tailSpan           = 3000.
	overloadTightening = 0.8   // of that in a crowd: a full server does no more for a longer queue, only later
	pendingShare       = 0.85  // of the hold limit: beyond, only the most valued
	quotaSpan          = 4000. // a customer's share is watched over so long
	quotaTolerance     = 1.25  // and passed beyond so much: brokers see unequal parts
	retryAfterShare    = 0.25  // of the latency target: advice to a shed client

	minIdle          = 1000. // since the last answer: shorter, a connection is in use
	idleSpan         = 20000.
	minIdleLost      = 3    // lost on idle connections
	maxIdleLostShare = 0.2  // of what was sent on them
	refusalProbeTime = 100. // a failure after so long is no refusal
	logInterval      = 500.
	answerMargin     = 25.0 // a final answer goes out so long before the client timeout
	stallAfter       = 100. // a wake-up so late is a stall
	tickInterval     = 10.0 // while searches are held, look again after so long
)

// Latencies are told to a tenth; what is kept over a span, to a tenth of the span.
func newHistogram(span float64) *window.Hist { return window.NewHist(10, span/10, 1, 1.1, 100) }
func newCounts(span float64) *window.Counts  { return window.NewCounts(12, span/10) }

const searchStages = 2 // stages that take a search; the others take its parts

// New makes the module. Decisions go to out; seed is the source of its chance, brokers how many of its kind
// there are, hall its own site.
func New(out Out, seed uint64, brokers, hall int) *Policy {
	p := &Policy{out: out, random: random{seed: seed}, aggregators: max(brokers, 1), zone: hall, firstTrialAfter: maxFirstTrialDelay,
		wakeDueAt: math.Inf(-1), loggedAt: math.Inf(-1), shortestTarget: math.Inf(1), retryWeight: 1}
	p.Fleet(1, 1, 1, 0, false)
	p.Limits(1, 0, false, false)
	p.predictor = predictor{weights: predict.Start, latencies: newHistogram(latencySpan), recentLatencies: newHistogram(tailSpan), submits: predict.NewSubmits()}
	p.sent = newCounts(sendSpan)
	for i := range 2 {
		p.connections.lost[i], p.connections.answered[i] = newCounts(idleSpan), newCounts(idleSpan)
	}
	p.stages = []stage{{p.admit, nil}, {p.finishSearch, p.recordAnswer}, {p.attemptNeeded, nil}, {p.filterCandidates, p.observeHealth},
		{p.chooseServer, p.teachPredictor}, {p.send, p.release}}
	return p
}

// Done implements Port; what a sub-request tells goes up through the stages, last first.
func (p *Policy) Done(id, no int, how Outcome, report []float64) {
	req := getAt(p.requests, id)
	if req == nil || no >= len(req.attempts) || !req.attempts[no].inFlight {
		return
	}
	attempt := req.attempts[no]
	p.recordReport(p.servers[attempt.server], report)
	for i := len(p.stages) - 1; i >= 0; i-- {
		if up := p.stages[i].observe; up != nil {
			up(attempt, how)
		}
	}
	p.forget(req.search)
}

// Committed learns from a sub-request as from an answer, now: how long the client goes on reading tells nothing of the
// server, and a stream that lasts must not read as silence. It still counts as a call that is out.
func (p *Policy) Committed(id, no int, answering bool) bool {
	req := getAt(p.requests, id)
	if req == nil || no >= len(req.attempts) || !req.attempts[no].inFlight || req.committed != nil || req.answered || req.attempts[no].cancelled {
		return false
	}
	attempt := req.attempts[no]
	if req.committed = attempt; answering {
		p.teachPredictor(attempt, Answered)
		p.observeHealth(attempt, Answered)
	}
	server := p.servers[attempt.server]
	p.adjustBatch(server, attempt.batch, 0, 1-attempt.parked())
	attempt.answering, attempt.taught = true, true
	server.stopWaiting(attempt)
	p.cancelAttempts(req)
	return true
}

// Pushback keeps to the latest wish; one that says never is not overruled.
func (p *Policy) Pushback(id int, wait float64) {
	if req := getAt(p.requests, id); req != nil {
		if req.notBefore = max(req.notBefore, p.now+wait); wait < 0 {
			req.notBefore = math.Inf(1)
		}
	}
}

// Probed implements Port; it counts only for a server that is set aside as dead.
func (p *Policy) Probed(id int, ok bool, elapsed float64, report []float64) {
	server := p.servers[id]
	if server.probing = false; ok {
		p.recordReport(server, report)
	}
	if !server.ejected || !server.unresponsive {
		return
	}
	if ok || elapsed >= refusalProbeTime {
		if !server.provedAlive {
			server.provedAt = p.now
		}
		server.provedAlive = true // no answer to a probe that waits in a queue proves nothing
	} else {
		p.backOffTrial(server)
	}
}

// Server implements Port; a server of which it is the first news is added.
func (p *Policy) Server(id, hall, cell int, state State, size, started float64) {
	for len(p.servers) <= id {
		p.servers = append(p.servers, nil)
	}
	server := p.servers[id]
	if server == nil {
		server = &serverState{latencies: newHistogram(latencySpan), errors: newCounts(errorSpan), successes: newCounts(errorSpan),
			sentWork: newCounts(max(p.warmUp.window, 1)), loadReportedAt: math.Inf(-1)}
		p.servers[id] = server
	}
	if was, is := server.listed && server.state == Ready, state == Ready; was != is || server.position != cell {
		p.dropHolders(server.position)
		p.dropHolders(cell)
		if was && !is {
			p.readyServers--
		} else if is && !was {
			p.readyServers++
			p.maxReadyServers = max(p.maxReadyServers, p.readyServers)
		}
	}
	if state != Gone {
		server.zone, server.position, server.size = hall, cell, max(size, 0)
		if started > server.startedAt && started > 0 {
			server.startedAt = started
			server.warmUpFrom, server.warmUpUntil = started, started+p.warmUp.duration
			if server.ejected && server.unresponsive {
				server.trialAt, server.trialBackoff = p.now, p.firstTrialAfter // news of a restart: ask again at once
			}
		}
	}
	if server.listed, server.state = state != Gone, state; state == Gone && !math.IsInf(server.loadReportedAt, -1) {
		p.predictor.reporting--
		p.predictor.reportedLoad -= server.load
		server.load, server.loadReportedAt = 0, math.Inf(-1)
	}
}

// Begin implements Port; a round that begins late tells that this broker stood still.
func (p *Policy) Begin(now float64) {
	// A wake-up that comes late means that this broker stood still: what it did not hear meanwhile is no
	// silence of servers.
	if !math.IsInf(p.wakeDueAt, 0) && now > p.wakeDueAt+stallAfter {
		p.resumedAt = now
	}
	p.now, p.round = now, p.round+1
}

// DiscoveryFailed implements Port; the list is asked for again after 0.5 to 1 s.
func (p *Policy) DiscoveryFailed() {
	if p.discovery.enabled {
		p.discovery.due, p.discovery.dueAt = true, p.now+500+500*p.random.next()
	}
}

// End implements Port; here everything is decided.
func (p *Policy) End() {
	if p.discovery.due && p.now >= p.discovery.dueAt {
		p.discovery.due = false
		p.out.Subscribe()
	}
	p.checkServers()
	kept := p.liveSearches[:0]
	for _, search := range p.liveSearches {
		p.runStages(search)
		if !search.finished {
			kept = append(kept, search)
		}
		p.forget(search)
	}
	clear(p.liveSearches[len(kept):])
	p.liveSearches = kept
	if (len(p.liveSearches) > 0 || p.discovery.due) && p.now >= p.wakeDueAt {
		p.wakeDueAt = p.now + tickInterval
		p.out.Wake(tickInterval)
	}
}

func (p *Policy) runStages(search *searchState) {
	place := &placement{search: search}
	for _, s := range p.stages[:searchStages] {
		if search.finished || s.decide(place) != proceed {
			return
		}
	}
	for _, req := range search.requests {
		place.request, place.hedge, place.replace, place.server = req, false, false, -1
		for _, s := range p.stages[searchStages:] {
			if s.decide(place) != proceed {
				break
			}
		}
	}
}

// admit sheds on arrival: later, work is lost with it. What a search will take is told by what servers took
// lately for each of their calls; a queue that nobody reports shows there, whatever made it.
func (p *Policy) admit(place *placement) verdict {
	search, qt := place.search, place.search.kind
	if search.admitted {
		return proceed
	}
	if qt != nil {
		// The time that is missing to what the type usually has tells how long it waited, at a client that asks
		// again or at this broker while it stood still.
		qt.clientTime = max(qt.clientTime, search.deadline-p.now)
		search.targetAt = search.deadline - qt.clientTime + qt.latencyTarget
	}
	if qt == nil || search.expected <= 0 || p.now >= search.deadline-answerMargin || p.reachableWeight(search) < qt.floor-1e-4 {
		p.giveUp(search, p.invalidReason(search))
		return finished
	}
	worst, usable, aim := 0.0, 0.0, min(qt.latencyTarget, search.deadline-p.now)
	for _, req := range search.requests {
		best, calls, then := math.Inf(1), 0.0, 0.0
		req.expected = math.Inf(1)
		holders := p.holdersOf(req.shard)
		for _, i := range holders {
			server := p.servers[i]
			// One that fails some parts still answers others, and one that has just fallen silent may be back in time.
			out := server.ejected && server.unresponsive && !p.trialDue(server) && (server.connectFailed || server.trialBackoff > admitMinShare*aim)
			if out || !p.hasCapacity(server, holders, req) {
				continue
			}
			if req.expected = 0; !server.ejected {
				best, calls, then = min(best, p.expectedLatency(server)), calls+2+float64(server.batches-server.parkedBatches), then+2+server.meanBatches
			}
		}
		if then > 0 {
			// With more out than when the latest answers were asked for, a queue grows.
			req.expected = best * calls / then
		}
		if !math.IsInf(req.expected, 1) {
			worst = max(worst, req.expected)
		}
	}
	limit := admitMinShare + (admitMaxShare-admitMinShare)*p.value(search)/max(p.maxValue, 1e-9)
	top := p.value(search) >= p.maxValue
	// One that waited may be too late for its target: it is worth less.
	if limit *= aim; p.predictor.overloaded() {
		limit *= overloadTightening
	}
	if left := search.targetAt - p.now; worst > admitMaxShare*left {
		limit *= qt.lateValue
	}
	// Where a part answer will do, what is not worth waiting for is not asked for: a shard whose holders are
	// all busy is left to the searches that need it.
	for _, req := range search.requests {
		if req.skipped = req.expected > limit; !req.skipped {
			usable += req.weight
		}
	}
	// A search waits for the slowest of its parts, and the more it has the slower that is: a fleet's crowd shows
	// there first. By chance past the limit, as brokers that shed all at once take all at once again.
	tail, n := p.predictor.recentLatencies.Quantile(p.now, math.Pow(0.5, 1/float64(search.expected)))
	bear := aim * (tailMinShare + (tailMaxShare-tailMinShare)*p.value(search)/max(p.maxValue, 1e-9))
	slow := p.capacityFloor.worth == 0 && n >= minSamples && tail > bear && p.random.next() > math.Pow(bear/tail, tailPower)
	less := p.capacityFloor.worth - p.value(search) // what servers bear is known better: by the harm done, and least value first
	full := less > 0 || less == 0 && p.capacityFloor.worth > 0 && p.random.next() < p.capacityFloor.beyond
	if usable < qt.floor-1e-4 || slow || full ||
		p.limits.maxPending > 0 && !top && float64(p.limits.pending) > pendingShare*float64(p.limits.maxPending) {
		why := p.refusalReason(search, usable >= qt.floor-1e-4, slow, full)
		p.log("shed: %v, expected %.0f ms against a target of %.0f, %d held", why, worst, aim, p.limits.pending)
		p.giveUp(search, why)
		return finished
	}
	search.admitted = true
	return proceed
}

// value per unit of work, as the goal counts it.
func (p *Policy) value(search *searchState) float64 {
	customer := getAt(p.customers, search.customer)
	if customer != nil && customer.quota > 0 &&
		customer.arrivals.Sum(p.now, quotaSpan)*float64(p.aggregators) > quotaTolerance*customer.quota*quotaSpan/1000 {
		return search.kind.value * search.weight * customer.overQuotaWeight
	}
	return search.kind.value * search.weight
}

// finishSearch ends a search: whole as soon as it is, in part at its latency target where that is worth more than
// waiting, and given up while the client can still hear of it.
func (p *Policy) finishSearch(place *placement) verdict {
	search, qt := place.search, place.search.kind
	got, could, have, left := 0.0, 0.0, 0, 0
	for _, req := range search.requests {
		if req.phase != search.phase {
			continue
		}
		if req.answered {
			got, have = got+req.weight, have+1
		} else if p.mayStillAnswer(req) {
			could, left = could+req.weight, left+1
		}
	}
	need, floor := qt.need, qt.floor
	if search.phase > 0 {
		if need = 1; qt.floor >= qt.need {
			floor = 1
		}
	}
	whole := search.phase == 0 && got >= need-1e-5 || search.phase > 0 && have >= search.expected
	last := p.now >= search.deadline-answerMargin
	some := got >= max(floor, 1e-3)-1e-5 && have > 0
	// What can't come to its least share any more is over, whatever is still out: that work is for nobody.
	over := len(search.requests) > 0 && (left == 0 || search.phase == 0 && got+could < floor-1e-4)
	due := p.now >= search.targetAt-answerMargin && qt.partialValue*got >= qt.lateValue*need
	switch {
	case whole && have > 0, some && (last || over || due):
		p.out.Answer(search.id, whole && (search.phase == 0 || search.firstComplete))
		if search.phase == 0 && qt.followUp > 0 {
			search.firstComplete, search.phase, search.expected = whole, 1, min(qt.followUp, have)
			p.cancelSearch(search)
			return skip
		}
		p.finish(search)
		return finished
	case last || over && have < search.expected:
		p.giveUp(search, GivenUp)
		return finished
	}
	return proceed
}

// mayStillAnswer: its answer may still come.
func (p *Policy) mayStillAnswer(req *shardRequest) bool {
	if req.skipped {
		return false
	}
	if len(req.attempts) < p.limits.maxAttempts && p.mayRetry(req) {
		return true
	}
	for _, attempt := range req.attempts {
		if attempt.inFlight {
			return true
		}
	}
	return false
}

// mayRetry keeps an effect from happening twice: only a sub-request proved not to have run may be followed
// by another, unless a repeat does no harm or is still dropped by whoever holds the shard.
func (p *Policy) mayRetry(req *shardRequest) bool {
	qt, attempt := req.search.kind, req.firstPossiblyRun()
	if req.committed != nil || req.notBefore >= req.search.deadline-answerMargin {
		return false
	}
	return qt.effect == Idempotent || attempt == nil || qt.effect == Tokened && p.now < attempt.sentAt+qt.tokenWindow-answerMargin
}

// effectiveEffect: a window that ends before a repeat could be sent is none, and the type's parts may not run twice. Taken for
// one, it would leave the first sub-request no time to begin either.
func effectiveEffect(effect Effect, window float64) Effect {
	if effect == Tokened && window <= 2*answerMargin {
		return NonIdempotent
	}
	return effect
}

// attemptNeeded decides whether a part gets a sub-request: its first, another after a failure, one off a dead
// server, or the design's copy.
func (p *Policy) attemptNeeded(place *placement) verdict {
	req, search := place.request, place.search
	if req.answered || req.skipped || req.phase != search.phase || len(req.attempts) >= p.limits.maxAttempts || !p.mayRetry(req) || p.now < req.notBefore {
		return skip
	}
	if len(req.attempts) > 0 && !p.budget.allows(p.now) {
		return skip
	}
	out, dead := 0, 0
	var last *attemptState
	for _, attempt := range req.attempts {
		if attempt.inFlight {
			out++
			last = attempt
			if server := p.servers[attempt.server]; server.ejected && server.unresponsive && server.trial != attempt {
				dead++
			}
		}
	}
	qt := search.kind
	switch {
	case out == 0:
		return proceed
	case out == dead && out < 2:
		if p.limits.mayHedge {
			place.replace = true
			return proceed
		}
		if p.limits.mayCancel && !last.cancelled {
			last.cancelled = true
			p.out.Cancel(req.id, last.number) // no two at once here: the next goes when this one is off
		}
		return skip
	case out > 1 || req.hedged || req.clientSending || !p.limits.mayHedge || qt.effect != Idempotent:
		return skip
	}
	limit, n := qt.latencies.Quantile(p.now, p.predictor.submits.CopyShare(p.now))
	if most := math.Ceil(maxHedgeShare*float64(search.expected) - 1e-9); n < minSamples || p.now-last.startedAt-last.hintedExtra < limit ||
		float64(search.hedges) >= most || p.predictor.overloaded() {
		return skip
	}
	place.hedge, place.replace = true, true
	return proceed
}

// budget is the stated one for further sub-requests, where over is set: they are counted long, the searches
// and parts that earn them short, so that no window of its length can be overdrawn.
func (b *retryBudget) allows(now float64) bool {
	return b.window == 0 || b.retries.Sum(now, b.window)+1 <= b.allowance+b.ratio*b.requests.Inside(now, b.window)
}

// filterCandidates leaves the servers that may get this part: listed, sound, and with room while cold.
func (p *Policy) filterCandidates(place *placement) verdict {
	place.candidates = place.candidates[:0]
	var again, failing []int
	holders := p.holdersOf(place.request.shard)
	for _, i := range holders {
		server := p.servers[i]
		if p.now < server.rejectsUntil || !p.hasCapacity(server, holders, place.request) {
			continue
		}
		tried, here := false, false
		for _, attempt := range place.request.attempts {
			tried = tried || attempt.server == i
			here = here || attempt.server == i && attempt.inFlight
		}
		switch {
		case here:
		case server.ejected && !p.trialDue(server):
			if !server.unresponsive {
				failing = append(failing, i)
			}
		case tried:
			again = append(again, i)
		default:
			place.candidates = append(place.candidates, i)
		}
	}
	// Whoever has failed this part, or fails others, is asked again only after a while: its tries would be gone within
	// milliseconds, and with them all of its search, where a place that is full or slow would have been free soon.
	if n := len(place.request.attempts); len(place.candidates) == 0 && !place.hedge && (n == 0 || p.now >= place.request.lastEndedAt+sameServerBackoff) {
		if place.candidates = append(place.candidates, again...); len(place.candidates) == 0 {
			place.candidates = append(place.candidates, failing...) // some quick errors beat no answer
		}
	}
	if len(place.candidates) == 0 {
		return skip
	}
	return proceed
}

func (p *Policy) trialDue(server *serverState) bool {
	return p.now >= server.trialAt && server.trial == nil && (server.provedAlive || !server.unresponsive || !p.reports.mayProbe)
}

// hasCapacity wards off pushing over a server that has just come back: all brokers together must stay under a
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
func (p *Policy) hasCapacity(server *serverState, holders []int, req *shardRequest) bool {
	w, share := &p.warmUp, p.warmUp.initialShare
	switch {
	case w.multiple <= 0:
		return true
	case p.now < server.warmUpUntil:
		share += (1 - share) * max(p.now-server.warmUpFrom, 0) / (server.warmUpUntil - server.warmUpFrom)
	case !server.ejected || !server.unresponsive || !server.connectFailed && p.now-server.ejectedAt <= restartLikelyAfter, server.provedAlive && p.now > server.provedAt+restartReportDelay:
		return true
	}
	safe, work, sent := warmUpSafetyShare*w.multiple*share, p.expectedWork(req), server.sentWork.Sum(p.now, w.window)
	if sent+work <= safe*w.maxRate*max(server.size, 1e-3)*w.window {
		return true
	}
	usable, nth := 0.0, 0.0
	for _, i := range holders {
		if other := p.servers[i]; other == server {
			nth = usable
			usable++
		} else if !other.ejected || !other.unresponsive {
			usable++
		}
	}
	most := max(float64(len(holders)), float64(p.maxReadyServers*min(p.fleet.replicas, p.fleet.positions))/float64(p.fleet.positions))
	lot := req.search.warmUpDraw*max(usable, most/2) - nth
	few := min(max(float64(p.aggregators)/aggregatorsPerDraw, 1), maxDrawnRequests)
	return sent+work <= few*work && lot >= 0 && lot < min(safe, 1)
}

// measure takes the measure while most servers are warm: what the last few carry tells nothing of what one can.
func (w *warmUpGuard) measure(now, warm, size float64) {
	w.maxRate *= math.Exp((w.measuredAt - now) / rateMemory)
	w.measuredAt, w.warmSize = now, warm
	if warm > size/2 {
		w.maxRate = max(w.maxRate, w.warmWork.Inside(now, rateSpan)/rateSpan/assumedBusyShare)
	}
}

// hintedExtra is a part's hinted work over its query type's: a big part takes longer without being slow, by its
// work and not by what it waits.
func (p *Policy) hintedExtra(req *shardRequest) float64 {
	if qt := req.search.kind; req.work > 0 {
		return min(max(req.work-qt.meanWork, -hintTrust*qt.meanWork), qt.meanWork)
	}
	return 0
}

func (p *Policy) expectedWork(req *shardRequest) float64 {
	qt := req.search.kind
	if qt.meanWork > 0 {
		return qt.meanWork + p.fleet.batchWork
	}
	return 0.1*qt.latencyTarget + p.fleet.batchWork
}

// chooseServer is the design's: skip the predicted-slow, then the fewest own calls outstanding, also when all look
// slow, as in a crowd: what looks fast there is who was left alone for a second, and all brokers come at once. But who takes
// far longer than even a crowd does, as one that came back cold, is slow there too.
// Between equals: a call that is open anyway, less load reported, the own hall.
func (p *Policy) chooseServer(place *placement) verdict {
	best, bestSlow, bestCalls, bestTie, crowd := -1, false, 0, 0.0, p.predictor.overloaded()
	for _, i := range place.candidates {
		server := p.servers[i]
		slow := p.predictedSlow(p.predictor.features(p.now, server, p.estimatedLoad(server))) && !(crowd && p.expectedLatency(server) < overloadSlowFactor*p.predictor.median)
		calls, join := server.batches-server.parkedBatches+1, p.joinsBatch(server)
		if join {
			calls--
		}
		tie := p.estimatedLoad(server)/(p.predictor.avgLoad+1) + tieLatency*p.expectedLatency(server)/max(p.predictor.median, 1)
		tie += tieRandom * p.random.next()
		tie += tieParked * float64(server.parkedBatches*p.readyServers) / float64(p.parkedBatches+p.readyServers)
		if join {
			tie -= tieOpenBatch
		}
		if server.zone != p.zone {
			tie += tieOtherZone
		}
		if server.ejected {
			tie -= tieTrial
		}
		if best < 0 || slow != bestSlow && bestSlow ||
			slow == bestSlow && (calls < bestCalls || calls == bestCalls && tie < bestTie) {
			best, bestSlow, bestCalls, bestTie = i, slow, calls, tie
		}
	}
	// Two in slow places keep a crowd up: what a part gains there, another loses.
	if last := len(place.request.attempts) - 1; place.replace && (bestSlow ||
		p.expectedLatency(p.servers[best]) > replacementGain*(p.now-place.request.attempts[last].startedAt)) {
		return skip
	}
	place.server = best
	return proceed
}

func (p *Policy) joinsBatch(server *serverState) bool {
	return server.openBatch != nil && server.openRound == p.round && server.openBatch.size < p.fleet.maxBatch
}

func (p *Policy) send(place *placement) verdict {
	req, search, server := place.request, place.search, p.servers[place.server]
	attempt := &attemptState{request: req, number: len(req.attempts), server: place.server, loadAtSend: p.estimatedLoad(server), batches: server.batches - server.parkedBatches, startedAt: p.now, sentAt: p.now, inFlight: true}
	attempt.hintedExtra = p.hintedExtra(req)
	attempt.overIdle = len(server.waiting) == 0 && server.answeredAt > 0 && p.now-server.answeredAt >= minIdle
	// Idle connections may be dropped unseen; trials take a new one too, unless new ones failed there.
	if attempt.freshConnection = attempt.overIdle && (server.ejected && !server.connectFailed || p.connections.idleFaulty(p.now)); attempt.freshConnection {
		p.out.Close(place.server)
	}
	attempt.features = p.predictor.features(p.now, server, attempt.loadAtSend)
	attempt.predictedFast = !p.predictedSlow(attempt.features)
	if !p.joinsBatch(server) {
		server.openBatch, server.openRound = &batch{}, p.round
		server.batches++
		p.batches++
	}
	server.openBatch.size++
	attempt.batch, attempt.clientSending = server.openBatch, req.clientSending
	p.adjustBatch(server, attempt.batch, 1, attempt.parked())
	work := p.expectedWork(req)
	server.sentWork.Add(p.now, work)
	if len(req.attempts) > 0 {
		p.budget.countRetry(p.now)
	}
	if place.hedge {
		req.hedged = true
		search.hedges++
	}
	if server.ejected {
		server.trial = attempt
	}
	begin := 0.0 // the first has a limit too: held up on its way, it could come when the next one's window is over
	if search.kind.effect == Tokened {
		if begin = search.kind.tokenWindow - answerMargin; req.firstPossiblyRun() != nil {
			begin += req.firstPossiblyRun().sentAt - p.now
		}
	}
	req.attempts = append(req.attempts, attempt)
	if !attempt.clientSending {
		server.waiting = append(server.waiting, attempt)
	}
	p.sent.Add(p.now, 1)
	p.watchServer(place.server)
	search.inFlight++
	within := 0.0
	if !p.limits.mayCancel && !p.limits.mayHedge {
		within = min(search.deadline-p.now, 0.5*search.kind.latencyTarget) // nothing else could take it off a silent server
	}
	p.out.Send(req.id, place.server, within, begin)
	return proceed
}

func (c *connectionHealth) idleFaulty(now float64) bool {
	lost, fine := c.lost[1].Sum(now, idleSpan), c.answered[1].Sum(now, idleSpan)
	used, well := c.lost[0].Sum(now, idleSpan), c.answered[0].Sum(now, idleSpan)
	return lost >= minIdleLost && lost > maxIdleLostShare*(lost+fine) && lost*(used+well+1) > 2*used*(lost+fine)
}

// teachPredictor teaches the predictor what it is told by parts that were sent, and only by answers: errors are no
// quick answers.
func (p *Policy) teachPredictor(attempt *attemptState, how Outcome) {
	if p.now == p.resumedAt {
		return // what waited for this broker to move tells nothing of its server
	}
	server, lat := p.servers[attempt.server], max(p.now-attempt.startedAt-attempt.hintedExtra, 1)
	if how == Cancelled && !attempt.request.answered && attempt.parked() == 0 && lat > p.expectedLatency(server) {
		// Called off, it would have taken longer still. Where clients leave before they are answered, only the
		// quick parts were heard of, and a jam read as calm.
		p.recordLatency(attempt, lat)
	}
	if how != Answered || attempt.answering || attempt.clientSending {
		return
	}
	if !attempt.taught {
		p.predictor.teach(p.now, attempt, lat > p.predictor.line(p.now, server))
	}
	copy(server.history[1:], server.history[:historySize-1])
	server.history[0] = latencySample{lat, p.now, attempt.loadAtSend}
	server.latencies.Add(p.now, lat)
	if p.warmUp.warmSize > 0 && p.now >= server.warmUpUntil { // over who shared it then: a hall may restart within the span
		p.warmUp.warmWork.Add(p.now, p.expectedWork(attempt.request)/p.warmUp.warmSize)
	}
	attempt.request.search.kind.latencies.Add(p.now, lat)
	p.recordLatency(attempt, lat)
}

func (p *Policy) recordLatency(attempt *attemptState, lat float64) {
	server := p.servers[attempt.server]
	p.predictor.latencies.Add(p.now, lat)
	p.predictor.recentLatencies.Add(p.now, lat)
	if p.now-server.latencyAt > latencyFadeSpan || server.latencyAt == 0 {
		server.meanLatency, server.meanBatches = p.predictor.median, float64(attempt.batches)
	}
	server.latencyAt = p.now
	server.meanLatency += latencyNewWeight * (lat - server.meanLatency)
	server.meanBatches += latencyNewWeight * (float64(attempt.batches) - server.meanBatches)
}

func (pr *predictor) teach(now float64, attempt *attemptState, slow bool) {
	attempt.taught = true
	pr.weights.Teach(&attempt.features, slow, attempt.predictedFast)
	if attempt.predictedFast {
		pr.submits.Note(now, slow)
	}
}

func (pr *predictor) line(now float64, server *serverState) float64 {
	return predict.Line(now, server.latencies, pr.fleetLine, pr.samples)
}

func (pr *predictor) features(now float64, server *serverState, load float64) vector {
	line := pr.line(now, server)
	f := predict.NewFeatures(line, pr.avgLoad, load)
	// A hang must not read as fast: a part out for longer than the line stands for the latest latency.
	if len(server.waiting) > 0 {
		if age := now - server.waiting[0].startedAt - server.waiting[0].hintedExtra; age > line {
			f.Add(age, server.waiting[0].loadAtSend)
		}
	}
	for _, h := range server.history {
		if h.receivedAt > 0 && now-h.receivedAt < historyLife {
			f.Add(h.latency, h.load)
		}
	}
	return f.X
}

// predictedSlow: an empty history counts as fast. Where this broker comes to each server within the expiry, it is
// empty because the server was passed over, and the score's bias decides; at full size most are empty for
// want of searches, and in bad times the bias made all servers slow, so that no part was sent again.
func (p *Policy) predictedSlow(x vector) bool {
	return (x[2] > 0 || p.sendInterval() < historyLife) && p.predictor.score(x) > 0.5
}

// estimatedLoad is the last reported count with what this broker changed since; its own calls where no report comes
// with answers, as a probe for one tells of a queue that has passed, and costs; the average for a server
// that has not reported.
func (p *Policy) estimatedLoad(server *serverState) float64 {
	if !p.reports.available() {
		return float64(server.batches)
	}
	if math.IsInf(server.loadReportedAt, -1) {
		return p.predictor.avgLoad
	}
	w := p.freshness(server.loadReportedAt)
	return max(w*(server.load+float64(len(server.waiting)-server.inFlightAtReport))+(1-w)*p.predictor.avgLoad, 0)
}

// freshness fades what was last heard of a server to the average: a queue that was long is not long for ever, and
// a server that is skipped for it is not heard of again.
func (p *Policy) freshness(heard float64) float64 {
	return min(max(1-(p.now-heard-historyLife)/reportFadeSpan, 0), 1)
}

func (p *Policy) recordReport(server *serverState, values []float64) {
	best := Other
	for i, v := range values[:min(len(values), len(p.reports.fields))] {
		switch field := p.reports.fields[i]; {
		case field > Busy && (best == Other || field == InFlight):
			if math.IsInf(server.loadReportedAt, -1) {
				p.predictor.reporting++
			}
			p.predictor.reportedLoad += v - server.load
			best, server.load, server.loadReportedAt, server.inFlightAtReport = field, v, p.now, len(server.waiting)
		}
	}
}

// overloaded: slowness on most replicas together, where the design assumes short bursts on few. A copy then
// takes from another part what it gives to its own.
func (pr *predictor) overloaded() bool { return predict.Crowded(pr.median, pr.minMedian) }

// expectedLatency is what answers took lately or, if longer, what has been out for; of a server not heard of for long,
// what is typical: shedding on old news would keep itself true.
func (p *Policy) expectedLatency(server *serverState) float64 {
	w := max(1-(p.now-server.latencyAt)/latencyFadeSpan, 0)
	if server.latencyAt == 0 {
		w = 0
	}
	took := w*server.meanLatency + (1-w)*p.predictor.median
	if len(server.waiting) > 0 {
		took = max(took, p.now-server.waiting[0].startedAt-server.waiting[0].hintedExtra)
	}
	return took
}

// observeHealth tells a server's health from what came back, never from the list alone: a list knows late, and only
// of processes.
func (p *Policy) observeHealth(attempt *attemptState, how Outcome) {
	server := p.servers[attempt.server]
	if server.trial == attempt {
		server.trial = nil
		if how != Answered && how != NeverSent && how != Cancelled && server.ejected {
			p.backOffTrial(server) // called off by this broker says nothing of the server: the next trial stays due
		}
	}
	if how == Answered || how == Reset || how == ConnectFailed { // new ones that fail speak against idle ones' age
		attempt.freshConnection = attempt.freshConnection || how == ConnectFailed
		p.connections.record(p.now, attempt, how != Answered)
	}
	switch how {
	case Answered:
		if server.answeredAt = p.now; attempt.answering {
			return // judged when it began to answer
		}
		server.successes.Add(p.now, 1)
		if server.successStreak++; server.ejected && (server.unresponsive || server.successStreak >= 2) {
			if attempt.startedAt > server.ejectedAt && (server.connectFailed || server.unresponsive && p.now-server.ejectedAt > restartLikelyAfter) && p.now >= server.warmUpUntil {
				// It may have restarted and no list has told yet. An answer to what was sent before disproves
				// that; without news in time it was a hang or a crowd, and the guard lets go.
				server.warmUpFrom, server.warmUpUntil = p.now, p.now+restartReportDelay
			}
			server.ejected, server.connectFailed = false, false
			p.log("server %d back after %.0f ms", attempt.server, p.now-server.ejectedAt)
		}
	case Errored, TimedOut, Reset:
		// Parts that share a connection break together: one event, and no proof that the server is gone.
		server.successStreak = 0
		if how != Reset || server.resetAt != p.now {
			server.errors.Add(p.now, 1)
		}
		if how == Reset {
			server.resetAt = p.now
		}
		few := minErrors
		if p.sendInterval() > errorSpan {
			few = 1 // two seldom fall into one span where this broker comes by so seldom, and one costs a search a try
		}
		if e := server.errors.Sum(p.now, errorSpan); e >= few && e > maxErrorShare*(e+server.successes.Sum(p.now, errorSpan)) {
			p.eject(attempt.server, false, "errors")
		}
	case Rejected:
		// A refusal is quick, and frees this broker's place there at once: the fewest-outstanding choice
		// would send everything to whoever turns it away.
		server.rejectsUntil = p.now + rejectionBackoff
		p.predictor.recentLatencies.Add(p.now, attempt.request.search.kind.latencyTarget) // as good as late: a queue so long that no more fits
		// Where a whole set is full, a third try only takes the place of another part.
		if attempt.request.rejections++; attempt.request.rejections >= maxRejections {
			attempt.request.skipped = true
		}
	case ConnectFailed:
		server.successStreak = 0
		p.eject(attempt.server, true, "unreachable")
		server.connectFailed = true
	}
}

func (p *Policy) eject(id int, dead bool, why string) {
	server := p.servers[id]
	if server.ejected && (server.unresponsive || !dead) {
		return
	}
	server.ejected, server.unresponsive, server.provedAlive, server.ejectedAt, server.successStreak = true, dead, false, p.now, 0
	if server.trialBackoff = p.firstTrialAfter; !p.connections.idleFaulty(p.now) { // there a fresh connection may do at once
		server.trialBackoff = max(p.firstTrialAfter, p.sendInterval())
	}
	server.trialAt = p.now + server.trialBackoff
	p.watchServer(id)
	p.log("server %d aside: %s", id, why)
}

// ZoneChanged takes many servers aside, or back to trials, at once: judged each by itself, each would take searches with it.
// Trials are spread by chance, so that neither one broker's nor all brokers' come as one.
func (p *Policy) ZoneChanged(hall int, lost bool, spread float64) {
	p.recordZone(hall, lost)
	for i, server := range p.servers {
		if server == nil || !server.listed || server.zone != hall {
			continue
		}
		if spread < 0 { // it was not lost: who was set aside then, for that alone, is not
			server.ejected = server.ejected && (server.connectFailed || math.Abs(p.now+spread-server.ejectedAt) > 1)
			continue
		}
		at := p.now + spread*p.random.next()
		if lost {
			p.eject(i, true, "its hall is lost")
			server.trialAt = at
		} else if !lost && server.ejected && server.unresponsive {
			server.trialAt, server.trialBackoff = min(server.trialAt, at), p.firstTrialAfter
		}
	}
}

func (p *Policy) backOffTrial(server *serverState) {
	server.provedAlive = false
	server.trialBackoff = min(2*server.trialBackoff, max(maxTrialBackoff, 2*p.sendInterval()))
	server.trialAt = p.now + server.trialBackoff
}

// sendInterval is how long this broker leaves a server alone by itself: at full size trials sooner than that would be
// all that it sends there, and a server set aside would get as much as ever.
func (p *Policy) sendInterval() float64 {
	return min(sendSpan*float64(p.readyServers)/max(p.sent.Sum(p.now, sendSpan), float64(p.readyServers)/10), sendSpan)
}

// checkServers looks at what has not come: parts older than the line are evidence of slowness, and a server with
// parts out that answers nothing is silent, hung or lost alike.
func (p *Policy) checkServers() {
	pr := &p.predictor
	pr.median, _ = pr.latencies.Quantile(p.now, 0.5)
	pr.fleetLine, pr.samples = pr.latencies.Quantile(p.now, predict.LineShare)
	if pr.samples >= minSamples && (pr.minMedian == 0 || pr.median < pr.minMedian) {
		pr.minMedian = pr.median
	}
	if pr.avgLoad = float64(p.batches) / float64(max(p.readyServers, 1)); p.reports.available() {
		pr.avgLoad = pr.reportedLoad / max(pr.reporting, 1)
	}
	patience := max(timeoutMinLines*pr.fleetLine, min(timeoutLines*pr.fleetLine, timeoutTargetShare*p.shortestTarget))
	p.firstTrialAfter = min(maxFirstTrialDelay, firstTrialLines*pr.fleetLine)
	if pr.samples < minSamples {
		patience, p.firstTrialAfter = timeoutTargetShare*p.shortestTarget, maxFirstTrialDelay
	}
	stale := p.connections.idleFaulty(p.now)
	found := stale && !p.connections.wasFaulty // then those set aside for it need not wait
	p.connections.wasFaulty = stale
	kept := p.watched[:0]
	for _, i := range p.watched {
		server := p.servers[i]
		line, patience := p.predictor.line(p.now, server), patience
		if len(server.waiting) > 0 && p.now-server.answeredAt < reportFadeSpan {
			patience = max(patience, timeoutOwnLatencies*server.meanLatency) // slow in answering is not silent
		}
		for _, attempt := range server.waiting {
			if !attempt.taught && p.now-max(attempt.startedAt, p.resumedAt)-attempt.hintedExtra > line {
				p.predictor.teach(p.now, attempt, true)
			}
		}
		if server.trial != nil && p.now-max(server.trial.startedAt, p.resumedAt) > patience {
			server.trial = nil
			p.backOffTrial(server)
		} else if !server.ejected && len(server.waiting) > 0 && p.now-max(server.answeredAt, server.waiting[0].startedAt, p.resumedAt) > patience {
			p.connections.record(p.now, server.waiting[0], true)
			p.eject(i, true, "silent")
		}
		if found && server.ejected && server.unresponsive {
			server.trialAt, server.trialBackoff = min(server.trialAt, p.now), p.firstTrialAfter
		}
		if server.listed && server.state == Ready && p.reports.mayProbe && !server.probing && server.ejected && server.unresponsive && !server.provedAlive &&
			p.now >= server.trialAt {
			server.probing = true
			p.out.Probe(i)
		}
		if server.watched = server.ejected || len(server.waiting) > 0; server.watched {
			kept = append(kept, i)
		}
	}
	p.watched = kept
	if p.warmUp.multiple > 0 && p.now >= p.warmUp.measuredAt+rateInterval {
		size, warm := 0.0, 0.0
		for _, server := range p.servers {
			if server != nil && server.listed && server.state == Ready {
				if size += max(server.size, 1e-3); p.now >= server.warmUpUntil {
					warm += max(server.size, 1e-3)
				}
			}
		}
		p.warmUp.measure(p.now, warm, size)
	}
}

// recordAnswer counts a part once, and stops what its answer made needless.
func (p *Policy) recordAnswer(attempt *attemptState, how Outcome) {
	req := attempt.request
	if how != Answered || req.answered || req.search.finished || req.phase != req.search.phase || req.committed != nil && req.committed != attempt {
		return
	}
	req.answered = true
	p.limits.pending--
	p.cancelAttempts(req)
}

func (p *Policy) cancelAttempts(req *shardRequest) {
	if !p.limits.mayCancel {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.inFlight && !attempt.cancelled && (attempt != req.committed || req.search.finished) {
			attempt.cancelled = true
			p.out.Cancel(req.id, attempt.number)
		}
	}
}

func (p *Policy) cancelSearch(search *searchState) {
	for _, req := range search.requests {
		p.cancelAttempts(req)
	}
}

// giveUp ends a search at once. It may be called harmless to ask again only where nothing can have run.
func (p *Policy) giveUp(search *searchState, why RefusalReason) {
	harmless := true
	for _, req := range search.requests {
		harmless = harmless && req.committed == nil && (req.firstPossiblyRun() == nil || search.kind.effect == Idempotent)
	}
	if search.countRefusal(why); harmless {
		p.out.Shed(search.id, p.retryAfter(search.kind))
	} else {
		p.out.Fail(search.id)
	}
	p.finish(search)
}

// retryAfter is when a shed client may come again, spread by chance, or those who were shed together would come together; the
// hold limit sheds before a search comes here, and asks too. While a hall is lost it is spread over the outage, which is
// taken to last as long again, and never all at the longest advice: that would be one beat for all.
func (p *Policy) retryAfter(qt *queryType) float64 {
	if qt == nil {
		return 0
	}
	over := retryAfterShare * qt.latencyTarget
	if p.outageSince > 0 {
		over = max(over, min(p.now-p.outageSince, p.maxRetryAfter/1.5))
	}
	return min(p.maxRetryAfter, over*(0.5+p.random.next()))
}
