package policy

import "kestrelspread/internal/window"

// What the policy remembers. Nothing is decided here.

// queryType is one kind of search, as the settings state it and as it has been seen.
type queryType struct {
	latencyTarget, value, lateValue, partialValue, tokenWindow float64
	completeShare, minimumShare                                float64 // shares of weight: of a complete answer, of any
	effect                                                     Effect
	followUpRequests                                           int // shard requests of the second phase; 0: there is none

	meanHintedWork, hintCount float64 // of the shard requests that came with a hint, and how many they were
	longestClientTime         float64 // longest time that a client had
	latencies                 *window.Histogram
	refusals                  [NumRefusalReasons]int
}

// customer of the service, by its quota.
type customer struct {
	quota, overQuotaWeight float64
	weight                 float64 // of a type's value, with which its searches count
	arrivals               *window.Counts
}

// searchState is a search from its arrival until nothing of it is in flight any more.
type searchState struct {
	id, customer, expectedRequests, phase, hedges, inFlight int // expected: shard requests of this phase
	deadline, targetAt                                      float64
	valueWeight                                             float64 // share of its type's value with which it counts
	warmUpDraw                                              float64 // its chance at servers that warm up, drawn once: asking again must not help
	queryType                                               *queryType
	requests                                                []*shardRequest
	admitted, finished, firstComplete                       bool
}

// shardRequest is the state of one shard of a search.
type shardRequest struct {
	id, shard, phase            int
	weight, hintedWork          float64
	search                      *searchState
	attempts                    []*attemptState
	rejections                  int
	expectedLatency             float64       // latency, at admission
	committed                   *attemptState // nil: none has reached the client
	clientSending               bool
	notBefore, lastEndedAt      float64 // a server's wish; when its latest attempt ended
	answered, hedged, abandoned bool
}

// attemptState is one attempt of a shard request at one server.
type attemptState struct {
	request          *shardRequest
	number, server   int
	serverBatches    int     // in flight there when it was sent
	loadAtSend       float64 // as estimated then
	extraWork        float64
	startedAt        float64 // when the server had all of it: its latency counts from here
	sentAt           float64 // startedAt, or before it where the client was still sending: effects count from here
	features         vector
	predictedFast    bool
	inFlight         bool
	trained          bool // the predictor has learnt from it
	cancelled        bool
	neverRan         bool
	answering        bool // committed, and learnt from as an answer
	clientSending    bool // its age tells nothing
	onIdleConnection bool // sent when the server had not answered for long
	freshConnection  bool
	batch            *batch
}

// serverState is what is known of one server: by the list, by its answers, and by what is in flight
// there.
type serverState struct {
	listed, watched bool
	state           State
	zone, position  int
	size, startedAt float64

	batches, clientBoundBatches int             // own in flight, and of them those with nothing but parked attempts
	waiting                     []*attemptState // that it owes an answer, oldest first
	openBatch                   *batch
	openRound                   int
	sentWork                    *window.Counts

	history                              [historySize]latencySample
	latencies                            *window.Histogram
	load, loadReportedAt                 float64
	waitingAtReport                      int
	meanLatency, meanBatches, latencyAt  float64 // recent
	errors, successes                    *window.Counts
	answeredAt, resetAt, rejectsUntil    float64
	ejected, unresponsive, connectFailed bool // ejected for errors, or as unresponsive; then perhaps unreachable
	probing, probePassed                 bool
	probePassedAt                        float64
	ejectedAt, trialAt, trialBackoff     float64
	trial                                *attemptState
	successStreak                        int
	warmUpFrom, warmUpUntil              float64
}

// fleetShape tells how shards are placed: on a ring of positions, each server holding the shards of
// the positions before its own, so many of them.
type fleetShape struct {
	positions, replicas, maxBatch int
	batchWork                     float64
}

type limits struct {
	maxAttempts, maxPending, pending int
	mayCancel, mayHedge              bool
}

// discovery of servers, where the list must be asked for.
type discovery struct {
	enabled, due bool
	dueAt        float64
}

// capacityFloor is the least value that servers were seen to take, and the share of just that value
// that they don't.
type capacityFloor struct{ value, excess float64 }

// Search implements Port; it takes a search, whose shard requests follow in the same round.
func (p *Policy) Search(id, kind, customer int, deadline float64, requests int) {
	search := &searchState{
		id:               id,
		customer:         customer,
		deadline:         deadline,
		expectedRequests: requests,
		queryType:        getAt(p.queryTypes, kind),
		valueWeight:      1,
		warmUpDraw:       p.random.next(),
	}
	if search.queryType != nil {
		search.targetAt = p.now + search.queryType.latencyTarget
	}
	p.searches = setAt(p.searches, id, search)
	p.liveSearches = append(p.liveSearches, search)
	p.limits.pending++
	p.budget.countRequest(p.now)
	if known := getAt(p.customers, customer); known != nil {
		known.arrivals.Add(p.now, 1)
		search.valueWeight = known.weight
	}
}

// ShardRequest implements Port; those of a search that has ended are passed over.
func (p *Policy) ShardRequest(searchID, id, shard int, weight, work float64, _ uint64) {
	p.budget.countRequest(p.now)
	search := getAt(p.searches, searchID)
	if search == nil || search.finished {
		return
	}
	req := &shardRequest{id: id, shard: shard, phase: search.phase, weight: weight, hintedWork: work, search: search}
	p.requests = setAt(p.requests, id, req)
	search.requests = append(search.requests, req)
	p.limits.pending++
	if qt := search.queryType; qt != nil && work > 0 {
		qt.hintCount++
		qt.meanHintedWork += (work - qt.meanHintedWork) / qt.hintCount
	}
}

// MarkRetry implements Port; it has no effect on a search that was admitted already.
func (p *Policy) MarkRetry(id int) {
	if search := getAt(p.searches, id); search != nil && !search.admitted {
		search.valueWeight *= p.retryWeight
	}
}

// releaseSearch lets a search go once it has ended and nothing of it is in flight.
func (p *Policy) releaseSearch(search *searchState) {
	if !search.finished || search.inFlight > 0 || p.searches[search.id] != search {
		return
	}
	p.searches[search.id] = nil
	for _, req := range search.requests {
		p.requests[req.id] = nil
	}
	p.out.Forget(search.id)
}

// setAt puts v at an index, where nil may fill a gap.
func setAt[T any](list []*T, i int, v *T) []*T {
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = v
	return list
}

// getAt gives what is at an index; nil where there is none such.
func getAt[T any](list []*T, i int) *T {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return nil
}
