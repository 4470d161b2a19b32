package fleet

import (
	"context"
	"testing"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// Times of a broker that leaves as all processes are killed.
const (
	killAfterAck = 50 * time.Millisecond
	downTime     = time.Second
	// servesAfterAck is how long the broker serves on: machines are in touch twice the bound on contact after such a kill.
	servesAfterAck = 10 * time.Second
)

// killAll ends all nodes at one moment, and starts them on their disks.
func (s *scenario) killAll() {
	s.t.Helper()
	for _, node := range s.Nodes {
		node.Kill()
	}
	time.Sleep(downTime)
	for _, node := range s.Nodes {
		s.must(node.Start())
	}
}

// TestAcknowledgedLeavingSurvivesAllProcesses guards against DRAIN: nodes sent requests to a broker whose deregistration was
// acknowledged, as all processes were killed right after and their disks showed it as ready (docs/incidents/leaving.md).
func TestAcknowledgedLeavingSurvivesAllProcesses(t *testing.T) {
	for name, leave := range map[string]func(*Fleet, context.Context, *llmbroker.Broker) (time.Time, error){
		"deregistered": (*Fleet).Deregister,
		"draining":     (*Fleet).Drain,
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, nil)
			time.Sleep(2 * time.Second) // the disks have their copies of the brokers
			leaving := s.Serving(servicePlain)[0]
			ackedAt, err := leave(s.Fleet, s.ctx, leaving)
			s.must(err)
			time.Sleep(time.Until(ackedAt.Add(killAfterAck)))
			s.killAll()
			s.must(s.AwaitAgreement(s.ctx))
			time.Sleep(time.Until(ackedAt.Add(servesAfterAck)))
			s.must(s.load.AwaitAnswers(s.ctx, 10))
			s.must(leaving.End(s.ctx, 0))
			s.finish()
		})
	}
}
