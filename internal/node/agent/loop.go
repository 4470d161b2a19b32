package agent

import (
	"context"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// post hands a step to the control loop; it waits while the loop is far behind.
func (a *Agent) post(step func(now core.Time)) { a.inbox <- step }

// loop runs the state machines until ctx ends.
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

// runQueued takes what has come in the meantime, so that one round of ticks serves many messages.
func (a *Agent) runQueued() {
	for range batchLength {
		select {
		case step := <-a.inbox:
			step(a.now())
		default:
			return
		}
	}
}

// machine is what the loop needs of each state machine.
type machine interface {
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

func (a *Agent) machines() []machine { return []machine{a.prompts.home, a.hints} }

func (a *Agent) deadline() core.Time {
	next := min(a.control.Deadline(), a.brokersCopy.due)
	for _, m := range a.machines() {
		next = min(next, m.Deadline())
	}
	return next
}

// tick does what is due and tells the data plane what has changed.
func (a *Agent) tick(now core.Time) {
	for _, m := range a.machines() {
		if m.Deadline() <= now {
			a.route(now, m.Tick(now))
		}
	}
	a.carryOut(now, a.control.Tick(now))
	a.publishConfirmation(now)
	a.refreshIndex(now)
	a.doubtStores(now)
	a.saveBrokers(now)
	a.noteStartup(now)
}

// receive brings a message of another node to the part of this one that it is for.
func (a *Agent) receive(from core.Peer, message *nodepb.Envelope) {
	a.post(func(now core.Time) { a.carryOut(now, a.control.Receive(now, from, message)) })
}

// receiveOwn takes a message that is not for the control side.
func (a *Agent) receiveOwn(now core.Time, from core.Peer, message *nodepb.Envelope) {
	switch message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate:
		a.route(now, a.prompts.subscriber.HandleUpdate(now, from, message.GetIndexUpdate()))
	case *nodepb.Envelope_LoadHints:
		a.route(now, a.hints.Receive(now, from, message.GetLoadHints()))
	case *nodepb.Envelope_IndexPoll:
		a.route(now, a.prompts.home.HandlePoll(now, from, message.GetIndexPoll()))
	}
}

// route does what the index or the hints ask for; their messages go the ways that the control side knows.
func (a *Agent) route(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		if send, ok := output.(core.Send); ok {
			a.carryOut(now, a.control.Route(now, send))
			continue
		}
		a.carryOutOne(now, output)
	}
}

// carryOut does what the control side asks for.
func (a *Agent) carryOut(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		a.carryOutOne(now, output)
	}
}

func (a *Agent) carryOutOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		a.network.Send(output.Destination, output.Message)
	case core.Write:
		a.writer.Submit(output)
	case core.Reply:
		a.requests.answerCommand(output)
	case core.RegistryReply:
		a.requests.answerRegistry(output)
	case core.MessageReassembled:
		a.receiveOwn(now, output.From, output.Message)
	case core.StateChanged:
		a.stateChanged(now)
	case core.TableChanged:
		a.publishTable(now)
	case core.MembersChanged:
		a.membersChanged(now, output.Members)
	case core.CoreMemberLost:
		a.router.CoreDisturbed(now, output.LostBy)
	case core.LoadHintsReceived:
		a.learnHints(now, output.Hints)
	case core.Log:
		a.log.Info(output.Message, output.Fields...)
	default:
		if !a.carryOutIndex(now, output) {
			a.carryOutDuty(output)
		}
	}
}

// membersChanged tells the data plane and the index who is there.
func (a *Agent) membersChanged(now core.Time, members []*nodepb.Member) {
	a.prompts.stale = true
	a.hints.SetMembers(now, members)
	proxies := 0
	for _, member := range members {
		if member.ServesFront {
			proxies++
		}
	}
	a.proxies.Store(int64(max(proxies, 1)))
	a.router.SetPeers(now, max(proxies, 1))
}

// publishConfirmation publishes how fresh the state is.
func (a *Agent) publishConfirmation(now core.Time) {
	at, ok := a.control.Confirmed()
	if !ok {
		return
	}
	if a.confirmed.Swap(int64(at)) == 0 {
		state := a.control.State()
		a.log.Info("control state confirmed", "index", state.Index(), "version", state.Version(), "after", now)
	}
	a.noteLease(now)
}

// noteLease logs when keys can't be trusted any more, and when they can again.
func (a *Agent) noteLease(now core.Time) {
	holds := a.leaseHolds(now)
	if holds == a.seen.leaseLost {
		a.seen.leaseLost = !holds
		a.log.Info("lease of the configuration", "holds", holds, "confirmed", now-core.Time(a.confirmed.Load()))
	}
}
