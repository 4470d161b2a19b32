package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/prompt"
)

// lognormal returns a random number from 1 to maximum+1 with a log-normal distribution.
func lognormal(r *rand.Rand, mean, spread, maximum float64) int {
	return int(min(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2), maximum)) + 1
}

// The routes of the simulated traffic.
var (
	longPromptRoute = &config.Route{Name: "verdict", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 500, MaxAttempts: 1,
		Sticky: true, Priority: 1}
	shortPromptRoute = &config.Route{Name: "letter", Kind: config.KindStreaming, TimeoutMs: 12000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true, Resumable: true}
)

// requestGenerator returns a function that returns random requests of two routes, with the number of
// tokens to generate: 44% have long prompts with long shared parts, the others short prompts.
func (s *engineSim) requestGenerator() func() (Request, int) {
	r := rand.New(rand.NewPCG(3, 4))
	long := make([]int, 313)
	for i := range long {
		long[i] = lognormal(r, 3780, 0.7, 11300)
	}
	own := uint64(1 << 40)
	return func() (Request, int) {
		own++
		if s.random.Float64() < 0.44 {
			subject := int(313 * math.Pow(s.random.Float64(), 1.3))
			parts := []prompt.Part{{ID: uint64(1 + subject%4), Tokens: 2520}, {ID: uint64(1000 + subject), Tokens: long[subject]},
				{ID: own, Tokens: lognormal(s.random, 2890, 1, 39600)}}
			return promptOf(longPromptRoute, 1, parts), lognormal(s.random, 9, 1, 35)
		}
		subject := int(394 * math.Pow(s.random.Float64(), 1.3))
		parts := []prompt.Part{{ID: uint64(10 + subject%8), Tokens: 119}, {ID: uint64(2000 + subject), Tokens: 79},
			{ID: own, Tokens: lognormal(s.random, 628, 1, 3310)}}
		return promptOf(shortPromptRoute, 0, parts), lognormal(s.random, 49, 0.7, 159)
	}
}

func promptOf(route *config.Route, urgency int, parts []prompt.Part) Request {
	q := Request{Route: route, Service: service, Model: model, Urgency: urgency, Parts: parts}
	for _, p := range parts {
		q.TokensIn += p.Tokens
	}
	return q
}

// value returns the value of the answers as a share of the most that the requests could have earned. An
// answer in time counts 1, one in time after a refusal 0.65, and a late one 0.3.
func (k *routeResult) value() float64 {
	return (float64(k.inTime) + 0.65*float64(k.inTimeAfterRefusal) + 0.3*float64(k.late)) / float64(max(k.requests, 1))
}

// served returns the share of the requests that were answered, in time or late.
func (k *routeResult) served() float64 {
	return float64(k.inTime+k.inTimeAfterRefusal+k.late) / float64(max(k.requests, 1))
}

// quantile returns a quantile of the times to the first event, ms.
func (k *routeResult) quantile(share float64) float64 {
	if len(k.ttfb) == 0 {
		return 0
	}
	slices.Sort(k.ttfb)
	return k.ttfb[int(share*float64(len(k.ttfb)-1))]
}

// summary describes the results of a run, for the log of a test.
func (s *engineSim) summary() string {
	text := ""
	for _, name := range []string{"verdict", "letter"} {
		k := s.results[name]
		text += fmt.Sprintf("%s: requests %d value %.3f served %.3f first event p50 %.0f p95 %.0f p99 %.0f ms; ", name, k.requests, k.value(),
			k.served(), k.quantile(0.5), k.quantile(0.95), k.quantile(0.99))
	}
	var c Counters
	for _, r := range s.proxies {
		one := r.Counters()
		c.Hedges += one.Hedges
		c.ByAffinity += one.ByAffinity
		c.ByPrediction += one.ByPrediction
		c.ByLoad += one.ByLoad
		c.AllSlow += one.AllSlow
	}
	return text + fmt.Sprintf("tokens prefilled %dk repeated %dk fetched %dk saved %dk, ", s.prefilledTokens/1000, s.repeatedTokens/1000,
		s.fetchedTokens/1000, s.savedTokens/1000) +
		fmt.Sprintf("refused %d failed %d hedges %d by affinity %d prediction %d load %d all slow %d", s.refused, s.failed, c.Hedges,
			c.ByAffinity, c.ByPrediction, c.ByLoad, c.AllSlow)
}
