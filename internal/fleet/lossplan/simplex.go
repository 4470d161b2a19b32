package lossplan

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Tolerances of gonum's simplex.
const (
	evenLoadTolerance = 1e-10
	networkTolerance  = 1e-9
)

// demandPerturbation keeps the right-hand sides of demands apart from zero and from each other: with all of them zero, steps
// would gain nothing and the simplex could cycle.
const demandPerturbation = 1e-7

// solve returns how many searches a second of each class are taken, so that the sum of their weights is largest. Rows: what is
// asked of a shard by a site goes somewhere; a pool takes no more than its capacity; no class is taken more often than it
// arrives. Each row has a slack of its own, and these are the basis to begin with: nothing is taken.
func (n *network) solve(weights []float64) ([]float64, error) {
	classes, flows, demands, pools := len(n.searches), len(n.flows), len(n.demands), len(n.pools)
	rows := demands + pools + classes
	columns := classes + flows + rows
	matrix := mat.NewDense(rows, columns, nil)
	bounds := make([]float64, rows)
	cost := make([]float64, columns)
	scale := 1e-9
	for _, pool := range n.pools {
		scale = max(scale, pool.capacityPerS)
	}
	for j, class := range n.searches {
		for _, shard := range class.shards {
			row := n.demandIndex[shardDemand{class.site, shard}]
			matrix.Set(row, j, matrix.At(row, j)+1)
		}
		matrix.Set(demands+pools+j, j, 1)
		bounds[demands+pools+j] = class.ratePerS / scale
		cost[j] = -weights[class.load]
	}
	for j, flow := range n.flows {
		matrix.Set(flow.demand, classes+j, -1)
		matrix.Set(demands+flow.pool, classes+j, 1)
	}
	basis := make([]int, rows)
	for i := range rows {
		basis[i] = classes + flows + i
		matrix.Set(i, classes+flows+i, 1)
	}
	for i := range demands {
		bounds[i] = demandPerturbation * (1 + float64(i)/float64(demands))
	}
	for i, pool := range n.pools {
		bounds[demands+i] = pool.capacityPerS / scale
	}
	_, solution, err := lp.Simplex(cost, matrix, bounds, networkTolerance, basis)
	if err != nil {
		return nil, err
	}
	for j := range classes {
		solution[j] *= scale
	}
	return solution[:classes], nil
}

// maxEvenLoad is the most that every shard with a replica can be asked alike, in sub-requests a second, so that no server is
// over its capacity: a linear programme of the flows from shards to cells. Columns: the common load, the flows, the slack
// of each cell. Rows: what a shard is asked goes somewhere; a cell takes no more than its capacity.
func (f *Fleet) maxEvenLoad(left *survivors) (float64, error) {
	shards, cells := len(left.shards), len(left.cells)
	if shards == 0 {
		return 0, nil
	}
	type flow struct{ shard, cell int }
	var flows []flow
	for i, shard := range left.shards {
		for j, cell := range left.cells {
			if f.hasReplica(cell, shard) {
				flows = append(flows, flow{i, j})
			}
		}
	}
	scale := 0.0
	for _, cell := range left.cells {
		scale = max(scale, left.capacityByCell[cell])
	}
	rows, columns := shards+cells, 1+len(flows)+cells
	matrix := mat.NewDense(rows, columns, nil)
	bounds := make([]float64, rows)
	cost := make([]float64, columns)
	cost[0] = -1
	for i := range shards {
		matrix.Set(i, 0, -1)
	}
	for j, flow := range flows {
		matrix.Set(flow.shard, 1+j, 1)
		matrix.Set(shards+flow.cell, 1+j, 1)
	}
	for i, cell := range left.cells {
		matrix.Set(shards+i, 1+len(flows)+i, 1)
		bounds[shards+i] = left.capacityByCell[cell] / scale
	}
	_, solution, err := lp.Simplex(cost, matrix, bounds, evenLoadTolerance, nil)
	if err != nil {
		return 0, fmt.Errorf("what the survivors bear: %w", err)
	}
	return solution[0] * scale, nil
}
