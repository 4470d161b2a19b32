package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The size of the random scenarios.
const (
	seeds             = 4
	shortSeeds        = 1
	faultsPerScenario = 6 // of one scenario
)

// TestRandomFaultSequences injects faults and changes drawn from a seed, one at a time.
func TestRandomFaultSequences(t *testing.T) {
	count := seeds
	if testing.Short() {
		count = shortSeeds
	}
	for seed := range count {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandom(t, uint64(seed)) })
	}
}

// randomFault is a fault or change that can be drawn.
type randomFault struct {
	name string
	play func(*scenario, *rand.Rand)
}

var randomFaults = []randomFault{
	{"kill a node", func(s *scenario, random *rand.Rand) {
		node := s.anyNode(random)
		node.Kill()
		s.must(node.Start())
	}},
	{"kill a node, and start it when others have missed it", func(s *scenario, random *rand.Rand) {
		node := s.anyNode(random)
		node.Kill()
		s.change()
		s.must(node.Start())
	}},
	{"freeze a node", func(s *scenario, random *rand.Rand) {
		node := s.anyNode(random)
		s.must(node.Freeze())
		span := time.NewTimer(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		s.change()
		<-span.C
		s.must(node.Thaw())
	}},
	{"stop a node", func(s *scenario, random *rand.Rand) {
		node := s.anyNode(random)
		if node.Terminate() {
			s.t.Errorf("%s needed SIGKILL", node.Name)
		}
		s.must(node.Start())
	}},
	{"lose a disk", func(s *scenario, random *rand.Rand) {
		node := s.Core()[random.IntN(diskCount)]
		s.change()
		s.loseDisk(node)
		s.must(node.Start())
	}},
	{"kill the core", func(s *scenario, _ *rand.Rand) {
		s.change()
		for _, node := range s.Core() {
			node.Kill()
		}
		for _, node := range s.Core() {
			s.must(node.Start())
		}
	}},
	{"replace a broker", func(s *scenario, random *rand.Rand) {
		service := [...]string{serviceModel, servicePlain}[random.IntN(2)]
		broker := s.Serving(service)[0]
		_, err := s.StartBroker(service, broker.Zone())
		s.must(err)
		_, err = s.Drain(s.ctx, broker)
		s.must(err)
		s.must(broker.Leave(s.ctx))
	}},
	{"name weights", func(s *scenario, _ *rand.Rand) {
		version := s.Weights.Newest(modelName) + 1
		_, err := s.Operator.PutVersion(s.ctx, modelName, version)
		s.must(err)
	}},
	{"change the configuration", func(s *scenario, _ *rand.Rand) {
		s.change()
		s.change()
	}},
}

func (s *scenario) anyNode(random *rand.Rand) *Node { return s.Nodes[random.IntN(nodeCount)] }

// playRandom runs the scenario of one seed.
func playRandom(t *testing.T, seed uint64) {
	s := newScenario(t, nil)
	random := rand.New(rand.NewPCG(seed, 1))
	for range faultsPerScenario {
		drawn := randomFaults[random.IntN(len(randomFaults))]
		begun := time.Now()
		drawn.play(s, random)
		s.must(s.AwaitAgreement(s.ctx))
		s.must(s.load.AwaitAnswers(s.ctx, 2))
		t.Logf("%s: done after %v", drawn.name, time.Since(begun).Round(time.Millisecond))
	}
	s.must(s.AwaitWeights(s.ctx, s.Weights.Newest(modelName)))
	s.finish()
}
