package lossplan

import (
	"math/rand/v2"
	"testing"
)

// The bound is no less than the outcome, which asks all shards alike, and the same where that is exact.
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

// Two sites that do not reach each other: each serves what its own and the third's servers hold.
func TestBoundUnderPartition(t *testing.T) {
	f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 3, Replicas: 1, Headroom: 1, Loads: []Load{{"quick", 30, 1, 2, 1}, {"post", 30, 1, 1, 1}}}
	for i := range 3 {
		f.Servers = append(f.Servers, Server{Site: i, Cell: i, CapacityPerS: 30})
	}
	b, err := f.UpperBound(f.IdealConditions().Partition(0, 2))
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "a third of the partitioned site's is out of reach", b.ServedBySite[0][0], 2./3)
	requireNear(t, "others have all", b.ServedBySite[1][0], 1)
	requireNear(t, "all", b.Served[0], 1-1./9)
	// Slow servers bear less, and the most valued type goes first.
	m := f.IdealConditions()
	m.CapacityPerS[1] = 10
	if b, err = f.UpperBound(m); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "quick", b.Served[0], 1)
	requireNear(t, "post", b.Served[1], 2./3)
	// Nobody left.
	if b, err = f.UpperBound(f.IdealConditions().LoseSites(f, 0, 1)); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "what the last one holds", b.Served[0], 1./3)
	requireNear(t, "nothing comes in at a lost site", b.ServedBySite[0][0], 0)
}

// At the size of the published scenarios, with capacities drawn at random: it solves, and nothing is over what is there.
func TestBoundUnderRandomConditions(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	seeds := 12
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 12, Replicas: 2, Headroom: 0.9, Loads: []Load{{"quick", 150, 3, 3, 1}, {"bulk", 100, 4, 1, 0.5}}}
		for i := range 24 {
			f.Servers = append(f.Servers, Server{Site: i % 3, Cell: i % 12, CapacityPerS: 100})
		}
		m, all := f.IdealConditions(), 0.0
		for i := range m.CapacityPerS {
			switch rng.IntN(4) {
			case 0:
				m.CapacityPerS[i] *= rng.Float64()
			case 1:
				if rng.IntN(3) == 0 {
					m.CapacityPerS[i] = 0
				}
			}
			all += m.CapacityPerS[i]
		}
		for a := range 3 {
			for b := range 3 {
				if rng.IntN(5) == 0 {
					m.Partition(a, b)
				}
			}
		}
		b, err := f.UpperBound(m)
		if err != nil {
			t.Fatal(seed, err)
		}
		asked := 0.0
		for i, s := range b.Served {
			if s < -1e-6 || s > 1+1e-6 {
				t.Error(seed, "served", b.Served)
			}
			minShards := float64(f.Loads[i].ShardsPerSearch) * f.Loads[i].MinAnsweredShare
			asked += s * f.Loads[i].SearchesPerS * minShards
		}
		if asked > all*0.9+1e-3 {
			t.Errorf("seed %d: %v asked of %v", seed, asked, all)
		}
		// More capacity or another way never serve less value of the first type.
		m.CapacityPerS[0] += 50
		c, err := f.UpperBound(m)
		if err != nil {
			t.Fatal(seed, err)
		}
		if c.Served[0] < b.Served[0]-1e-4 {
			t.Errorf("seed %d: more capacity served less: %v, %v", seed, c.Served, b.Served)
		}
	}
}
