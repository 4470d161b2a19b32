package policy

import (
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	historySize        = predict.HistorySize
	historyExpiry      = predict.HistoryExpiry
	latencySpan        = predict.SlowLineSpan
	maxHintReduction   = 0.5    // hints are rough: a small shard request is taken to be at least so big
	slowScore          = 0.5    // a score over it predicts slow
	latencyFadeSpan    = 10000. // ms after which a server's own latency tells nothing
	latencyNewWeight   = 0.5    // of the newest answer in a server's mean latency
	minLatency         = 1      // ms; latencies are kept on a logarithmic scale
	medianQuantile     = 0.5    // of latencies
	latestLatencyIndex = 2      // feature that is over 0 where a server's history isn't empty
)

type vector = predict.Vector

// latencySample is one answer of a server.
type latencySample struct{ latency, receivedAt, load float64 }

// predictor is the design's score, online: one set of weights for all servers.
type predictor struct {
	weights                        predict.Weights
	submitStats                    predict.SubmitStats
	latencies, recentLatencies     *window.Histogram // of all servers, the second over a shorter time
	avgLoad                        float64
	minMedian                      float64 // lowest median seen: the fleet without load
	reportedLoad, reportingServers float64 // sum of the latest load reports, and how many they are
	median, fleetSlowThreshold     float64 // of latencies, as of this round's start; over the line is slow
	samples                        int
}

func (pr *predictor) score(x vector) float64 { return pr.weights.Score(&x) }

func (pr *predictor) falseSubmitRate(now float64) float64 { return pr.submitStats.FalseRate(now) }

// slowThreshold is the latency over which an answer of the server is slow.
func (pr *predictor) slowThreshold(now float64, server *serverState) float64 {
	return predict.SlowLine(now, server.latencies, pr.fleetSlowThreshold, pr.samples)
}

// features describe a server by its recent answers. A hang must not read as fast: an attempt in
// flight for longer than the line stands for the latest latency.
func (pr *predictor) features(now float64, server *serverState, load float64) vector {
	line := pr.slowThreshold(now, server)
	f := predict.NewFeatures(line, pr.avgLoad, load)
	if len(server.waiting) > 0 {
		oldest := server.waiting[0]
		if age := now - oldest.startedAt - oldest.extraWork; age > line {
			f.Add(age, oldest.loadAtSend)
		}
	}
	for _, answer := range server.history {
		if answer.receivedAt > 0 && now-answer.receivedAt < historyExpiry {
			f.Add(answer.latency, answer.load)
		}
	}
	return f.Vector
}

// train moves the weights by one attempt whose slowness is known.
func (pr *predictor) train(now float64, attempt *attemptState, slow bool) {
	attempt.trained = true
	pr.weights.Train(&attempt.features, slow, attempt.predictedFast)
	if attempt.predictedFast {
		pr.submitStats.Record(now, slow)
	}
}

// overloaded: slowness on most replicas together, where the design assumes short bursts on few. A
// hedge then takes from another shard request what it gives to its own.
func (pr *predictor) overloaded() bool { return predict.FleetSlow(pr.median, pr.minMedian) }

// measureFleet takes the fleet's latencies and load at a round's start.
func (p *Policy) measureFleet() {
	pr := &p.predictor
	pr.median, _ = pr.latencies.Quantile(p.now, medianQuantile)
	pr.fleetSlowThreshold, pr.samples = pr.latencies.Quantile(p.now, predict.SlowLineQuantile)
	if pr.samples >= minSamples && (pr.minMedian == 0 || pr.median < pr.minMedian) {
		pr.minMedian = pr.median
	}
	if p.reports.onAnswersAvailable() {
		pr.avgLoad = pr.reportedLoad / max(pr.reportingServers, 1)
	} else {
		pr.avgLoad = float64(p.batches) / float64(max(p.readyServers, 1))
	}
}

// predictedSlow: an empty history counts as fast. Where this aggregator comes to each server within
// the expiry, it is empty because the server was passed over, and the score's bias decides; at full
// size most are empty for want of searches, and in bad times the bias made all servers slow, so
// that nothing was sent again.
func (p *Policy) predictedSlow(x vector) bool {
	return (x[latestLatencyIndex] > 0 || p.meanSendInterval() < historyExpiry) && p.predictor.score(x) > slowScore
}

// trainPredictor teaches the predictor by what was sent, and only by answers: errors are no quick
// answers.
func (p *Policy) trainPredictor(attempt *attemptState, how Outcome) {
	if p.now == p.stallEndedAt {
		return // what waited for this aggregator to move tells nothing of its server
	}
	server := p.servers[attempt.server]
	latency := max(p.now-attempt.startedAt-attempt.extraWork, minLatency)
	if how == Cancelled && !attempt.request.answered && attempt.clientBound() == 0 && latency > p.expectedLatency(server) {
		// Cancelled, it would have taken longer still. Where clients leave before they are
		// answered, only the quick answers were received, and a jam read as calm.
		p.recordLatency(attempt, latency)
	}
	if how != Answered || attempt.answering || attempt.clientSending {
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

// trainOnOverdueAttempts teaches that what is in flight for longer than the line is slow.
func (p *Policy) trainOnOverdueAttempts(server *serverState) {
	line := p.predictor.slowThreshold(p.now, server)
	for _, attempt := range server.waiting {
		if !attempt.trained && p.now-max(attempt.startedAt, p.stallEndedAt)-attempt.extraWork > line {
			p.predictor.train(p.now, attempt, true)
		}
	}
}

// recordLatency counts a latency for the fleet and in the server's mean.
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

// expectedLatency is what answers took recently or, if longer, the age of what is in flight; of a
// server that has not answered for long, the median: shedding on old observations would keep itself
// true.
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

// extraWork is a shard request's hinted work over its query type's: a big one takes longer
// without being slow, by its work and not by what it waits.
func (p *Policy) extraWork(req *shardRequest) float64 {
	if qt := req.search.queryType; req.hintedWork > 0 {
		return min(max(req.hintedWork-qt.meanHintedWork, -maxHintReduction*qt.meanHintedWork), qt.meanHintedWork)
	}
	return 0
}
