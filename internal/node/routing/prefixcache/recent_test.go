package prefixcache

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
)

func newBroker(id string) *brokerstate.Broker {
	return brokerstate.NewBroker(0, &registry.Instance{ID: id}, false)
}

// A part counts as new after repeatedPrefillSpan, and two generations of entries are kept.
func TestRecentPrefillsExpire(t *testing.T) {
	const now = 20 * time.Second
	b := newBroker("i00")
	parts := []prompt.Part{{ID: 1, Tokens: 500}}
	var r recentPrefills
	r.record(now, now+time.Second, b, 7, parts)
	prefills := r.find(now, 7, parts[0])
	assert.Equal(t, prefills.brokers[0].broker, b)
	assert.Assert(t, r.find(now, 8, parts[0]) == nil)
	assert.Assert(t, r.find(now+repeatedPrefillSpan, 7, parts[0]) == nil)
	r.record(now+repeatedPrefillSpan, 0, b, 7, []prompt.Part{{ID: 2}})
	assert.Equal(t, len(r.newer), 1)
	assert.Equal(t, len(r.older), 1)
	r.record(now+2*repeatedPrefillSpan, 0, b, 7, []prompt.Part{{ID: 3}})
	assert.Equal(t, len(r.older), 1, "two generations are kept")
}

// A part that is sent again to a broker that is still reading it is ready when the first prefill
// ends. Only the latest brokers are remembered.
func TestBrokersRememberedForAPart(t *testing.T) {
	const now = 20 * time.Second
	brokers := map[string]*brokerstate.Broker{}
	for i := range maxBrokersPerPart + 2 {
		id := fmt.Sprintf("i%02d", i)
		brokers[id] = newBroker(id)
	}
	var r recentPrefills
	part := prompt.Part{ID: 1, Tokens: 500}
	record := func(id string, readyAt time.Duration) {
		r.record(now, now+readyAt, brokers[id], 7, []prompt.Part{part})
	}
	record("i00", 100*time.Millisecond)
	record("i01", 200*time.Millisecond)
	record("i00", 900*time.Millisecond)
	prefills := r.find(now, 7, part)
	assert.Equal(t, prefills.brokers[0].broker.Instance.ID, "i00")
	assert.Equal(t, prefills.brokers[0].readyAt, now+100*time.Millisecond)
	assert.Equal(t, prefills.brokers[1].broker.Instance.ID, "i01")
	record("i00", 0)
	assert.Equal(t, prefills.brokers[0].readyAt, now, "its answer has begun")
	for _, id := range []string{"i02", "i03", "i04", "i05"} {
		record(id, 0)
	}
	assert.Equal(t, prefills.brokers[0].broker.Instance.ID, "i05")
	assert.Equal(t, prefills.brokers[maxBrokersPerPart-1].broker.Instance.ID, "i02")
}
