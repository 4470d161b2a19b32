package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// broadcast is an update that is sent to all other nodes until each has acknowledged it, at the
// longest for broadcastTimeout.
//
// It is answered once: when every available node has acknowledged it, or at answerDeadline. The
// calls that wait for it are accepted only if a majority of the voters have it on their disks
// (persistence.go), and so never by a node that knows no view: whether it has just started, was cut
// off for long or has outlived all others, it can't tell these cases from one another. Without a
// majority a part of the fleet that is cut off would acknowledge what the part that serves on never
// hears of; without the disks the state would be lost where all processes are killed. Nodes that are
// learned of before the answer are sent the update too. Retries go on after the answer.
type broadcast struct {
	nonce          uint64
	message        *nodepb.Envelope
	instanceIDs    []string
	unacknowledged []string // ids of the nodes that have not acknowledged it
	ackCount       int      // nodes that have
	// persistedAddresses are those of the nodes that have its leaving brokers on their disks, or never
	// will, as they are of an older version.
	persistedAddresses []string
	leaving            bool // it carries a draining or gone broker

	retryAt        core.Time
	answerDeadline core.Time
	giveUpAt       core.Time

	waitingCalls         []callOrigin
	loadingConfirmations []core.LoadingConfirmed
	answered             bool
}

// deadline is when the broadcast is next due.
func (b *broadcast) deadline() core.Time {
	next := min(b.retryAt, b.giveUpAt)
	if !b.answered {
		next = min(next, b.answerDeadline)
	}
	return next
}

// finished reports whether nothing is left to wait for.
func (b *broadcast) finished(now core.Time) bool {
	return b.answered && (len(b.unacknowledged) == 0 || b.giveUpAt <= now)
}

// scheduleBroadcast has a broker's record sent to the other nodes after the delay, in one message
// with all that is scheduled until then.
func (r *Registry) scheduleBroadcast(now core.Time, id string, delay core.Time) {
	if !slices.Contains(r.batchIDs, id) {
		r.batchIDs = append(r.batchIDs, id)
	}
	r.batchDeadline = min(r.batchDeadline, now+delay)
}

// flushBatch broadcasts what was scheduled.
func (r *Registry) flushBatch(now core.Time) {
	ids := r.batchIDs
	r.batchIDs = nil
	r.batchDeadline = core.Never
	slices.Sort(ids)
	for chunk := range slices.Chunk(ids, maxInstancesPerMessage) {
		r.advanceBroadcast(now, r.startBroadcast(now, chunk, now+ackTimeout))
	}
}

// startBroadcast sends the records of brokers to all other nodes. The caller then calls
// advanceBroadcast, once it has added what waits for the broadcast.
func (r *Registry) startBroadcast(now core.Time, ids []string, answerDeadline core.Time) *broadcast {
	update := &nodepb.InstanceUpdate{Nonce: r.nextNonce(), AckWanted: true, Instances: r.instanceMessages(now, ids)}
	started := &broadcast{
		nonce:          update.Nonce,
		message:        &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: update}},
		instanceIDs:    ids,
		leaving:        leavingIn(update.Instances),
		retryAt:        now + broadcastRetryInterval,
		answerDeadline: answerDeadline,
		giveUpAt:       now + broadcastTimeout,
	}
	for _, other := range r.others {
		r.sendBroadcast(started, other)
	}
	r.broadcasts = append(r.broadcasts, started)
	r.removeFromBatch(ids)
	return started
}

// sendBroadcast sends the update to a node for the first time.
func (r *Registry) sendBroadcast(b *broadcast, other *peer) {
	b.unacknowledged = append(b.unacknowledged, other.id)
	r.outbox.Send(other.address, b.message)
}

// sendUnanswered sends a node that has just been learned of the leaving brokers whose calls still
// wait: it may be a voter, without which they can't be answered.
func (r *Registry) sendUnanswered(other *peer) {
	for _, b := range r.broadcasts {
		if b.leaving && !b.answered {
			r.sendBroadcast(b, other)
		}
	}
}

// removeFromBatch drops brokers from the batch whose records have just been sent.
func (r *Registry) removeFromBatch(ids []string) {
	r.batchIDs = slices.DeleteFunc(r.batchIDs, func(id string) bool { return slices.Contains(ids, id) })
	if len(r.batchIDs) == 0 {
		r.batchDeadline = core.Never
	}
}

// instanceMessages returns the records of the brokers that are still known, as sent to other nodes.
func (r *Registry) instanceMessages(now core.Time, ids []string) []*nodepb.Instance {
	list := make([]*nodepb.Instance, 0, len(ids))
	for _, id := range ids {
		if rec := r.records[id]; rec != nil {
			list = append(list, rec.message(now))
		}
	}
	return list
}

// findBroadcastOf returns an unanswered broadcast that carries the broker's present state, nil if
// there is none.
func (r *Registry) findBroadcastOf(rec *record) *broadcast {
	for _, b := range r.broadcasts {
		if !b.answered && b.carriesStateOf(rec) {
			return b
		}
	}
	return nil
}

// carriesStateOf reports whether the broadcast carries the broker's present state.
func (b *broadcast) carriesStateOf(rec *record) bool {
	for _, instance := range b.message.GetInstanceUpdate().Instances {
		if instance.Id == rec.reported.Id && instance.State == rec.state() {
			return true
		}
	}
	return false
}

// advanceBroadcast answers the broadcast if it can be answered now, and ends it if it is finished.
// It is called after each change of what the broadcast waits for.
func (r *Registry) advanceBroadcast(now core.Time, b *broadcast) {
	if !b.answered {
		r.tryAnswer(now, b)
	}
	if b.finished(now) {
		r.endBroadcast(now, b)
	}
}

// tryAnswer answers what waits for the broadcast once no available node is left that has not
// acknowledged it, and another node holds it; at the deadline in any case.
func (r *Registry) tryAnswer(now core.Time, b *broadcast) {
	awaited := slices.ContainsFunc(b.unacknowledged, func(id string) bool { return r.mustAwait(now, id) })
	replicated := r.replicated(b)
	// Disks may still be awaited where all nodes have acknowledged a leaving broker.
	overdue := b.answerDeadline <= now || len(b.unacknowledged) == 0 && !b.leaving
	if !overdue && (awaited || !replicated) {
		return
	}
	b.answered = true
	r.answerWaitingCalls(now, b, replicated, !awaited)
	for _, confirmation := range b.loadingConfirmations {
		confirmation.Everywhere = !awaited
		r.outbox.Add(confirmation)
	}
}

// replicated reports whether other nodes hold the update: one at least, if any is known, and of a
// leaving broker a majority of the voters.
func (r *Registry) replicated(b *broadcast) bool {
	if b.ackCount == 0 && len(r.others) > 0 {
		return false
	}
	return !b.leaving || r.votersHave(b)
}

// votersHave reports whether a majority of the voters of the control state have a leaving broker on
// their disks, this node included if it is one. Nobody can tell that while no view is known.
func (r *Registry) votersHave(b *broadcast) bool {
	if len(r.voterAddresses) == 0 {
		return false
	}
	selfHas, addresses := r.persisted(b.message.GetInstanceUpdate().Instances), b.persistedAddresses
	count := 0
	for _, address := range r.voterAddresses {
		if address == r.options.SelfAddress && selfHas || slices.Contains(addresses, address) {
			count++
		}
	}
	return count >= len(r.voterAddresses)/2+1
}

// awaitsDisk reports whether the answer waits for a node's disk: for that of a voter which has not
// said that a leaving broker is there.
func (r *Registry) awaitsDisk(b *broadcast, address string) bool {
	return b.leaving && !b.answered && slices.Contains(r.voterAddresses, address) &&
		!slices.Contains(b.persistedAddresses, address)
}

// SetVoters sets the internal addresses of the voters of the newest view known.
func (r *Registry) SetVoters(addresses []string) { r.voterAddresses = addresses }

// mustAwait reports whether an answer waits for a node's acknowledgement: it is a member, is not
// suspected, and did not fail to answer lately.
func (r *Registry) mustAwait(now core.Time, id string) bool {
	known := r.peers[id]
	return known != nil && known.available(now)
}

// answerWaitingCalls answers the calls of a broker that leaves. If some available node has not
// acknowledged the broadcast, the broker's next call starts another one.
func (r *Registry) answerWaitingCalls(now core.Time, b *broadcast, replicated, everywhere bool) {
	for _, id := range b.instanceIDs {
		rec := r.records[id]
		if rec == nil || !b.carriesStateOf(rec) {
			continue
		}
		rec.leaveConfirmed = rec.leaveConfirmed || replicated && everywhere
		if replicated {
			r.keepSending(now, id)
		}
		for _, origin := range b.waitingCalls {
			r.answer(now, origin, rec.reported, replicated)
		}
		return
	}
	for _, origin := range b.waitingCalls {
		r.answerWith(origin, replicated, "")
	}
}

// endBroadcast drops a broadcast and backs off from the nodes that never acknowledged it.
func (r *Registry) endBroadcast(now core.Time, b *broadcast) {
	for _, id := range b.unacknowledged {
		r.backOffPeer(now, id)
	}
	r.broadcasts = slices.DeleteFunc(r.broadcasts, func(other *broadcast) bool { return other == b })
}

// tickBroadcasts resends broadcasts to the nodes that have not acknowledged them.
func (r *Registry) tickBroadcasts(now core.Time) {
	for _, b := range slices.Clone(r.broadcasts) {
		if b.retryAt <= now {
			r.resendBroadcast(now, b)
		}
		r.advanceBroadcast(now, b)
	}
}

func (r *Registry) resendBroadcast(now core.Time, b *broadcast) {
	b.retryAt = now + broadcastRetryInterval
	for _, other := range r.others {
		if slices.Contains(b.unacknowledged, other.id) || r.awaitsDisk(b, other.address) {
			r.outbox.Send(other.address, b.message)
		}
	}
}

// dropFormerMembers stops waiting for nodes that are no longer members.
func (r *Registry) dropFormerMembers(now core.Time) {
	for _, b := range slices.Clone(r.broadcasts) {
		b.unacknowledged = slices.DeleteFunc(b.unacknowledged, func(id string) bool { return r.peers[id] == nil })
		r.advanceBroadcast(now, b)
	}
}

// receiveUpdate merges another node's broadcast and acknowledges it, a second time once the leaving
// brokers in it are on the disk.
func (r *Registry) receiveUpdate(now core.Time, from core.Peer, update *nodepb.InstanceUpdate) {
	for _, instance := range update.Instances {
		r.mergeUpdate(now, instance)
	}
	if !update.AckWanted {
		return
	}
	persisted := r.persisted(update.Instances)
	r.sendAck(from.Address, &nodepb.InstanceUpdateAck{Nonce: update.Nonce, Persisted: persisted, WillPersist: !persisted})
	if !persisted {
		r.ackWhenPersisted(now, from.Address, update)
	}
}

func (r *Registry) sendAck(address string, ack *nodepb.InstanceUpdateAck) {
	r.outbox.Send(address, &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdateAck{InstanceUpdateAck: ack}})
}

// mergeUpdate merges one broker of a broadcast. If this node knows that the broker responds, it
// refutes a claim of the contrary.
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
	for _, b := range r.broadcasts {
		if b.nonce != ack.Nonce {
			continue
		}
		r.acknowledge(now, b, from, ack)
		return
	}
}

// acknowledge records a node's acknowledgement. Of further ones of the same node only the first after
// its write counts. A node of an older version does not write: it counts as it did before, so that
// brokers are acknowledged while a fleet is upgraded, and the stronger promise holds once a majority of
// the voters are new.
func (r *Registry) acknowledge(now core.Time, b *broadcast, from core.Peer, ack *nodepb.InstanceUpdateAck) {
	known := r.peers[from.NodeID]
	if index := slices.Index(b.unacknowledged, from.NodeID); index >= 0 {
		b.unacknowledged = slices.Delete(b.unacknowledged, index, index+1)
		b.ackCount++
	}
	if !ack.WillPersist && known != nil && !slices.Contains(b.persistedAddresses, known.address) {
		b.persistedAddresses = append(b.persistedAddresses, known.address)
	}
	r.advanceBroadcast(now, b)
}
