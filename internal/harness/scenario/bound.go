package scenario

import (
	"math"
	"sort"

	"kestrelspread/internal/fleet/lossplan"
	"kestrelspread/internal/harness/links"
)

// injectedFault is a partition of the run, or, without Destination, the loss of a site. Times are in ms of the run.
type injectedFault struct {
	links.Fault
	startMs, endMs float64 // endMs is positive infinity while the fault lasts
}

// recordFault records a fault that starts now, until end is called.
func (run *runner) recordFault(fault links.Fault) (end func()) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	index := len(run.injectedFaults)
	run.injectedFaults = append(run.injectedFaults, injectedFault{fault, run.now(), math.Inf(1)})
	return func() {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.injectedFaults[index].endMs = run.now()
	}
}

// coversSite reports whether a pattern covers a complete site.
func (run *runner) coversSite(pattern string, site int) bool {
	return pattern == "*" || pattern == "@"+run.Sites[site].Name
}

// separates reports whether the fault partitions two sites, in either direction: a handshake and an answer need both.
func (run *runner) separates(fault *injectedFault, siteA, siteB int) bool {
	return run.coversSite(fault.Source, siteA) && run.coversSite(fault.Destination, siteB) ||
		run.coversSite(fault.Source, siteB) && run.coversSite(fault.Destination, siteA)
}

// stateAt is the true state of the fleet at a moment, as an omniscient observer knows it: partitions, lost sites, and slow,
// unresponsive and warming up servers.
func (run *runner) stateAt(momentMs float64) *lossplan.Conditions {
	fleet := run.Fleet()
	state := fleet.IdealConditions()
	load := 0.0
	for _, s := range run.Sites {
		load += *s.Load
	}
	for i, s := range run.Sites {
		state.ArrivalShare[i] = *s.Load / load
	}
	for i, s := range run.servers {
		capacity, unresponsive := s.model.CapacityAt(momentMs)
		if unresponsive {
			capacity = 0
		}
		state.CapacityPerS[i] = capacity
	}
	lostSites, diverted := run.applyFaults(state, momentMs)
	for _, site := range diverted {
		divertArrivals(state, site)
	}
	sort.Ints(lostSites)
	return state.LoseSites(fleet, lostSites...)
}

// applyFaults applies the partitions of a moment to the state. It returns the lost sites, and the sites whose clients reach
// none of the site's brokers and turn to the others'.
func (run *runner) applyFaults(state *lossplan.Conditions, momentMs float64) (lostSites, diverted []int) {
	for i := range run.injectedFaults {
		fault := &run.injectedFaults[i]
		if momentMs < fault.startMs || momentMs >= fault.endMs {
			continue
		}
		for siteA := range run.Sites {
			if fault.Destination == "" {
				if run.coversSite(fault.Source, siteA) {
					lostSites = append(lostSites, siteA)
				}
				continue
			}
			fromClients := fault.Source == "*" || fault.Source == "clients-"+run.Sites[siteA].Name
			if fromClients && run.coversSite(fault.Destination, siteA) {
				diverted = append(diverted, siteA)
			}
			for siteB := range run.Sites {
				if run.separates(fault, siteA, siteB) {
					state.Partition(siteA, siteB)
				}
			}
		}
	}
	return lostSites, diverted
}

// divertArrivals distributes the arrivals of a site equally over the others.
func divertArrivals(state *lossplan.Conditions, site int) {
	share := state.ArrivalShare[site]
	state.ArrivalShare[site] = 0
	for i := range state.ArrivalShare {
		if i != site {
			state.ArrivalShare[i] += share / float64(len(state.ArrivalShare)-1)
		}
	}
}

// boundCache computes the upper bound of each state once.
type boundCache struct {
	run   *runner
	fleet *lossplan.Fleet
	known map[string][]float64 // by key of the state
}

// servedShares is the highest share of each query type that can be served in a state. If the linear program finds no solution, it
// is 1: nothing is claimed to be out of reach.
func (c *boundCache) servedShares(state *lossplan.Conditions) []float64 {
	key := state.Key()
	if c.known[key] == nil {
		bound, err := c.fleet.UpperBound(state)
		if err != nil {
			c.run.options.Printf("no bound: %v", err)
			bound = &lossplan.Bound{Served: make([]float64, len(c.run.Types))}
			for i := range bound.Served {
				bound.Served[i] = 1
			}
		}
		c.known[key] = bound.Served
	}
	return c.known[key]
}

// upperBounds is, by second and query type, the highest share that an omniscient balancer could serve. A second in which the state
// changed is the mean over time.
func (run *runner) upperBounds() [][]float64 {
	cache := &boundCache{run: run, fleet: run.Fleet(), known: map[string][]float64{}}
	shares := make([][]float64, int(run.Seconds))
	for second := range shares {
		shares[second] = make([]float64, len(run.Types))
		changes := run.changesWithin(second)
		for i := 1; i < len(changes); i++ {
			start, end := changes[i-1], changes[i]
			for kind, share := range cache.servedShares(run.stateAt((start + end) / 2)) {
				shares[second][kind] += share * (end - start) / 1000
			}
		}
	}
	return shares
}

// changesWithin are the moments of a second, in ms, at which the state changed, with its start and its end.
func (run *runner) changesWithin(second int) []float64 {
	start, end := float64(second)*1000, float64(second+1)*1000
	changes := []float64{start, end}
	for _, fault := range run.injectedFaults {
		for _, moment := range []float64{fault.startMs, fault.endMs} {
			if moment > start && moment < end {
				changes = append(changes, moment)
			}
		}
	}
	sort.Float64s(changes)
	return changes
}
