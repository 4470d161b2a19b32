package lossplan

import (
	"fmt"
	"math"
	"sort"
)

// TypeOutcome is what becomes of one query type, as shares of its searches.
type TypeOutcome struct {
	Name      string  `json:"Name"`
	Complete  float64 `json:"Whole"`
	Partial   float64 `json:"Part"`     // answered in part: some shards have no replica, MinAnsweredShare is met
	NoReplica float64 `json:"NoHolder"` // rejected: too few of its shards have a replica
	Shed      float64 `json:"Value"`    // rejected as least valued: more than the survivors' capacity
}

// Served is the share that is answered at all.
func (s TypeOutcome) Served() float64 { return s.Complete + s.Partial }

// Outcome is what a loss of sites leaves. Its JSON is what `scenario plan --json` prints.
type Outcome struct {
	LostSites         []string      `json:"Lost"`
	UnavailableShards []int         `json:"Orphans"` // without a replica
	CapacityPerS      float64       `json:"Bears"`   // sub-requests that the survivors can answer as shards lie, with headroom
	DemandPerS        float64       `json:"Asked"`   // sub-requests for shards with a replica
	Tight             []string      `json:"Tight"`   // always empty; readers of the JSON may expect the key
	Types             []TypeOutcome `json:"Types"`   // in the order of the fleet's loads
	Goodput           float64       `json:"Goodput"` // value a second
	BestGoodput       float64       `json:"Best"`    // value a second of the best choice of searches, whatever the order
	Explanation       []string      `json:"Why"`
}

// survivors are the cells and shards that are left.
type survivors struct {
	capacityByCell map[int]float64 // servers of one cell hold the same: they count as one
	cells          []int           // with capacity
	shards         []int           // with a replica
	available      []bool          // by shard
}

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

// WithoutSites returns what is left without some sites.
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
	perShard, err := f.maxEvenLoad(left)
	if err != nil {
		return nil, err
	}
	o.CapacityPerS = perShard * float64(len(left.shards))
	o.Explanation = append(o.Explanation, fmt.Sprintf(
		"%d shards, %d without a holder; the survivors bear %.1f sub-requests a second of each of the others (headroom %.2f)",
		f.Shards, len(o.UnavailableShards), perShard, f.Headroom))

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

// findShards returns which searches of a type find all their shards and which enough of them, and the demand of these.
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

// serveTypes gives capacity to the most valued type first, and works out what the best order would have gained.
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

// capacityTolerance: what is left of all capacity by rounding is none. It would be all that a type of next to no demand needs.
const capacityTolerance = 1e-9

// serveInOrder gives capacity to the types in an order, and returns the value a second of what is served. record writes the
// shares into the outcome.
func (f *Fleet) serveInOrder(o *Outcome, order []int, demand []float64, record bool) (value float64) {
	left := o.CapacityPerS
	for _, i := range order {
		load, share := f.Loads[i], o.Types[i]
		servable := share.Served()
		if !record { // the recorded shares are those of another order by now
			servable = 1 - share.NoReplica
		}
		fits := 1.0
		if demand[i] > 0 {
			fits = math.Min(1, math.Max(left, 0)/demand[i])
		}
		left -= fits * demand[i]
		if left < capacityTolerance*o.CapacityPerS {
			left = 0
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
			load.Name, demand[i], 100*fits, max(left, 0)))
	}
	return value
}

// AllLosses returns the outcome with nothing lost, then for the loss of each site, then of any two.
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
