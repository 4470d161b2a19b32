package lossplan

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Tolerances that are passed to gonum's simplex solver.
const (
	evenLoadTolerance = 1e-10
	networkTolerance  = 1e-9
)

// demandPerturbation is the scale of small positive right-hand sides, all different, for the demand rows. With zeros there, the
// program would be degenerate: pivot steps would not improve the objective, and the simplex algorithm could cycle.
const demandPerturbation = 1e-7

// solve returns the number of searches per second of each class that are served, chosen so that the sum of their weights is
// largest. weights holds the weight of each load.
//
// The rows of the linear program are, in this order: for each demand, its flows carry all its sub-requests; for each pool, its
// flows do not exceed its capacity; for each class, no more searches are served than arrive. The columns are the classes, the
// flows, and one slack variable for each row. The slack variables are the initial basis, in which nothing is served.
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

// maxEvenLoad returns the largest load, in sub-requests per second and shard, that can be put on all shards with a replica at
// once without exceeding the capacity of any cell.
//
// It solves a linear program of the flows from shards to cells. The columns are the common load, the flows, and the slack variable
// of each cell. The rows are: for each shard, its flows carry the common load; for each cell, its flows do not exceed its capacity.
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
		return 0, fmt.Errorf("capacity of the surviving servers: %w", err)
	}
	return solution[0] * scale, nil
}
