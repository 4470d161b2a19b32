package routes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"unsafe"
)

func metadata(list ...string) Lookup {
	return func(key string) (string, bool) {
		for i := 0; i+1 < len(list); i += 2 {
			if list[i] == key {
				return list[i+1], true
			}
		}
		return "", false
	}
}

func TestLongestMatchWins(t *testing.T) {
	table, err := New([]*Route{
		{Name: "root", Prefix: "/"},
		{Name: "pension", Prefix: "/pension."},
		{Name: "balances", Service: "pension.Balances"},
		{Name: "get", Service: "pension.Balances", Method: "Get"},
		{Name: "get trial", Service: "pension.Balances", Method: "Get", Metadata: []Condition{{Key: "x-trial", Value: "yes"}}},
		{Name: "get trial no", Service: "pension.Balances", Method: "Get", Metadata: []Condition{{Key: "x-trial", Value: "no"}}},
		{Name: "get both", Service: "pension.Balances", Method: "Get", Metadata: []Condition{{Key: "x-trial", Value: "yes"}, {Key: "x-any", AnyValue: true}}},
		{Name: "gets", Prefix: "/pension.Balances/Get"},
		{Name: "only with", Prefix: "/pension.History", Metadata: []Condition{{Key: "x-env", Value: "prod"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, want string
		meta       Lookup
	}{
		{"/pension.Balances/Get", "get", metadata()},
		{"/pension.Balances/Get", "get trial", metadata("x-trial", "yes")},
		{"/pension.Balances/Get", "get trial no", metadata("x-trial", "no")},
		{"/pension.Balances/Get", "get both", metadata("x-trial", "yes", "x-any", "")},
		{"/pension.Balances/Get", "get", metadata("x-trial", "maybe")},
		{"/pension.Balances/GetAll", "gets", metadata()},
		{"/pension.Balances/Put", "balances", metadata()},
		{"/pension.BalancesX/Put", "pension", metadata()},
		{"/pension.History/Get", "only with", metadata("x-env", "prod")},
		{"/pension.History/Get", "pension", metadata()},
		{"/other", "root", metadata()},
		{"/", "root", metadata()},
		{"", "", metadata()},
		{"x", "", metadata()},
	} {
		r := table.Find(c.path, c.meta)
		if got := routeName(r); got != c.want {
			t.Errorf("%s: %q, want %q", c.path, got, c.want)
		}
	}
}

func routeName(r *Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func TestConflictingRoutesAreRejected(t *testing.T) {
	for i, list := range [][]*Route{
		{{Service: "a"}, {Prefix: "/a/"}},
		{{Service: "a", Method: "b"}, {Service: "a", Method: "b"}},
		{{Prefix: "/", Metadata: []Condition{{Key: "x", Value: "1"}}}, {Prefix: "/", Metadata: []Condition{{Key: "y", Value: "1"}}}},
		{{Prefix: "/", Metadata: []Condition{{Key: "x", AnyValue: true}}}, {Prefix: "/", Metadata: []Condition{{Key: "x", Value: "1"}}}},
	} {
		var c *ConflictError
		if _, err := New(list); !errors.As(err, &c) || c.First != 0 || c.Second != 1 {
			t.Error(i, err)
		}
	}
	if _, err := New([]*Route{{Prefix: "/", Metadata: []Condition{{Key: "x", Value: "1"}}},
		{Prefix: "/", Metadata: []Condition{{Key: "x", Value: "2"}}}, {Prefix: "/"}}); err != nil {
		t.Error(err)
	}
}

// sizeBytes is what a table takes beside its routes.
func sizeBytes(t *Table) int {
	return cap(t.nodes)*int(unsafe.Sizeof(node{})) + len(t.labels) + 4*cap(t.routeRefs) + 8*cap(t.routes)
}

// linearScan is the oracle: of all routes, the best that matches.
func linearScan(list []*Route, path string, m Lookup) *Route {
	var best *Route
	score := func(r *Route) int {
		p, exact := r.pattern()
		if exact {
			return 1<<30 + len(r.Metadata)
		}
		return len(p)<<8 + len(r.Metadata)
	}
	for _, r := range list {
		p, exact := r.pattern()
		if (exact && path == p || !exact && strings.HasPrefix(path, p)) && r.matchesMetadata(m) && (best == nil || score(r) > score(best)) {
			best = r
		}
	}
	return best
}

func TestRandomTablesAgreeWithLinearScan(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		word := func() string {
			b := make([]byte, 1+rng.IntN(4))
			for i := range b {
				b[i] = "ab./"[rng.IntN(4)]
			}
			return strings.ReplaceAll(string(b), "/", "c")
		}
		var list []*Route
		for i := range 1 + rng.IntN(40) {
			r := &Route{Name: fmt.Sprint(i)}
			switch rng.IntN(3) {
			case 0:
				r.Service, r.Method = word(), word()
			case 1:
				r.Service = word()
			default:
				r.Prefix = "/" + word()
			}
			if rng.IntN(3) == 0 {
				r.Metadata = []Condition{{Key: "k", Value: fmt.Sprint(rng.IntN(2))}}
			}
			if _, err := New(append(list[:len(list):len(list)], r)); err == nil {
				list = append(list, r)
			}
		}
		table, err := New(list)
		if err != nil {
			t.Fatal(err)
		}
		for range 200 {
			path := "/" + word() + "/" + word()
			m := metadata("k", fmt.Sprint(rng.IntN(3)))
			if got, want := table.Find(path, m), linearScan(list, path, m); got != want {
				t.Fatalf("seed %d, %s: %q, want %q", seed, path, routeName(got), routeName(want))
			}
		}
	}
}

func TestShortestOfTooManyPrefixesAreForgotten(t *testing.T) {
	const prefixes = maxPrefixes + 6
	var list []*Route
	for n := 1; n <= prefixes; n++ {
		list = append(list, &Route{Name: fmt.Sprint(n), Prefix: "/" + strings.Repeat("a", n),
			Metadata: []Condition{{Key: "length", Value: fmt.Sprint(n)}}})
	}
	table, err := New(list)
	if err != nil {
		t.Fatal(err)
	}
	path := "/" + strings.Repeat("a", prefixes+1)
	for n := 1; n <= prefixes; n++ {
		want := ""
		if n > prefixes-maxPrefixes {
			want = fmt.Sprint(n)
		}
		if got := routeName(table.Find(path, metadata("length", fmt.Sprint(n)))); got != want {
			t.Errorf("prefix of %d: %q, want %q", n, got, want)
		}
	}
}

func TestShardsAreFixedNamedOrHashed(t *testing.T) {
	by := func(s ShardRule, m Lookup) (int, error) { return (&Route{Shard: s}).ShardOf(m, 8) }
	if n, err := by(ShardRule{FixedShard: 3}, metadata()); n != 3 || err != nil {
		t.Error(n, err)
	}
	for _, v := range []string{"8", "-1", "x", ""} {
		if _, err := by(ShardRule{MetadataKey: "s"}, metadata("s", v)); err == nil {
			t.Errorf("%q is a shard", v)
		}
	}
	if _, err := by(ShardRule{MetadataKey: "s"}, metadata()); err == nil {
		t.Error("none is a shard")
	}
	for _, hash := range []string{"fnv1a", "xxh64"} {
		seen := map[int]int{}
		for i := range 4000 {
			n, err := by(ShardRule{MetadataKey: "s", Hash: hash, BlockCount: 8}, metadata("s", fmt.Sprint("person", i)))
			if err != nil {
				t.Fatal(err)
			}
			seen[n]++
		}
		for n, c := range seen {
			if c < 350 || c > 650 {
				t.Errorf("%s: %d of 4000 in block %d", hash, c, n)
			}
		}
		// Binary metadata is its bytes, padded or not.
		a, _ := by(ShardRule{MetadataKey: "s-bin", Hash: hash, BlockCount: 8}, metadata("s-bin", "AAEC/w=="))
		b, _ := by(ShardRule{MetadataKey: "s-bin", Hash: hash, BlockCount: 8}, metadata("s-bin", "AAEC/w"))
		if a != b {
			t.Error("padding moves a key")
		}
	}
	// Published values, so that a key keeps its block from one release to the next.
	if Hash("fnv1a", "a") != 0xaf63dc4c8601ec8c || Hash("xxh64", "") != 0xef46db3751d8e999 {
		t.Error("the hashes are not the published ones")
	}
}

func manyRoutes(n int) (list []*Route, paths []string) {
	for i := range n {
		service := fmt.Sprintf("org.unit%d.pack%d.Service%d", i%7, i%100, i/4)
		list = append(list, &Route{Name: fmt.Sprint(i), Service: service, Method: fmt.Sprintf("Method%d", i%4)})
		paths = append(paths, "/"+service+"/"+list[i].Method)
	}
	return list, paths
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		list, paths := manyRoutes(n)
		table, err := New(list)
		if err != nil {
			b.Fatal(err)
		}
		m := metadata("x", "y")
		b.Run(fmt.Sprintf("tree-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Find(paths[i*7919%n], m)
			}
			b.ReportMetric(float64(sizeBytes(table))/float64(n), "bytes/route")
		})
		b.Run(fmt.Sprintf("scan-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				linearScan(list, paths[i*7919%n], m)
			}
		})
		exact := map[string][]*Route{}
		for i, r := range list {
			exact[paths[i]] = append(exact[paths[i]], r)
		}
		// The map finds exact paths alone: prefixes would need a look-up for each length.
		b.Run(fmt.Sprintf("map-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				path := paths[i*7919%n]
				for _, r := range exact[path] {
					if r.matchesMetadata(m) {
						break
					}
				}
			}
		})
		b.Run(fmt.Sprintf("map-of-prefixes-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				path := paths[i*7919%n] + "x" // no exact one: each prefix is tried
				for end := len(path); end > 0 && exact[path[:end]] == nil; end-- {
				}
			}
		})
	}
}
