package policy

import "kestrelspread/internal/window"

// This file holds the state of the policy; it makes no decisions.

// queryType is a kind of search: its settings and what has been observed of it.
type queryType struct {
	latencyTarget, value, lateValue, partialValue, tokenWindow float64
	completeShare, minimumShare                                float64 // of a search's weight: needed for a complete answer and for any
	effect                                                     RepeatEffect
	followUpRequests                                           int // shard requests of the follow-up phase; 0: there is none

	meanHintedWork, hintCount float64 // mean work of the shard requests that came with a hint, and their number
	longestClientTime         float64 // ms; longest time from arrival to deadline that a search of this type had
	latencies                 *window.Histogram
	refusals                  [NumRefusalReasons]int // by reason
}

// customer is a customer of the service with its quota.
type customer struct {
	quota, overQuotaWeight float64 // searches per second; factor on the value of searches beyond the quota
	weight                 float64 // factor on the value of all its searches
	arrivals               *window.Counts
}

// searchState is the state of a search from its arrival until it has ended and none of its attempts
// is in flight.
type searchState struct {
	id, customer, expectedRequests, phase, hedges, inFlight int     // expectedRequests: in the present phase
	deadline, targetAt                                      float64 // ms; when the client gives up; when it should be answered
	valueWeight                                             float64 // factor on the value of its query type
	// warmUpDraw is the random number that decides whether servers that warm up may be used. It is drawn
	// once for the search, so that checking again does not raise the odds.
	warmUpDraw                        float64
	queryType                         *queryType
	requests                          []*shardRequest
	admitted, finished, firstComplete bool // firstComplete: the first phase had a complete answer
}

// shardRequest is the state of a search's request to one shard.
type shardRequest struct {
	id, shard, phase            int
	weight, hintedWork          float64 // share of the search's weight; hint of the work, 0: no hint
	search                      *searchState
	attempts                    []*attemptState
	rejections                  int           // attempts that ended as Rejected
	expectedLatency             float64       // ms, as estimated at admission
	committed                   *attemptState // the attempt that the shard request is committed to; nil: none
	clientSending               bool
	notBefore, lastEndedAt      float64 // earliest next attempt, by a server's pushback; end of the latest attempt
	answered, hedged, abandoned bool    // abandoned: no further attempts are made
}

// attemptState is one attempt of a shard request at one server.
type attemptState struct {
	request          *shardRequest
	number, server   int
	serverBatches    int     // this aggregator's batches in flight at the server when the attempt was sent
	loadAtSend       float64 // the server's estimated load when the attempt was sent
	extraWork        float64 // ms; hinted work beyond the mean of the query type
	startedAt        float64 // when the server had received all of the request; latency is measured from here
	sentAt           float64 // when it was sent: before startedAt if the client was still sending; it may have run since then
	features         vector
	predictedFast    bool
	inFlight         bool
	trained          bool // the predictor has been trained with it
	cancelled        bool
	neverRan         bool
	answering        bool // it is committed, so its end is no longer recorded as an answer
	clientSending    bool // the client is still sending the body: the age says nothing about the server
	onIdleConnection bool // sent when the server had not answered for long, so over an idle connection
	freshConnection  bool // sent over a new connection
	batch            *batch
}

// serverState is what is known of a server from the server list, from its answers and from what is
// in flight there.
type serverState struct {
	listed, watched bool
	state           ServerStatus
	zone, position  int
	size, startedAt float64

	batches, clientBoundBatches int             // in flight; of these, those whose attempts all depend on their clients
	waiting                     []*attemptState // attempts that the server has yet to answer, oldest first
	openBatch                   *batch          // batch of the round openRound, which further attempts of that round join
	openRound                   int
	sentWork                    *window.Counts // work sent to the server, for the warm-up limit

	history                              [historySize]latencySample // latest answers, newest first
	latencies                            *window.Histogram
	load, loadReportedAt                 float64 // last load report and its time; -Inf: there is none
	waitingAtReport                      int     // len(waiting) at the last load report
	meanLatency, meanBatches, latencyAt  float64 // moving means of latency and batches in flight; time of the latest
	errors, successes                    *window.Counts
	answeredAt, resetAt, rejectsUntil    float64
	ejected, unresponsive, connectFailed bool // ejected, either for errors or as unresponsive; opening a connection failed since
	probing, probePassed                 bool // a health check is running; the last one passed, or failed too late to prove anything
	probePassedAt                        float64
	ejectedAt, trialAt, trialBackoff     float64
	trial                                *attemptState // the trial in flight; nil: none
	successStreak                        int           // answers in a row
	warmUpFrom, warmUpUntil              float64
}

// fleetShape is how shards are placed on servers. Positions form a ring; a server holds the shards
// of its own position and of the positions before it, as many as there are replicas of a shard.
type fleetShape struct {
	positions, replicas, maxBatch int
	batchWork                     float64 // work that each batch costs in addition to its shard requests
}

// limits holds the limits of the settings, and how many searches and shard requests are pending.
type limits struct {
	maxAttempts, maxPending, pending int
	mayCancel, mayHedge              bool
}

// discovery is the state of the subscription to the server list, where one is needed.
type discovery struct {
	enabled, due bool
	dueAt        float64
}

// capacityFloor is the lowest value of a search that servers have capacity for, and the probability
// with which searches of exactly that value are refused.
type capacityFloor struct{ value, excess float64 }

// AddSearch adds a search, whose shard requests must be added in the same round.
func (p *Policy) AddSearch(id, queryType, customer int, deadline float64, requests int) {
	search := &searchState{
		id:               id,
		customer:         customer,
		deadline:         deadline,
		expectedRequests: requests,
		queryType:        getAt(p.queryTypes, queryType),
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

// AddShardRequest adds a shard request to a search. It is ignored if the search is unknown or has
// ended.
func (p *Policy) AddShardRequest(searchID, id, shard int, weight, work float64, _ uint64) {
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

// MarkRetry applies the weight of retries to a search. It has no effect on a search that has been
// admitted.
func (p *Policy) MarkRetry(id int) {
	if search := getAt(p.searches, id); search != nil && !search.admitted {
		search.valueWeight *= p.retryWeight
	}
}

// releaseSearch removes a search that has ended and has no attempt in flight, and lets the caller
// reuse its indices.
func (p *Policy) releaseSearch(search *searchState) {
	if !search.finished || search.inFlight > 0 || p.searches[search.id] != search {
		return
	}
	p.searches[search.id] = nil
	for _, req := range search.requests {
		p.requests[req.id] = nil
	}
	p.out.ReleaseSearch(search.id)
}

// setAt sets the element at an index and extends the list with nil elements as needed.
func setAt[T any](list []*T, i int, v *T) []*T {
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = v
	return list
}

// getAt returns the element at an index, nil if the index is out of range.
func getAt[T any](list []*T, i int) *T {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return nil
}
