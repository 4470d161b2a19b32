package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// asker waits for the answer to a heartbeat or a deregistration.
type asker struct {
	request uint64    // number of the call at this node's API, or at the node that forwarded it
	node    string    // internal address of the node that forwarded the call; empty: this node's API
	arrived core.Time // when the call came to this node
}

// Heartbeat takes a broker's heartbeat from this node's API. core.RegistryAnswer follows within a second: at once where
// nothing has to be told to others first, which is the case for all but draining brokers.
func (r *Registry) Heartbeat(now core.Time, request uint64, instance *nodepb.Instance) []core.Output {
	r.call(now, asker{request: request, arrived: now}, heartbeatOf(instance))
	return r.takeOutputs()
}

// Deregister takes a broker's word that it ends, from this node's API; core.RegistryAnswer follows.
func (r *Registry) Deregister(now core.Time, request uint64, id string) []core.Output {
	instance := &nodepb.Instance{Id: id, State: nodepb.InstanceState_GONE}
	if rec := r.records[id]; rec != nil {
		instance.Service, instance.Zone = rec.told.Service, rec.told.Zone
	}
	r.call(now, asker{request: request, arrived: now}, instance)
	return r.takeOutputs()
}

// heartbeatOf copies what a broker may say of itself, and nothing that is for nodes to say.
func heartbeatOf(instance *nodepb.Instance) *nodepb.Instance {
	heartbeat := shallowCopy(instance)
	heartbeat.Sequence = instance.Sequence
	heartbeat.ColdRemainingMs = instance.ColdRemainingMs
	return heartbeat
}

// call brings a broker's call to its home.
func (r *Registry) call(now core.Time, from asker, instance *nodepb.Instance) {
	r.clock = now
	if instance.Id == "" {
		r.answer(now, from, instance, false)
		return
	}
	home := r.homeFor(now, keyOf(instance))
	if home.self {
		r.take(now, from, instance, now+confirmLimit)
		return
	}
	r.forward(now, from, instance, home)
}

// take makes a broker's call known here and to the other nodes, and answers it: where the broker leaves, after the
// others have confirmed, at the latest at answerBy.
func (r *Registry) take(now core.Time, from asker, instance *nodepb.Instance, answerBy core.Time) {
	rec, changed := r.hear(now, instance)
	leaving := rec.state() != nodepb.InstanceState_READY
	if leaving && !rec.confirmed {
		r.confirmLeaving(now, rec, from, answerBy)
		return
	}
	if changed {
		r.enqueue(now, instance.Id, batchDelay)
	}
	r.answer(now, from, instance, true)
}

// confirmLeaving answers once the other nodes hold that the broker leaves. A call that is sent again joins the first.
func (r *Registry) confirmLeaving(now core.Time, rec *record, from asker, answerBy core.Time) {
	pending := r.spreadConfirming(rec)
	if pending == nil {
		pending = r.startSpread(now, []string{rec.told.Id}, answerBy)
	}
	pending.askers = append(pending.askers, from)
	r.settle(now, pending)
}

// hear merges a broker's own word and notes that it was heard.
func (r *Registry) hear(now core.Time, instance *nodepb.Instance) (*record, bool) {
	before := r.records[instance.Id]
	late := before != nil && instance.Sequence < before.sequence
	trust := trustSilence
	if late {
		trust = trustNothing
	}
	rec, changed := r.learn(now, instance, trust)
	if !late {
		rec.heard = now
	}
	if before == nil && !rec.gone() {
		for _, id := range r.supersede(now, rec) {
			r.enqueue(now, id, batchDelay)
		}
	}
	return rec, changed
}

// answer tells who asked whether the call was taken, and where the next one is best sent to.
func (r *Registry) answer(now core.Time, to asker, instance *nodepb.Instance, taken bool) {
	home := ""
	if taken && instance.State != nodepb.InstanceState_GONE {
		home = r.homeFor(now, keyOf(instance)).controlAddress
	}
	r.answerWith(to, taken, home)
}

func (r *Registry) answerWith(to asker, taken bool, home string) {
	if to.node == "" {
		r.output(core.RegistryReply{Request: to.request, Accepted: taken, HeartbeatURL: home})
		return
	}
	reply := &nodepb.HeartbeatForwardReply{Request: to.request, Taken: taken, HomeControlAddress: home}
	r.send(to.node, &nodepb.Envelope{Body: &nodepb.Envelope_HeartbeatForwardReply{HeartbeatForwardReply: reply}})
}
