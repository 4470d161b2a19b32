package policy

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

// What a broker remembers, and how settings and arrivals are put down. Nothing is decided here.

type verdict uint8

const (
	proceed verdict = iota
	skip
	finished
)

// RefusalReason tells why a search was refused or given up, in the order in which steps apply.
type RefusalReason uint8

// The steps, in the order in which they apply.
const (
	NoHolder       RefusalReason = iota // too few of its shards have a listed server
	TooLate                             // its client's time is over, or it is no sound search
	NoCapacity                          // some shard's servers are out of reach, or cold with no room
	TargetExceeded                      // some part is expected past what its value may take of the latency target
	SlowTail                            // the slowest of so many parts took too long lately
	OverCapacity                        // servers were seen to bear no more
	PendingLimit                        // so much is held that only the most valued are taken
	GivenUp                             // it was taken, and could not come to its least share in time
	RefusalReasons
)

var refusalNames = [RefusalReasons]string{"no_holder", "too_late", "out_of_room", "expected", "crowd", "borne", "hold_limit", "given_up"}

// String gives the reason as counters name it.
func (s RefusalReason) String() string { return refusalNames[s] }

// refusalReason tells which kept a search out on its arrival.
func (p *Policy) refusalReason(search *searchState, enough, slow, full bool) RefusalReason {
	if enough {
		if full {
			return OverCapacity
		}
		if slow {
			return SlowTail
		}
		return PendingLimit
	}
	for _, req := range search.requests {
		if math.IsInf(req.expected, 1) {
			return NoCapacity
		}
	}
	return TargetExceeded
}

// invalidReason tells why a search is not even looked at.
func (p *Policy) invalidReason(search *searchState) RefusalReason {
	if search.kind != nil && search.expected > 0 && p.now < search.deadline-answerMargin {
		return NoHolder
	}
	return TooLate
}

func (search *searchState) countRefusal(why RefusalReason) {
	if search.kind != nil {
		search.kind.refusals[why]++
	}
}

// CapacityFloor implements Port; it holds from the next search on.
func (p *Policy) CapacityFloor(worth, beyond float64) {
	p.capacityFloor.worth, p.capacityFloor.beyond = worth, beyond
}

// SearchValue implements Port; 0 for a search that is not known.
func (p *Policy) SearchValue(id int) float64 {
	if search := getAt(p.searches, id); search != nil && search.kind != nil {
		return p.value(search)
	}
	return 0
}

// Refusals implements Port; nil for a type that is not known.
func (p *Policy) Refusals(kind int) []int {
	if qt := getAt(p.queryTypes, kind); qt != nil {
		return qt.refusals[:]
	}
	return nil
}

// placement is what walks down the chain: a search, then each of its parts.
type placement struct {
	search     *searchState
	request    *shardRequest
	hedge      bool
	replace    bool // it has a sub-request out: another is worth it only at a server that looks fast
	candidates []int
	server     int
}

type stage struct {
	decide  func(*placement) verdict
	observe func(*attemptState, Outcome)
}

type queryType struct {
	latencyTarget, value, lateValue, partialValue, tokenWindow float64
	need, floor, meanWork, hints, clientTime                   float64
	effect                                                     Effect
	followUp                                                   int
	latencies                                                  *window.Hist
	refusals                                                   [RefusalReasons]int
}

type customer struct {
	quota, overQuotaWeight float64
	weight                 float64 // of a type's worth, with which its searches count
	arrivals               *window.Counts
}

type searchState struct {
	id, customer, expected, phase, hedges, inFlight int
	arrivedAt, deadline, targetAt                   float64
	weight                                          float64 // share of its type's with which it counts
	warmUpDraw                                      float64 // its chance at cold servers, drawn once: asking again must not help
	kind                                            *queryType
	requests                                        []*shardRequest
	admitted, finished, firstComplete               bool
}

type shardRequest struct {
	rejections                int
	id, shard, phase          int
	weight, work              float64
	key                       uint64
	search                    *searchState
	attempts                  []*attemptState
	expected                  float64       // at admission
	committed                 *attemptState // the one that is committed
	clientSending             bool          // its client is still sending
	notBefore, lastEndedAt    float64       // a server's wish; when the latest of its sub-requests came back
	answered, hedged, skipped bool
}

type vector = predict.Vector

type attemptState struct {
	request                                              *shardRequest
	number, server, batches                              int
	startedAt, loadAtSend, hintedExtra                   float64
	sentAt                                               float64 // at, or before it where the client was still sending then: effects count from here
	features                                             vector
	predictedFast, inFlight, taught, cancelled, neverRan bool
	answering                                            bool // committed, and learnt from as an answer
	clientSending                                        bool // its client is still sending: its age tells nothing
	overIdle, freshConnection                            bool // sent when nothing had been heard for long; over a new connection
	batch                                                *batch
}

// batch is what one round sends to one server: its parts count as one. parked are those of its parts that wait for their
// client, or answer already: they stand in nobody's way at the server.
type batch struct{ size, inFlight, parked int }

type latencySample struct{ latency, receivedAt, load float64 }

type serverState struct {
	listed, watched                                            bool
	state                                                      State
	zone, position                                             int
	size, startedAt                                            float64
	batches, parkedBatches                                     int // own calls out, and of them those with nothing but parked parts
	waiting                                                    []*attemptState
	openBatch                                                  *batch
	openRound                                                  int
	history                                                    [historySize]latencySample
	latencies                                                  *window.Hist
	load, loadReportedAt                                       float64
	inFlightAtReport                                           int
	meanLatency, meanBatches                                   float64
	errors, successes, sentWork                                *window.Counts
	answeredAt, resetAt, latencyAt, provedAt                   float64
	rejectsUntil                                               float64
	ejected, unresponsive, connectFailed, probing, provedAlive bool
	ejectedAt, trialAt, trialBackoff                           float64
	trial                                                      *attemptState
	successStreak                                              int
	warmUpFrom, warmUpUntil                                    float64
}

// Policy is one instance. Each of its parts holds its own settings.
type Policy struct {
	out                                 Out
	now, wakeDueAt, loggedAt, resumedAt float64
	aggregators, zone, round            int
	random                              random
	fleet                               fleetShape
	limits                              limits
	maxRetryAfter                       float64
	warmUp                              warmUpGuard
	budget                              retryBudget
	reports                             loadReports
	discovery                           discovery
	predictor                           predictor
	connections                         connectionHealth
	sent                                *window.Counts
	queryTypes                          []*queryType
	customers                           []*customer
	searches                            []*searchState
	requests                            []*shardRequest
	liveSearches                        []*searchState
	servers                             []*serverState
	holders                             [][]int // by shard modulo places: who may be sent its parts; nil: to be found anew
	watched                             []int   // servers with something out or due
	readyServers, maxReadyServers       int     // servers that the list has as ready, and had at most
	batches, parkedBatches              int     // out at all servers
	stages                              []stage
	shortestTarget, maxValue            float64
	retryWeight                         float64                         // share of its worth with which a marked retry counts
	lostZones                           []bool                          // by hall
	outageSince                         float64                         // since when some hall has been lost; 0: none is
	capacityFloor                       struct{ worth, beyond float64 } // what servers do not bear: less than that, and a share of just that
	firstTrialAfter                     float64                         // how long after it was set aside a server has its first trial
}

type warmUpGuard struct {
	initialShare, duration, multiple, window, maxRate, measuredAt, warmSize float64
	warmWork                                                                *window.Counts // work of warm servers, over their size
}

type retryBudget struct {
	allowance, ratio, window float64
	requests, retries        *window.Counts
}

// predictor is the design's score, online: one set of weights for all servers.
type predictor struct {
	weights                    predict.Weights
	submits                    predict.Submits
	latencies, recentLatencies *window.Hist // all servers' latencies, the second for a shorter time
	avgLoad, minMedian         float64
	reportedLoad, reporting    float64 // sum of the latest reports, and how many
	median, fleetLine          float64 // median and line of the pool, as of this round's start
	samples                    int
}

type connectionHealth struct {
	lost, answered [2]*window.Counts // on connections in use, on idle ones
	wasFaulty      bool              // found at fault when last looked at
}

func (pr *predictor) score(x vector) float64 { return pr.weights.Score(&x) }

func (pr *predictor) falseRate(now float64) float64 { return pr.submits.FalseRate(now) }

// loadReports tells where load reports come from.
type loadReports struct {
	onAnswers, mayProbe bool
	fields              []Field
}

type fleetShape struct {
	positions, replicas, maxBatch int
	batchWork                     float64
	warmKeys                      bool
}

type limits struct {
	maxAttempts, maxPending, pending int
	mayCancel, mayHedge              bool
}

type discovery struct {
	enabled, due bool
	dueAt        float64
}

// QueryType implements Port; it adds the next type.
func (p *Policy) QueryType(aim, value, late float64, effect Effect, tokenFor float64) {
	p.queryTypes = append(p.queryTypes, &queryType{latencyTarget: aim, value: value, lateValue: late, tokenWindow: tokenFor, effect: effectiveEffect(effect, tokenFor),
		need: 1, floor: 1, latencies: newHistogram(latencySpan)})
	p.maxValue = max(p.maxValue, value)
	if aim > 0 {
		p.shortestTarget = min(p.shortestTarget, aim)
	}
}

// Shares implements Port; it sets which share of its parts a search of the type needs, and what less is worth.
func (p *Policy) Shares(kind int, need, floor, partial float64, followUp int) {
	qt := p.queryTypes[kind]
	qt.need, qt.floor, qt.partialValue, qt.followUp = need, min(floor, need), partial, followUp
}

// Customer implements Port; it adds the next customer, by its quota a second.
func (p *Policy) Customer(quota, beyond float64) {
	p.customers = append(p.customers, &customer{quota, beyond, 1, newCounts(quotaSpan)})
}

// Fleet implements Port; it sets how shards are placed on servers and what a call costs.
func (p *Policy) Fleet(places, span, batch int, callWork float64, warmKeys bool) {
	p.fleet = fleetShape{max(places, 1), max(span, 1), max(batch, 1), callWork, warmKeys}
}

// Limits implements Port; it sets how many sub-requests a part may have and how much may be held.
func (p *Policy) Limits(tries, held int, cancel, copies bool) {
	p.limits = limits{maxAttempts: tries, maxPending: held, mayCancel: cancel, mayHedge: copies}
}

// Probes implements Port; servers may be probed from now on.
func (p *Policy) Probes() { p.reports.mayProbe = true }

// MaxRetryAfter implements Port; it sets the longest time, in ms, after which a client is asked to come back.
func (p *Policy) MaxRetryAfter(longest float64) { p.maxRetryAfter = longest }

// WarmUp implements Port; it sets what a server bears that has just started.
func (p *Policy) WarmUp(from, lasts, multiple, over float64) {
	p.warmUp = warmUpGuard{initialShare: from, duration: lasts, multiple: multiple, window: max(over, 1),
		warmWork: newCounts(rateSpan)}
}

// Budget implements Port; it sets how many further sub-requests there may be for those asked for.
func (p *Policy) Budget(spare, ratio, over float64) {
	over = max(over, 1)
	p.budget = retryBudget{spare, ratio, over, newCounts(over), newCounts(over)}
}

// Reports implements Port; it sets which load reports come, and their fields.
func (p *Policy) Reports(onAnswers bool, fields []Field) {
	p.reports.onAnswers, p.reports.fields = onAnswers, fields
}

// Priority stands for the operator's own order of refusals: types count with places in it, not with their values.
func (p *Policy) Priority(kind int, worth float64) {
	p.queryTypes[kind].value, p.maxValue = worth, 0
	for _, qt := range p.queryTypes {
		p.maxValue = max(p.maxValue, qt.value)
	}
}

// CustomerWeight implements Port; it sets a customer's share.
func (p *Policy) CustomerWeight(customer int, share float64) { p.customers[customer].weight = share }

// RetryWeight implements Port; it sets the share with which a search counts whose client asks again.
func (p *Policy) RetryWeight(share float64) { p.retryWeight = share }

// MarkRetry implements Port; it has no effect on a search that was taken already.
func (p *Policy) MarkRetry(id int) {
	if search := getAt(p.searches, id); search != nil && !search.admitted {
		search.weight *= p.retryWeight
	}
}

// recordZone keeps since when some hall has been lost.
func (p *Policy) recordZone(hall int, lost bool) {
	for len(p.lostZones) <= hall {
		p.lostZones = append(p.lostZones, false)
	}
	if p.lostZones[hall] = lost; !slices.Contains(p.lostZones, true) {
		p.outageSince = 0
	} else if p.outageSince == 0 {
		p.outageSince = p.now
	}
}

// Discovery implements Port; where ask is set, the list has to be subscribed to.
func (p *Policy) Discovery(ask bool) { p.discovery = discovery{enabled: ask, due: ask} }

// Search implements Port; it takes a search, whose parts follow in the same round.
func (p *Policy) Search(id, kind, customer int, until float64, parts int) {
	search := &searchState{id: id, arrivedAt: p.now, customer: customer, deadline: until, expected: parts, kind: getAt(p.queryTypes, kind), weight: 1, warmUpDraw: p.random.next()}
	if search.kind != nil {
		search.targetAt = p.now + search.kind.latencyTarget
	}
	p.searches = setAt(p.searches, id, search)
	p.liveSearches = append(p.liveSearches, search)
	p.limits.pending++
	p.budget.countRequest(p.now)
	if customer := getAt(p.customers, customer); customer != nil {
		customer.arrivals.Add(p.now, 1)
		search.weight = customer.weight
	}
}

// ShardRequest implements Port; parts of a search that is over are passed over.
func (p *Policy) ShardRequest(searchID, id, shard int, weight, work float64, key uint64) {
	p.budget.countRequest(p.now)
	search := getAt(p.searches, searchID)
	if search == nil || search.finished {
		return
	}
	req := &shardRequest{id: id, shard: shard, phase: search.phase, weight: weight, work: work, key: key, search: search}
	p.requests = setAt(p.requests, id, req)
	search.requests = append(search.requests, req)
	p.limits.pending++
	if search.kind != nil && work > 0 {
		search.kind.hints++
		search.kind.meanWork += (work - search.kind.meanWork) / search.kind.hints
	}
}

// forget lets a search go once it is over and nothing of it is out.
func (p *Policy) forget(search *searchState) {
	if !search.finished || search.inFlight > 0 || p.searches[search.id] != search {
		return
	}
	p.searches[search.id] = nil
	for _, req := range search.requests {
		p.requests[req.id] = nil
	}
	p.out.Forget(search.id)
}

// holdersOf lists who may be sent parts of a shard, found anew only after news of its cells.
func (p *Policy) holdersOf(shard int) []int {
	fleet := &p.fleet
	at := (shard%fleet.positions + fleet.positions) % fleet.positions
	if len(p.holders) != fleet.positions {
		p.holders = make([][]int, fleet.positions)
	}
	if p.holders[at] == nil {
		list := make([]int, 0, 4)
		for i, server := range p.servers {
			if server != nil && server.listed && server.state == Ready && ((server.position-at)%fleet.positions+fleet.positions)%fleet.positions < fleet.replicas {
				list = append(list, i)
			}
		}
		p.holders[at] = list
	}
	return p.holders[at]
}

// dropHolders drops the lists that a server of this cell stands in.
func (p *Policy) dropHolders(cell int) {
	fleet := &p.fleet
	for j := 0; j < min(fleet.replicas, fleet.positions) && len(p.holders) == fleet.positions; j++ {
		p.holders[((cell-j)%fleet.positions+fleet.positions)%fleet.positions] = nil
	}
}

// RemoveServer implements Port; false while a probe or call of the server is out, or what it was sent still counts.
func (p *Policy) RemoveServer(id int) bool {
	server := getAt(p.servers, id)
	if server == nil {
		return true
	}
	if server.listed || server.probing || server.batches > 0 || server.sentWork.Sum(p.now, p.warmUp.window) > 0 {
		return false // what it was sent counts, should it come back cold
	}
	if !math.IsInf(server.loadReportedAt, -1) { // a late answer may have told it
		p.predictor.reporting--
		p.predictor.reportedLoad -= server.load
	}
	kept := p.watched[:0]
	for _, i := range p.watched {
		if i != id {
			kept = append(kept, i)
		}
	}
	p.watched, p.servers[id] = kept, nil
	p.dropHolders(server.position)
	return true
}

// watchServer puts a server on the list of those that have something out or due.
func (p *Policy) watchServer(id int) {
	if server := p.servers[id]; !server.watched {
		server.watched = true
		p.watched = append(p.watched, id)
	}
}

func (r *loadReports) available() bool { return len(r.fields) > 0 && r.onAnswers }

// firstPossiblyRun is the first sub-request that is out or may have run.
func (req *shardRequest) firstPossiblyRun() *attemptState {
	for _, attempt := range req.attempts {
		if !attempt.neverRan {
			return attempt
		}
	}
	return nil
}

// random draws from an instance's seed and a counter alone.
type random struct{ seed, draws uint64 }

func (r *random) next() float64 {
	r.draws++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws))
	return float64(h.Sum64()>>11) / (1 << 53)
}

func setAt[T any](list []*T, i int, v *T) []*T {
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = v
	return list
}

func getAt[T any](list []*T, i int) *T {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return nil
}

// release frees what a sub-request held.
func (p *Policy) release(attempt *attemptState, how Outcome) {
	server := p.servers[attempt.server]
	attempt.inFlight, attempt.request.lastEndedAt = false, p.now
	attempt.request.search.inFlight--
	p.adjustBatch(server, attempt.batch, -1, -attempt.parked())
	if attempt.batch.inFlight == 0 {
		server.batches--
		p.batches--
	}
	server.stopWaiting(attempt)
	attempt.neverRan = how.NeverRan() && !attempt.answering
}

// ClientSending starts the clock of what is out once the client has sent all: a server that waits for its client is not slow.
func (p *Policy) ClientSending(id int, open bool) {
	req := getAt(p.requests, id)
	if req == nil || req.clientSending == open {
		return
	}
	req.clientSending = open
	for _, attempt := range req.attempts {
		if attempt.clientSending && attempt.inFlight && !attempt.answering && !open {
			p.adjustBatch(p.servers[attempt.server], attempt.batch, 0, -1)
			attempt.clientSending, attempt.startedAt = false, p.now
			p.servers[attempt.server].waiting = append(p.servers[attempt.server].waiting, attempt)
		}
	}
}

func (attempt *attemptState) parked() int {
	if attempt.clientSending || attempt.answering {
		return 1
	}
	return 0
}

// adjustBatch keeps what is out at a server, in all and parked.
func (p *Policy) adjustBatch(server *serverState, batch *batch, left, parked int) {
	if batch.inFlight > 0 && batch.inFlight == batch.parked {
		server.parkedBatches--
		p.parkedBatches--
	}
	batch.inFlight, batch.parked = batch.inFlight+left, batch.parked+parked
	if batch.inFlight > 0 && batch.inFlight == batch.parked {
		server.parkedBatches++
		p.parkedBatches++
	}
}

func (server *serverState) stopWaiting(attempt *attemptState) {
	for i, o := range server.waiting {
		if o == attempt {
			server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
			break
		}
	}
}

// record counts what was lost and what was answered on old connections, apart for idle ones: servers that hang
// or refuse lose both alike.
func (c *connectionHealth) record(now float64, attempt *attemptState, lost bool) {
	use, counts := 0, &c.answered
	if attempt.overIdle && !attempt.freshConnection {
		use = 1
	}
	if lost {
		counts = &c.lost
	}
	counts[use].Add(now, 1)
}

func (b *retryBudget) countRequest(now float64) {
	if b.window > 0 {
		b.requests.Add(now, 1)
	}
}

func (b *retryBudget) countRetry(now float64) {
	if b.window > 0 {
		b.retries.Add(now, 1)
	}
}

// reachableWeight is the weight of the parts that some listed server holds.
func (p *Policy) reachableWeight(search *searchState) float64 {
	sum := 0.0
	for _, req := range search.requests {
		if req.answered || len(p.holdersOf(req.shard)) > 0 {
			sum += req.weight
		}
	}
	return sum
}

// RetryAfter implements Port; the same advice that a search gets which is shed here.
func (p *Policy) RetryAfter(kind int) float64 { return p.retryAfter(getAt(p.queryTypes, kind)) }

// Woken implements Port; the wake-up that was asked for has come, so the next one is no late one.
func (p *Policy) Woken() { p.wakeDueAt = math.Inf(-1) }

func (p *Policy) log(form string, args ...any) {
	if p.now-p.loggedAt >= logInterval {
		p.loggedAt = p.now
		p.out.Log(fmt.Sprintf(form, args...))
	}
}

// ClientGone implements Port; the search ends, its client's time being over.
func (p *Policy) ClientGone(id int) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		p.finish(search)
		p.forget(search)
	}
}

// ShortenDeadline implements Port; it only ever moves the end forward.
func (p *Policy) ShortenDeadline(id int, until float64) {
	if search := getAt(p.searches, id); search != nil && !search.finished {
		search.deadline = min(search.deadline, until)
	}
}

func (p *Policy) finish(search *searchState) {
	search.finished = true
	p.limits.pending--
	for _, req := range search.requests {
		if !req.answered {
			p.limits.pending--
		}
	}
	p.cancelSearch(search)
}
