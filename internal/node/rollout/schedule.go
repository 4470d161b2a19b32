package rollout

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// candidate is a ready broker that lacks a version and has nothing in progress.
type candidate struct {
	broker  *broker
	missing missingVersion
}

// compareUrgency orders by the version's bound, the earliest first. Unresponsive brokers come last:
// they are likely lost.
func (c candidate) compareUrgency(other candidate) int {
	unresponsive := c.broker.instance.SinceHeartbeatMs > 0
	otherUnresponsive := other.broker.instance.SinceHeartbeatMs > 0
	if unresponsive != otherUnresponsive {
		if unresponsive {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.missing.knownAt, other.missing.knownAt)
}

// pendingCandidates lists the candidates, the most urgent first.
func (r *Rollout) pendingCandidates() []candidate {
	var pending []candidate
	for _, b := range r.brokers {
		if b.inProgress() || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		if missing, found := r.targets.earliestMissing(b); found {
			pending = append(pending, candidate{broker: b, missing: missing})
		}
	}
	slices.SortFunc(pending, func(a, b candidate) int {
		return cmp.Or(a.compareUrgency(b), compareSortKey(a.broker, b.broker))
	})
	return pending
}

// startPending claims as many of the candidates as the concurrency limits of their services allow.
func (r *Rollout) startPending(now core.Time, s *Situation, pending []candidate) {
	startable := slices.DeleteFunc(slices.Clone(pending), func(c candidate) bool {
		return r.leaseHolder.previous.blocks(now, c.broker.instance.Id)
	})
	if len(startable) == 0 || !r.leaseHolder.headLeaseValid(now, s) {
		return
	}
	services := r.progressByService(startable)
	for len(startable) > 0 {
		next := r.nextCandidate(now, services, startable)
		if next < 0 {
			return
		}
		chosen := startable[next]
		startable = slices.Delete(startable, next, next+1)
		services[chosen.broker.instance.Service].addInProgress(chosen.broker)
		r.claim(now, chosen.broker, chosen.missing)
	}
}

// serviceProgress is how far the rollout is at the brokers of one service.
type serviceProgress struct {
	brokers          int            // ready ones
	inProgress       int            // those of them at which the rollout is in progress
	lacking          int            // those that lack a version, with those in progress
	knownAt          core.Time      // the earliest bound of a candidate counts from here
	inProgressByZone map[string]int // by zone
}

func (p *serviceProgress) addInProgress(b *broker) {
	p.inProgress++
	p.inProgressByZone[b.instance.Zone]++
}

// progressByService counts the services that have candidates.
func (r *Rollout) progressByService(candidates []candidate) map[string]*serviceProgress {
	services := map[string]*serviceProgress{}
	for _, c := range candidates {
		progress := services[c.broker.instance.Service]
		if progress == nil {
			progress = &serviceProgress{knownAt: c.missing.knownAt, inProgressByZone: map[string]int{}}
			services[c.broker.instance.Service] = progress
		}
		progress.knownAt = min(progress.knownAt, c.missing.knownAt)
		progress.lacking++
	}
	for _, b := range r.brokers {
		progress := services[b.instance.Service]
		if progress == nil || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		progress.brokers++
		if b.inProgress() {
			progress.lacking++
			progress.addInProgress(b)
		}
	}
	return services
}

// nextCandidate is the index of the candidate to start next; -1: none may start. Among equally
// urgent ones the zone with the fewest brokers in progress comes first, then the order of the list.
func (r *Rollout) nextCandidate(now core.Time, services map[string]*serviceProgress, candidates []candidate) int {
	best := -1
	bestZoneLoad := 0
	for i, c := range candidates {
		if c.broker.retryAt > now {
			continue
		}
		progress := services[c.broker.instance.Service]
		if progress.inProgress >= r.concurrencyLimit(now, c.broker, progress) {
			continue
		}
		if best >= 0 && c.compareUrgency(candidates[best]) > 0 {
			break
		}
		zoneLoad := progress.inProgressByZone[c.broker.instance.Zone]
		if best < 0 || zoneLoad < bestZoneLoad {
			best, bestZoneLoad = i, zoneLoad
		}
	}
	return best
}

func (r *Rollout) concurrencyLimit(now core.Time, b *broker, progress *serviceProgress) int {
	return r.estimatorOf(b).concurrencyLimit(now, serviceLoad{
		brokers:    progress.brokers,
		lacking:    progress.lacking,
		configured: r.options.BaseConcurrency,
		knownAt:    progress.knownAt,
		bound:      r.options.VersionBound,
	})
}

func (r *Rollout) estimatorOf(b *broker) *durationEstimator {
	estimator := r.estimators[b.instance.Service]
	if estimator == nil {
		estimator = &durationEstimator{}
		r.estimators[b.instance.Service] = estimator
	}
	return estimator
}
