package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// leaseRetryInterval is how soon a step is due again while only the head lease or the grant is
// missing.
const leaseRetryInterval = 100 * time.Millisecond

// Rollout is the state machine of the role. It is not safe for concurrent use. After each input
// other than Step, Step must be called at Deadline, which may be at once.
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

// Deadline is when Step must be called at the latest; core.Never: only when the situation changes.
func (r *Rollout) Deadline() core.Time { return r.deadline }

// Step takes the situation in and does what is due. It must be called at Deadline and whenever
// headship, the targets, the grant or the brokers change.
//
// Brokers in progress advance before new ones are claimed, so that those which finish make room for
// others within the same step. Claims advance once more after that: the grant may cover a newly
// claimed broker already.
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

// observeBrokers takes the known brokers in and forgets those that have gone.
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

// adoptMarked takes over a broker that a previous holder marked and so may have ordered: its report
// is polled once no order of that holder can arrive any more.
func (r *Rollout) adoptMarked(now core.Time, b *broker) {
	b.marked = true
	b.markedAt = now
	b.verifyAfter(max(now, r.leaseHolder.headSince+HeadLeaseDuration))
	for _, model := range b.instance.Models {
		b.targetModel = model.Name
		b.targetVersion = max(r.targets.newest(model.Name), 1)
		if model.Version < b.targetVersion {
			return
		}
	}
}

// maintainGrant requests the grant while it is needed, and releases it when nothing is left to do.
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

// updateDeadline sets when the next step is due. pending: brokers lacked a version when this step
// began to claim.
func (r *Rollout) updateDeadline(now core.Time, s *Situation, pending bool) {
	for _, b := range r.brokers {
		r.wakeBy(b.deadline())
		switch {
		case b.inProgress():
		case b.retryAt > now:
			r.wakeBy(b.retryAt)
		case b.hasForeignMark():
			r.wakeBy(b.foreignMarkCountsAt())
		}
	}
	switch {
	case pending:
		r.wakeBy(now + leaseRetryInterval)
	case !r.anyInProgress():
		releasableAt := min(r.leaseHolder.releasableAt(), r.leaseHolder.previousReleasableAt(s))
		r.wakeBy(max(now, releasableAt))
	}
}

func (r *Rollout) wakeBy(wakeAt core.Time) { r.deadline = min(r.deadline, wakeAt) }
