package policy

import (
	"fmt"
	"math"

	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	tickInterval        = 10.0 // ms from one round to the next while searches are pending
	stallThreshold      = 100. // ms; a wake-up that is later than this means that the aggregator stalled
	discoveryRetryDelay = 500. // ms until the server list is subscribed to again, plus up to as much at random
	logInterval         = 500. // ms; minimum time between two log lines
	searchStages        = 2    // the first stages handle a search, the others each of its shard requests
	histogramPhases     = 10   // buckets into which the span of a histogram is divided
	countPhases         = 12   // buckets of a sum: a span of histogramPhases bucket widths can touch eleven; one is spare
)

// Policy makes the decisions of one aggregator. The settings of each part are kept with that part.
type Policy struct {
	out    Executor
	random random
	stages []stage

	now, wakeDueAt, loggedAt, stallEndedAt float64
	round                                  int

	aggregators, zone int
	fleet             fleetShape
	limits            limits
	maxRetryAfter     float64
	shortestTarget    float64
	maxValue          float64
	retryWeight       float64 // factor on the value of a search that the client marked as a retry

	queryTypes   []*queryType
	customers    []*customer
	searches     []*searchState
	requests     []*shardRequest
	liveSearches []*searchState

	servers                       []*serverState
	replicasByPosition            [][]int // ready replicas of the shards at a position of the ring; nil: to be recomputed
	watched                       []int   // servers that are ejected or owe an answer
	readyServers, maxReadyServers int     // servers that are ready in the list: now, and the most there were
	batches, clientBoundBatches   int     // in flight at all servers; of these, those whose attempts all depend on their clients
	sent                          *window.Counts
	firstTrialDelay               float64 // ms from the ejection of a server to its first trial

	zoneLost    []bool
	outageSince float64 // when the current outage of at least one zone began; 0: no zone is lost

	warmUp        warmUpLimit
	budget        retryBudget
	reports       loadReports
	discovery     discovery
	predictor     predictor
	connections   connectionHealth
	capacityFloor capacityFloor
}

// New returns a policy that passes its decisions to out. seed determines its random decisions,
// aggregators is the number of aggregators in the fleet, and zone is the zone of this one.
func New(out Executor, seed uint64, aggregators, zone int) *Policy {
	p := &Policy{
		out:             out,
		random:          random{seed: seed},
		aggregators:     max(aggregators, 1),
		zone:            zone,
		firstTrialDelay: maxFirstTrialDelay,
		wakeDueAt:       math.Inf(-1),
		loggedAt:        math.Inf(-1),
		shortestTarget:  math.Inf(1),
		retryWeight:     1,
		sent:            newCounts(sendSpan),
		predictor: predictor{
			weights:         predict.InitialWeights,
			submitStats:     predict.NewSubmitStats(),
			latencies:       newHistogram(latencySpan),
			recentLatencies: newHistogram(tailSpan),
		},
	}
	p.SetFleet(1, 1, 1, 0, false)
	p.SetLimits(1, 0, false, false)
	for use := range connectionUses {
		p.connections.lost[use], p.connections.answered[use] = newCounts(idleSpan), newCounts(idleSpan)
	}
	p.stages = []stage{
		{p.admit, nil},
		{p.answerOrGiveUp, p.recordAnswer},
		{p.attemptNeeded, nil},
		{p.filterCandidates, p.observeHealth},
		{p.chooseServer, p.trainPredictor},
		{p.send, p.endAttempt},
	}
	return p
}

// newHistogram returns a histogram of latencies over a span of milliseconds, with a resolution of a
// tenth of the span and a tenth of the latency.
func newHistogram(span float64) *window.Histogram {
	return window.NewHistogram(histogramPhases, span/histogramPhases, 1, 1.1, 100)
}

// newCounts returns sums over a span of milliseconds, with a resolution of a tenth of the span. Two
// buckets more are kept, as a sum may cover a little more than the span.
func newCounts(span float64) *window.Counts {
	return window.NewCounts(countPhases, span/histogramPhases)
}

// stageResult is what a stage decides about the search or the shard request that it was given.
type stageResult uint8

const (
	proceed  stageResult = iota // go on with the next stage
	stop                        // nothing more is done for this search or shard request in this round
	finished                    // the search has ended
)

// stage is one step of the decisions. decide is called for a search, or for each of its shard
// requests, in the order of the stages; observe is called for the outcome of an attempt, in reverse
// order.
type stage struct {
	decide  func(*placement) stageResult
	observe func(*attemptState, Outcome)
}

// placement is passed through the stages: it holds a search and, in the stages for shard requests,
// one of these and where it is to be sent.
type placement struct {
	search      *searchState
	request     *shardRequest
	hedge       bool // the attempt would be a hedge
	requireFast bool // an attempt is in flight already, so another is made only at a server that is predicted fast
	candidates  []int
	server      int
}

// BeginRound begins a round. If the wake-up comes late, this aggregator stalled: that nothing was
// received in the meantime does not make any server unresponsive.
func (p *Policy) BeginRound(now float64) {
	if !math.IsInf(p.wakeDueAt, 0) && now > p.wakeDueAt+stallThreshold {
		p.stallEndedAt = now
	}
	p.now, p.round = now, p.round+1
}

// EndRound ends the round: it checks the servers and takes each search through the stages.
func (p *Policy) EndRound() {
	if p.discovery.due && p.now >= p.discovery.dueAt {
		p.discovery.due = false
		p.out.SubscribeToServers()
	}
	p.checkServers()
	kept := p.liveSearches[:0]
	for _, search := range p.liveSearches {
		p.runStages(search)
		if !search.finished {
			kept = append(kept, search)
		}
		p.releaseSearch(search)
	}
	clear(p.liveSearches[len(kept):])
	p.liveSearches = kept
	if (len(p.liveSearches) > 0 || p.discovery.due) && p.now >= p.wakeDueAt {
		p.wakeDueAt = p.now + tickInterval
		p.out.ScheduleWakeUp(tickInterval)
	}
}

// runStages takes a search through the stages for searches, then each of its shard requests through
// the others.
func (p *Policy) runStages(search *searchState) {
	placement := &placement{search: search}
	for _, stage := range p.stages[:searchStages] {
		if search.finished || stage.decide(placement) != proceed {
			return
		}
	}
	for _, req := range search.requests {
		placement.request, placement.hedge, placement.requireFast, placement.server = req, false, false, -1
		for _, stage := range p.stages[searchStages:] {
			if stage.decide(placement) != proceed {
				break
			}
		}
	}
}

// WakeUpDue clears the time at which the wake-up was due, so that no later round counts as a late
// wake-up.
func (p *Policy) WakeUpDue() { p.wakeDueAt = math.Inf(-1) }

// DiscoveryFailed has the server list subscribed to again after 0.5 to 1 s.
func (p *Policy) DiscoveryFailed() {
	if p.discovery.enabled {
		p.discovery.due, p.discovery.dueAt = true, p.now+discoveryRetryDelay+discoveryRetryDelay*p.random.next()
	}
}

// log writes a line for operators, at most one in each logInterval; the others are dropped.
func (p *Policy) log(format string, args ...any) {
	if p.now-p.loggedAt >= logInterval {
		p.loggedAt = p.now
		p.out.Log(fmt.Sprintf(format, args...))
	}
}
