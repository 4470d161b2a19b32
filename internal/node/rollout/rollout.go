package rollout

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// leaseRetryInterval is how soon a step is wanted again while only the lease or the grant is missing.
const leaseRetryInterval = 100 * time.Millisecond

// Rollout is the duty's state machine. After each input other than Step, Step is to be called at Deadline, which may be at
// once.
type Rollout struct {
	options     Options
	leaseHolder leaseHolder
	targets     targets
	brokers     map[string]*broker            // by instance id
	estimators  map[string]*durationEstimator // by service

	stepCount     uint64
	lastCallToken uint64
	deadline      core.Time
}

// New returns a machine that has ordered nothing yet.
func New(options Options) *Rollout {
	return &Rollout{
		options:     options,
		leaseHolder: leaseHolder{leaseDuration: options.Lease, thawGrace: options.ThawGrace},
		brokers:     map[string]*broker{},
		estimators:  map[string]*durationEstimator{},
		deadline:    core.Never,
	}
}

// Deadline is when Step is to be called at the latest; core.Never: only when the situation changes.
func (r *Rollout) Deadline() core.Time { return r.deadline }

// Step looks at the situation and goes on with what is due. It is to be called at Deadline and whenever headship, the
// targets, the grant or the brokers change.
func (r *Rollout) Step(now core.Time, s *Situation) []core.Output {
	r.targets.observe(s.Targets)
	r.deadline = core.Never
	if !r.leaseHolder.observe(now, s) {
		clear(r.brokers)
		return nil
	}
	r.stepCount++
	r.observeBrokers(now, s.Instances)
	outputs := r.advanceBrokers(now, s, nil)
	pending := r.pendingCandidates()
	r.startPending(now, s, pending)
	outputs = r.advanceClaims(now, s, outputs)
	outputs = r.maintainGrant(now, s, len(pending) > 0, outputs)
	r.updateDeadline(now, s, len(pending) > 0)
	return outputs
}

// observeBrokers takes in the brokers known, and forgets those that have gone.
func (r *Rollout) observeBrokers(now core.Time, instances []*nodepb.Instance) {
	for _, instance := range instances {
		if instance.State == nodepb.InstanceState_GONE || len(instance.Models) == 0 {
			continue
		}
		b := r.brokers[instance.Id]
		if b == nil {
			b = newBroker(instance)
			r.brokers[instance.Id] = b
		}
		b.instance = instance
		b.lastSeenStep = r.stepCount
		if b.hasForeignMark() && now >= b.foreignMarkCountsAt() {
			r.adoptMarked(now, b)
		}
	}
	for id, b := range r.brokers {
		if b.lastSeenStep != r.stepCount {
			delete(r.brokers, id)
		}
	}
}

// adoptMarked has the report of a broker asked that a former holder marked, and so may have ordered, once none of that holder's
// orders can still come.
func (r *Rollout) adoptMarked(now core.Time, b *broker) {
	b.marked = true
	b.markedAt = now
	b.verifyAfter(max(now, r.leaseHolder.headSince+HeadLeaseDuration))
	for _, model := range b.instance.Models {
		b.targetModel, b.targetVersion = model.Name, max(r.targets.newest(model.Name), 1)
		if model.Version < b.targetVersion {
			return
		}
	}
}

// advanceBrokers lets each broker that something is under way at go on.
func (r *Rollout) advanceBrokers(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.inProgressBrokers() {
		outputs = r.advanceBroker(now, s, b, outputs)
	}
	return outputs
}

// advanceClaims marks the brokers that were claimed and are covered by the grant already.
func (r *Rollout) advanceClaims(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.inProgressBrokers() {
		if b.phase == claiming {
			outputs = r.advanceBroker(now, s, b, outputs)
		}
	}
	return outputs
}

// inProgressBrokers lists the brokers at which something is under way, in a fixed order.
func (r *Rollout) inProgressBrokers() []*broker {
	var list []*broker
	for _, b := range r.brokers {
		if b.inProgress() {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, compareHash)
	return list
}

func compareHash(a, b *broker) int {
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.instance.Id, b.instance.Id))
}

func (r *Rollout) advanceBroker(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.phase >= ordering && b.callToken == 0 && b.hasTarget() {
		outputs = r.finish(now, b, outputs) // a heartbeat told of it
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
	switch b.phase {
	case claiming:
		b.phase = idle
	case marking:
		b.phase = quiescing
		b.phaseDeadline = now + quiesceTime
	case quiescing:
		return r.sendOrder(now, s, b, outputs)
	case loading, verifying:
		return r.requestReport(now, b, outputs)
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

// claim has the grant name a broker, so that whoever becomes head after this node knows that it may have been ordered.
func (r *Rollout) claim(now core.Time, b *broker, missing missingVersion) {
	b.targetModel, b.targetVersion = missing.model, missing.version
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
	return append(outputs, core.MarkLoading{InstanceID: b.instance.Id, Fence: r.leaseHolder.grantedFence})
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

// sendOrder sends the order to a broker that is marked, where an order may leave now. Where a former one may have been taken, the
// report is asked first.
func (r *Rollout) sendOrder(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.orderUncertain {
		b.phase = verifying
		return r.requestReport(now, b, outputs)
	}
	missing, found := r.targets.mostUrgent(b)
	if !found {
		b.phase = idle
		return r.unmark(now, b, outputs)
	}
	switch id := b.instance.Id; {
	case r.leaseHolder.blockedByPrevious(now, id):
		b.backOff(now)
		return r.unmark(now, b, outputs)
	case !r.leaseHolder.headLeaseValid(now, s):
		b.phaseDeadline = now + leaseRetryInterval
		return outputs
	case !r.leaseHolder.grantCovers(id):
		r.claim(now, b, missing)
		return outputs
	}
	b.targetModel, b.targetVersion = missing.model, missing.version
	b.phase = ordering
	b.callToken = r.nextCallToken()
	b.callSentAt = now
	r.leaseHolder.lastOrderAt = now
	return append(outputs, core.Order{
		Token:      b.callToken,
		InstanceID: b.instance.Id,
		Address:    b.instance.Address,
		Body:       versionOrder(b.targetModel, b.targetVersion, r.leaseHolder.holderID, r.leaseHolder.grantedFence),
		ValidUntil: s.headLeaseEnd(),
	})
}

func (r *Rollout) requestReport(now core.Time, b *broker, outputs []core.Output) []core.Output {
	b.callToken = r.nextCallToken()
	b.callSentAt = now
	return append(outputs, core.AskReport{Token: b.callToken, InstanceID: b.instance.Id, Address: b.instance.Address})
}

func (r *Rollout) nextCallToken() uint64 {
	r.lastCallToken++
	return r.lastCallToken
}

// maintainGrant takes the grant where it is needed, and gives it back where nothing is left to do.
func (r *Rollout) maintainGrant(now core.Time, s *Situation, pending bool, outputs []core.Output) []core.Output {
	if pending || r.anyInProgress() {
		return r.leaseHolder.requestGrant(now, s, outputs)
	}
	return r.leaseHolder.releaseGrant(now, s, outputs)
}

func (r *Rollout) anyInProgress() bool {
	for _, b := range r.brokers {
		if b.inProgress() {
			return true
		}
	}
	return false
}

// updateDeadline sets the deadline.
func (r *Rollout) updateDeadline(now core.Time, s *Situation, pending bool) {
	busy := false
	for _, b := range r.brokers {
		r.wakeBy(b.deadline())
		switch {
		case b.inProgress():
			busy = true
		case b.retryAt > now:
			r.wakeBy(b.retryAt)
		case b.hasForeignMark():
			r.wakeBy(b.foreignMarkCountsAt())
		}
	}
	switch {
	case pending:
		r.wakeBy(now + leaseRetryInterval)
	case !pending && !busy:
		r.wakeBy(max(now, min(r.leaseHolder.releasableAt(), r.leaseHolder.previousReleasableAt(s))))
	}
}

func (r *Rollout) wakeBy(wakeAt core.Time) { r.deadline = min(r.deadline, wakeAt) }
