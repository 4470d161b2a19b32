// Package lossplan tells beforehand what a fleet serves once some of its sites are gone, and by which arithmetic: what the
// survivors bear, which shards are left without a holder, and what is refused under which step of the order. It is the
// bound that a run is held against, too. Pure: figures in, figures out.
package lossplan

import (
	"fmt"
	"math"
	"sort"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Server holds the shards from its cell backwards, as many as there are copies.
type Server struct {
	Site, Cell   int
	CapacityPerS float64 // sub-requests a second, at most
}

// Load is one query type's: searches a second, each of so many neighbouring shards from any one on, all alike.
type Load struct {
	Name             string
	SearchesPerS     float64
	ShardsPerSearch  int
	Value            float64 // of one search answered in time
	MinAnsweredShare float64 // least share that a part answer may have; 1: whole or nothing
}

// Fleet is what is planned for.
type Fleet struct {
	Sites            []string
	Servers          []Server
	Shards, Replicas int
	Headroom         float64 // share of what servers bear that may be planned with
	Loads            []Load
}

// TypeOutcome is what becomes of one query type, as shares of its searches.
type TypeOutcome struct {
	Name      string  `json:"Name"`
	Complete  float64 `json:"Whole"`
	Partial   float64 `json:"Part"` // answered in part: some shards have no holder, the floor is met
	NoReplica float64 `json:"NoHolder"`
	Shed      float64 `json:"Value"` // refused as least valued
}

// Served is what is answered at all.
func (s TypeOutcome) Served() float64 { return s.Complete + s.Partial }

// Outcome is what a loss of sites leaves.
type Outcome struct {
	LostSites         []string      `json:"Lost"`
	UnavailableShards []int         `json:"Orphans"` // shards without a holder
	CapacityPerS      float64       `json:"Bears"`   // sub-requests a second that the survivors bear as shards lie, with headroom
	DemandPerS        float64       `json:"Asked"`   // sub-requests a second that are asked of shards with a holder
	Tight             []string      `json:"Tight"`
	Types             []TypeOutcome `json:"Types"`   // in the order of the fleet's loads
	Goodput           float64       `json:"Goodput"` // value a second
	BestGoodput       float64       `json:"Best"`    // value a second that the best choice of searches would serve, whatever the order
	Explanation       []string      `json:"Why"`
}

// Check tells what is wrong with a fleet.
func (f *Fleet) Check() error {
	switch {
	case f.Shards < 1 || f.Replicas < 1 || f.Replicas > f.Shards:
		return fmt.Errorf("%d places with %d copies", f.Shards, f.Replicas)
	case f.Headroom <= 0 || f.Headroom > 1:
		return fmt.Errorf("headroom %v", f.Headroom)
	case len(f.Servers) == 0:
		return fmt.Errorf("no servers")
	}
	for i, s := range f.Servers {
		if s.Site < 0 || s.Site >= len(f.Sites) || s.Cell < 0 || s.Cell >= f.Shards || s.CapacityPerS <= 0 {
			return fmt.Errorf("server %d: {Site:%d Cell:%d Bears:%v}", i, s.Site, s.Cell, s.CapacityPerS)
		}
	}
	for _, l := range f.Loads {
		if l.ShardsPerSearch < 1 || l.ShardsPerSearch > f.Shards || l.SearchesPerS < 0 || l.Value <= 0 {
			return fmt.Errorf("load {Name:%s PerS:%v Parts:%d Value:%v Floor:%v}", l.Name, l.SearchesPerS, l.ShardsPerSearch, l.Value, l.MinAnsweredShare)
		}
	}
	return nil
}

func (f *Fleet) hasReplica(cell, shard int) bool {
	return ((cell-shard)%f.Shards+f.Shards)%f.Shards < f.Replicas
}

// WithoutSites tells what is left without some sites.
func (f *Fleet) WithoutSites(sites ...int) (*Outcome, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	gone := map[int]bool{}
	o := &Outcome{}
	for _, s := range sites {
		gone[s] = true
		o.LostSites = append(o.LostSites, f.Sites[s])
	}
	// Servers of one cell hold the same: they count as one.
	bears := map[int]float64{}
	for _, s := range f.Servers {
		if !gone[s.Site] {
			bears[s.Cell] += s.CapacityPerS * f.Headroom
		}
	}
	var cells, places []int
	for c := range f.Shards {
		if bears[c] > 0 {
			cells = append(cells, c)
		}
	}
	held := make([]bool, f.Shards)
	for p := range f.Shards {
		for _, c := range cells {
			held[p] = held[p] || f.hasReplica(c, p)
		}
		if held[p] {
			places = append(places, p)
		} else {
			o.UnavailableShards = append(o.UnavailableShards, p)
		}
	}
	each, err := f.maxEvenLoad(cells, places, bears)
	if err != nil {
		return nil, err
	}
	o.CapacityPerS = each * float64(len(places))
	o.Explanation = append(o.Explanation, fmt.Sprintf("%d shards, %d without a holder; the survivors bear %.1f sub-requests a second of each of the others (headroom %.2f)",
		f.Shards, len(o.UnavailableShards), each, f.Headroom))

	// Which searches find all their shards, and which enough of them.
	demand := make([]float64, len(f.Loads)) // sub-requests a second
	for i, l := range f.Loads {
		share := TypeOutcome{Name: l.Name}
		for from := range f.Shards {
			have := 0
			for n := range l.ShardsPerSearch {
				if held[(from+n)%f.Shards] {
					have++
				}
			}
			w := 1 / float64(f.Shards)
			switch {
			case have == l.ShardsPerSearch:
				share.Complete += w
				demand[i] += w * l.SearchesPerS * float64(have)
			case have > 0 && float64(have) >= l.MinAnsweredShare*float64(l.ShardsPerSearch)-1e-9:
				share.Partial += w
				demand[i] += w * l.SearchesPerS * float64(have)
			default:
				share.NoReplica += w
			}
		}
		o.DemandPerS += demand[i]
		o.Types = append(o.Types, share)
	}
	// The order: the most valued first, the rest by what is left.
	order := make([]int, len(f.Loads))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return f.Loads[order[a]].Value > f.Loads[order[b]].Value })
	o.Goodput = f.serveInOrder(o, order, demand, true)
	sort.SliceStable(order, func(a, b int) bool {
		// value for each sub-request
		worth := func(i int) float64 {
			return f.Loads[i].Value * f.Loads[i].SearchesPerS * (1 - o.Types[i].NoReplica) / max(demand[i], 1e-9)
		}
		return worth(order[a]) > worth(order[b])
	})
	o.BestGoodput = f.serveInOrder(o, order, demand, false)
	return o, nil
}

// serveInOrder gives what is left to the types in an order, and the value a second of that.
func (f *Fleet) serveInOrder(o *Outcome, order []int, demand []float64, put bool) (value float64) {
	left := o.CapacityPerS
	for _, i := range order {
		l, s := f.Loads[i], o.Types[i]
		served := s.Complete + s.Partial
		if !put { // the shares are those of the order by now
			served = 1 - s.NoReplica
		}
		fits := 1.0
		if demand[i] > 0 {
			fits = math.Min(1, math.Max(left, 0)/demand[i])
		}
		if left -= fits * demand[i]; left < 1e-9*o.CapacityPerS {
			left = 0 // rounding is no room: it would be all that a type asked next to nothing needs
		}
		value += fits * served * l.SearchesPerS * l.Value
		if put {
			s.Shed = (1 - fits) * served
			s.Complete, s.Partial = s.Complete*fits, s.Partial*fits
			o.Types[i] = s
			o.Explanation = append(o.Explanation, fmt.Sprintf("%s: asks %.1f a second, %.0f%% of it fits, %.1f are left", l.Name, demand[i], 100*fits, max(left, 0)))
		}
	}
	return value
}

// maxEvenLoad is the most that every shard with a holder can be asked alike, so that no server is over what it bears: a linear
// programme of the flows from shards to cells.
func (f *Fleet) maxEvenLoad(cells, places []int, bears map[int]float64) (float64, error) {
	if len(places) == 0 {
		return 0, nil
	}
	type flow struct{ place, cell int }
	var flows []flow
	for pi, p := range places {
		for ci, c := range cells {
			if f.hasReplica(c, p) {
				flows = append(flows, flow{pi, ci})
			}
		}
	}
	// Columns: the common load, the flows, the slack of each cell. Rows: what a shard is asked goes somewhere; a cell takes
	// no more than it bears.
	scale := 0.0
	for _, c := range cells {
		scale = max(scale, bears[c])
	}
	rows, cols := len(places)+len(cells), 1+len(flows)+len(cells)
	a, b, cost := mat.NewDense(rows, cols, nil), make([]float64, rows), make([]float64, cols)
	cost[0] = -1
	for pi := range places {
		a.Set(pi, 0, -1)
	}
	for j, fl := range flows {
		a.Set(fl.place, 1+j, 1)
		a.Set(len(places)+fl.cell, 1+j, 1)
	}
	for ci, c := range cells {
		a.Set(len(places)+ci, 1+len(flows)+ci, 1)
		b[len(places)+ci] = bears[c] / scale
	}
	_, x, err := lp.Simplex(cost, a, b, 1e-10, nil)
	if err != nil {
		return 0, fmt.Errorf("what the survivors bear: %w", err)
	}
	return x[0] * scale, nil
}

// AllLosses gives the outcome with nothing lost, for the loss of each site, and of any two.
func (f *Fleet) AllLosses() (list []*Outcome, err error) {
	add := func(sites ...int) {
		if err != nil {
			return
		}
		var o *Outcome
		if o, err = f.WithoutSites(sites...); err == nil {
			list = append(list, o)
		}
	}
	add()
	for a := range f.Sites {
		add(a)
	}
	for a := range f.Sites {
		for b := a + 1; b < len(f.Sites); b++ {
			add(a, b)
		}
	}
	return list, err
}
