package processfaults

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/standin/llmbroker"
)

const (
	// servesAfterAck is how long a broker serves on after its draining or deregistration was acknowledged. The first bound on contact
	// after a kill of all processes counts double (RULES.md, "Stable"), and the bound on draining is long over by then.
	servesAfterAck = 10 * time.Second
	// maxKillDelayMs bounds the time from the acknowledgement to the kill.
	maxKillDelayMs = 100
	// minDownTime and maxDownTime bound how long all processes are gone.
	minDownTime = 200 * time.Millisecond
	maxDownTime = 1400 * time.Millisecond
)

// drainAndKillAll ends all processes just after a broker's draining was acknowledged.
func (r *run) drainAndKillAll(fault Fault) func() {
	return r.leaveAndKillAll(fault, (*fleet.Fleet).Drain)
}

// deregisterAndKillAll ends all processes just after the deregistration of a broker was acknowledged that never drained.
func (r *run) deregisterAndKillAll(fault Fault) func() {
	return r.leaveAndKillAll(fault, (*fleet.Fleet).Deregister)
}

// leave has a broker announce that it drains or is gone, and returns the time of the acknowledgement.
type leave func(f *fleet.Fleet, ctx context.Context, broker *llmbroker.Broker) (time.Time, error)

// leaveAndKillAll has a broker leave in a way, ends all processes as soon as that is acknowledged, and starts them again. The broker
// serves on for servesAfterAck.
func (r *run) leaveAndKillAll(fault Fault, leave leave) func() {
	leaving := r.replaceLeaving(fault)
	if leaving == nil {
		return nil
	}
	r.actions.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		defer cancel()
		ackedAt, err := leave(r.fleet, ctx, leaving)
		r.background.Go(func() { r.endLeaving(leaving) })
		if err != nil {
			r.logf("%s: leaving not acknowledged: %v", leaving.ID(), err)
			return
		}
		delay := time.Duration(fault.Peer%maxKillDelayMs) * time.Millisecond
		if r.sleep(time.Until(ackedAt.Add(delay))) != nil {
			return
		}
		r.logf("%s: leaving acknowledged, all processes are killed %v later", leaving.ID(), time.Since(ackedAt).Round(time.Millisecond))
		r.killAll(downTime(fault))
	})
	return nil
}

// replaceLeaving starts a broker of the plain service, and returns another one that is to leave; nil: there are too few.
func (r *run) replaceLeaving(fault Fault) *llmbroker.Broker {
	serving := r.fleet.Serving(fleet.PlainService)
	if len(serving) < minServingBrokers {
		return nil
	}
	leaving := serving[fault.Node%len(serving)]
	if _, err := r.fleet.StartBroker(fleet.PlainService, leaving.Zone()); err != nil {
		r.fail("start a broker: %v", err)
		return nil
	}
	return leaving
}

// endLeaving ends a broker that has left, once it has served on.
func (r *run) endLeaving(leaving *llmbroker.Broker) {
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	_ = leaving.End(ctx, servesAfterAck)
}

// killAll ends all processes at one moment, and starts them again after a while. Nodes that other faults have reserved are killed as
// well, and started by these.
func (r *run) killAll(downTime time.Duration) {
	var claimed []*fleet.Node
	var killing sync.WaitGroup
	for _, node := range r.fleet.Nodes {
		if r.claims.claim(node) {
			claimed = append(claimed, node)
		}
		if node.Running() {
			killing.Go(node.Kill)
		}
	}
	killing.Wait()
	_ = r.sleep(downTime) // an end of the run starts them too: its last checks need them
	for _, node := range claimed {
		r.restart(node)
	}
}
