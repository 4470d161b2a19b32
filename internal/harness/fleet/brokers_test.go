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

// TestStreamsResumeAfterBrokerCrash crashes brokers with streams in flight: those that may be resumed continue at another broker, and the
// others are truncated and do not look complete (checked at each client). A new broker replaces each one.
func TestStreamsResumeAfterBrokerCrash(t *testing.T) {
	s := newScenario(t, func(bounds *Bounds) { bounds.BudgetWindow = time.Second })
	s.must(s.load.AwaitAnswers(s.ctx, 20)) // nodes spend their share of the slack after the first window only
	for range rounds() {
		broker := s.awaitRunningRequest(prefixDraft)
		s.Crash(broker)
		_, err := s.StartBroker(serviceModel, broker.Zone())
		s.must(err)
		s.must(s.load.AwaitAnswers(s.ctx, 10))
	}
	s.finish()
	for _, attempt := range s.load.Attempts.All() {
		if attempt.Prefix == prefixDraft {
			assert.Assert(t, attempt.Outcome != ConnectionClosed, "%+v", attempt)
		}
	}
}

// awaitRunningRequest waits until a request of a route runs, and returns its broker.
func (s *scenario) awaitRunningRequest(prefix string) *llmbroker.Broker {
	s.t.Helper()
	var found *llmbroker.Broker
	s.must(s.Await(s.ctx, "a request on "+prefix, func(context.Context) error {
		for _, arrival := range s.ArrivalLog.Arrivals() {
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

// TestWeightsUpdateSurvivesHeadLoss kills the head, and then stops it gracefully, while an update is in progress. No broker receives
// orders of two lease holders within a lease (checked by finish), and all brokers get the weights.
func TestWeightsUpdateSurvivesHeadLoss(t *testing.T) {
	s := newScenario(t, nil)
	for version, leave := range []func(*Node){
		func(head *Node) { head.Kill() },
		func(head *Node) { head.Terminate() },
	} {
		head, err := s.Head(s.ctx)
		s.must(err)
		before := len(s.ArrivalLog.Orders())
		_, err = s.Operator.PutVersion(s.ctx, modelName, uint64(version+2))
		s.must(err)
		s.must(s.Await(s.ctx, "the first order", func(context.Context) error {
			if len(s.ArrivalLog.Orders()) == before {
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
	s.finish()
}
