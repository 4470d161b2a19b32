package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// forwardedCall is a broker's call that was forwarded to its home and has no answer yet.
type forwardedCall struct {
	requestID uint64
	origin    callOrigin
	instance  *nodepb.Instance
	home      *peer
	retryAt   core.Time
	giveUpAt  core.Time
}

// deadline is when the call is next due.
func (f *forwardedCall) deadline() core.Time { return min(f.retryAt, f.giveUpAt) }

// forward sends a call to its home.
func (r *Registry) forward(now core.Time, origin callOrigin, instance *nodepb.Instance, home *peer) {
	call := &forwardedCall{
		requestID: r.nextNonce(), origin: origin, instance: instance, home: home,
		giveUpAt: now + forwardTimeout,
	}
	r.forwards = append(r.forwards, call)
	r.sendForward(now, call)
}

func (r *Registry) sendForward(now core.Time, call *forwardedCall) {
	call.retryAt = now + forwardRetryInterval
	message := &nodepb.HeartbeatForward{
		Request: call.requestID, Instance: call.instance,
		Deregister: call.instance.State == nodepb.InstanceState_GONE,
	}
	r.outbox.Send(call.home.address, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForward{HeartbeatForward: message}})
}

// tickForwards resends unanswered calls, and handles those here whose home does not answer.
func (r *Registry) tickForwards(now core.Time) {
	var expired []*forwardedCall
	for _, call := range r.forwards {
		switch {
		case call.giveUpAt <= now:
			expired = append(expired, call)
		case call.retryAt <= now:
			r.sendForward(now, call)
		}
	}
	for _, call := range expired {
		r.handleUnansweredForward(now, call)
	}
}

// handleUnansweredForward handles a call in place of its home, and backs off from that.
func (r *Registry) handleUnansweredForward(now core.Time, call *forwardedCall) {
	r.dropForward(call)
	r.backOffPeer(now, call.home.id)
	r.handleCall(now, call.origin, call.instance, call.origin.arrivedAt+answerTimeout)
}

// backOffPeer leaves a peer out as a home, and waits for none of its answers, for peerBackoff.
func (r *Registry) backOffPeer(now core.Time, id string) {
	if known := r.peers[id]; known != nil {
		known.backoffUntil = now + peerBackoff
	}
}

func (r *Registry) dropForward(call *forwardedCall) {
	r.forwards = slices.DeleteFunc(r.forwards, func(other *forwardedCall) bool { return other == call })
}

// receiveForward handles a call that another node forwarded. It is never forwarded again, also if
// this node takes another one for the home: nodes with different members would forward in circles.
func (r *Registry) receiveForward(now core.Time, from core.Peer, message *nodepb.HeartbeatForward) {
	if message.Instance.GetId() == "" {
		return
	}
	instance := heartbeatOf(message.Instance)
	if message.Deregister {
		instance.State = nodepb.InstanceState_GONE
	}
	origin := callOrigin{request: message.Request, forwarder: from.Address, arrivedAt: now}
	r.handleCall(now, origin, instance, now+ackTimeout)
}

// receiveForwardReply passes the home's answer on. A reply to a call that is no longer pending is late
// or a duplicate and ignored. That a broker leaves is recorded here too: the home may not know this
// node yet, and then has not told it.
func (r *Registry) receiveForwardReply(now core.Time, reply *nodepb.HeartbeatForwardReply) {
	index := slices.IndexFunc(r.forwards, func(call *forwardedCall) bool { return call.requestID == reply.Request })
	if index < 0 {
		return
	}
	call := r.forwards[index]
	r.dropForward(call)
	if reply.Accepted && isLeaving(call.instance) {
		r.merge(now, call.instance, ignoreLiveness)
	}
	r.answerWith(call.origin, reply.Accepted, reply.HomeControlAddress)
}
