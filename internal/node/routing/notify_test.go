package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Proxies that notify one another of the prompts that they send answer in time also far above the usual
// load, and sooner than proxies that don't.
func TestProxiesThatNotifyOneAnother(t *testing.T) {
	simulate := func(notifies bool, load float64) *engineSim {
		s := newEngineSim(t, 10, 18, true)
		s.notifyPeers = notifies
		s.run(12 * time.Second)
		s.sendRequests(125*load, 42*time.Second, s.requestGenerator())
		s.run(57 * time.Second)
		t.Log(s.summary())
		return s
	}
	for _, c := range []struct {
		load  float64 // multiple of the usual load
		value float64 // minimum of routeResult.value
	}{{1, 0.99}, {1.8, 0.98}, {2.4, 0.92}} {
		alone, notified := simulate(false, c.load), simulate(true, c.load)
		for _, name := range []string{"verdict", "letter"} {
			assert.Assert(t, notified.results[name].value() >= c.value, "%s at load %v", name, c.load)
			assert.Assert(t, notified.results[name].quantile(0.95) < 0.9*alone.results[name].quantile(0.95), "%s at load %v", name, c.load)
		}
	}
}

// Answers stay in time when a third of the engines lose their caches at once: the caches fill again without
// an overload.
func TestEnginesThatLostTheirCaches(t *testing.T) {
	s := newEngineSim(t, 10, 18, true)
	s.notifyPeers = true
	s.run(12 * time.Second)
	s.sendRequests(125*1.5, 42*time.Second, s.requestGenerator())
	s.run(25 * time.Second)
	for i := range 6 {
		e := s.engines[fmt.Sprintf("i%02d", i)]
		e.parts, e.usedTokens = map[kvKey]*kvPart{}, 0
		for _, g := range e.running {
			e.usedTokens += g.reservedTokens
		}
	}
	s.run(57 * time.Second)
	t.Log(s.summary())
	assert.Assert(t, s.results["verdict"].value() > 0.97)
	assert.Assert(t, s.results["letter"].value() > 0.97)
}
