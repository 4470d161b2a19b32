package lossplan

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that each run checks the same cases; -rapid.seed selects others.
func init() { flag.Set("rapid.seed", "1") }

// testFleet returns a fleet of three sites with two servers each. Neighboring cells are at different sites, so that a replica of
// each shard survives the loss of one or two sites.
func testFleet() *Fleet {
	f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 6, Replicas: 3, Headroom: 1,
		Loads: []Load{{"quick", 20, 3, 5, 1}, {"bulk", 30, 3, 1, 1}}}
	for i := range 6 {
		f.Servers = append(f.Servers, Server{Site: i % 3, Cell: i, CapacityPerS: 30})
	}
	return f
}

// requireNear reports an error if got differs from want by more than a relative error of 1e-6.
func requireNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*max(1, math.Abs(want)) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestOutcomeWithoutSites(t *testing.T) {
	f := testFleet()
	o, err := f.WithoutSites()
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "capacity without a loss", o.CapacityPerS, 180)
	requireNear(t, "bulk without a loss, complete", o.Types[1].Complete, 1)
	requireNear(t, "goodput without a loss", o.Goodput, 130)
	o, err = f.WithoutSites(2)
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "capacity of the survivors", o.CapacityPerS, 120) // of four servers out of six
	requireNear(t, "quick without one site, complete", o.Types[0].Complete, 1)
	requireNear(t, "bulk without one site, complete", o.Types[1].Complete, 60./90)
	requireNear(t, "bulk without one site, shed", o.Types[1].Shed, 30./90)
	requireNear(t, "goodput without one site", o.Goodput, 100+20)
	requireNear(t, "best goodput without one site", o.BestGoodput, 120)
	o, err = f.WithoutSites(1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.UnavailableShards) != 0 {
		t.Error("shards without a replica:", o.UnavailableShards)
	}
	requireNear(t, "quick without two sites, complete", o.Types[0].Complete, 1)
	requireNear(t, "bulk without two sites, complete", o.Types[1].Complete, 0)
}

func TestShardsOfOneReplicaAreUnavailable(t *testing.T) {
	f := testFleet()
	f.Replicas = 1
	o, err := f.WithoutSites(0)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.UnavailableShards) != 2 { // shards 0 and 3
		t.Fatal("not two shards without a replica:", o.UnavailableShards)
	}
	requireNear(t, "quick, no three neighboring shards of which are available", o.Types[0].NoReplica, 1)
	f.Loads[0].MinAnsweredShare = 0.6 // two of three
	if o, err = f.WithoutSites(0); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "quick, which accepts answers from two of three shards, partial", o.Types[0].Partial, 1)
}

func TestOutcomeNeverExceedsSurvivorsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Shards: rapid.IntRange(1, 8).Draw(t, "shards"), Headroom: rapid.Float64Range(0.1, 1).Draw(t, "headroom")}
		f.Replicas = rapid.IntRange(1, f.Shards).Draw(t, "replicas")
		for range rapid.IntRange(1, 4).Draw(t, "sites") {
			f.Sites = append(f.Sites, "x")
		}
		for range rapid.IntRange(1, 16).Draw(t, "servers") {
			f.Servers = append(f.Servers, Server{rapid.IntRange(0, len(f.Sites)-1).Draw(t, "site"),
				rapid.IntRange(0, f.Shards-1).Draw(t, "cell"), rapid.Float64Range(1, 50).Draw(t, "capacity")})
		}
		for range rapid.IntRange(1, 3).Draw(t, "loads") {
			f.Loads = append(f.Loads, Load{"l", rapid.Float64Range(0, 40).Draw(t, "rate"), rapid.IntRange(1, f.Shards).Draw(t, "shards per search"),
				rapid.Float64Range(0.1, 9).Draw(t, "value"), rapid.Float64Range(0, 1).Draw(t, "min answered share")})
		}
		lost := rapid.IntRange(-1, len(f.Sites)-1).Draw(t, "lost")
		var sites []int
		if lost >= 0 {
			sites = []int{lost}
		}
		o, err := f.WithoutSites(sites...)
		if err != nil {
			t.Fatal(err)
		}
		capacityPerS := 0.0
		for _, s := range f.Servers {
			if s.Site != lost {
				capacityPerS += s.CapacityPerS * f.Headroom
			}
		}
		if o.CapacityPerS > capacityPerS+1e-6 {
			t.Fatal("the outcome's capacity exceeds that of all surviving servers: ", o.CapacityPerS, capacityPerS)
		}
		for i, s := range o.Types {
			if sum := s.Complete + s.Partial + s.NoReplica + s.Shed; math.Abs(sum-1) > 1e-6 {
				t.Fatal("the shares of type ", i, " do not add up to 1 but to ", sum)
			}
		}
		if o.Goodput > o.BestGoodput+1e-6 {
			t.Fatal("the goodput exceeds the best goodput: ", o.Goodput, o.BestGoodput)
		}
		top := 0
		for i, l := range f.Loads {
			if l.Value > f.Loads[top].Value {
				top = i
			}
		}
		for i, s := range o.Types {
			if f.Loads[i].Value < f.Loads[top].Value && s.Served() > 1e-6 && o.Types[top].Shed > 1e-6 &&
				f.Loads[i].SearchesPerS > 0 && f.Loads[top].SearchesPerS > 0 {
				t.Fatal("a type of lower value is served while searches of the highest value are shed")
			}
		}
	})
}

// After the most valued type has used up the capacity, a rounding error remains. A type with a demand near zero must not be served
// from that remainder.
func TestRoundingErrorIsNotTreatedAsCapacity(t *testing.T) {
	f := &Fleet{Shards: 1, Replicas: 1, Headroom: 0.10000000000000003, Sites: []string{"x", "y"}}
	for _, capacityPerS := range []float64{1, 4.25, 9, 18, 27.00006103515625, 3.002197265625} {
		f.Servers = append(f.Servers, Server{0, 0, capacityPerS})
	}
	f.Loads = []Load{{"a", 1, 1, 0.5, 1}, {"b", 4.656612873077393e-10, 1, 1, 1}, {"c", 9, 1, 1.5, 1}}
	o, err := f.WithoutSites()
	if err != nil {
		t.Fatal(err)
	}
	if o.Types[2].Shed <= 0 || o.Types[1].Served() > 1e-6 {
		t.Fatalf("type c should be shed in part, and type b not be served: %+v", o.Types)
	}
}
