package rollout

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// candidate is a broker that lacks a version and at which nothing is under way.
type candidate struct {
	broker *broker
	need   need
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
	return cmp.Compare(c.need.known, other.need.known)
}

// pending lists the brokers that lack a version and at which nothing is under way, the most urgent first.
func (r *Rollout) pending() []candidate {
	var list []candidate
	for _, b := range r.brokers {
		if b.busy() || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		if lacking, any := r.targets.needOf(b); any {
			list = append(list, candidate{broker: b, need: lacking})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(a.compareUrgency(b), compareHash(a.broker, b.broker))
	})
	return list
}

// startPending claims as many of the pending brokers as the pace of their services allows to be out of service.
func (r *Rollout) startPending(now core.Time, s *Situation, pending []candidate) {
	pending = slices.DeleteFunc(slices.Clone(pending), func(c candidate) bool { return r.holder.barred(now, c.broker.instance.Id) })
	if len(pending) == 0 || !r.holder.leads(now, s) {
		return
	}
	services := r.countServices(pending)
	for len(pending) > 0 {
		next := r.choose(now, services, pending)
		if next < 0 {
			return
		}
		chosen := pending[next]
		pending = slices.Delete(pending, next, next+1)
		services[chosen.broker.instance.Service].start(chosen.broker)
		r.claim(now, chosen.broker, chosen.need)
	}
}

// serviceCount is how a service stands in a campaign.
type serviceCount struct {
	brokers int            // ready
	busy    int            // out of service for the duty
	left    int            // that lack a version, the busy ones included
	known   core.Time      // the earliest bound of a pending broker counts from here
	zones   map[string]int // busy ones by zone
}

func (c *serviceCount) start(b *broker) {
	c.busy++
	c.zones[b.instance.Zone]++
}

func (r *Rollout) countServices(pending []candidate) map[string]*serviceCount {
	services := map[string]*serviceCount{}
	for _, c := range pending {
		count := services[c.broker.instance.Service]
		if count == nil {
			count = &serviceCount{known: c.need.known, zones: map[string]int{}}
			services[c.broker.instance.Service] = count
		}
		count.known = min(count.known, c.need.known)
		count.left++
	}
	for _, b := range r.brokers {
		count := services[b.instance.Service]
		if count == nil || b.instance.State != nodepb.InstanceState_READY {
			continue
		}
		count.brokers++
		if b.busy() {
			count.left++
			count.start(b)
		}
	}
	return services
}

// choose is the place among the pending of the broker to start next, -1 where none may be. Among equally urgent ones the zone
// with the fewest brokers out of service comes first, then the order of the list.
func (r *Rollout) choose(now core.Time, services map[string]*serviceCount, pending []candidate) int {
	best, bestBusy := -1, 0
	for i, c := range pending {
		if c.broker.retryAt > now {
			continue
		}
		count := services[c.broker.instance.Service]
		limit := r.paceOf(c.broker).limit(now, count.brokers, count.left, r.options.AtOnce, count.known, r.options.Version)
		if count.busy >= limit {
			continue
		}
		if best >= 0 && c.compareUrgency(pending[best]) > 0 {
			break
		}
		if busy := count.zones[c.broker.instance.Zone]; best < 0 || busy < bestBusy {
			best, bestBusy = i, busy
		}
	}
	return best
}

func (r *Rollout) paceOf(b *broker) *pace {
	p := r.paces[b.instance.Service]
	if p == nil {
		p = &pace{}
		r.paces[b.instance.Service] = p
	}
	return p
}
