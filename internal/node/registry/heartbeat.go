package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// callOrigin is where a heartbeat or deregistration came from, and its answer goes to.
type callOrigin struct {
	request   uint64    // number of the call at this node's API, or at the forwarder
	forwarder string    // internal address of the node that forwarded the call; empty: this node's API
	arrivedAt core.Time // when the call came to this node
}

// Heartbeat handles a broker's heartbeat from this node's API. core.RegistryReply with the request's
// number follows within a second. At the home node it follows at once, except for the first
// heartbeats of a draining broker, as other nodes must acknowledge these first.
func (r *Registry) Heartbeat(now core.Time, request uint64, instance *nodepb.Instance) []core.Output {
	r.routeCall(now, callOrigin{request: request, arrivedAt: now}, heartbeatOf(instance))
	return r.takeOutputs()
}

// Deregister handles a broker's deregistration from this node's API. core.RegistryReply with the
// request's number follows within a second, after other nodes have acknowledged it.
func (r *Registry) Deregister(now core.Time, request uint64, id string) []core.Output {
	instance := &nodepb.Instance{Id: id, State: nodepb.InstanceState_GONE}
	if rec := r.records[id]; rec != nil {
		instance.Service, instance.Zone = rec.reported.Service, rec.reported.Zone
	}
	r.routeCall(now, callOrigin{request: request, arrivedAt: now}, instance)
	return r.takeOutputs()
}

// heartbeatOf copies what a broker reports of itself, without what only nodes may add.
func heartbeatOf(instance *nodepb.Instance) *nodepb.Instance {
	heartbeat := shallowCopy(instance)
	heartbeat.Sequence = instance.Sequence
	heartbeat.WarmUpRemainingMs = instance.WarmUpRemainingMs
	return heartbeat
}

// routeCall handles a broker's call if this node is its home, and forwards it to its home if not.
func (r *Registry) routeCall(now core.Time, origin callOrigin, instance *nodepb.Instance) {
	r.lastInputAt = now
	if instance.Id == "" {
		r.answer(now, origin, instance, false)
		return
	}
	home := r.homeFor(now, keyOf(instance))
	if home.self {
		r.handleCall(now, origin, instance, now+ackTimeout)
		return
	}
	r.forward(now, origin, instance, home)
}

// handleCall records a broker's call, schedules its broadcast if it changes anything, and answers
// it. The call of a leaving broker is answered after the other nodes have acknowledged its state, at
// the latest at the deadline.
func (r *Registry) handleCall(now core.Time, origin callOrigin, instance *nodepb.Instance, deadline core.Time) {
	rec, changed := r.recordHeartbeat(now, instance)
	leaving := rec.state() != nodepb.InstanceState_READY
	if leaving && !rec.leaveConfirmed {
		r.confirmLeaving(now, rec, origin, deadline)
		return
	}
	if changed {
		r.scheduleBroadcast(now, instance.Id, batchDelay)
	}
	r.answer(now, origin, instance, true)
}

// confirmLeaving has the call answered once the other nodes hold that the broker leaves. A repeated
// call joins the broadcast of the first.
func (r *Registry) confirmLeaving(now core.Time, rec *record, origin callOrigin, deadline core.Time) {
	b := r.findBroadcastOf(rec)
	if b == nil {
		b = r.startBroadcast(now, []string{rec.reported.Id}, deadline)
	}
	b.waitingCalls = append(b.waitingCalls, origin)
	r.advanceBroadcast(now, b)
}

// recordHeartbeat merges a broker's own report and records the contact. A late heartbeat is no
// contact. It returns the broker's record and whether other nodes must learn of a change.
func (r *Registry) recordHeartbeat(now core.Time, instance *nodepb.Instance) (*record, bool) {
	known := r.records[instance.Id]
	late := known != nil && instance.Sequence < known.sequence
	trust := trustLiveness
	if late {
		trust = ignoreLiveness
	}
	rec, changed := r.merge(now, instance, trust)
	if !late {
		rec.lastHeartbeatAt = now
	}
	if known == nil && !rec.gone() {
		for _, id := range r.supersede(now, rec) {
			r.scheduleBroadcast(now, id, batchDelay)
		}
	}
	return rec, changed
}

// answer reports to the origin of a call whether it was accepted, and names the node that the next
// call is best sent to.
func (r *Registry) answer(now core.Time, origin callOrigin, instance *nodepb.Instance, accepted bool) {
	home := ""
	if accepted && instance.State != nodepb.InstanceState_GONE {
		home = r.homeFor(now, keyOf(instance)).controlAddress
	}
	r.answerWith(origin, accepted, home)
}

// answerWith answers a call. home is the control address for the next call; empty: none is named.
func (r *Registry) answerWith(origin callOrigin, accepted bool, home string) {
	if origin.forwarder == "" {
		r.outbox.Add(core.RegistryReply{Request: origin.request, Accepted: accepted, HeartbeatURL: home})
		return
	}
	reply := &nodepb.HeartbeatForwardReply{Request: origin.request, Accepted: accepted, HomeControlAddress: home}
	r.outbox.Send(origin.forwarder, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForwardReply{HeartbeatForwardReply: reply}})
}
