package policy

import (
	"math"

	"kestrelspread/internal/predict"
)

const (
	minSamples             = predict.MinSamples // answers of a query type before its pX means something
	maxHedgeShare          = 0.10               // of a search's shard requests
	hedgeRoundingTolerance = 1e-9               // a tenth of ten is one, not two
)

// hedgeDue is the design's: a second attempt once the first is in flight for longer than the pX of
// its query type, as far as a search's share of hedges goes and the fleet is not overloaded as a
// whole.
func (p *Policy) hedgeDue(req *shardRequest, last *attemptState) bool {
	search, qt := req.search, req.search.queryType
	if req.hedged || req.clientSending || !p.limits.mayHedge || qt.effect != Idempotent {
		return false
	}
	limit, n := qt.latencies.Quantile(p.now, p.predictor.submitStats.HedgeQuantile(p.now))
	maxHedges := math.Ceil(maxHedgeShare*float64(search.expectedRequests) - hedgeRoundingTolerance)
	return n >= minSamples && !(p.now-last.startedAt-last.extraWork < limit) &&
		float64(search.hedges) < maxHedges && !p.predictor.overloaded()
}
