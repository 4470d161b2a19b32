package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// An acknowledged draining or deregistration must outlive all processes: they may be killed at one
// moment, right after the acknowledgement, and a broker that has deregistered sends no heartbeat that
// would tell them again. So each node with a disk writes every draining or gone broker that it
// learns of, and a call is acknowledged only once a majority of the voters have done so. A write is
// acknowledged by a second InstanceUpdateAck. As a state only rises, a record that is read again
// late, twice or out of order says nothing wrong.

// persistence is what a node with a disk knows of its writes of leaving brokers. At most one write is
// in flight; what is learned meanwhile goes into the next one.
type persistence struct {
	unsaved  map[string]bool                 // ids of brokers whose state is to be written
	inFlight map[string]nodepb.InstanceState // states that are being written, by id; nil: no write
	token    uint64                          // of the newest write
	retryAt  core.Time                       // no write begins before, as the last one failed
	pending  []pendingAck
}

// pendingAck is an acknowledgement that waits for a write.
type pendingAck struct {
	requester string // internal address
	nonce     uint64
	instances []*nodepb.Instance
	giveUpAt  core.Time
}

// leavingIn reports whether one of the brokers is draining or gone.
func leavingIn(instances []*nodepb.Instance) bool {
	return slices.ContainsFunc(instances, isLeaving)
}

func isLeaving(instance *nodepb.Instance) bool { return instance.State != nodepb.InstanceState_READY }

// watchPersistence has the state of a broker written that leaves, unless it is on the disk.
func (r *Registry) watchPersistence(rec *record) {
	if r.options.PersistsLeaving && rec.savedState < rec.state() {
		r.persistence.unsaved[rec.reported.Id] = true
	}
}

// startSave starts a write of what is unsaved, unless one is in flight or has just failed.
func (r *Registry) startSave(now core.Time) {
	p := &r.persistence
	if len(p.unsaved) == 0 || p.inFlight != nil || now < p.retryAt {
		return
	}
	ids := make([]string, 0, len(p.unsaved))
	for id := range p.unsaved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(p.unsaved)
	instances := r.instanceMessages(now, ids)
	if len(instances) == 0 {
		return
	}
	p.inFlight = make(map[string]nodepb.InstanceState, len(instances))
	for _, instance := range instances {
		p.inFlight[instance.Id] = instance.State
	}
	p.token++
	r.outbox.Add(core.SaveLeaving{Token: p.token, Instances: instances})
}

// saveDeadline is when startSave is next due after a failed write; core.Never if it isn't.
func (r *Registry) saveDeadline() core.Time {
	if len(r.persistence.unsaved) == 0 || r.persistence.inFlight != nil {
		return core.Never
	}
	return r.persistence.retryAt
}

// LeavingSaved handles the end of the write that core.SaveLeaving asked for. What a failed write did
// not take is written again after saveRetryInterval.
func (r *Registry) LeavingSaved(now core.Time, token uint64, err error) []core.Output {
	p := &r.persistence
	if token != p.token || p.inFlight == nil {
		return nil
	}
	r.lastInputAt = now
	written := p.inFlight
	p.inFlight = nil
	if err != nil {
		p.retryAt = now + saveRetryInterval
		for id := range written {
			p.unsaved[id] = true
		}
		return r.takeOutputs()
	}
	for id, state := range written {
		if rec := r.records[id]; rec != nil {
			rec.savedState = max(rec.savedState, state)
		}
	}
	r.sendPendingAcks(now)
	for _, b := range slices.Clone(r.broadcasts) {
		r.advanceBroadcast(now, b)
	}
	return r.takeOutputs()
}

// persisted reports whether all leaving brokers of an update are on this node's disk, or that it has
// none.
func (r *Registry) persisted(instances []*nodepb.Instance) bool {
	if !r.options.PersistsLeaving {
		return true
	}
	for _, instance := range instances {
		if rec := r.records[instance.Id]; isLeaving(instance) && (rec == nil || rec.savedState < instance.State) {
			return false
		}
	}
	return true
}

// ackWhenPersisted has a second acknowledgement of an update sent once its brokers are on the disk.
func (r *Registry) ackWhenPersisted(now core.Time, requester string, update *nodepb.InstanceUpdate) {
	p := &r.persistence
	known := slices.ContainsFunc(p.pending, func(ack pendingAck) bool { return ack.nonce == update.Nonce && ack.requester == requester })
	if known {
		return
	}
	p.pending = append(p.pending, pendingAck{
		requester: requester, nonce: update.Nonce, instances: update.Instances, giveUpAt: now + broadcastTimeout,
	})
}

// sendPendingAcks sends the acknowledgements whose brokers are on the disk by now, and drops those
// that nobody waits for any longer.
func (r *Registry) sendPendingAcks(now core.Time) {
	p := &r.persistence
	p.pending = slices.DeleteFunc(p.pending, func(ack pendingAck) bool {
		if r.persisted(ack.instances) {
			r.sendAck(ack.requester, &nodepb.InstanceUpdateAck{Nonce: ack.nonce, Persisted: true})
			return true
		}
		return ack.giveUpAt <= now
	})
}

// RestoreLeaving merges the draining and gone brokers that this machine's disk names. Unlike what
// Restore merges they are certain: each state was reported by the broker itself. They are sent to
// each node that is learned of soon after, as the copies of other machines may still show these
// brokers as ready.
func (r *Registry) RestoreLeaving(now core.Time, instances []*nodepb.Instance) []core.Output {
	r.lastInputAt = now
	for _, instance := range instances {
		restored := deepCopy(instance)
		restored.LoadingFencingToken = 0
		restored.SinceHeartbeatMs = 0 // its retention starts again, without a common clock
		rec, _ := r.merge(now, restored, ignoreLiveness)
		if rec == nil {
			continue
		}
		rec.savedState = max(rec.savedState, restored.State)
		delete(r.persistence.unsaved, restored.Id)
		r.keepSending(now, restored.Id)
	}
	for _, other := range r.others {
		r.sendLeaving(now, other)
	}
	return r.takeOutputs()
}

// keepSending has a leaving broker sent to each node that is learned of soon.
func (r *Registry) keepSending(now core.Time, id string) {
	r.dropSentLeaving(now)
	if !slices.Contains(r.leavingIDs, id) {
		r.leavingIDs = append(r.leavingIDs, id)
	}
	r.leavingUntil = now + leavingSendPeriod
}

// dropSentLeaving forgets the brokers of keepSending once their time is over.
func (r *Registry) dropSentLeaving(now core.Time) {
	if now >= r.leavingUntil {
		r.leavingIDs = nil
	}
}

// sendLeaving sends a node that has just been learned of the brokers of keepSending: the copy that it
// restored may show them as ready, and their acknowledgement may not have waited for it. Nothing waits
// for this message: what is lost is repaired by anti-entropy.
func (r *Registry) sendLeaving(now core.Time, other *peer) {
	r.dropSentLeaving(now)
	if len(r.leavingIDs) == 0 {
		return
	}
	for chunk := range slices.Chunk(r.leavingIDs, maxInstancesPerMessage) {
		update := &nodepb.InstanceUpdate{Instances: r.instanceMessages(now, chunk)}
		r.outbox.Send(other.address, &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: update}})
	}
}
