package rollout

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/core"
)

// advanceBrokers advances each broker in progress.
func (r *Rollout) advanceBrokers(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.inProgressBrokers() {
		outputs = r.advanceBroker(now, s, b, outputs)
	}
	return outputs
}

// advanceClaims marks the claimed brokers that the grant covers already.
func (r *Rollout) advanceClaims(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.inProgressBrokers() {
		if b.phase == claiming {
			outputs = r.advanceBroker(now, s, b, outputs)
		}
	}
	return outputs
}

// inProgressBrokers lists the brokers in progress in a fixed order, so that a step doesn't depend
// on the order of a map.
func (r *Rollout) inProgressBrokers() []*broker {
	var brokers []*broker
	for _, b := range r.brokers {
		if b.inProgress() {
			brokers = append(brokers, b)
		}
	}
	slices.SortFunc(brokers, compareSortKey)
	return brokers
}

func compareSortKey(a, b *broker) int {
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.instance.Id, b.instance.Id))
}

// advanceBroker does what is due at one broker: an observed version, a committed claim, then the
// end of a call or phase.
func (r *Rollout) advanceBroker(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.phase >= ordering && b.callToken == 0 && b.hasTarget() {
		outputs = r.finish(now, b, outputs) // a heartbeat reported the version
	}
	if b.phase == claiming && r.leaseHolder.mayOrder(now, s, b.instance.Id) {
		return r.mark(now, b, outputs)
	}
	if !b.inProgress() || now < b.deadline() {
		return outputs
	}
	if b.callToken != 0 {
		r.callTimedOut(now, b)
		return outputs
	}
	return r.endPhase(now, s, b, outputs)
}

// endPhase moves a broker on whose phase has reached its deadline.
func (r *Rollout) endPhase(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	switch b.phase {
	case claiming:
		b.phase = idle
	case marking:
		b.quiesce(now)
	case quiescing:
		return r.sendOrder(now, s, b, outputs)
	case loading, verifying:
		return r.fetchReport(now, b, outputs)
	}
	return outputs
}

// callTimedOut ends a call whose end the shell never reported.
func (r *Rollout) callTimedOut(now core.Time, b *broker) {
	b.callToken = 0
	if b.phase == ordering {
		b.verifyAfter(now)
		return
	}
	b.phaseDeadline = now
}

// claim has the grant name a broker, so that the next head knows that it may
// have been ordered.
func (r *Rollout) claim(now core.Time, b *broker, missing missingVersion) {
	b.setTarget(missing)
	b.phase = claiming
	b.phaseDeadline = now + claimTimeout
	r.leaseHolder.claim(b.instance.Id)
}

// mark takes a broker out of service.
func (r *Rollout) mark(now core.Time, b *broker, outputs []core.Output) []core.Output {
	b.phase = marking
	b.marked = true
	b.markedAt = now
	b.phaseDeadline = now + markTimeout
	return append(outputs, core.MarkLoading{InstanceID: b.instance.Id, FencingToken: r.leaseHolder.grantedFence})
}

// unmark puts a broker back into service.
func (r *Rollout) unmark(now core.Time, b *broker, outputs []core.Output) []core.Output {
	if !b.marked {
		return outputs
	}
	b.marked = false
	b.unmarkedAt = now
	return append(outputs, core.MarkLoading{InstanceID: b.instance.Id})
}

// sendOrder orders the most urgent version from a marked broker if an order may leave now. Where an
// earlier order may have been taken, the report is polled first.
func (r *Rollout) sendOrder(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.orderUncertain {
		b.phase = verifying
		return r.fetchReport(now, b, outputs)
	}
	missing, found := r.targets.earliestMissing(b)
	if !found {
		b.phase = idle
		return r.unmark(now, b, outputs)
	}
	switch id := b.instance.Id; {
	case r.leaseHolder.previous.blocks(now, id):
		b.backOff(now)
		return r.unmark(now, b, outputs)
	case !r.leaseHolder.headLeaseValid(now, s):
		b.phaseDeadline = now + leaseRetryInterval
		return outputs
	case !r.leaseHolder.grantCovers(id):
		r.claim(now, b, missing)
		return outputs
	}
	b.setTarget(missing)
	b.phase = ordering
	r.startCall(now, b)
	r.leaseHolder.lastOrderAt = now
	return append(outputs, core.SendOrder{
		Token:      b.callToken,
		InstanceID: b.instance.Id,
		Address:    b.instance.Address,
		Body:       versionOrder(b.targetModel, b.targetVersion, r.leaseHolder.holderID, r.leaseHolder.grantedFence),
		ValidUntil: s.headLeaseEnd(),
	})
}

// fetchReport polls the broker's report; ReportDone takes the answer.
func (r *Rollout) fetchReport(now core.Time, b *broker, outputs []core.Output) []core.Output {
	r.startCall(now, b)
	return append(outputs, core.FetchReport{Token: b.callToken, InstanceID: b.instance.Id, Address: b.instance.Address})
}

func (r *Rollout) startCall(now core.Time, b *broker) {
	r.lastCallToken++
	b.callToken = r.lastCallToken
	b.callSentAt = now
}
