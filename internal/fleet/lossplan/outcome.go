package lossplan

import (
	"fmt"
	"math"
	"sort"
)

// TypeOutcome tells how the searches of one query type end, as shares of all its searches.
type TypeOutcome struct {
	Name      string  `json:"Name"`
	Complete  float64 `json:"Whole"`    // answered from all their shards
	Partial   float64 `json:"Part"`     // answered partially: some shards have no replica, but MinAnsweredShare is met
	NoReplica float64 `json:"NoHolder"` // rejected because too few of their shards have a replica
	Shed      float64 `json:"Value"`    // rejected by value, because the demand exceeds the survivors' capacity
}

// Served returns the share of the searches that are answered completely or partially.
func (s TypeOutcome) Served() float64 { return s.Complete + s.Partial }

// Outcome is what the fleet can serve after a loss of sites. `kestrelctl site plan --json` prints its JSON encoding.
type Outcome struct {
	LostSites         []string      `json:"Lost"`
	UnavailableShards []int         `json:"Orphans"` // shards without a replica
	CapacityPerS      float64       `json:"Bears"`   // sub-requests per second that survivors can answer, with shard placement and headroom
	DemandPerS        float64       `json:"Asked"`   // sub-requests per second for shards with a replica
	Tight             []string      `json:"Tight"`   // always empty; readers of the JSON may expect the key
	Types             []TypeOutcome `json:"Types"`   // in the order of Fleet.Loads
	Goodput           float64       `json:"Goodput"` // value of the served searches per second
	BestGoodput       float64       `json:"Best"`    // value per second if types were served by their value per sub-request instead
	Explanation       []string      `json:"Why"`     // one sentence per step of the computation
}

// survivors holds the cells and shards that are available after a loss.
type survivors struct {
	capacityByCell map[int]float64 // sub-requests per second; the servers of one cell hold the same shards, so their capacities add up
	cells          []int           // cells with any capacity, ascending
	shards         []int           // shards with a replica, ascending
	available      []bool          // by shard: whether it has a replica
}

// survivors returns the cells and shards that are available without the lost sites.
func (f *Fleet) survivors(lost map[int]bool) *survivors {
	left := &survivors{capacityByCell: map[int]float64{}, available: make([]bool, f.Shards)}
	for _, s := range f.Servers {
		if !lost[s.Site] {
			left.capacityByCell[s.Cell] += s.CapacityPerS * f.Headroom
		}
	}
	for cell := range f.Shards {
		if left.capacityByCell[cell] > 0 {
			left.cells = append(left.cells, cell)
		}
	}
	for shard := range f.Shards {
		for _, cell := range left.cells {
			left.available[shard] = left.available[shard] || f.hasReplica(cell, shard)
		}
		if left.available[shard] {
			left.shards = append(left.shards, shard)
		}
	}
	return left
}

// WithoutSites returns the outcome of the loss of the given sites, which are indices into Fleet.Sites.
func (f *Fleet) WithoutSites(sites ...int) (*Outcome, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	lost := map[int]bool{}
	o := &Outcome{}
	for _, s := range sites {
		lost[s] = true
		o.LostSites = append(o.LostSites, f.Sites[s])
	}
	left := f.survivors(lost)
	for shard, available := range left.available {
		if !available {
			o.UnavailableShards = append(o.UnavailableShards, shard)
		}
	}
	loadPerShardPerS, err := f.maxEvenLoad(left)
	if err != nil {
		return nil, err
	}
	o.CapacityPerS = loadPerShardPerS * float64(len(left.shards))
	o.Explanation = append(o.Explanation, fmt.Sprintf(
		"%d shards, %d without a holder; the survivors bear %.1f sub-requests a second of each of the others (headroom %.2f)",
		f.Shards, len(o.UnavailableShards), loadPerShardPerS, f.Headroom))

	demand := make([]float64, len(f.Loads)) // sub-requests a second
	for i := range f.Loads {
		var share TypeOutcome
		share, demand[i] = f.findShards(&f.Loads[i], left.available)
		o.DemandPerS += demand[i]
		o.Types = append(o.Types, share)
	}
	f.serveTypes(o, demand)
	return o, nil
}

// findShards returns the shares of a type's searches for which all, enough or too few shards are available, and the demand of
// those that can be answered, in sub-requests per second.
func (f *Fleet) findShards(l *Load, available []bool) (share TypeOutcome, demandPerS float64) {
	share.Name = l.Name
	for first := range f.Shards {
		found := 0
		for n := range l.ShardsPerSearch {
			if available[(first+n)%f.Shards] {
				found++
			}
		}
		weight := 1 / float64(f.Shards)
		switch {
		case found == l.ShardsPerSearch:
			share.Complete += weight
			demandPerS += weight * l.SearchesPerS * float64(found)
		case found > 0 && l.acceptsPartial(found):
			share.Partial += weight
			demandPerS += weight * l.SearchesPerS * float64(found)
		default:
			share.NoReplica += weight
		}
	}
	return share, demandPerS
}

// serveTypes assigns the capacity to the types in descending order of value. It also computes the goodput of the best order, which
// is by value per sub-request.
func (f *Fleet) serveTypes(o *Outcome, demand []float64) {
	order := make([]int, len(f.Loads))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return f.Loads[order[a]].Value > f.Loads[order[b]].Value })
	o.Goodput = f.serveInOrder(o, order, demand, true)
	valuePerSubRequest := func(i int) float64 {
		return f.Loads[i].Value * f.Loads[i].SearchesPerS * (1 - o.Types[i].NoReplica) / max(demand[i], 1e-9)
	}
	sort.SliceStable(order, func(a, b int) bool { return valuePerSubRequest(order[a]) > valuePerSubRequest(order[b]) })
	o.BestGoodput = f.serveInOrder(o, order, demand, false)
}

// capacityTolerance is the share of the whole capacity below which the remaining capacity counts as zero. Such a remainder is
// only a rounding error, but a type of very small demand could be served from it.
const capacityTolerance = 1e-9

// serveInOrder assigns the capacity to the types in the given order, and returns the value per second of the searches that are
// served. If record is set, it also writes the shares and the explanation into the outcome.
func (f *Fleet) serveInOrder(o *Outcome, order []int, demand []float64, record bool) (value float64) {
	remaining := o.CapacityPerS // sub-requests per second
	for _, i := range order {
		load, share := f.Loads[i], o.Types[i]
		servable := share.Served()
		if !record { // the shares in the outcome have already been reduced by the order that was recorded
			servable = 1 - share.NoReplica
		}
		fits := 1.0
		if demand[i] > 0 {
			fits = math.Min(1, math.Max(remaining, 0)/demand[i])
		}
		remaining -= fits * demand[i]
		if remaining < capacityTolerance*o.CapacityPerS {
			remaining = 0
		}
		value += fits * servable * load.SearchesPerS * load.Value
		if !record {
			continue
		}
		share.Shed = (1 - fits) * servable
		share.Complete *= fits
		share.Partial *= fits
		o.Types[i] = share
		o.Explanation = append(o.Explanation, fmt.Sprintf("%s: asks %.1f a second, %.0f%% of it fits, %.1f are left",
			load.Name, demand[i], 100*fits, max(remaining, 0)))
	}
	return value
}

// AllLosses returns the outcome without any loss, then those of the loss of each single site, then those of each pair of sites.
func (f *Fleet) AllLosses() ([]*Outcome, error) {
	losses := [][]int{nil}
	for a := range f.Sites {
		losses = append(losses, []int{a})
	}
	for a := range f.Sites {
		for b := a + 1; b < len(f.Sites); b++ {
			losses = append(losses, []int{a, b})
		}
	}
	var outcomes []*Outcome
	for _, sites := range losses {
		outcome, err := f.WithoutSites(sites...)
		if err != nil {
			return outcomes, err
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes, nil
}
