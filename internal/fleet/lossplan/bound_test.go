package lossplan

import (
	"math/rand/v2"
	"testing"
)

// An outcome assumes that all shards get the same load. In the fleet of this test that is exact, so the bound must not only be no
// less than the outcome, but equal to it.
func TestBoundIsNoLessThanOutcome(t *testing.T) {
	f := testFleet()
	for _, lost := range [][]int{nil, {2}, {0}, {1, 2}} {
		o, err := f.WithoutSites(lost...)
		if err != nil {
			t.Fatal(err)
		}
		b, err := f.UpperBound(f.IdealConditions().LoseSites(f, lost...))
		if err != nil {
			t.Fatal(err)
		}
		for i := range f.Loads {
			requireNear(t, f.Loads[i].Name, b.Served[i], o.Types[i].Served())
		}
	}
}

// The brokers of one site get no answers from another site: they can serve only what the servers of the other two sites hold.
func TestBoundUnderPartition(t *testing.T) {
	f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 3, Replicas: 1, Headroom: 1,
		Loads: []Load{{"quick", 30, 1, 2, 1}, {"post", 30, 1, 1, 1}}}
	for i := range 3 {
		f.Servers = append(f.Servers, Server{Site: i, Cell: i, CapacityPerS: 30})
	}
	b, err := f.UpperBound(f.IdealConditions().Partition(0, 2))
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "quick at the partitioned site, which can't reach a third of the shards", b.ServedBySite[0][0], 2./3)
	requireNear(t, "quick at a site that reaches all shards", b.ServedBySite[1][0], 1)
	requireNear(t, "quick at all sites", b.Served[0], 1-1./9)
	// A slow server has less capacity, and the type of the highest value takes precedence.
	conditions := f.IdealConditions()
	conditions.CapacityPerS[1] = 10
	if b, err = f.UpperBound(conditions); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "quick with a slow server", b.Served[0], 1)
	requireNear(t, "post with a slow server", b.Served[1], 2./3)
	// Only one site is left.
	if b, err = f.UpperBound(f.IdealConditions().LoseSites(f, 0, 1)); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "quick from the shards of the last site", b.Served[0], 1./3)
	requireNear(t, "quick at a lost site, where no searches arrive", b.ServedBySite[0][0], 0)
}

// With fleets of the size of the published scenarios, random capacities and random partitions, the solver must succeed and the
// bound must not exceed the capacity.
func TestBoundUnderRandomConditions(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	seeds := 12
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 12, Replicas: 2, Headroom: 0.9,
			Loads: []Load{{"quick", 150, 3, 3, 1}, {"bulk", 100, 4, 1, 0.5}}}
		for i := range 24 {
			f.Servers = append(f.Servers, Server{Site: i % 3, Cell: i % 12, CapacityPerS: 100})
		}
		conditions, capacityPerS := f.IdealConditions(), 0.0
		for i := range conditions.CapacityPerS {
			switch rng.IntN(4) {
			case 0:
				conditions.CapacityPerS[i] *= rng.Float64()
			case 1:
				if rng.IntN(3) == 0 {
					conditions.CapacityPerS[i] = 0
				}
			}
			capacityPerS += conditions.CapacityPerS[i]
		}
		for a := range 3 {
			for b := range 3 {
				if rng.IntN(5) == 0 {
					conditions.Partition(a, b)
				}
			}
		}
		b, err := f.UpperBound(conditions)
		if err != nil {
			t.Fatalf("seed %d: upper bound: %v", seed, err)
		}
		demandPerS := 0.0
		for i, s := range b.Served {
			if s < -1e-6 || s > 1+1e-6 {
				t.Errorf("seed %d: a share is not between 0 and 1: %v", seed, b.Served)
			}
			minShards := float64(f.Loads[i].ShardsPerSearch) * f.Loads[i].MinAnsweredShare
			demandPerS += s * f.Loads[i].SearchesPerS * minShards
		}
		if demandPerS > capacityPerS*0.9+1e-3 {
			t.Errorf("seed %d: %v sub-requests per second served with a capacity of %v", seed, demandPerS, capacityPerS)
		}
		// More capacity never reduces the share of the type of the highest value.
		conditions.CapacityPerS[0] += 50
		c, err := f.UpperBound(conditions)
		if err != nil {
			t.Fatalf("seed %d: upper bound with more capacity: %v", seed, err)
		}
		if c.Served[0] < b.Served[0]-1e-4 {
			t.Errorf("seed %d: shares with more capacity %v are less than those before, %v", seed, c.Served, b.Served)
		}
	}
}
