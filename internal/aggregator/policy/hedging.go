package policy

import (
	"math"

	"kestrelspread/internal/predict"
)

const (
	minSamples             = predict.MinSamples // answers from which on a latency quantile is meaningful
	maxHedgeShare          = 0.10               // of a search's shard requests
	hedgeRoundingTolerance = 1e-9               // a tenth of ten is one, not rounded up to two
)

// hedgeDue reports whether a shard request gets a hedge: its attempt has been in flight for longer
// than the latency percentile pX of its query type, as in LinnOS, its search has hedges left, and
// the fleet as a whole is not overloaded.
func (p *Policy) hedgeDue(req *shardRequest, last *attemptState) bool {
	search, qt := req.search, req.search.queryType
	if req.hedged || req.clientSending || !p.limits.mayHedge || qt.effect != Idempotent {
		return false
	}
	hedgeDelay, samples := qt.latencies.Quantile(p.now, p.predictor.submitStats.HedgeQuantile(p.now))
	maxHedges := math.Ceil(maxHedgeShare*float64(search.expectedRequests) - hedgeRoundingTolerance)
	return samples >= minSamples && !(p.now-last.startedAt-last.extraWork < hedgeDelay) &&
		float64(search.hedges) < maxHedges && !p.predictor.overloaded()
}
