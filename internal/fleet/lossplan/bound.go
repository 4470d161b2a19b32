package lossplan

import (
	"fmt"
	"sort"
)

// Bound is the largest share of the searches of each type that can be served under given conditions, where types of higher
// value take precedence. It is the solution of a linear program that decides which searches are served and which servers get
// their sub-requests, within each server's capacity. It is an upper bound because it ignores queueing and random variation. A
// search that accepts a partial answer is assumed to query all shards that it can reach.
type Bound struct {
	Served       []float64   // by type: share of its searches, 0 to 1
	ServedBySite [][]float64 // by the site at which searches arrive, then by type: share of its searches
	Goodput      float64     // value of the served searches per second
}

// valueRankFactor is the ratio between the weights of a type and of the type of the next lower value. It is large enough that
// the solution never gives up searches of one type to serve more of a less valued one.
const valueRankFactor = 100

// UpperBound returns the upper bound of what the fleet can serve under the conditions.
func (f *Fleet) UpperBound(c *Conditions) (*Bound, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	if len(c.CapacityPerS) != len(f.Servers) || len(c.Reachable) != len(f.Sites) || len(c.ArrivalShare) != len(f.Sites) {
		return nil, fmt.Errorf("a moment of %d servers and %d sites for a fleet of %d and %d",
			len(c.CapacityPerS), len(c.Reachable), len(f.Servers), len(f.Sites))
	}
	n := f.newNetwork(c)
	b := &Bound{Served: make([]float64, len(f.Loads))}
	for range f.Sites {
		b.ServedBySite = append(b.ServedBySite, make([]float64, len(f.Loads)))
	}
	if len(n.searches) == 0 {
		return b, nil
	}
	servedPerS, err := n.solve(f.valueWeights())
	if err != nil {
		return nil, fmt.Errorf("upper bound of served searches: %w", err)
	}
	for j, s := range n.searches {
		load := f.Loads[s.load]
		b.ServedBySite[s.site][s.load] += servedPerS[j] / (c.ArrivalShare[s.site] * load.SearchesPerS)
		b.Served[s.load] += servedPerS[j] / load.SearchesPerS
		b.Goodput += servedPerS[j] * load.Value
	}
	return b, nil
}

// valueWeights returns a weight for each type by which types of higher value take precedence over all others.
func (f *Fleet) valueWeights() []float64 {
	order := make([]int, len(f.Loads))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return f.Loads[order[a]].Value < f.Loads[order[b]].Value })
	weight, weights := 1.0, make([]float64, len(f.Loads))
	for n, i := range order {
		if n > 0 && f.Loads[i].Value > f.Loads[order[n-1]].Value {
			weight *= valueRankFactor
		}
		weights[i] = weight
	}
	return weights
}

// network is a flow network: sub-requests flow from search classes through shards to pools of servers.
type network struct {
	searches []searchClass
	pools    []serverPool
	demands  []shardDemand
	flows    []flow

	poolIndex   map[poolKey]int
	demandIndex map[shardDemand]int
}

// searchClass is a set of equivalent searches: they have the same type, site of arrival and first shard.
type searchClass struct {
	site     int     // where the searches arrive
	load     int     // index into Fleet.Loads
	shards   []int   // shards of the search that have a reachable replica
	ratePerS float64 // searches per second
}

// serverPool is all servers of one cell at one site. They hold the same shards and are reachable from the same sites, so their
// capacities can be added up.
type serverPool struct {
	poolKey
	capacityPerS float64 // sub-requests per second
}

type poolKey struct{ site, cell int }

// shardDemand identifies the sub-requests that the brokers of one site send for one shard.
type shardDemand struct{ site, shard int }

// flow is an edge from a demand to a pool that holds a replica of its shard. Both are indices into the network's slices.
type flow struct{ demand, pool int }

// newNetwork builds the network of all searches that can be answered under the conditions.
func (f *Fleet) newNetwork(c *Conditions) *network {
	n := &network{poolIndex: map[poolKey]int{}, demandIndex: map[shardDemand]int{}}
	for i, s := range f.Servers {
		n.addServer(poolKey{s.Site, s.Cell}, c.CapacityPerS[i]*f.Headroom)
	}
	for site, share := range c.ArrivalShare {
		if share <= 0 {
			continue
		}
		replicaPools := f.replicaPools(n.pools, c.Reachable[site])
		for load := range f.Loads {
			for first := range f.Shards {
				f.addSearches(n, site, load, first, share, replicaPools)
			}
		}
	}
	return n
}

// addServer adds a server's capacity to its pool, and adds the pool if it is new.
func (n *network) addServer(key poolKey, capacityPerS float64) {
	index, known := n.poolIndex[key]
	if !known {
		index = len(n.pools)
		n.poolIndex[key] = index
		n.pools = append(n.pools, serverPool{poolKey: key})
	}
	n.pools[index].capacityPerS += capacityPerS
}

// replicaPools returns, by shard, the reachable pools that have capacity and hold a replica of the shard.
func (f *Fleet) replicaPools(pools []serverPool, reachable []bool) [][]int {
	byShard := make([][]int, f.Shards)
	for shard := range f.Shards {
		for i, pool := range pools {
			if reachable[pool.site] && pool.capacityPerS > 0 && f.hasReplica(pool.cell, shard) {
				byShard[shard] = append(byShard[shard], i)
			}
		}
	}
	return byShard
}

// addSearches adds the searches of one type that arrive at one site and whose shards begin with first. It adds none if too few
// of their shards are available for an answer.
func (f *Fleet) addSearches(n *network, site, load, first int, arrivalShare float64, replicaPools [][]int) {
	l := &f.Loads[load]
	class := searchClass{site: site, load: load, ratePerS: arrivalShare * l.SearchesPerS / float64(f.Shards)}
	for i := range l.ShardsPerSearch {
		if shard := (first + i) % f.Shards; len(replicaPools[shard]) > 0 {
			class.shards = append(class.shards, shard)
		}
	}
	found := len(class.shards)
	enough := found == l.ShardsPerSearch || found > 0 && l.acceptsPartial(found)
	if !enough || class.ratePerS <= 0 {
		return
	}
	for _, shard := range class.shards {
		n.addDemand(shardDemand{site, shard}, replicaPools[shard])
	}
	n.searches = append(n.searches, class)
}

// addDemand adds a demand with a flow to each of the pools, unless the network already has it.
func (n *network) addDemand(d shardDemand, pools []int) {
	if _, known := n.demandIndex[d]; known {
		return
	}
	index := len(n.demands)
	n.demandIndex[d] = index
	n.demands = append(n.demands, d)
	for _, pool := range pools {
		n.flows = append(n.flows, flow{index, pool})
	}
}
