package faultrun

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calmSimulation is a fleet of three core machines without faults, some seconds after its start.
func calmSimulation(t *testing.T) *simulation {
	t.Helper()
	plan := PlanOf(4)
	plan.CoreSize, plan.ProxyCount, plan.Tolerance, plan.Faults = 3, 2, 1, nil
	sim := newSimulation(plan, false)
	sim.runUntil(10*time.Second, sim.holds)
	assert.Assert(t, sim.holds(), sim.violation)
	return sim
}

// refuse has a machine answer 503 to an order each half second, as if it were stuck, for longer than ackTimeout.
func (sim *simulation) refuse(m *machine) {
	for range 2*int(ackTimeout/time.Second) + 2 {
		sim.checks.acceptedAt = 0
		sim.checks.notAcknowledged(m, &operatorOrder{id: "o"}, sim.now)
		sim.runUntil(sim.now+500*time.Millisecond, sim.holds)
	}
}

// TestStuckMajorityIsAViolation: of three machines two are enough, and also all three.
func TestStuckMajorityIsAViolation(t *testing.T) {
	for _, killed := range []int{0, 1} {
		sim := calmSimulation(t)
		for _, m := range sim.coreMachines()[:killed] {
			m.kill(false)
		}
		m := sim.coreMachines()[2]
		sim.refuse(m)
		assert.Assert(t, strings.Contains(sim.violation, "connected majority"), "%d killed: %s", killed, sim.violation)
	}
}

// TestNoMajorityNeedNotAcknowledge: a machine alone, one that is partitioned, one with a hanging disk, and one among noise.
func TestNoMajorityNeedNotAcknowledge(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation, m *machine){
		"alone": func(sim *simulation, _ *machine) {
			for _, other := range sim.coreMachines()[:2] {
				other.kill(false)
			}
		},
		"partitioned": func(sim *simulation, m *machine) {
			sim.network.partition([]*machine{m}, sim.coreMachines(), true, time.Minute)
		},
		"hanging disk": func(_ *simulation, m *machine) { m.diskHangsUntil = time.Minute },
		"noise":        func(sim *simulation, _ *machine) { sim.network.lossRate = 0.1 },
	} {
		sim := calmSimulation(t)
		m := sim.coreMachines()[2]
		disturb(sim, m)
		sim.refuse(m)
		assert.Assert(t, !strings.Contains(sim.violation, "connected majority"), "%s: %s", name, sim.violation)
	}
}

// TestRestartedMachineIsGivenTime: what it answered before a restart does not count.
func TestRestartedMachineIsGivenTime(t *testing.T) {
	sim := calmSimulation(t)
	m := sim.coreMachines()[2]
	sim.checks.acceptedAt = 0
	sim.checks.notAcknowledged(m, &operatorOrder{id: "o"}, sim.now)
	m.kill(false)
	sim.runUntil(sim.now+ackTimeout, sim.holds)
	m.start()
	sim.runUntil(sim.now+time.Second, sim.holds)
	sim.checks.acceptedAt = 0
	sim.checks.notAcknowledged(m, &operatorOrder{id: "o"}, sim.now)
	assert.Assert(t, sim.holds(), sim.violation)
}
