package faultrun

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kestrelspread/internal/harness/confighistory"
)

// Result is the result of a run.
type Result struct {
	Plan             *Plan
	Violation        string // the first violation; empty: none
	Trace            []string
	AckedChanges     int
	Reads            int
	RelayedMessages  int           // between nodes, by way of a third
	MaxOrderWait     time.Duration // for an answer to an order, faults included
	HistoryUnchecked bool          // the check of the history took too long
}

// Play runs a plan. traceEnabled keeps a log of the run in the result.
func Play(plan *Plan, traceEnabled bool) *Result {
	sim := newSimulation(plan, traceEnabled)
	sim.play()
	return sim.result()
}

// play injects the faults of the plan, and lets the fleet recover after them.
func (sim *simulation) play() {
	for _, fault := range sim.plan.Faults {
		sim.schedule(fault.InjectAt, func() { sim.inject(fault) })
	}
	sim.runUntil(sim.plan.FaultPhase+maxFaultDuration, sim.holds)
	sim.recover()
}

// recover ends all faults, and checks that the core is complete and acknowledges changes again in time.
func (sim *simulation) recover() {
	if !sim.holds() {
		return
	}
	sim.endFaults()
	startedAt := sim.now
	acked := sim.checks.newestAcked()
	if sim.toleranceExceeded {
		sim.runUntil(startedAt+recoveryPhase, sim.holds)
		return
	}
	sim.runUntil(startedAt+recoveryPhase/2, sim.holds)
	if sim.holds() && !sim.isComplete() {
		sim.fail("the core is not complete %v after the last fault: %v", recoveryPhase/2, sim.describeCore())
	}
	sim.runUntil(startedAt+recoveryPhase, sim.holds)
	if sim.holds() && sim.checks.newestAcked() == acked {
		sim.fail("nothing was acknowledged in %v after the last fault", recoveryPhase)
	}
	sim.checkFinalRead()
}

// endFaults repairs the network and the disks, and starts each process that does not run.
func (sim *simulation) endFaults() {
	sim.checks.answerLossRate, sim.checks.onAck = 0, nil
	sim.endNetworkNoise()
	sim.network.endPartitions()
	for _, m := range sim.machines {
		if m.disk != nil && !m.removed {
			m.disk.SetFull(false)
			m.disk.SetFailing(false)
			m.syncDuration, m.diskHangsUntil = m.soundSyncDuration(), min(m.diskHangsUntil, sim.now)
		}
		m.start()
	}
}

// checkFinalRead stops the operators and checks that the newest version can be read, at any machine.
func (sim *simulation) checkFinalRead() {
	for _, o := range sim.operators {
		o.stopped = true
	}
	sim.runUntil(sim.now+2*time.Second, sim.holds)
	minVersion := sim.checks.newestAcked()
	reader := &operator{sim: sim, number: 9, stopped: true}
	for range sim.machines {
		reader.read()
		sim.runUntil(sim.now+1500*time.Millisecond, sim.holds)
	}
	if sim.holds() && reader.knownVersion < minVersion {
		sim.fail("the newest version %d is not read at the end, only %d", minVersion, reader.knownVersion)
	}
}

// describeCore is the state of each core machine, for the trace.
func (sim *simulation) describeCore() string {
	var lines []string
	for _, m := range sim.machines {
		if !m.isCore || m.removed {
			continue
		}
		line := fmt.Sprintf("%s running %v", m.name, m.running)
		if m.running {
			status, ok := m.node.StoreStatus()
			line += fmt.Sprintf(" store %v epoch %d %v committed %d healthy %v wedged %v chain %d voters %d", ok, status.Epoch, status.Role,
				status.Committed, status.DiskHealthy, status.Wedged, len(status.View.GetChain()), len(status.View.GetVoters()))
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "; ")
}

// result checks the history and sums up the run.
func (sim *simulation) result() *Result {
	r := &Result{Plan: sim.plan, Trace: sim.trace, RelayedMessages: sim.network.relayedMessages, MaxOrderWait: sim.checks.maxOrderWait}
	for _, o := range sim.operators {
		r.AckedChanges += o.ackedCount
		r.Reads += o.readCount
	}
	if sim.holds() {
		switch sim.history.check() {
		case confighistory.NotLinearizable:
			sim.fail("the history of changes and reads is not linearizable")
		case confighistory.Undecided:
			r.HistoryUnchecked = true
		}
	}
	r.Violation = sim.violation
	return r
}

// Shrink reduces a plan with a violation to faults without which there is none, by delta debugging: it drops ever smaller ranges of faults.
// maxPlays bounds the runs that it takes.
func Shrink(plan *Plan, maxPlays int) *Plan {
	for count := max(1, len(plan.Faults)/2); count >= 1; count /= 2 {
		for start := 0; start+count <= len(plan.Faults) && maxPlays > 0; {
			smaller := *plan
			smaller.Faults = slices.Delete(slices.Clone(plan.Faults), start, start+count)
			maxPlays--
			if Play(&smaller, false).Violation == "" {
				start += count
				continue
			}
			plan = &smaller
		}
	}
	return plan
}
