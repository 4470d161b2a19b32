package brokerstate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
)

const ms = time.Millisecond

// newPool returns a pool with the given number of brokers.
func newPool(brokers int) *Pool {
	p := NewPool(mechanism.NewSwitches(0))
	for i := range brokers {
		p.Brokers = append(p.Brokers, NewBroker(0, &registry.Instance{ID: fmt.Sprintf("i%02d", i)}, false))
	}
	return p
}

// addStreams adds measurements of several streams with the same step time to a broker.
func addStreams(b *Broker, streams int, stepTime time.Duration) {
	for range streams {
		b.ObserveStep(units.Milliseconds(stepTime))
	}
}

// newPoolWithSlowBrokers returns a pool in which the first slow brokers take one and a half times
// as long for a step as the others.
func newPoolWithSlowBrokers(brokers, slow int) *Pool {
	p := newPool(brokers)
	for i, b := range p.Brokers {
		stepTime := 20 * ms
		if i < slow {
			stepTime = 30 * ms
		}
		addStreams(b, 2*MinStepStreams, stepTime)
	}
	p.Refresh(20 * time.Second)
	return p
}

func TestSlowdownOfBrokers(t *testing.T) {
	p := newPoolWithSlowBrokers(9, 3)
	for i, b := range p.Brokers {
		slowness := p.slowdown(b)
		assert.Equal(t, slowness > 1.4, i < 3, "%s %f", b.Instance.ID, slowness)
		assert.Assert(t, i < 3 || slowness == 1)
	}
	one := p.Brokers[8]
	addStreams(one, 1, 2*time.Second)
	assert.Equal(t, p.slowdown(one), 1.0, "a single stream that was slowed down by prefills has little weight")
	addStreams(one, 30, 40*ms)
	assert.Assert(t, p.slowdown(one) > 1.5, "many slow streams change the estimate")
}

func TestSlowdownNeedsSeveralBrokersAndStreams(t *testing.T) {
	p := newPool(9)
	addStreams(p.Brokers[0], 20, 90*ms)
	addStreams(p.Brokers[1], 20, 20*ms)
	p.Refresh(21 * time.Second)
	assert.Equal(t, p.slowdown(p.Brokers[0]), 1.0)
}
