package brokerstate

// prefillTimeEstimator estimates how long the brokers of a service take to read one prompt token.
// The estimate is the slope of a weighted linear regression of latency over the number of tokens
// read before the first token of the answer. The weight of older answers decays. An assumed slope
// counts as much as a few answers, so that it decides until there are more.
type prefillTimeEstimator struct {
	// Weighted sums over the answers.
	weight, tokens, latency, tokensSquared, tokensLatency float64
	slope                                                 float64 // of the regression, ms per token; 0: to be computed
}

const (
	sampleDecay         = 0.995 // factor on the weight of an answer with each later one
	minPrefillSamples   = 10.0  // total weight of answers from which the estimate counts as known
	assumedTimePerToken = 0.025 // ms
	assumedSamples      = 5.0   // number of answers that the assumed slope counts as much as
	assumedSpread       = 2000. // tokens by which the prompts of these answers differ from their mean
	minTimePerToken     = 0.002 // ms
	maxTimePerToken     = 0.5   // ms
)

// addSample adds an answer: the number of tokens that were read before its first token, including
// its own prompt, and its latency in ms.
func (p *prefillTimeEstimator) addSample(tokens, latency float64) {
	p.weight = sampleDecay*p.weight + 1
	p.tokens = sampleDecay*p.tokens + tokens
	p.latency = sampleDecay*p.latency + latency
	p.tokensSquared = sampleDecay*p.tokensSquared + tokens*tokens
	p.tokensLatency = sampleDecay*p.tokensLatency + tokens*latency
	p.slope = 0
}

// known reports whether there were enough answers for an estimate.
func (p *prefillTimeEstimator) known() bool { return p.weight >= minPrefillSamples }

// perToken returns the estimate in ms per token. It is read for each broker in each placement, so
// it is computed only once after each answer.
func (p *prefillTimeEstimator) perToken() float64 {
	if p.slope == 0 {
		p.slope = p.computeSlope()
	}
	return p.slope
}

// computeSlope returns the slope of the regression in ms per token, within its bounds. The assumed
// slope takes part in it with assumedWeight, which is a sum of squared deviations like spread.
func (p *prefillTimeEstimator) computeSlope() float64 {
	const assumedWeight = assumedSamples * assumedSpread * assumedSpread
	spread, covariance := 0.0, 0.0
	if p.weight > 0 {
		spread = p.tokensSquared - p.tokens*p.tokens/p.weight
		covariance = p.tokensLatency - p.tokens*p.latency/p.weight
	}
	slope := (covariance + assumedWeight*assumedTimePerToken) / (max(spread, 0) + assumedWeight)
	return min(max(slope, minTimePerToken), maxTimePerToken)
}
