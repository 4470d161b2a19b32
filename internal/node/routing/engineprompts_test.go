package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// At the usual load, and somewhat above it, prompts go where their parts are kept, few are read
// again, and nearly all is answered in time.
func TestPromptsAreReadOnce(t *testing.T) {
	for _, c := range []struct {
		load    float64 // of the usual
		indexed bool
		value   float64 // of what was owed, at least
		again   float64 // of what was read, at most
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
			for name, kind := range s.results {
				assert.Assert(t, kind.value() >= c.value, "%s earned %.3f", name, kind.value())
			}
			assert.Assert(t, float64(s.repeatedTokens) <= c.again*float64(s.prefilledTokens))
			assert.Equal(t, s.refused+s.failed, 0)
		})
	}
}

// A store that goes down costs nobody its answer, and brokers that go down cost only what they were
// at.
func TestPromptsWhileSourcesDie(t *testing.T) {
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
