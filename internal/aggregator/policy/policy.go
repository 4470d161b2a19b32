package policy

import (
	"fmt"
	"math"

	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	tickInterval        = 10.0 // ms to the next round while searches are pending
	stallThreshold      = 100. // ms by which a wake-up is late that means a stall
	discoveryRetryDelay = 500. // ms before the list is asked for again, and as much at random
	logInterval         = 500. // ms between two log lines
	searchStages        = 2    // stages that take a search; the others take its shard requests
	histogramPhases     = 10   // parts of a span that are kept apart
	countPhases         = 12
)

// Policy is one aggregator's instance. Each of its parts holds its own settings.
type Policy struct {
	out    Out
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
	retryWeight       float64 // share of its value with which a search counts whose client retries

	queryTypes   []*queryType
	customers    []*customer
	searches     []*searchState
	requests     []*shardRequest
	liveSearches []*searchState

	servers                       []*serverState
	replicasByPosition            [][]int // by position: who may be sent its shard requests; nil: to be made anew
	watched                       []int   // servers with something in flight or due
	readyServers, maxReadyServers int     // servers that the list has as ready, and had at most
	batches, clientBoundBatches   int     // in flight at all servers
	sent                          *window.Counts
	firstTrialDelay               float64 // time from a server's ejection to its first trial

	zoneLost    []bool
	outageSince float64 // since when some zone has been lost; 0: none is

	warmUp        warmUpLimit
	budget        retryBudget
	reports       loadReports
	discovery     discovery
	predictor     predictor
	connections   connectionHealth
	capacityFloor capacityFloor
}

// New makes the module. Decisions go to out; seed is its source of chance, aggregators how many of
// its kind there are, zone its own.
func New(out Out, seed uint64, aggregators, zone int) *Policy {
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
	p.Fleet(1, 1, 1, 0, false)
	p.Limits(1, 0, false, false)
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

// newHistogram keeps latencies over a span, to a tenth of it and to a tenth of the latency.
func newHistogram(span float64) *window.Histogram {
	return window.NewHistogram(histogramPhases, span/histogramPhases, 1, 1.1, 100)
}

// newCounts keeps counts over a span, to a tenth of it, and a little longer.
func newCounts(span float64) *window.Counts {
	return window.NewCounts(countPhases, span/histogramPhases)
}

// stageResult of a stage: on to the next one, nothing more for this shard request or search now, or the
// search is over.
type stageResult uint8

const (
	proceed stageResult = iota
	stop
	finished
)

// stage decides on the way down, for a search or each of its shard requests, and observes outcomes
// on the way up.
type stage struct {
	decide  func(*placement) stageResult
	observe func(*attemptState, Outcome)
}

// placement is what goes through the stages: a search, then each of its shard requests.
type placement struct {
	search      *searchState
	request     *shardRequest
	hedge       bool
	requireFast bool // it has an attempt in flight: another is worth it only at a server that looks fast
	candidates  []int
	server      int
}

// Begin implements Port. A wake-up that comes late means that this aggregator stood still: what it
// did not hear meanwhile is no unresponsiveness of servers.
func (p *Policy) Begin(now float64) {
	if !math.IsInf(p.wakeDueAt, 0) && now > p.wakeDueAt+stallThreshold {
		p.stallEndedAt = now
	}
	p.now, p.round = now, p.round+1
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
		p.releaseSearch(search)
	}
	clear(p.liveSearches[len(kept):])
	p.liveSearches = kept
	if (len(p.liveSearches) > 0 || p.discovery.due) && p.now >= p.wakeDueAt {
		p.wakeDueAt = p.now + tickInterval
		p.out.Wake(tickInterval)
	}
}

// runStages takes a search through its stages, then each of its shard requests through theirs.
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

// Woken implements Port; the wake-up that was asked for has come, so the next one is no late one.
func (p *Policy) Woken() { p.wakeDueAt = math.Inf(-1) }

// DiscoveryFailed implements Port; the list is asked for again after 0.5 to 1 s.
func (p *Policy) DiscoveryFailed() {
	if p.discovery.enabled {
		p.discovery.due, p.discovery.dueAt = true, p.now+discoveryRetryDelay+discoveryRetryDelay*p.random.next()
	}
}

func (p *Policy) log(form string, args ...any) {
	if p.now-p.loggedAt >= logInterval {
		p.loggedAt = p.now
		p.out.Log(fmt.Sprintf(form, args...))
	}
}
