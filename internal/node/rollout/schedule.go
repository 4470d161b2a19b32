package rollout

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// candidate is a broker that lacks a version and at which nothing is under way.
type candidate struct {
	broker  *broker
	missing missingVersion
}

// compareUrgency puts brokers that are silent last, as their loss is likelier than their need, and before that the earliest
// bound first.
func (c candidate) compareUrgency(other candidate) int {
	silent, otherSilent := c.broker.instance.SilentMs > 0, other.broker.instance.SilentMs > 0
	if silent != otherSilent {
		if silent {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.missing.knownAt, other.missing.knownAt)
}

// pendingCandidates lists the brokers that lack a version and at which nothing is under way, the most urgent first.
func (r *Rollout) pendingCandidates() []candidate {
	var list []candidate
	for _, b := range r.brokers {
		if b.inProgress() || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		if missing, found := r.targets.mostUrgent(b); found {
			list = append(list, candidate{broker: b, missing: missing})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(a.compareUrgency(b), compareHash(a.broker, b.broker))
	})
	return list
}

// startPending claims as many of the pending brokers as the pace of their services allows to be out of service.
func (r *Rollout) startPending(now core.Time, s *Situation, pending []candidate) {
	pending = slices.DeleteFunc(slices.Clone(pending), func(c candidate) bool { return r.leaseHolder.blockedByPrevious(now, c.broker.instance.Id) })
	if len(pending) == 0 || !r.leaseHolder.headLeaseValid(now, s) {
		return
	}
	services := r.progressByService(pending)
	for len(pending) > 0 {
		next := r.nextCandidate(now, services, pending)
		if next < 0 {
			return
		}
		chosen := pending[next]
		pending = slices.Delete(pending, next, next+1)
		services[chosen.broker.instance.Service].start(chosen.broker)
		r.claim(now, chosen.broker, chosen.missing)
	}
}

// serviceProgress is how a service stands in a campaign.
type serviceProgress struct {
	brokers          int            // ready
	inProgress       int            // out of service for the duty
	lacking          int            // that lack a version, the busy ones included
	knownAt          core.Time      // the earliest bound of a pending broker counts from here
	inProgressByZone map[string]int // busy ones by zone
}

func (c *serviceProgress) start(b *broker) {
	c.inProgress++
	c.inProgressByZone[b.instance.Zone]++
}

func (r *Rollout) progressByService(pending []candidate) map[string]*serviceProgress {
	services := map[string]*serviceProgress{}
	for _, c := range pending {
		count := services[c.broker.instance.Service]
		if count == nil {
			count = &serviceProgress{knownAt: c.missing.knownAt, inProgressByZone: map[string]int{}}
			services[c.broker.instance.Service] = count
		}
		count.knownAt = min(count.knownAt, c.missing.knownAt)
		count.lacking++
	}
	for _, b := range r.brokers {
		count := services[b.instance.Service]
		if count == nil || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		count.brokers++
		if b.inProgress() {
			count.lacking++
			count.start(b)
		}
	}
	return services
}

// nextCandidate is the place among the pending of the broker to start next, -1 where none may be. Among equally urgent ones the zone
// with the fewest brokers out of service comes first, then the order of the list.
func (r *Rollout) nextCandidate(now core.Time, services map[string]*serviceProgress, pending []candidate) int {
	best, bestBusy := -1, 0
	for i, c := range pending {
		if c.broker.retryAt > now {
			continue
		}
		count := services[c.broker.instance.Service]
		limit := r.estimatorOf(c.broker).concurrencyLimit(now, count.brokers, count.lacking, r.options.BaseConcurrency, count.knownAt, r.options.VersionBound)
		if count.inProgress >= limit {
			continue
		}
		if best >= 0 && c.compareUrgency(pending[best]) > 0 {
			break
		}
		if busy := count.inProgressByZone[c.broker.instance.Zone]; best < 0 || busy < bestBusy {
			best, bestBusy = i, busy
		}
	}
	return best
}

func (r *Rollout) estimatorOf(b *broker) *durationEstimator {
	p := r.estimators[b.instance.Service]
	if p == nil {
		p = &durationEstimator{}
		r.estimators[b.instance.Service] = p
	}
	return p
}
