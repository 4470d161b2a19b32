package agent

import (
	"context"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// post hands a step to the control loop. It blocks while the loop's inbox is full.
func (a *Agent) post(step func(now core.Time)) { a.inbox <- step }

// loop runs the state machines until ctx ends. After each batch of steps, or at the deadline of a state
// machine, it ticks all of them.
func (a *Agent) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-a.inbox:
			step(a.now())
			a.runQueued()
		case <-timer.C:
		}
		a.tick(a.now())
		timer.Reset(max(a.deadline()-a.now(), 0))
	}
}

// runQueued executes steps that have arrived in the meantime, so that one tick serves many messages.
func (a *Agent) runQueued() {
	for range maxStepsPerTick {
		select {
		case step := <-a.inbox:
			step(a.now())
		default:
			return
		}
	}
}

// stateMachine is a state machine as the loop sees it.
type stateMachine interface {
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

// stateMachines lists those that don't belong to the control side.
func (a *Agent) stateMachines() []stateMachine { return []stateMachine{a.prompts.home, a.hints} }

// deadline returns when the next tick is due.
func (a *Agent) deadline() core.Time {
	next := min(a.control.Deadline(), a.savedBrokers.saveDeadline)
	for _, m := range a.stateMachines() {
		next = min(next, m.Deadline())
	}
	return next
}

// tick ticks the state machines that are due and publishes what has changed to the data plane.
func (a *Agent) tick(now core.Time) {
	for _, m := range a.stateMachines() {
		if m.Deadline() <= now {
			a.executeViaControl(now, m.Tick(now))
		}
	}
	a.execute(now, a.control.Tick(now))
	a.publishConfirmation(now)
	a.refreshIndex(now)
	a.expireStores(now)
	a.saveBrokers(now)
	a.updateStartup(now)
}

// receive hands a message from another node to the control loop. The network calls it.
func (a *Agent) receive(from core.Peer, message *nodepb.Envelope) {
	a.post(func(now core.Time) { a.execute(now, a.control.Receive(now, from, message)) })
}

// receiveNonControl handles a message that is not for the control side.
func (a *Agent) receiveNonControl(now core.Time, from core.Peer, message *nodepb.Envelope) {
	switch message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate:
		a.executeViaControl(now, a.prompts.subscriber.HandleUpdate(now, from, message.GetIndexUpdate()))
	case *nodepb.Envelope_LoadHints:
		a.executeViaControl(now, a.hints.Receive(now, from, message.GetLoadHints()))
	case *nodepb.Envelope_IndexPoll:
		a.executeViaControl(now, a.prompts.home.HandlePoll(now, from, message.GetIndexPoll()))
	}
}

// executeViaControl executes outputs of the index and the hints. Their messages take the routes that
// the control side knows.
func (a *Agent) executeViaControl(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		if send, ok := output.(core.Send); ok {
			a.execute(now, a.control.Send(now, send))
			continue
		}
		a.executeOne(now, output)
	}
}

// execute executes outputs of the control side, in their order.
func (a *Agent) execute(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		a.executeOne(now, output)
	}
}

func (a *Agent) executeOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		a.network.Send(output.Destination, output.Message)
	case core.Write:
		a.writer.Submit(output)
	case core.Reply:
		a.requests.answerCommand(output)
	case core.RegistryReply:
		a.requests.answerRegistry(output)
	case core.SaveLeaving:
		a.savedBrokers.leavingWrites <- output // has room: the control side has one write under way at most
	case core.MessageReassembled:
		a.receiveNonControl(now, output.From, output.Message)
	case core.StateChanged:
		a.publishState(now)
	case core.TableChanged:
		a.publishTable(now)
	case core.MembersChanged:
		a.publishMembers(now, output.Members)
	case core.QuorumMemberLost:
		a.router.RecordCoreInstability(now, output.LostBy)
	case core.LoadHintsReceived:
		a.applyHints(now, output.Hints)
	case core.Log:
		a.log.Info(output.Message, output.Fields...)
	default:
		if !a.executeForIndex(now, output) {
			a.executeOrder(output)
		}
	}
}

// publishMembers publishes the membership to the data plane, the index and the load hints.
func (a *Agent) publishMembers(now core.Time, members []*nodepb.Member) {
	a.prompts.sourcesStale = true
	a.hints.SetMembers(now, members)
	proxies := 0
	for _, member := range members {
		if member.ServesFront {
			proxies++
		}
	}
	a.proxyCount.Store(int64(max(proxies, 1)))
	a.router.SetProxyCount(now, max(proxies, 1))
}

// publishConfirmation publishes how fresh the control state is.
func (a *Agent) publishConfirmation(now core.Time) {
	if unable := a.control.CoreUnableToConfirm(now); a.coreUnable.Swap(unable) != unable {
		a.log.Warn("agent: core can't confirm the control state", "holds", unable)
	}
	confirmedAt, ok := a.control.ConfirmedAt()
	if !ok {
		return
	}
	if a.confirmedAt.Swap(int64(confirmedAt)) == 0 {
		state := a.control.State()
		a.log.Info("agent: control state confirmed", "index", state.Index(), "version", state.Version(), "after", now)
	}
	a.logLeaseChange(now)
}

// logLeaseChange logs when the configuration lease expires, and when it is valid again.
func (a *Agent) logLeaseChange(now core.Time) {
	valid := a.configurationLeaseValid(now)
	if valid == a.progress.leaseExpired {
		a.progress.leaseExpired = !valid
		a.log.Info("agent: configuration lease changed", "holds", valid, "confirmed", now-core.Time(a.confirmedAt.Load()))
	}
}
