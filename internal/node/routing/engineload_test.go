package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/prompt"
)

func lognormal(r *rand.Rand, mean, spread, maximum float64) int {
	return int(min(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2), maximum)) + 1
}

var (
	longPromptRoute = &config.Route{Name: "verdict", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 500, MaxAttempts: 1,
		Sticky: true, Priority: 1}
	shortPromptRoute = &config.Route{Name: "letter", Kind: config.KindStreaming, TimeoutMs: 12000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true, Resumable: true}
)

// prompts makes the requests of two kinds: few long ones with much that is shared, and many short
// ones.
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
			thing := int(313 * math.Pow(s.random.Float64(), 1.3))
			parts := []prompt.Part{{ID: uint64(1 + thing%4), Tokens: 2520}, {ID: uint64(1000 + thing), Tokens: long[thing]},
				{ID: own, Tokens: lognormal(s.random, 2890, 1, 39600)}}
			return promptOf(longPromptRoute, 1, parts), lognormal(s.random, 9, 1, 35)
		}
		thing := int(394 * math.Pow(s.random.Float64(), 1.3))
		parts := []prompt.Part{{ID: uint64(10 + thing%8), Tokens: 119}, {ID: uint64(2000 + thing), Tokens: 79},
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

// value is the share of what was owed that was earned: all for an answer in time, less after a
// refusal or for a late one.
func (k *routeResult) value() float64 {
	return (float64(k.inTime) + 0.65*float64(k.inTimeAfterRefusal) + 0.3*float64(k.late)) / float64(max(k.requests, 1))
}

func (k *routeResult) served() float64 {
	return float64(k.inTime+k.inTimeAfterRefusal+k.late) / float64(max(k.requests, 1))
}

func (k *routeResult) quantile(share float64) float64 {
	if len(k.ttfb) == 0 {
		return 0
	}
	slices.Sort(k.ttfb)
	return k.ttfb[int(share*float64(len(k.ttfb)-1))]
}

func (s *engineSim) summary() string {
	text := ""
	for _, name := range []string{"verdict", "letter"} {
		k := s.results[name]
		text += fmt.Sprintf("%s owed %d value %.3f served %.3f first tokens %.0f %.0f %.0f; ", name, k.requests, k.value(), k.served(),
			k.quantile(0.5), k.quantile(0.95), k.quantile(0.99))
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
	return text + fmt.Sprintf("read %dk again %dk moved %dk saved %dk, refused %d failed %d copies %d affinity %d prediction %d load %d slow %d",
		s.prefilledTokens/1000, s.repeatedTokens/1000, s.fetchedTokens/1000, s.savedTokens/1000, s.refused, s.failed, c.Hedges, c.ByAffinity, c.ByPrediction, c.ByLoad, c.AllSlow)
}
