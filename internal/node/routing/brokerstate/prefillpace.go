package brokerstate

// prefillTimeEstimator learns how long the brokers of a service take for each prompt token: the slope of a
// weighted linear regression of latency over the tokens read before each first token. Older answers
// fade. An assumed slope stands for some answers, until there are more.
type prefillTimeEstimator struct {
	// weighted sums over the answers
	weight, tokens, latency, tokensSquared, tokensLatency float64
	slope                                                 float64 // of these, ms a token; 0: not computed yet
}

const (
	sampleDecay         = 0.995 // weight left of an answer after the next one
	minPrefillSamples   = 10.0  // answers of weight before the slope is believed
	assumedTimePerToken = 0.025 // ms a token
	assumedSamples      = 5.0   // answers that the assumption stands for
	assumedSpread       = 2000. // tokens by which these differ from their mean
	minTimePerToken     = 0.002 // ms a token
	maxTimePerToken     = 0.5
)

// addSample takes an answer in: the tokens that were read before its first one, its own included, and
// the latency, ms.
func (p *prefillTimeEstimator) addSample(tokens, latency float64) {
	p.weight = sampleDecay*p.weight + 1
	p.tokens = sampleDecay*p.tokens + tokens
	p.latency = sampleDecay*p.latency + latency
	p.tokensSquared = sampleDecay*p.tokensSquared + tokens*tokens
	p.tokensLatency = sampleDecay*p.tokensLatency + tokens*latency
	p.slope = 0
}

// known reports whether enough was learnt.
func (p *prefillTimeEstimator) known() bool { return p.weight >= minPrefillSamples }

// perToken is the slope, ms a token. It is asked for each broker at each choice, so it is computed
// once an answer.
func (p *prefillTimeEstimator) perToken() float64 {
	if p.slope == 0 {
		p.slope = p.computeSlope()
	}
	return p.slope
}

func (p *prefillTimeEstimator) computeSlope() float64 {
	const belief = assumedSamples * assumedSpread * assumedSpread
	spread, covariance := 0.0, 0.0
	if p.weight > 0 {
		spread = p.tokensSquared - p.tokens*p.tokens/p.weight
		covariance = p.tokensLatency - p.tokens*p.latency/p.weight
	}
	slope := (covariance + belief*assumedTimePerToken) / (max(spread, 0) + belief)
	return min(max(slope, minTimePerToken), maxTimePerToken)
}
