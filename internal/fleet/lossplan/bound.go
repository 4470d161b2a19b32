package lossplan

import (
	"fmt"
	"sort"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Moment is what holds in one stretch of time, as one who sees everything would know it: what each server bears now (slow,
// cold or gone), whom the brokers of each site get answers from, and at which sites' brokers clients' searches come in.
type Moment struct {
	Bears []float64 // by server, sub-requests a second
	Reach [][]bool  // by the brokers' site, then the servers'
	Share []float64 // of all searches that come in there; what is missing to 1 finds no broker
}

// Moment gives the fleet at its best: everybody reaches everybody, and load comes in alike at all sites.
func (f *Fleet) Moment() *Moment {
	m := &Moment{}
	for _, s := range f.Servers {
		m.Bears = append(m.Bears, s.Bears)
	}
	for range f.Sites {
		row := make([]bool, len(f.Sites))
		for i := range row {
			row[i] = true
		}
		m.Reach = append(m.Reach, row)
		m.Share = append(m.Share, 1/float64(len(f.Sites)))
	}
	return m
}

// Lose takes sites away with all that is there; their searches come in at the others, alike.
func (m *Moment) Lose(_ *Fleet, sites ...int) *Moment {
	moved, left := 0.0, 0
	gone := make([]bool, len(m.Share))
	for _, s := range sites {
		gone[s] = true
		moved += m.Share[s]
		m.Share[s] = 0
		for at := range m.Reach {
			m.Reach[at][s], m.Reach[s][at] = false, false
		}
	}
	for at := range gone {
		if !gone[at] {
			left++
		}
	}
	for at := range m.Share {
		if !gone[at] {
			m.Share[at] += moved / float64(left)
		}
	}
	return m
}

// Cut is a way that brings no answers: brokers of one site get nothing from servers of another.
func (m *Moment) Cut(from, to int) *Moment {
	m.Reach[from][to] = false
	return m
}

// Key is the same for moments that are alike to a hundredth of what servers bear.
func (m *Moment) Key() string {
	rough := make([]int, len(m.Bears))
	for i, b := range m.Bears {
		rough[i] = int(100*b + 0.5)
	}
	return fmt.Sprint(rough, m.Reach, m.Share)
}

// Best is the most that can be served of each type in a moment, the most valued type first, then the next: Served by type,
// ByFront by the site at which searches come in, then by type. A linear programme of which searches are taken and where
// their parts go, at most what each server bears. An upper bound: queues and chance are not part of it, and whoever
// may be answered in part is asked for all that is in reach.
type Best struct {
	Served  []float64
	ByFront [][]float64
	Goodput float64 // value a second
}

// A type counts so many times more than the next less valued one: no choice gives up one of it for that.
const rank = 100

// Most gives the most that a moment allows.
func (f *Fleet) Most(m *Moment) (*Best, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	if len(m.Bears) != len(f.Servers) || len(m.Reach) != len(f.Sites) || len(m.Share) != len(f.Sites) {
		return nil, fmt.Errorf("a moment of %d servers and %d sites for a fleet of %d and %d", len(m.Bears), len(m.Reach), len(f.Servers), len(f.Sites))
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
		bears[at] += m.Bears[i] * f.Headroom
	}
	weight := f.ranks()
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
	for front, share := range m.Share {
		if share <= 0 {
			continue
		}
		held := make([][]int, f.Places)
		for p := range f.Places {
			for i, s := range spots {
				if m.Reach[front][s.site] && bears[s] > 0 && f.holds(s.cell, p) {
					held[p] = append(held[p], i)
				}
			}
		}
		for i, l := range f.Loads {
			for from := range f.Places {
				k := kind{front: front, load: i, from: from, rate: share * l.PerS / float64(f.Places)}
				for n := range l.Parts {
					if p := (from + n) % f.Places; len(held[p]) > 0 {
						k.parts = append(k.parts, p)
					}
				}
				if have := len(k.parts); have == 0 || have < l.Parts && float64(have) < l.Floor*float64(l.Parts)-1e-9 || k.rate <= 0 {
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
	b := &Best{Served: make([]float64, len(f.Loads))}
	for range f.Sites {
		b.ByFront = append(b.ByFront, make([]float64, len(f.Loads)))
	}
	if len(kinds) == 0 {
		return b, nil
	}
	taken, err := solve(len(rows), len(spots), len(kinds), len(flows), func(j int) (need, to int) { return flows[j].need, flows[j].spot },
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
		b.ByFront[k.front][k.load] += taken[j] / (m.Share[k.front] * l.PerS)
		b.Served[k.load] += taken[j] / l.PerS
		b.Goodput += taken[j] * l.Value
	}
	return b, nil
}

// ranks weighs each type so that the most valued goes before all others.
func (f *Fleet) ranks() []float64 {
	order := make([]int, len(f.Loads))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return f.Loads[order[a]].Value < f.Loads[order[b]].Value })
	w, weight := 1.0, make([]float64, len(f.Loads))
	for n, i := range order {
		if n > 0 && f.Loads[i].Value > f.Loads[order[n-1]].Value {
			w *= rank
		}
		weight[i] = w
	}
	return weight
}

// solve is the programme. Rows: what is asked at a place by a front goes somewhere; a spot takes no more than it bears; no
// kind is taken more often than it comes. Each has a slack of its own, and these are the basis to begin with: nothing is taken.
func solve(needs, spots, kinds, flows int, flow func(j int) (need, spot int), kind func(j int, each func(row int)) (rate, worth float64), bears func(i int) float64) ([]float64, error) {
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
