package fleet

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/llmbroker"
)

// TestABrokerCrashes in the middle of streams: those that may be resumed go on at another broker, and the others end
// without looking complete (checked at each client). A new broker takes its place.
func TestABrokerCrashes(t *testing.T) {
	s := newScenario(t, func(bounds *Bounds) { bounds.BudgetWindow = time.Second })
	s.must(s.load.AwaitAnswers(s.ctx, 20)) // nodes spend their share of the slack after the first window only
	for range rounds() {
		broker := s.awaitRunning(prefixDraft)
		s.Crash(broker)
		_, err := s.StartBroker(serviceModel, broker.Zone())
		s.must(err)
		s.must(s.load.AwaitAnswers(s.ctx, 10))
	}
	s.settle()
	for _, record := range s.load.Book.Records() {
		if record.Prefix == prefixDraft {
			assert.Assert(t, record.Outcome != Closed, "%+v", record)
		}
	}
}

// awaitRunning waits for a request that runs on a route, and gives the broker that runs it.
func (s *scenario) awaitRunning(prefix string) *llmbroker.Broker {
	s.t.Helper()
	var found *llmbroker.Broker
	s.must(s.Await(s.ctx, "a request on "+prefix, func(context.Context) error {
		for _, arrival := range s.Ledger.Arrivals() {
			if arrival.Disposition != llmbroker.Running || !strings.HasPrefix(arrival.URI, prefix) {
				continue
			}
			for _, broker := range s.Serving(arrival.Service) {
				if arrival.Instance == broker.ID() {
					found = broker
					return nil
				}
			}
		}
		return errors.New("none runs")
	}))
	return found
}

// TestTheHeadLeavesWhileWeightsAreBrought: once it is killed, and once it is stopped. Holders do not take turns at a
// broker within the lease (checked by settle), and all brokers get the weights.
func TestTheHeadLeavesWhileWeightsAreBrought(t *testing.T) {
	s := newScenario(t, nil)
	for version, leave := range []func(*Node){
		func(head *Node) { head.Kill() },
		func(head *Node) { head.Terminate() },
	} {
		head, err := s.Head(s.ctx)
		s.must(err)
		before := len(s.Ledger.Orders())
		_, err = s.Operator.PutVersion(s.ctx, modelName, uint64(version+2))
		s.must(err)
		s.must(s.Await(s.ctx, "the first order", func(context.Context) error {
			if len(s.Ledger.Orders()) == before {
				return errors.New("none came")
			}
			return nil
		}))
		leave(head)
		s.must(head.Start())
		s.must(s.AwaitWeights(s.ctx, uint64(version+2)))
		s.must(s.AwaitAgreement(s.ctx))
		s.must(s.load.AwaitAnswers(s.ctx, 2))
	}
	s.settle()
}
