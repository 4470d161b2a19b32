package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// broadcast is an update on its way to all other nodes, until they have confirmed it.
type broadcast struct {
	nonce          uint64
	message        *nodepb.Envelope
	instanceIDs    []string
	unacknowledged []string // node ids that have not confirmed
	// ackCount counts the nodes that have.
	ackCount int

	retryAt        core.Time
	answerDeadline core.Time
	giveUpAt       core.Time

	waitingCalls         []callOrigin
	loadingConfirmations []core.LoadingConfirmed
	answered             bool
}

func (s *broadcast) deadline() core.Time {
	next := min(s.retryAt, s.giveUpAt)
	if !s.answered {
		next = min(next, s.answerDeadline)
	}
	return next
}

// finished reports whether nothing is left to wait for.
func (s *broadcast) finished(now core.Time) bool {
	return s.answered && (len(s.unacknowledged) == 0 || s.giveUpAt <= now)
}

// scheduleBroadcast tells the other nodes of a broker after the delay, together with what else comes up until then.
func (r *Registry) scheduleBroadcast(now core.Time, id string, delay core.Time) {
	if !slices.Contains(r.batchIDs, id) {
		r.batchIDs = append(r.batchIDs, id)
	}
	r.batchDeadline = min(r.batchDeadline, now+delay)
}

func (r *Registry) flushBatch(now core.Time) {
	ids := r.batchIDs
	r.batchIDs = nil
	r.batchDeadline = core.Never
	slices.Sort(ids)
	for part := range slices.Chunk(ids, maxInstancesPerMessage) {
		r.advanceBroadcast(now, r.startBroadcast(now, part, now+ackTimeout))
	}
}

// startBroadcast sends the records of the brokers to all other nodes. The caller settles it.
func (r *Registry) startBroadcast(now core.Time, ids []string, answerBy core.Time) *broadcast {
	update := &nodepb.InstanceUpdate{Nonce: r.nextNonce(), AckWanted: true, Instances: r.instanceMessages(now, ids)}
	started := &broadcast{
		nonce:          update.Nonce,
		message:        &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: update}},
		instanceIDs:    ids,
		retryAt:        now + broadcastRetryInterval,
		answerDeadline: answerBy,
		giveUpAt:       now + broadcastTimeout,
	}
	for _, other := range r.others {
		started.unacknowledged = append(started.unacknowledged, other.id)
		r.send(other.address, started.message)
	}
	r.broadcasts = append(r.broadcasts, started)
	r.removeFromBatch(ids)
	return started
}

// removeFromBatch drops brokers from the batch that have just been told.
func (r *Registry) removeFromBatch(ids []string) {
	r.batchIDs = slices.DeleteFunc(r.batchIDs, func(id string) bool { return slices.Contains(ids, id) })
	if len(r.batchIDs) == 0 {
		r.batchDeadline = core.Never
	}
}

func (r *Registry) instanceMessages(now core.Time, ids []string) []*nodepb.Instance {
	list := make([]*nodepb.Instance, 0, len(ids))
	for _, id := range ids {
		if rec := r.records[id]; rec != nil {
			list = append(list, rec.message(now))
		}
	}
	return list
}

// findBroadcastOf finds an unanswered update that tells the present state of a broker.
func (r *Registry) findBroadcastOf(rec *record) *broadcast {
	for _, pending := range r.broadcasts {
		if !pending.answered && pending.carriesStateOf(rec) {
			return pending
		}
	}
	return nil
}

func (s *broadcast) carriesStateOf(rec *record) bool {
	for _, instance := range s.message.GetInstanceUpdate().Instances {
		if instance.Id == rec.reported.Id && instance.State == rec.state() {
			return true
		}
	}
	return false
}

// advanceBroadcast answers who waits for the update, once all nodes in touch have confirmed it or its time is over.
func (r *Registry) advanceBroadcast(now core.Time, pending *broadcast) {
	if !pending.answered {
		r.tryAnswer(now, pending)
	}
	if pending.finished(now) {
		r.endBroadcast(now, pending)
	}
}

func (r *Registry) tryAnswer(now core.Time, pending *broadcast) {
	awaited := slices.ContainsFunc(pending.unacknowledged, func(id string) bool { return r.mustAwait(now, id) })
	held := pending.ackCount > 0 || r.alone(now)
	outOfTime := pending.answerDeadline <= now || len(pending.unacknowledged) == 0
	if !outOfTime && (awaited || !held) {
		return
	}
	pending.answered = true
	r.answerWaitingCalls(now, pending, held, !awaited)
	for _, mark := range pending.loadingConfirmations {
		mark.Everywhere = !awaited
		r.output(mark)
	}
}

// mustAwait reports whether an answer waits for a node: one that is a member, not suspected, and was not silent lately.
func (r *Registry) mustAwait(now core.Time, id string) bool {
	known := r.peers[id]
	return known != nil && known.available(now)
}

// answerWaitingCalls answers the calls of a broker that leaves. Where not all nodes in touch have confirmed, its next call is told
// to the nodes again.
func (r *Registry) answerWaitingCalls(now core.Time, pending *broadcast, held, everywhere bool) {
	for _, id := range pending.instanceIDs {
		rec := r.records[id]
		if rec == nil || !pending.carriesStateOf(rec) {
			continue
		}
		rec.leaveConfirmed = rec.leaveConfirmed || held && everywhere
		for _, waiting := range pending.waitingCalls {
			r.answer(now, waiting, rec.reported, held)
		}
		return
	}
	for _, waiting := range pending.waitingCalls {
		r.answerWith(waiting, held, "")
	}
}

func (r *Registry) endBroadcast(now core.Time, pending *broadcast) {
	for _, id := range pending.unacknowledged {
		r.backOffPeer(now, id)
	}
	r.broadcasts = slices.DeleteFunc(r.broadcasts, func(other *broadcast) bool { return other == pending })
}

// tickBroadcasts sends updates again to who has not confirmed them.
func (r *Registry) tickBroadcasts(now core.Time) {
	for _, pending := range slices.Clone(r.broadcasts) {
		if pending.retryAt <= now {
			r.resendBroadcast(now, pending)
		}
		r.advanceBroadcast(now, pending)
	}
}

func (r *Registry) resendBroadcast(now core.Time, pending *broadcast) {
	pending.retryAt = now + broadcastRetryInterval
	for _, id := range pending.unacknowledged {
		if known := r.peers[id]; known != nil {
			r.send(known.address, pending.message)
		}
	}
}

// dropFormerMembers drops nodes that are members no more from the updates under way.
func (r *Registry) dropFormerMembers(now core.Time) {
	for _, pending := range slices.Clone(r.broadcasts) {
		pending.unacknowledged = slices.DeleteFunc(pending.unacknowledged, func(id string) bool { return r.peers[id] == nil })
		r.advanceBroadcast(now, pending)
	}
}

// receiveUpdate takes what another node tells of brokers.
func (r *Registry) receiveUpdate(now core.Time, from core.Peer, update *nodepb.InstanceUpdate) {
	for _, instance := range update.Instances {
		r.mergeUpdate(now, instance)
	}
	if !update.AckWanted {
		return
	}
	ack := &nodepb.InstanceUpdateAck{Nonce: update.Nonce}
	r.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdateAck{InstanceUpdateAck: ack}})
}

func (r *Registry) mergeUpdate(now core.Time, instance *nodepb.Instance) {
	if instance.Id == "" {
		return
	}
	rec, _ := r.merge(now, instance, trustLiveness)
	if rec != nil && r.refutes(now, rec, instance) {
		rec.refutedAt = now
		r.scheduleBroadcast(now, instance.Id, batchDelay)
	}
}

func (r *Registry) receiveUpdateAck(now core.Time, from core.Peer, ack *nodepb.InstanceUpdateAck) {
	for _, pending := range r.broadcasts {
		if pending.nonce != ack.Nonce {
			continue
		}
		r.acknowledge(now, pending, from.NodeID)
		return
	}
}

func (r *Registry) acknowledge(now core.Time, pending *broadcast, id string) {
	at := slices.Index(pending.unacknowledged, id)
	if at < 0 {
		return
	}
	pending.unacknowledged = slices.Delete(pending.unacknowledged, at, at+1)
	pending.ackCount++
	r.advanceBroadcast(now, pending)
}
