package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/fleetoperator"
)

// rounds is how often a test injects its fault.
func rounds() int {
	if testing.Short() {
		return 1
	}
	return 3
}

// change submits a change of the configuration, and requires its acknowledgement.
func (s *scenario) change() fleetoperator.Acknowledgement {
	s.t.Helper()
	before := s.Operator.Current()
	acknowledged, err := s.Operator.Update(s.ctx, before, fleetoperator.Update{Version: nextVersion(before)})
	s.must(err)
	return acknowledged
}

// TestChangesContinueAfterHeadKill: the chain continues without its head, no acknowledged change is lost, and the machine rejoins.
func TestChangesContinueAfterHeadKill(t *testing.T) {
	s := newScenario(t, nil)
	for range rounds() {
		s.change()
		head, err := s.Head(s.ctx)
		s.must(err)
		head.Kill()
		killed := time.Now()
		s.change()
		t.Logf("a change is acknowledged %v after the kill of the head", time.Since(killed).Round(time.Millisecond))
		s.must(s.load.AwaitAnswers(s.ctx, 10))
		s.must(head.Start())
		s.must(s.AwaitAgreement(s.ctx))
		s.change()
	}
	s.requireFewRejections(s.finish())
}

// TestChangesContinueWhileTailIsFrozen freezes the tail for four seconds: changes and requests continue, and it returns with the newest
// state.
func TestChangesContinueWhileTailIsFrozen(t *testing.T) {
	const span = 4 * time.Second
	s := newScenario(t, nil)
	for range rounds() {
		tail, err := s.Tail(s.ctx)
		s.must(err)
		s.must(tail.Freeze())
		frozen := time.NewTimer(span)
		s.change()
		s.must(s.load.AwaitAnswers(s.ctx, 10))
		select {
		case <-frozen.C:
		case <-s.ctx.Done():
			t.Fatal(s.ctx.Err())
		}
		s.must(tail.Thaw())
		s.change()
		s.must(s.AwaitAgreement(s.ctx))
	}
	s.requireFewRejections(s.finish())
}

// TestDrainedBrokerReceivesNoRequests: no request reaches it after the bound (checked by finish), and none is lost before.
func TestDrainedBrokerReceivesNoRequests(t *testing.T) {
	s := newScenario(t, nil)
	for _, prefix := range []string{prefixVerdict, prefixPrint} {
		broker := s.awaitRunningRequest(prefix)
		at, err := s.Drain(s.ctx, broker)
		s.must(err)
		s.must(broker.Leave(s.ctx))
		s.must(s.load.AwaitAnswers(s.ctx, 5))
		t.Logf("%s: the last request came %v after the acknowledgement", broker.Service(), s.lastArrival(broker.ID()).Sub(at).Round(time.Millisecond))
		s.must(s.AwaitBrokers(s.ctx, s.expectedBrokers()))
	}
	s.requireFewRejections(s.finish())
}

// arrivalsAt returns when requests reached a broker.
func (s *scenario) arrivalsAt(instance string) []time.Time {
	var times []time.Time
	for _, arrival := range s.ArrivalLog.Arrivals() {
		if arrival.Instance == instance {
			times = append(times, arrival.ReceivedAt)
		}
	}
	return times
}

func (s *scenario) lastArrival(instance string) time.Time {
	times := s.arrivalsAt(instance)
	return times[len(times)-1]
}

// expectedBrokers is how many brokers have not been drained.
func (s *scenario) expectedBrokers() int { return modelBrokers + plainBrokers - len(s.drainedBrokers) }

// TestGracefulStopLosesNothing: SIGTERM loses no request at any node, and each process ends within its grace.
func TestGracefulStopLosesNothing(t *testing.T) {
	s := newScenario(t, nil)
	head, err := s.Head(s.ctx)
	s.must(err)
	spare := s.Nodes[nodeCount-1]
	stopped := []*Node{head, spare}
	if !testing.Short() {
		stopped = s.Nodes
	}
	for _, node := range stopped {
		s.must(s.load.AwaitAnswers(s.ctx, 5))
		assert.Assert(t, !node.Terminate(), "%s needed SIGKILL", node.Name)
		s.change()
		s.must(node.Start())
		s.must(s.AwaitAgreement(s.ctx))
	}
	s.requireFewRejections(s.finish())
}

// TestAcknowledgedChangeSurvivesKillOfCore kills all processes of the core at once; they restart with their disks.
func TestAcknowledgedChangeSurvivesKillOfCore(t *testing.T) {
	s := newScenario(t, nil)
	for range rounds() {
		s.change()
		for _, node := range s.Core() {
			node.Kill()
		}
		for _, node := range s.Core() {
			s.must(node.Start())
		}
		back := time.Now()
		s.must(s.Operator.CheckReadBack(s.ctx))
		t.Logf("the configuration is read back %v after the start", time.Since(back).Round(time.Millisecond))
		s.must(s.load.AwaitAnswers(s.ctx, 5))
		s.must(s.AwaitAgreement(s.ctx))
		s.change()
	}
	s.finish()
}

// TestChangeAppliesAtAllNodesInTime adds a route, removes one and revokes a key, within the bound.
func TestChangeAppliesAtAllNodesInTime(t *testing.T) {
	s := newScenario(t, nil)
	acknowledged, err := s.Operator.Update(s.ctx, s.Operator.Current(), RoutesChange(s.Operator.Current()))
	s.must(err)
	s.must(s.Await(s.ctx, "the change in force", func(context.Context) error { return s.load.CheckRoutesChange() }))
	took := time.Since(acknowledged.ReceivedAt)
	t.Logf("in force everywhere %v after the acknowledgement", took.Round(time.Millisecond))
	assert.Assert(t, took < s.options.Bounds.ConfigApply)
	s.must(s.load.AwaitAnswers(s.ctx, 5))
	s.must(s.load.CheckRoutesChange())
	s.requireFewRejections(s.finish())
}

// TestNewWeightsReachAllBrokers within the bound; no request starts on older ones after it (checked by finish).
func TestNewWeightsReachAllBrokers(t *testing.T) {
	s := newScenario(t, nil)
	for version := range uint64(rounds()) {
		acknowledged, err := s.Operator.PutVersion(s.ctx, modelName, version+2)
		s.must(err)
		s.must(s.AwaitWeights(s.ctx, version+2))
		t.Logf("all brokers have version %d %v after its acknowledgement", version+2, time.Since(acknowledged.ReceivedAt).Round(time.Millisecond))
		s.must(s.load.AwaitAnswers(s.ctx, 5))
	}
	s.requireFewRejections(s.finish())
}

// TestOneOfTwoConflictingChangesIsAcknowledged: two changes that build on the same version are not both acknowledged.
func TestOneOfTwoConflictingChangesIsAcknowledged(t *testing.T) {
	s := newScenario(t, nil)
	other := fleetoperator.New(s.ControlAddresses, nil)
	t.Cleanup(other.Close)
	for range 3 * rounds() {
		before := s.Operator.Current()
		rival := make(chan changeResult, 1)
		go func() { rival <- s.attemptChange(other, before, RoutesChange(before)) }()
		own := s.attemptChange(s.Operator, before, fleetoperator.Update{Version: nextVersion(before)})
		theirs := <-rival
		assert.Assert(t, (own.err == nil) != (theirs.err == nil), "%v; %v", own.err, theirs.err)
		loser := own.err
		if theirs.err == nil {
			s.Operator.Learn(theirs.acknowledgement)
		} else {
			loser = theirs.err
		}
		assert.Assert(t, errors.Is(loser, fleetoperator.ErrConflict), "%v", loser)
	}
	s.finish()
}

// changeResult is the result of a change that may conflict with another one.
type changeResult struct {
	acknowledgement fleetoperator.Acknowledgement
	err             error
}

func (s *scenario) attemptChange(operator *fleetoperator.Operator, before fleetoperator.Configuration, update fleetoperator.Update) changeResult {
	acknowledgement, err := operator.Update(s.ctx, before, update)
	return changeResult{acknowledgement, err}
}
