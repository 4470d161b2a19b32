package candidate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/routeclass"
)

const now = 20 * time.Second

// fixture is a finder and a request to a pool of three brokers.
type fixture struct {
	*Finder
	request *inflight.Request
}

func newFixture() fixture {
	switches := mechanism.NewSwitches(0)
	versions := modelversion.NewTracker(0, modelversion.Bounds{SingleStablePeriod: 8 * time.Second})
	ejector := brokerstate.NewEjector(switches, rand.New(rand.NewPCG(1, 2)), time.Second, &retrybudget.ProxyCount{})
	pool := brokerstate.NewPool(switches)
	for i := range 3 {
		pool.Brokers = append(pool.Brokers, brokerstate.NewBroker(0, &registry.Instance{ID: fmt.Sprintf("i%02d", i)}, false))
	}
	route := &config.Route{Name: "safe", TargetLatencyMs: 300}
	return fixture{NewFinder(switches, &versions, ejector), &inflight.Request{
		ClientRequest: inflight.ClientRequest{Route: route, Deadline: now + time.Second, Urgency: 1},
		Pool:          pool, Class: routeclass.New(), RelativeWork: 1,
	}}
}

func ids(found []Candidate) []string {
	list := []string{}
	for _, c := range found {
		list = append(list, c.Broker.Instance.ID)
	}
	return list
}

// TestBrokerClassification puts the first of three brokers into each condition and checks how it is
// classified.
func TestBrokerClassification(t *testing.T) {
	all, rest := []string{"i00", "i01", "i02"}, []string{"i01", "i02"}
	for _, c := range []struct {
		name       string
		change     func(f fixture, b *brokerstate.Broker)
		eligible   []string
		ejected    int
		backingOff int
	}{
		{"healthy", func(fixture, *brokerstate.Broker) {}, all, 0, 0},
		{"draining", func(_ fixture, b *brokerstate.Broker) { b.Instance.State = registry.Draining }, rest, 0, 0},
		{"loading new weights", func(_ fixture, b *brokerstate.Broker) { b.Instance.Loading = true }, rest, 0, 0},
		{"missed heartbeats", func(_ fixture, b *brokerstate.Broker) { b.Instance.Unresponsive = true }, rest, 0, 0},
		{"missed heartbeats, but it answers", func(f fixture, b *brokerstate.Broker) {
			b.Instance.Unresponsive = true
			f.ejector.RecordAnswer(now, f.request.Pool, b)
		}, all, 0, 0},
		{"refused a request recently", func(_ fixture, b *brokerstate.Broker) { b.RecordRefusal(now, 0, nil) }, rest, 0, 1},
		{"already tried for this request", func(f fixture, b *brokerstate.Broker) {
			f.request.Calls = append(f.request.Calls, &brokerstate.Call{Broker: b, Scale: 1})
		}, rest, 0, 0},
		{"ejected", func(f fixture, b *brokerstate.Broker) { f.ejector.Eject(now, b, brokerstate.Failing) }, rest, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			c.change(f, f.request.Pool.Brokers[0])
			found := f.Find(now, f.request)
			assert.DeepEqual(t, ids(found.Eligible), c.eligible)
			assert.Equal(t, len(found.Ejected), c.ejected)
			assert.Equal(t, found.BackingOff, c.backingOff)
			assert.Equal(t, found.CapacityAt == core.Never, c.backingOff == 0)
		})
	}
}

// Brokers that have missed heartbeats are used if no other broker is eligible.
func TestUnresponsiveBrokersAreTheLastResort(t *testing.T) {
	f := newFixture()
	for _, b := range f.request.Pool.Brokers {
		b.Instance.Unresponsive = true
	}
	assert.Equal(t, len(f.Find(now, f.request).Eligible), 3)
}

// An ejected broker is probed once its backoff is over: by an idempotent request, by any request if
// the broker takes no connection (so that the request can't run there unnoticed), or by any request
// if the probe is long overdue.
func TestRequestsThatMayProbe(t *testing.T) {
	for _, c := range []struct {
		name       string
		reason     brokerstate.EjectionReason
		idempotent bool
		after      time.Duration
		probes     bool
	}{
		{"too early", brokerstate.Failing, true, 500 * time.Millisecond, false},
		{"idempotent", brokerstate.Failing, true, 1300 * time.Millisecond, true},
		{"not idempotent", brokerstate.Failing, false, 1300 * time.Millisecond, false},
		{"not idempotent, to a broker that takes no connection", brokerstate.Unreachable, false, 1300 * time.Millisecond, true},
		{"not idempotent, long overdue", brokerstate.Failing, false, 3 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.request.Idempotent = c.idempotent
			f.ejector.Eject(now, f.request.Pool.Brokers[1], c.reason)
			probe := f.Find(now+c.after, f.request).DueProbe()
			assert.Equal(t, probe != nil, c.probes)
			if c.probes {
				assert.Equal(t, probe.Broker.Instance.ID, "i01")
			}
		})
	}
}
