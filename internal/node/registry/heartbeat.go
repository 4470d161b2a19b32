package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// callOrigin waits for the answer to a heartbeat or a deregistration.
type callOrigin struct {
	request   uint64    // number of the call at this node's API, or at the node that forwarded it
	forwarder string    // internal address of the node that forwarded the call; empty: this node's API
	arrivedAt core.Time // when the call came to this node
}

// Heartbeat takes a broker's heartbeat from this node's API. core.RegistryAnswer follows within a second: at once where
// nothing has to be told to others first, which is the case for all but draining brokers.
func (r *Registry) Heartbeat(now core.Time, request uint64, instance *nodepb.Instance) []core.Output {
	r.routeCall(now, callOrigin{request: request, arrivedAt: now}, heartbeatOf(instance))
	return r.takeOutputs()
}

// Deregister takes a broker's word that it ends, from this node's API; core.RegistryAnswer follows.
func (r *Registry) Deregister(now core.Time, request uint64, id string) []core.Output {
	instance := &nodepb.Instance{Id: id, State: nodepb.InstanceState_GONE}
	if rec := r.records[id]; rec != nil {
		instance.Service, instance.Zone = rec.reported.Service, rec.reported.Zone
	}
	r.routeCall(now, callOrigin{request: request, arrivedAt: now}, instance)
	return r.takeOutputs()
}

// heartbeatOf copies what a broker may say of itself, and nothing that is for nodes to say.
func heartbeatOf(instance *nodepb.Instance) *nodepb.Instance {
	heartbeat := shallowCopy(instance)
	heartbeat.Sequence = instance.Sequence
	heartbeat.ColdRemainingMs = instance.ColdRemainingMs
	return heartbeat
}

// routeCall brings a broker's call to its home.
func (r *Registry) routeCall(now core.Time, from callOrigin, instance *nodepb.Instance) {
	r.lastInputAt = now
	if instance.Id == "" {
		r.answer(now, from, instance, false)
		return
	}
	home := r.homeFor(now, keyOf(instance))
	if home.self {
		r.handleCall(now, from, instance, now+ackTimeout)
		return
	}
	r.forward(now, from, instance, home)
}

// handleCall makes a broker's call known here and to the other nodes, and answers it: where the broker leaves, after the
// others have confirmed, at the latest at answerBy.
func (r *Registry) handleCall(now core.Time, from callOrigin, instance *nodepb.Instance, answerBy core.Time) {
	rec, changed := r.recordHeartbeat(now, instance)
	leaving := rec.state() != nodepb.InstanceState_READY
	if leaving && !rec.leaveConfirmed {
		r.confirmLeaving(now, rec, from, answerBy)
		return
	}
	if changed {
		r.scheduleBroadcast(now, instance.Id, batchDelay)
	}
	r.answer(now, from, instance, true)
}

// confirmLeaving answers once the other nodes hold that the broker leaves. A call that is sent again joins the first.
func (r *Registry) confirmLeaving(now core.Time, rec *record, from callOrigin, answerBy core.Time) {
	pending := r.findBroadcastOf(rec)
	if pending == nil {
		pending = r.startBroadcast(now, []string{rec.reported.Id}, answerBy)
	}
	pending.waitingCalls = append(pending.waitingCalls, from)
	r.advanceBroadcast(now, pending)
}

// recordHeartbeat merges a broker's own word and notes that it was heard.
func (r *Registry) recordHeartbeat(now core.Time, instance *nodepb.Instance) (*record, bool) {
	before := r.records[instance.Id]
	late := before != nil && instance.Sequence < before.sequence
	trust := trustLiveness
	if late {
		trust = ignoreLiveness
	}
	rec, changed := r.merge(now, instance, trust)
	if !late {
		rec.lastHeartbeatAt = now
	}
	if before == nil && !rec.gone() {
		for _, id := range r.supersede(now, rec) {
			r.scheduleBroadcast(now, id, batchDelay)
		}
	}
	return rec, changed
}

// answer tells who asked whether the call was taken, and where the next one is best sent to.
func (r *Registry) answer(now core.Time, to callOrigin, instance *nodepb.Instance, taken bool) {
	home := ""
	if taken && instance.State != nodepb.InstanceState_GONE {
		home = r.homeFor(now, keyOf(instance)).controlAddress
	}
	r.answerWith(to, taken, home)
}

func (r *Registry) answerWith(to callOrigin, taken bool, home string) {
	if to.forwarder == "" {
		r.output(core.RegistryAnswer{Request: to.request, Taken: taken, HeartbeatURL: home})
		return
	}
	reply := &nodepb.HeartbeatForwardReply{Request: to.request, Taken: taken, HomeControlAddress: home}
	r.send(to.forwarder, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForwardReply{HeartbeatForwardReply: reply}})
}
