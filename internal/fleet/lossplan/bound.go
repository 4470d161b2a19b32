package lossplan

import (
	"fmt"
	"sort"
)

// Bound is the most that can be served of each type under given conditions, the most valued type first, then the next. A linear
// programme of which searches are taken and where their sub-requests go, within each server's capacity. An upper bound:
// queues and chance are not part of it, and a search that accepts a partial answer takes all shards in reach.
type Bound struct {
	Served       []float64   // by type, share of its searches
	ServedBySite [][]float64 // by the site at which searches arrive, then by type
	Goodput      float64     // value a second
}

// valueRankFactor is how many times more a type counts than the next less valued one: no choice gives one of it up for that.
const valueRankFactor = 100

// UpperBound returns the most that conditions allow.
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
	taken, err := n.solve(f.valueWeights())
	if err != nil {
		return nil, fmt.Errorf("what can be served: %w", err)
	}
	for j, s := range n.searches {
		load := f.Loads[s.load]
		b.ServedBySite[s.site][s.load] += taken[j] / (c.ArrivalShare[s.site] * load.SearchesPerS)
		b.Served[s.load] += taken[j] / load.SearchesPerS
		b.Goodput += taken[j] * load.Value
	}
	return b, nil
}

// valueWeights weighs each type so that the most valued goes before all others.
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

// network is the flow of sub-requests from searches by way of shards to servers.
type network struct {
	searches []searchClass
	pools    []serverPool
	demands  []shardDemand
	flows    []flow

	poolIndex   map[poolKey]int
	demandIndex map[shardDemand]int
}

// searchClass are alike: of one type, from one site's brokers, from the same first shard on.
type searchClass struct {
	site     int
	load     int
	shards   []int // in reach
	ratePerS float64
}

// serverPool are the servers of one cell at one site: alike to everybody, they count as one.
type serverPool struct {
	poolKey
	capacityPerS float64
}

type poolKey struct{ site, cell int }

// shardDemand is what one site's brokers ask of a shard.
type shardDemand struct{ site, shard int }

// flow is the way of a demand to a pool that holds its shard.
type flow struct{ demand, pool int }

func (f *Fleet) newNetwork(c *Conditions) *network {
	n := &network{poolIndex: map[poolKey]int{}, demandIndex: map[shardDemand]int{}}
	for i, s := range f.Servers {
		n.addServer(poolKey{s.Site, s.Cell}, c.CapacityPerS[i]*f.Headroom)
	}
	for site, share := range c.ArrivalShare {
		if share <= 0 {
			continue
		}
		holders := f.holders(n.pools, c.Reachable[site])
		for load := range f.Loads {
			for first := range f.Shards {
				f.addSearches(n, site, load, first, share, holders)
			}
		}
	}
	return n
}

func (n *network) addServer(key poolKey, capacityPerS float64) {
	index, known := n.poolIndex[key]
	if !known {
		index = len(n.pools)
		n.poolIndex[key] = index
		n.pools = append(n.pools, serverPool{poolKey: key})
	}
	n.pools[index].capacityPerS += capacityPerS
}

// holders returns, by shard, the pools that hold it and are reachable.
func (f *Fleet) holders(pools []serverPool, reachable []bool) [][]int {
	holders := make([][]int, f.Shards)
	for shard := range f.Shards {
		for i, pool := range pools {
			if reachable[pool.site] && pool.capacityPerS > 0 && f.hasReplica(pool.cell, shard) {
				holders[shard] = append(holders[shard], i)
			}
		}
	}
	return holders
}

// addSearches adds the searches of one type at one site from a first shard on, where they find enough of their shards.
func (f *Fleet) addSearches(n *network, site, load, first int, arrivalShare float64, holders [][]int) {
	l := &f.Loads[load]
	class := searchClass{site: site, load: load, ratePerS: arrivalShare * l.SearchesPerS / float64(f.Shards)}
	for i := range l.ShardsPerSearch {
		if shard := (first + i) % f.Shards; len(holders[shard]) > 0 {
			class.shards = append(class.shards, shard)
		}
	}
	found := len(class.shards)
	enough := found == l.ShardsPerSearch || found > 0 && l.acceptsPartial(found)
	if !enough || class.ratePerS <= 0 {
		return
	}
	for _, shard := range class.shards {
		n.addDemand(shardDemand{site, shard}, holders[shard])
	}
	n.searches = append(n.searches, class)
}

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
