package policy

import (
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	historySize        = predict.HistorySize
	historyExpiry      = predict.HistoryExpiry
	latencySpan        = predict.SlowThresholdSpan
	maxHintReduction   = 0.5    // of the mean work: hints are rough, so a small shard request is taken to be smaller by at most this
	slowScore          = 0.5    // a higher score predicts a slow answer
	latencyFadeSpan    = 10000. // ms in which a server's mean latency loses its weight
	latencyNewWeight   = 0.5    // of the newest answer in a server's mean latency
	minLatency         = 1      // ms; latencies are kept on a logarithmic scale
	medianQuantile     = 0.5
	latestLatencyIndex = 2 // in a vector; the feature is over 0 if the server's history is not empty
)

// vector holds the features of a server.
type vector = predict.Vector

// latencySample is one answer of a server: its latency, the time it was received, and the load at
// the send.
type latencySample struct{ latency, receivedAt, load float64 }

// predictor predicts slow answers as LinnOS does, but learns online, with one set of weights for
// all servers.
type predictor struct {
	weights                        predict.Weights
	submitStats                    predict.SubmitStats
	latencies, recentLatencies     *window.Histogram // of all servers, over latencySpan and tailSpan
	avgLoad                        float64           // mean load of a server
	minMedian                      float64           // lowest median latency observed: that of the fleet without load
	reportedLoad, reportingServers float64           // sum of the latest load reports, and their number
	median, fleetSlowThreshold     float64           // of latencies, as of this round; an answer above the threshold is slow
	samples                        int               // answers in latencies
}

// score returns the predicted probability of a slow answer.
func (pr *predictor) score(x vector) float64 { return pr.weights.Score(&x) }

// falseSubmitRate returns the share of slow answers among those that were predicted fast.
func (pr *predictor) falseSubmitRate(now float64) float64 { return pr.submitStats.FalseRate(now) }

// slowThreshold returns the latency above which an answer of the server is slow.
func (pr *predictor) slowThreshold(now float64, server *serverState) float64 {
	return predict.SlowThreshold(now, server.latencies, pr.fleetSlowThreshold, pr.samples)
}

// features describes a server by its recent answers. If its oldest attempt in flight has taken
// longer than the slow threshold, that counts as the latest answer, as a server that hangs would
// look fast otherwise.
func (pr *predictor) features(now float64, server *serverState, load float64) vector {
	threshold := pr.slowThreshold(now, server)
	f := predict.NewFeatures(threshold, pr.avgLoad, load)
	if len(server.waiting) > 0 {
		oldest := server.waiting[0]
		if age := now - oldest.startedAt - oldest.extraWork; age > threshold {
			f.AddLatency(age, oldest.loadAtSend)
		}
	}
	for _, answer := range server.history {
		if answer.receivedAt > 0 && now-answer.receivedAt < historyExpiry {
			f.AddLatency(answer.latency, answer.load)
		}
	}
	return f.Vector
}

// train adjusts the weights by an attempt that is known to have been slow or not.
func (pr *predictor) train(now float64, attempt *attemptState, slow bool) {
	attempt.trained = true
	pr.weights.Train(&attempt.features, slow, attempt.predictedFast)
	if attempt.predictedFast {
		pr.submitStats.Record(now, slow)
	}
}

// overloaded reports whether most replicas are slow together, while LinnOS assumes short bursts on
// a few. A hedge then takes from other shard requests what its own gains.
func (pr *predictor) overloaded() bool { return predict.FleetSlow(pr.median, pr.minMedian) }

// measureFleet updates the latencies and the load of the fleet, once in each round.
func (p *Policy) measureFleet() {
	pr := &p.predictor
	pr.median, _ = pr.latencies.Quantile(p.now, medianQuantile)
	pr.fleetSlowThreshold, pr.samples = pr.latencies.Quantile(p.now, predict.SlowThresholdQuantile)
	if pr.samples >= minSamples && (pr.minMedian == 0 || pr.median < pr.minMedian) {
		pr.minMedian = pr.median
	}
	if p.reports.comeWithAnswers() {
		pr.avgLoad = pr.reportedLoad / max(pr.reportingServers, 1)
	} else {
		pr.avgLoad = float64(p.batches) / float64(max(p.readyServers, 1))
	}
}

// predictedSlow reports whether a server with these features is predicted slow. If this aggregator
// sends to each server more often than histories expire, an empty history means that the server was
// skipped, and the bias of the score decides. In a large fleet most histories are empty for lack of
// searches, so there an empty one counts as fast: under overload the bias had predicted all servers
// slow, and nothing was retried.
func (p *Policy) predictedSlow(x vector) bool {
	return (x[latestLatencyIndex] > 0 || p.meanSendInterval() < historyExpiry) && p.predictor.score(x) > slowScore
}

// trainPredictor trains the predictor with an answer and records its latency. Errors do not count:
// an error that comes fast is not a fast answer.
func (p *Policy) trainPredictor(attempt *attemptState, outcome Outcome) {
	if p.now == p.stallEndedAt {
		return // received late because of a stall of this aggregator: the latency says nothing about the server
	}
	server := p.servers[attempt.server]
	latency := max(p.now-attempt.startedAt-attempt.extraWork, minLatency)
	if outcome == Cancelled && !attempt.request.answered && attempt.clientBound() == 0 && latency > p.expectedLatency(server) {
		// The attempt would have taken longer still. Otherwise, where clients leave before they are
		// answered, only quick answers would be recorded, and a congested server would look idle.
		p.recordLatency(attempt, latency)
	}
	if outcome != Answered || attempt.answering || attempt.clientSending {
		return
	}
	if !attempt.trained {
		p.predictor.train(p.now, attempt, latency > p.predictor.slowThreshold(p.now, server))
	}
	copy(server.history[1:], server.history[:historySize-1])
	server.history[0] = latencySample{latency, p.now, attempt.loadAtSend}
	server.latencies.Add(p.now, latency)
	p.countWarmWork(server, attempt.request)
	attempt.request.search.queryType.latencies.Add(p.now, latency)
	p.recordLatency(attempt, latency)
}

// trainOnOverdueAttempts trains the predictor with the attempts that have been in flight for longer
// than the slow threshold, as slow ones.
func (p *Policy) trainOnOverdueAttempts(server *serverState) {
	threshold := p.predictor.slowThreshold(p.now, server)
	for _, attempt := range server.waiting {
		if !attempt.trained && p.now-max(attempt.startedAt, p.stallEndedAt)-attempt.extraWork > threshold {
			p.predictor.train(p.now, attempt, true)
		}
	}
}

// recordLatency records a latency in the fleet's histograms and in the server's moving mean.
func (p *Policy) recordLatency(attempt *attemptState, latency float64) {
	server := p.servers[attempt.server]
	p.predictor.latencies.Add(p.now, latency)
	p.predictor.recentLatencies.Add(p.now, latency)
	if p.now-server.latencyAt > latencyFadeSpan || server.latencyAt == 0 {
		server.meanLatency, server.meanBatches = p.predictor.median, float64(attempt.serverBatches)
	}
	server.latencyAt = p.now
	server.meanLatency += latencyNewWeight * (latency - server.meanLatency)
	server.meanBatches += latencyNewWeight * (float64(attempt.serverBatches) - server.meanBatches)
}

// expectedLatency returns the server's recent mean latency or, if longer, the age of its oldest
// attempt in flight. The mean fades to the fleet's median for a server that has not answered for
// long: otherwise an old observation would keep searches away from the server, and so could never
// be corrected.
func (p *Policy) expectedLatency(server *serverState) float64 {
	weight := max(1-(p.now-server.latencyAt)/latencyFadeSpan, 0)
	if server.latencyAt == 0 {
		weight = 0
	}
	latency := weight*server.meanLatency + (1-weight)*p.predictor.median
	if len(server.waiting) > 0 {
		oldest := server.waiting[0]
		latency = max(latency, p.now-oldest.startedAt-oldest.extraWork)
	}
	return latency
}

// extraWork returns by how much a shard request's hinted work exceeds the mean of its query type,
// within bounds; it may be negative. A big shard request takes longer because of its work, without
// its server being slow.
func (p *Policy) extraWork(req *shardRequest) float64 {
	if qt := req.search.queryType; req.hintedWork > 0 {
		return min(max(req.hintedWork-qt.meanHintedWork, -maxHintReduction*qt.meanHintedWork), qt.meanHintedWork)
	}
	return 0
}
