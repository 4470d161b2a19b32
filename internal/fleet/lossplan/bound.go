package lossplan

import (
	"fmt"
	"sort"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Conditions is what holds in one stretch of time, as one who sees everything would know it: what each server bears now (slow,
// cold or gone), whom the brokers of each site get answers from, and at which sites' brokers clients' searches come in.
type Conditions struct {
	CapacityPerS []float64 // by server, sub-requests a second
	Reachable    [][]bool  // by the brokers' site, then the servers'
	ArrivalShare []float64 // of all searches that come in there; what is missing to 1 finds no broker
}

// IdealConditions gives the fleet at its best: everybody reaches everybody, and load comes in alike at all sites.
func (f *Fleet) IdealConditions() *Conditions {
	m := &Conditions{}
	for _, s := range f.Servers {
		m.CapacityPerS = append(m.CapacityPerS, s.CapacityPerS)
	}
	for range f.Sites {
		row := make([]bool, len(f.Sites))
		for i := range row {
			row[i] = true
		}
		m.Reachable = append(m.Reachable, row)
		m.ArrivalShare = append(m.ArrivalShare, 1/float64(len(f.Sites)))
	}
	return m
}

// LoseSites takes sites away with all that is there; their searches come in at the others, alike.
func (m *Conditions) LoseSites(_ *Fleet, sites ...int) *Conditions {
	moved, left := 0.0, 0
	gone := make([]bool, len(m.ArrivalShare))
	for _, s := range sites {
		gone[s] = true
		moved += m.ArrivalShare[s]
		m.ArrivalShare[s] = 0
		for at := range m.Reachable {
			m.Reachable[at][s], m.Reachable[s][at] = false, false
		}
	}
	for at := range gone {
		if !gone[at] {
			left++
		}
	}
	for at := range m.ArrivalShare {
		if !gone[at] {
			m.ArrivalShare[at] += moved / float64(left)
		}
	}
	return m
}

// Partition is a way that brings no answers: brokers of one site get nothing from servers of another.
func (m *Conditions) Partition(from, to int) *Conditions {
	m.Reachable[from][to] = false
	return m
}

// Key is the same for moments that are alike to a hundredth of what servers bear.
func (m *Conditions) Key() string {
	rough := make([]int, len(m.CapacityPerS))
	for i, b := range m.CapacityPerS {
		rough[i] = int(100*b + 0.5)
	}
	return fmt.Sprint(rough, m.Reachable, m.ArrivalShare)
}

// Bound is the most that can be served of each type in a moment, the most valued type first, then the next: Served by type,
// ByFront by the site at which searches come in, then by type. A linear programme of which searches are taken and where
// their parts go, at most what each server bears. An upper bound: queues and chance are not part of it, and whoever
// may be answered in part is asked for all that is in reach.
type Bound struct {
	Served       []float64
	ServedBySite [][]float64
	Goodput      float64 // value a second
}

// A type counts so many times more than the next less valued one: no choice gives up one of it for that.
const valueRankFactor = 100

// UpperBound gives the most that a moment allows.
func (f *Fleet) UpperBound(m *Conditions) (*Bound, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	if len(m.CapacityPerS) != len(f.Servers) || len(m.Reachable) != len(f.Sites) || len(m.ArrivalShare) != len(f.Sites) {
		return nil, fmt.Errorf("a moment of %d servers and %d sites for a fleet of %d and %d", len(m.CapacityPerS), len(m.Reachable), len(f.Servers), len(f.Sites))
	}
	// Servers of one cell at one site are alike to everybody: they count as one.
	type spot struct{ site, cell int }
	bears := map[spot]float64{}
	var spots []spot
	for i, s := range f.Servers {
		at := spot{s.Site, s.Cell}
		if _, known := bears[at]; !known {
			spots = append(spots, at)
		}
		bears[at] += m.CapacityPerS[i] * f.Headroom
	}
	weight := f.valueWeights()
	type kind struct {
		front, load, from int
		parts             []int // in reach
		rate              float64
	}
	var kinds []kind
	type need struct{ front, place int }
	needs := map[need]int{}
	var rows []need
	type flow struct{ need, spot int }
	var flows []flow
	for front, share := range m.ArrivalShare {
		if share <= 0 {
			continue
		}
		held := make([][]int, f.Shards)
		for p := range f.Shards {
			for i, s := range spots {
				if m.Reachable[front][s.site] && bears[s] > 0 && f.hasReplica(s.cell, p) {
					held[p] = append(held[p], i)
				}
			}
		}
		for i, l := range f.Loads {
			for from := range f.Shards {
				k := kind{front: front, load: i, from: from, rate: share * l.SearchesPerS / float64(f.Shards)}
				for n := range l.ShardsPerSearch {
					if p := (from + n) % f.Shards; len(held[p]) > 0 {
						k.parts = append(k.parts, p)
					}
				}
				if have := len(k.parts); have == 0 || have < l.ShardsPerSearch && float64(have) < l.MinAnsweredShare*float64(l.ShardsPerSearch)-1e-9 || k.rate <= 0 {
					continue
				}
				for _, p := range k.parts {
					n := need{front, p}
					if _, known := needs[n]; !known {
						needs[n] = len(rows)
						rows = append(rows, n)
						for _, s := range held[p] {
							flows = append(flows, flow{needs[n], s})
						}
					}
				}
				kinds = append(kinds, k)
			}
		}
	}
	b := &Bound{Served: make([]float64, len(f.Loads))}
	for range f.Sites {
		b.ServedBySite = append(b.ServedBySite, make([]float64, len(f.Loads)))
	}
	if len(kinds) == 0 {
		return b, nil
	}
	taken, err := solveFlow(len(rows), len(spots), len(kinds), len(flows), func(j int) (need, to int) { return flows[j].need, flows[j].spot },
		func(j int, each func(row int)) (rate, worth float64) {
			for _, p := range kinds[j].parts {
				each(needs[need{kinds[j].front, p}])
			}
			return kinds[j].rate, weight[kinds[j].load]
		}, func(i int) float64 { return bears[spots[i]] })
	if err != nil {
		return nil, fmt.Errorf("what can be served: %w", err)
	}
	for j, k := range kinds {
		l := f.Loads[k.load]
		b.ServedBySite[k.front][k.load] += taken[j] / (m.ArrivalShare[k.front] * l.SearchesPerS)
		b.Served[k.load] += taken[j] / l.SearchesPerS
		b.Goodput += taken[j] * l.Value
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
	w, weight := 1.0, make([]float64, len(f.Loads))
	for n, i := range order {
		if n > 0 && f.Loads[i].Value > f.Loads[order[n-1]].Value {
			w *= valueRankFactor
		}
		weight[i] = w
	}
	return weight
}

// solveFlow is the programme. Rows: what is asked at a place by a front goes somewhere; a spot takes no more than it bears; no
// kind is taken more often than it comes. Each has a slack of its own, and these are the basis to begin with: nothing is taken.
func solveFlow(needs, spots, kinds, flows int, flow func(j int) (need, spot int), kind func(j int, each func(row int)) (rate, worth float64), bears func(i int) float64) ([]float64, error) {
	rows, cols := needs+spots+kinds, kinds+flows+needs+spots+kinds
	a, rhs, cost := mat.NewDense(rows, cols, nil), make([]float64, rows), make([]float64, cols)
	scale := 1e-9
	for i := range spots {
		scale = max(scale, bears(i))
	}
	for j := range kinds {
		rate, worth := kind(j, func(row int) { a.Set(row, j, a.At(row, j)+1) })
		a.Set(needs+spots+j, j, 1)
		rhs[needs+spots+j] = rate / scale
		cost[j] = -worth
	}
	for j := range flows {
		need, spot := flow(j)
		a.Set(need, kinds+j, -1)
		a.Set(needs+spot, kinds+j, 1)
	}
	basic := make([]int, rows)
	for i := range rows {
		basic[i] = kinds + flows + i
		a.Set(i, kinds+flows+i, 1)
	}
	for i := range needs {
		rhs[i] = 1e-7 * (1 + float64(i)/float64(needs)) // all nothing, steps would go nowhere and turn in a circle
	}
	for i := range spots {
		rhs[needs+i] = bears(i) / scale
	}
	_, x, err := lp.Simplex(cost, a, rhs, 1e-9, basic)
	if err != nil {
		return nil, err
	}
	for j := range kinds {
		x[j] *= scale
	}
	return x[:kinds], nil
}
