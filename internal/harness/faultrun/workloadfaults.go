package faultrun

import (
	"net/http"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// drainBrokerVia drains or deregisters a random broker, which notifies this machine first. The last ready one stays.
func (sim *simulation) drainBrokerVia(m *machine, deregisters bool) {
	ready := slices.DeleteFunc(slices.Clone(sim.brokers), func(b *broker) bool { return b.draining || b.terminated })
	if len(ready) > 1 {
		ready[sim.random.IntN(len(ready))].drain(m, deregisters)
	}
}

// drainBroker drains a broker, which notifies a core machine or any machine first.
func (sim *simulation) drainBroker(fault Fault) {
	deregisters := fault.TargetB%2 == 0
	if fault.Variant%2 == 0 {
		sim.drainBrokerVia(sim.coreMachine(fault.TargetA), deregisters)
		return
	}
	sim.drainBrokerVia(sim.machines[fault.TargetA%len(sim.machines)], deregisters)
}

// updateWeights submits a version of the model weights after a delay, and retries until it is acknowledged.
func (sim *simulation) updateWeights(version uint64, delay time.Duration) {
	sim.after(delay, func() {
		m := sim.pickMachine()
		finished := false
		retry := func() {
			if !finished && sim.checks.ackedWeights < version {
				finished = true
				sim.updateWeights(version, retryBackoff)
			}
		}
		sim.after(callTimeout, retry)
		command := &nodepb.Command{Id: "weights", Change: &nodepb.Command_ModelVersion{
			ModelVersion: &nodepb.ModelVersionChange{Model: modelName, Version: version},
		}}
		sim.callMachine(m, retry, func(request uint64) func(core.Time) {
			m.pendingReplies[request] = func(reply core.Reply) {
				sim.deliverAnswer(func() {
					if statusOf(reply.Result) != http.StatusOK {
						retry()
						return
					}
					finished = true
					sim.checks.ackedWeights = max(sim.checks.ackedWeights, version)
				})
			}
			return func(now core.Time) { m.execute(m.node.Submit(now, request, command)) }
		})
	})
}

// burstOperators shortens the interval between the calls of the operators for a while.
func (sim *simulation) burstOperators(duration time.Duration) {
	for _, o := range sim.operators {
		interval := o.interval
		o.interval = 2 * time.Millisecond
		sim.after(duration, func() { o.interval = interval })
	}
}
