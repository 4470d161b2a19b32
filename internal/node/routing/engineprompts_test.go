package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// At the usual load, and somewhat above it, prompts go to engines that cache their parts, few tokens are
// prefilled repeatedly, and nearly all requests are answered in time.
func TestFewPromptsArePrefilledRepeatedly(t *testing.T) {
	for _, c := range []struct {
		load     float64 // multiple of the usual load
		indexed  bool
		value    float64 // minimum of routeResult.value
		repeated float64 // maximum share of the prefilled tokens that had been prefilled before
	}{
		{0.6, false, 0.97, 0.15},
		{1.1, false, 0.95, 0.25},
		{0.6, true, 0.97, 0.05},
		{1.1, true, 0.96, 0.10},
		{1.6, true, 0.92, 0.15},
	} {
		t.Run(fmt.Sprintf("load %v indexed %v", c.load, c.indexed), func(t *testing.T) {
			s := newEngineSim(t, 10, 18, c.indexed)
			s.run(12 * time.Second)
			s.sendRequests(125*c.load, 42*time.Second, s.requestGenerator())
			s.run(57 * time.Second)
			t.Log(s.summary())
			for route, result := range s.results {
				assert.Assert(t, result.value() >= c.value, "route %s: value %.3f", route, result.value())
			}
			assert.Assert(t, float64(s.repeatedTokens) <= c.repeated*float64(s.prefilledTokens))
			assert.Equal(t, s.refused+s.failed, 0)
		})
	}
}

// When the store fails, all requests are still answered. When brokers fail, only the requests that run
// there are lost.
func TestPromptsWhileFetchSourcesFail(t *testing.T) {
	s := newEngineSim(t, 10, 18, true)
	s.run(12 * time.Second)
	s.sendRequests(125, 42*time.Second, s.requestGenerator())
	s.run(20 * time.Second)
	s.store.dead = true
	s.run(25 * time.Second)
	for _, id := range []string{"i03", "i11"} {
		s.engines[id].dead = true
	}
	s.run(57 * time.Second)
	t.Log(s.summary())
	assert.Assert(t, s.results["letter"].served() > 0.995)
	assert.Assert(t, s.results["verdict"].served() > 0.97)
}
