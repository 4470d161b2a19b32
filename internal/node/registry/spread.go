package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// spread is an update on its way to all other nodes, until they have confirmed it.
type spread struct {
	nonce   uint64
	message *nodepb.Envelope
	ids     []string
	pending []string // node ids that have not confirmed
	// confirmations counts the nodes that have.
	confirmations int

	retryAt  core.Time
	answerBy core.Time
	giveUpAt core.Time

	askers   []asker
	marks    []core.LoadingConfirmed
	answered bool
}

func (s *spread) deadline() core.Time {
	next := min(s.retryAt, s.giveUpAt)
	if !s.answered {
		next = min(next, s.answerBy)
	}
	return next
}

// over reports whether nothing is left to wait for.
func (s *spread) over(now core.Time) bool {
	return s.answered && (len(s.pending) == 0 || s.giveUpAt <= now)
}

// enqueue tells the other nodes of a broker after the delay, together with what else comes up until then.
func (r *Registry) enqueue(now core.Time, id string, delay core.Time) {
	if !slices.Contains(r.batch, id) {
		r.batch = append(r.batch, id)
	}
	r.batchAt = min(r.batchAt, now+delay)
}

func (r *Registry) flushBatch(now core.Time) {
	ids := r.batch
	r.batch = nil
	r.batchAt = core.Never
	slices.Sort(ids)
	for part := range slices.Chunk(ids, instancesPerMessage) {
		r.settle(now, r.startSpread(now, part, now+confirmLimit))
	}
}

// startSpread sends the records of the brokers to all other nodes. The caller settles it.
func (r *Registry) startSpread(now core.Time, ids []string, answerBy core.Time) *spread {
	update := &nodepb.InstanceUpdate{Nonce: r.nextNonce(), AckWanted: true, Instances: r.messages(now, ids)}
	started := &spread{
		nonce:    update.Nonce,
		message:  &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: update}},
		ids:      ids,
		retryAt:  now + updateRetry,
		answerBy: answerBy,
		giveUpAt: now + updateLimit,
	}
	for _, other := range r.others {
		started.pending = append(started.pending, other.id)
		r.send(other.address, started.message)
	}
	r.spreads = append(r.spreads, started)
	r.unbatch(ids)
	return started
}

// unbatch drops brokers from the batch that have just been told.
func (r *Registry) unbatch(ids []string) {
	r.batch = slices.DeleteFunc(r.batch, func(id string) bool { return slices.Contains(ids, id) })
	if len(r.batch) == 0 {
		r.batchAt = core.Never
	}
}

func (r *Registry) messages(now core.Time, ids []string) []*nodepb.Instance {
	list := make([]*nodepb.Instance, 0, len(ids))
	for _, id := range ids {
		if rec := r.records[id]; rec != nil {
			list = append(list, rec.message(now))
		}
	}
	return list
}

// spreadConfirming finds an unanswered update that tells the present state of a broker.
func (r *Registry) spreadConfirming(rec *record) *spread {
	for _, pending := range r.spreads {
		if !pending.answered && pending.tells(rec) {
			return pending
		}
	}
	return nil
}

func (s *spread) tells(rec *record) bool {
	for _, instance := range s.message.GetInstanceUpdate().Instances {
		if instance.Id == rec.told.Id && instance.State == rec.state() {
			return true
		}
	}
	return false
}

// settle answers who waits for the update, once all nodes in touch have confirmed it or its time is over.
func (r *Registry) settle(now core.Time, pending *spread) {
	if !pending.answered {
		r.tryAnswer(now, pending)
	}
	if pending.over(now) {
		r.endSpread(now, pending)
	}
}

func (r *Registry) tryAnswer(now core.Time, pending *spread) {
	awaited := slices.ContainsFunc(pending.pending, func(id string) bool { return r.awaits(now, id) })
	held := pending.confirmations > 0 || r.alone(now)
	outOfTime := pending.answerBy <= now || len(pending.pending) == 0
	if !outOfTime && (awaited || !held) {
		return
	}
	pending.answered = true
	r.answerAskers(now, pending, held, !awaited)
	for _, mark := range pending.marks {
		mark.Everywhere = !awaited
		r.output(mark)
	}
}

// awaits reports whether an answer waits for a node: one that is a member, not suspected, and was not silent lately.
func (r *Registry) awaits(now core.Time, id string) bool {
	known := r.peers[id]
	return known != nil && known.responsive(now)
}

// answerAskers answers the calls of a broker that leaves. Where not all nodes in touch have confirmed, its next call is told
// to the nodes again.
func (r *Registry) answerAskers(now core.Time, pending *spread, held, everywhere bool) {
	for _, id := range pending.ids {
		rec := r.records[id]
		if rec == nil || !pending.tells(rec) {
			continue
		}
		rec.confirmed = rec.confirmed || held && everywhere
		for _, waiting := range pending.askers {
			r.answer(now, waiting, rec.told, held)
		}
		return
	}
	for _, waiting := range pending.askers {
		r.answerWith(waiting, held, "")
	}
}

func (r *Registry) endSpread(now core.Time, pending *spread) {
	for _, id := range pending.pending {
		r.markUnresponsive(now, id)
	}
	r.spreads = slices.DeleteFunc(r.spreads, func(other *spread) bool { return other == pending })
}

// tickSpreads sends updates again to who has not confirmed them.
func (r *Registry) tickSpreads(now core.Time) {
	for _, pending := range slices.Clone(r.spreads) {
		if pending.retryAt <= now {
			r.resend(now, pending)
		}
		r.settle(now, pending)
	}
}

func (r *Registry) resend(now core.Time, pending *spread) {
	pending.retryAt = now + updateRetry
	for _, id := range pending.pending {
		if known := r.peers[id]; known != nil {
			r.send(known.address, pending.message)
		}
	}
}

// settleSpreads drops nodes that are members no more from the updates under way.
func (r *Registry) settleSpreads(now core.Time) {
	for _, pending := range slices.Clone(r.spreads) {
		pending.pending = slices.DeleteFunc(pending.pending, func(id string) bool { return r.peers[id] == nil })
		r.settle(now, pending)
	}
}

// receiveUpdate takes what another node tells of brokers.
func (r *Registry) receiveUpdate(now core.Time, from core.Peer, update *nodepb.InstanceUpdate) {
	for _, instance := range update.Instances {
		r.learnUpdate(now, instance)
	}
	if !update.AckWanted {
		return
	}
	ack := &nodepb.InstanceUpdateAck{Nonce: update.Nonce}
	r.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdateAck{InstanceUpdateAck: ack}})
}

func (r *Registry) learnUpdate(now core.Time, instance *nodepb.Instance) {
	if instance.Id == "" {
		return
	}
	rec, _ := r.learn(now, instance, trustSilence)
	if rec != nil && r.refutes(now, rec, instance) {
		rec.refuted = now
		r.enqueue(now, instance.Id, batchDelay)
	}
}

func (r *Registry) receiveUpdateAck(now core.Time, from core.Peer, ack *nodepb.InstanceUpdateAck) {
	for _, pending := range r.spreads {
		if pending.nonce != ack.Nonce {
			continue
		}
		r.confirm(now, pending, from.NodeID)
		return
	}
}

func (r *Registry) confirm(now core.Time, pending *spread, id string) {
	at := slices.Index(pending.pending, id)
	if at < 0 {
		return
	}
	pending.pending = slices.Delete(pending.pending, at, at+1)
	pending.confirmations++
	r.settle(now, pending)
}
