package lossplan

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time, so that a verdict stays; others with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

// testFleet has three sites of two servers each, mixed by cell, so that a loss leaves replicas.
func testFleet() *Fleet {
	f := &Fleet{Sites: []string{"n", "m", "s"}, Shards: 6, Replicas: 3, Headroom: 1,
		Loads: []Load{{"quick", 20, 3, 5, 1}, {"bulk", 30, 3, 1, 1}}}
	for i := range 6 {
		f.Servers = append(f.Servers, Server{Site: i % 3, Cell: i, CapacityPerS: 30})
	}
	return f
}

func requireNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*max(1, math.Abs(want)) {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

func TestOutcomeWithoutSites(t *testing.T) {
	f := testFleet()
	o, err := f.WithoutSites()
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "all bear", o.CapacityPerS, 180)
	requireNear(t, "served", o.Types[1].Complete, 1)
	requireNear(t, "goodput", o.Goodput, 130)
	o, err = f.WithoutSites(2)
	if err != nil {
		t.Fatal(err)
	}
	requireNear(t, "survivors bear", o.CapacityPerS, 120) // four of six
	requireNear(t, "quick", o.Types[0].Complete, 1)
	requireNear(t, "bulk", o.Types[1].Complete, 60./90)
	requireNear(t, "bulk refused", o.Types[1].Shed, 30./90)
	requireNear(t, "goodput", o.Goodput, 100+20)
	requireNear(t, "best", o.BestGoodput, 120)
	o, err = f.WithoutSites(1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.UnavailableShards) != 0 {
		t.Error("orphans", o.UnavailableShards)
	}
	requireNear(t, "quick alone", o.Types[0].Complete, 1)
	requireNear(t, "no bulk", o.Types[1].Complete, 0)
}

func TestShardsOfOneReplicaAreUnavailable(t *testing.T) {
	f := testFleet()
	f.Replicas = 1
	o, err := f.WithoutSites(0)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.UnavailableShards) != 2 { // cells 0 and 3
		t.Fatal("orphans", o.UnavailableShards)
	}
	requireNear(t, "no three neighbours are held", o.Types[0].NoReplica, 1)
	f.Loads[0].MinAnsweredShare = 0.6 // two of three
	if o, err = f.WithoutSites(0); err != nil {
		t.Fatal(err)
	}
	requireNear(t, "in part", o.Types[0].Partial, 1)
}

func TestOutcomeNeverExceedsSurvivorsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Shards: rapid.IntRange(1, 8).Draw(t, "places"), Headroom: rapid.Float64Range(0.1, 1).Draw(t, "headroom")}
		f.Replicas = rapid.IntRange(1, f.Shards).Draw(t, "copies")
		for range rapid.IntRange(1, 4).Draw(t, "sites") {
			f.Sites = append(f.Sites, "x")
		}
		for range rapid.IntRange(1, 16).Draw(t, "servers") {
			f.Servers = append(f.Servers, Server{rapid.IntRange(0, len(f.Sites)-1).Draw(t, "site"),
				rapid.IntRange(0, f.Shards-1).Draw(t, "cell"), rapid.Float64Range(1, 50).Draw(t, "bears")})
		}
		for range rapid.IntRange(1, 3).Draw(t, "loads") {
			f.Loads = append(f.Loads, Load{"l", rapid.Float64Range(0, 40).Draw(t, "rate"), rapid.IntRange(1, f.Shards).Draw(t, "parts"),
				rapid.Float64Range(0.1, 9).Draw(t, "value"), rapid.Float64Range(0, 1).Draw(t, "floor")})
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
		all := 0.0
		for _, s := range f.Servers {
			if s.Site != lost {
				all += s.CapacityPerS * f.Headroom
			}
		}
		if o.CapacityPerS > all+1e-6 {
			t.Fatal("more than all bear: ", o.CapacityPerS, all)
		}
		for i, s := range o.Types {
			if sum := s.Complete + s.Partial + s.NoReplica + s.Shed; math.Abs(sum-1) > 1e-6 {
				t.Fatal("shares of ", i, " add up to ", sum)
			}
		}
		if o.Goodput > o.BestGoodput+1e-6 {
			t.Fatal("the order serves more than the best: ", o.Goodput, o.BestGoodput)
		}
		top := 0
		for i, l := range f.Loads {
			if l.Value > f.Loads[top].Value {
				top = i
			}
		}
		for i, s := range o.Types {
			if f.Loads[i].Value < f.Loads[top].Value && s.Served() > 1e-6 && o.Types[top].Shed > 1e-6 && f.Loads[i].SearchesPerS > 0 && f.Loads[top].SearchesPerS > 0 {
				t.Fatal("a less valued type is served while the most valued is refused")
			}
		}
	})
}

// What is left by rounding after the most valued type is not what a type that asks next to nothing is served by.
func TestRoundingIsNoCapacity(t *testing.T) {
	f := &Fleet{Shards: 1, Replicas: 1, Headroom: 0.10000000000000003, Sites: []string{"x", "y"}}
	for _, bears := range []float64{1, 4.25, 9, 18, 27.00006103515625, 3.002197265625} {
		f.Servers = append(f.Servers, Server{0, 0, bears})
	}
	f.Loads = []Load{{"a", 1, 1, 0.5, 1}, {"b", 4.656612873077393e-10, 1, 1, 1}, {"c", 9, 1, 1.5, 1}}
	o, err := f.WithoutSites()
	if err != nil {
		t.Fatal(err)
	}
	if o.Types[2].Shed <= 0 || o.Types[1].Served() > 1e-6 {
		t.Fatalf("%+v", o.Types)
	}
}
