package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Proxies that tell one another at once what they send serve far above the usual load in time, and
// read less again.
func TestProxiesThatNotifyOneAnother(t *testing.T) {
	play := func(notifies bool, load float64) *engineSim {
		s := newEngineSim(t, 10, 18, true)
		s.notifyPeers = notifies
		s.run(12 * time.Second)
		s.sendRequests(125*load, 42*time.Second, s.requestGenerator())
		s.run(57 * time.Second)
		t.Log(s.summary())
		return s
	}
	for _, c := range []struct{ load, value float64 }{{1, 0.99}, {1.8, 0.98}, {2.4, 0.92}} {
		alone, together := play(false, c.load), play(true, c.load)
		for _, name := range []string{"verdict", "letter"} {
			assert.Assert(t, together.results[name].value() >= c.value, "%s at %v", name, c.load)
			assert.Assert(t, together.results[name].quantile(0.95) < 0.9*alone.results[name].quantile(0.95), "%s at %v", name, c.load)
		}
	}
}

// So do renewed brokers that keep nothing yet: a third of all at once is filled without a fleetsim.
func TestRenewedEnginesAreFilled(t *testing.T) {
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
