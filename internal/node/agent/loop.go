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
		now := a.now()
		a.tick(now)
		a.exchange(now)
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

func (a *Agent) machines() []machine {
	list := []machine{a.membership, a.distribution, a.registry, a.submit, a.prompts.home, a.hints}
	if a.store != nil {
		list = append(list, a.store)
	}
	return list
}

func (a *Agent) deadline() core.Time {
	next := min(a.rolloutDeadline(), a.brokersCopy.due)
	for _, m := range a.machines() {
		next = min(next, m.Deadline())
	}
	return next
}

func (a *Agent) tick(now core.Time) {
	for _, m := range a.machines() {
		if m.Deadline() <= now {
			a.carryOut(now, m.Tick(now))
		}
	}
	changed := a.seen.brokersChanged
	a.seen.brokersChanged = false
	a.stepRollout(now, changed)
}

// receive brings a message of another node to the plane that it is for.
func (a *Agent) receive(from core.Peer, message *nodepb.Envelope) {
	a.post(func(now core.Time) { a.carryOut(now, a.dispatch(now, from, message)) })
}

func (a *Agent) dispatch(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	switch message.Body.(type) {
	case *nodepb.Envelope_Probe, *nodepb.Envelope_ProbeAck, *nodepb.Envelope_ProbeRequest, *nodepb.Envelope_MemberSync:
		return a.membership.Receive(now, from, message)
	case *nodepb.Envelope_StatePoll, *nodepb.Envelope_StatePollReply, *nodepb.Envelope_StatePush:
		return a.distribution.Receive(now, from, message)
	case *nodepb.Envelope_HeartbeatForward, *nodepb.Envelope_HeartbeatForwardReply, *nodepb.Envelope_InstanceUpdate,
		*nodepb.Envelope_InstanceUpdateAck, *nodepb.Envelope_RegistryPoll, *nodepb.Envelope_RegistrySnapshot:
		return a.registry.Receive(now, from, message)
	case *nodepb.Envelope_SubmitReply:
		return a.submit.Receive(now, from, message)
	case *nodepb.Envelope_IndexUpdate:
		return a.prompts.subscriber.HandleUpdate(now, from, message.GetIndexUpdate())
	case *nodepb.Envelope_LoadHints:
		return a.hints.Receive(now, from, message.GetLoadHints())
	case *nodepb.Envelope_IndexPoll:
		return a.prompts.home.HandlePoll(now, from, message.GetIndexPoll())
	default:
		if a.store == nil {
			return nil
		}
		return a.store.Receive(now, from, message)
	}
}

// carryOut does what a state machine asks for. Outputs of one machine may be inputs of another.
func (a *Agent) carryOut(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		a.carryOutOne(now, output)
	}
}

func (a *Agent) carryOutOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		a.network.Send(output.To, output.Message)
	case core.Write:
		a.writer.Submit(output)
	case core.Reply:
		a.replied(now, output)
	case core.Committed:
		a.carryOut(now, a.distribution.Committed(now, output.Entry))
	case core.Installed:
		a.carryOut(now, a.distribution.Installed(now, output.Snapshot))
	case core.StateChanged:
		a.stateChanged(now)
	case core.ConfirmationWanted:
		if a.store != nil {
			a.carryOut(now, a.store.WantConfirmation(now))
		}
	case core.RegistryAnswer:
		a.requests.answerRegistry(output)
	case core.LoadHinted:
		a.learnHints(now, output.Hints)
	case core.TableChanged:
		a.publishTable(now)
	case core.Log:
		a.log.Info(output.Message, output.Fields...)
	default:
		if !a.carryOutIndex(now, output) {
			a.carryOutDuty(now, output)
		}
	}
}

// exchange passes on between the planes what has changed since it was last looked at.
func (a *Agent) exchange(now core.Time) {
	if revision := a.membership.Revision(); revision != a.seen.members {
		a.seen.members = revision
		a.membersChanged(now)
	}
	a.exchangeView(now)
	a.exchangeConfirmation(now)
	a.refreshIndex(now)
	a.doubtStores(now)
	a.saveBrokers(now)
	a.noteStartup(now)
}

func (a *Agent) membersChanged(now core.Time) {
	members := a.membership.Members()
	a.prompts.stale = true
	a.carryOut(now, a.registry.SetMembers(now, members))
	a.carryOut(now, a.distribution.SetMembers(now, members))
	a.hints.SetMembers(now, members)
	var counting []*nodepb.Member
	proxies := 0
	for _, member := range members {
		if member.CountsForQuorum {
			counting = append(counting, member)
		}
		if member.ServesFront {
			proxies++
		}
	}
	a.carryOut(now, a.submit.SetCore(now, counting))
	if a.store != nil {
		a.carryOut(now, a.store.SetPeers(now, counting))
	}
	a.proxies.Store(int64(max(proxies, 1)))
	a.router.SetPeers(now, max(proxies, 1))
}

// detectionTime is how long before a node hears of a view without a lost machine that machine was lost, at the least.
const detectionTime = time.Second

// exchangeView tells who acts on the view of the newest one known here.
func (a *Agent) exchangeView(now core.Time) {
	view := a.distribution.View()
	if a.store != nil {
		if own := a.store.Status().View; own != nil && own.Epoch > view.GetEpoch() {
			view = own
		}
	}
	if view.GetEpoch() <= a.seen.view {
		return
	}
	if a.seen.view > 0 && view.LostMachine {
		a.router.CoreDisturbed(now, now-detectionTime)
	}
	a.seen.view = view.GetEpoch()
	a.log.Info("view", "epoch", view.Epoch, "chain", view.Chain, "voters", len(view.Voters))
	a.carryOut(now, a.distribution.SetView(now, view))
	a.carryOut(now, a.submit.SetView(now, view))
}

// exchangeConfirmation publishes how fresh the state is.
func (a *Agent) exchangeConfirmation(now core.Time) {
	if a.store != nil && a.distribution.Tail() {
		if status := a.store.Status(); status.ConfirmedOnce {
			a.distribution.LocalConfirmed(now, status.ConfirmedAt)
		}
	}
	at, ok := a.distribution.ConfirmedAt()
	if !ok {
		return
	}
	if a.confirmed.Swap(int64(max(at, 1))) == 0 {
		a.log.Info("control state confirmed", "index", a.state.Index(), "version", a.state.Version(), "after", now)
	}
	a.noteLease(now)
}

// noteLease logs when keys can't be trusted any more, and when they can again.
func (a *Agent) noteLease(now core.Time) {
	holds := !a.settings.Bounds.GlobalRevocation || a.leaseHolds(now)
	if holds == a.seen.leaseLost {
		a.seen.leaseLost = !holds
		a.log.Info("lease of the configuration", "holds", holds, "confirmed", now-core.Time(a.confirmed.Load()))
	}
}
