package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// forwardedCall is a broker's call that was passed on to its home.
type forwardedCall struct {
	requestID uint64
	origin    callOrigin
	instance  *nodepb.Instance
	home      *peer
	retryAt   core.Time
	giveUpAt  core.Time
}

func (f *forwardedCall) deadline() core.Time { return min(f.retryAt, f.giveUpAt) }

func (r *Registry) forward(now core.Time, from callOrigin, instance *nodepb.Instance, home *peer) {
	pending := &forwardedCall{
		requestID: r.nextNonce(), origin: from, instance: instance, home: home,
		giveUpAt: now + forwardTimeout,
	}
	r.forwards = append(r.forwards, pending)
	r.sendForward(now, pending)
}

func (r *Registry) sendForward(now core.Time, pending *forwardedCall) {
	pending.retryAt = now + forwardRetryInterval
	message := &nodepb.HeartbeatForward{
		Request: pending.requestID, Instance: pending.instance,
		Deregister: pending.instance.State == nodepb.InstanceState_GONE,
	}
	r.send(pending.home.address, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForward{HeartbeatForward: message}})
}

// tickForwards sends unanswered calls again, and takes those here whose home does not answer.
func (r *Registry) tickForwards(now core.Time) {
	var expired []*forwardedCall
	for _, pending := range r.forwards {
		switch {
		case pending.giveUpAt <= now:
			expired = append(expired, pending)
		case pending.retryAt <= now:
			r.sendForward(now, pending)
		}
	}
	for _, pending := range expired {
		r.handleUnansweredForward(now, pending)
	}
}

// handleUnansweredForward takes a call in place of its home.
func (r *Registry) handleUnansweredForward(now core.Time, pending *forwardedCall) {
	r.dropForward(pending)
	r.backOffPeer(now, pending.home.id)
	r.handleCall(now, pending.origin, pending.instance, pending.origin.arrivedAt+answerTimeout)
}

func (r *Registry) backOffPeer(now core.Time, id string) {
	if known := r.peers[id]; known != nil {
		known.backoffUntil = now + peerBackoff
	}
}

func (r *Registry) dropForward(pending *forwardedCall) {
	r.forwards = slices.DeleteFunc(r.forwards, func(other *forwardedCall) bool { return other == pending })
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
	caller := callOrigin{request: message.Request, forwarder: from.Address, arrivedAt: now}
	r.handleCall(now, caller, instance, now+ackTimeout)
}

func (r *Registry) receiveForwardReply(message *nodepb.HeartbeatForwardReply) {
	at := slices.IndexFunc(r.forwards, func(pending *forwardedCall) bool { return pending.requestID == message.Request })
	if at < 0 {
		return
	}
	pending := r.forwards[at]
	r.dropForward(pending)
	r.answerWith(pending.origin, message.Taken, message.HomeControlAddress)
}
