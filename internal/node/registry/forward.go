package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// forwarded is a broker's call that was passed on to its home.
type forwarded struct {
	number   uint64
	from     asker
	instance *nodepb.Instance
	home     *peer
	retryAt  core.Time
	giveUpAt core.Time
}

func (f *forwarded) deadline() core.Time { return min(f.retryAt, f.giveUpAt) }

func (r *Registry) forward(now core.Time, from asker, instance *nodepb.Instance, home *peer) {
	pending := &forwarded{
		number: r.nextNonce(), from: from, instance: instance, home: home,
		giveUpAt: now + forwardLimit,
	}
	r.forwards = append(r.forwards, pending)
	r.sendForward(now, pending)
}

func (r *Registry) sendForward(now core.Time, pending *forwarded) {
	pending.retryAt = now + forwardRetry
	message := &nodepb.HeartbeatForward{
		Request: pending.number, Instance: pending.instance,
		Deregister: pending.instance.State == nodepb.InstanceState_GONE,
	}
	r.send(pending.home.address, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForward{HeartbeatForward: message}})
}

// tickForwards sends unanswered calls again, and takes those here whose home does not answer.
func (r *Registry) tickForwards(now core.Time) {
	var expired []*forwarded
	for _, pending := range r.forwards {
		switch {
		case pending.giveUpAt <= now:
			expired = append(expired, pending)
		case pending.retryAt <= now:
			r.sendForward(now, pending)
		}
	}
	for _, pending := range expired {
		r.takeForwarded(now, pending)
	}
}

// takeForwarded takes a call in place of its home.
func (r *Registry) takeForwarded(now core.Time, pending *forwarded) {
	r.dropForward(pending)
	r.markUnresponsive(now, pending.home.id)
	r.take(now, pending.from, pending.instance, pending.from.arrived+answerLimit)
}

func (r *Registry) markUnresponsive(now core.Time, id string) {
	if known := r.peers[id]; known != nil {
		known.unresponsiveUntil = now + unresponsiveFor
	}
}

func (r *Registry) dropForward(pending *forwarded) {
	r.forwards = slices.DeleteFunc(r.forwards, func(other *forwarded) bool { return other == pending })
}

// receiveForward takes a call that came to another node. It is taken here even if this node takes another for the home, so
// that no call goes round in circles.
func (r *Registry) receiveForward(now core.Time, from core.Peer, message *nodepb.HeartbeatForward) {
	if message.Instance.GetId() == "" {
		return
	}
	instance := heartbeatOf(message.Instance)
	if message.Deregister {
		instance.State = nodepb.InstanceState_GONE
	}
	caller := asker{request: message.Request, node: from.Address, arrived: now}
	r.take(now, caller, instance, now+confirmLimit)
}

func (r *Registry) receiveForwardReply(message *nodepb.HeartbeatForwardReply) {
	at := slices.IndexFunc(r.forwards, func(pending *forwarded) bool { return pending.number == message.Request })
	if at < 0 {
		return
	}
	pending := r.forwards[at]
	r.dropForward(pending)
	r.answerWith(pending.from, message.Taken, message.HomeControlAddress)
}
