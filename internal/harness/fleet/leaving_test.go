package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// awaitCopies waits until the disk of each core node has a copy of the brokers with that one, which shows it as ready.
func (s *scenario) awaitCopies(instance string) {
	s.t.Helper()
	s.must(s.Await(s.ctx, "copies of the brokers on the disks", func(context.Context) error {
		for _, node := range s.Core() {
			copied, err := filepath.Glob(filepath.Join(node.DataDir(), "brokers-*"))
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(copied, func(path string) bool {
				content, err := os.ReadFile(path)
				return err == nil && bytes.Contains(content, []byte(instance))
			}) {
				return fmt.Errorf("%s has no copy", node.Name)
			}
		}
		return nil
	}))
}

// The course of TestLeavingAtStartedNodeIsKnownEverywhere.
const (
	proxyDownTime = 100 * time.Millisecond // of the node at which the broker leaves
	seedsDownTime = time.Second            // of those that its seeds name
)

// TestLeavingAtStartedNodeIsKnownEverywhere guards against DRAIN: a node that had just been started took itself for the only one while
// its seeds were down, and acknowledged a broker's leaving that nobody else heard of (docs/incidents/alone.md).
func TestLeavingAtStartedNodeIsKnownEverywhere(t *testing.T) {
	for name, leave := range map[string]func(*Fleet, context.Context, *llmbroker.Broker, *Node) (time.Time, error){
		"deregistered": (*Fleet).DeregisterAt,
		"draining":     (*Fleet).DrainAt,
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenarioOf(t, Options{Nodes: 11}, nil)
			proxy, seeds := s.Nodes[nodeCount], s.Nodes[nodeCount+1:nodeCount+4]
			proxy.SetSeeds(seeds...)
			leaving := s.Serving(servicePlain)[0]
			for _, node := range append(slices.Clone(seeds), proxy) {
				node.Kill()
			}
			time.Sleep(proxyDownTime)
			s.must(proxy.Start())
			ackedAt, err := leave(s.Fleet, s.ctx, leaving, proxy)
			s.must(err)
			time.Sleep(seedsDownTime)
			for _, node := range seeds {
				s.must(node.Start())
			}
			time.Sleep(time.Until(ackedAt.Add(servesAfterAck)))
			s.must(s.AwaitAgreement(s.ctx))
			s.must(leaving.End(s.ctx, 0))
			s.finish()
		})
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
			leaving := s.Serving(servicePlain)[0]
			s.awaitCopies(leaving.ID())
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
