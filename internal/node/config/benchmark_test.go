package config_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
)

// largeBody returns a configuration of the size that operators expect to reach.
func largeBody(version, routes, services, tenants int) string {
	list := func(count int, item func(int) string) string {
		items := make([]string, count)
		for i := range items {
			items[i] = item(i)
		}
		return strings.Join(items, ",")
	}
	return body(version,
		list(routes, func(i int) string { return largeRoute(i, services, 6000) }),
		list(services, func(i int) string { return strings.Replace(serviceOne, "huvo11a", fmt.Sprint("service-", i), 1) }),
		list(tenants, func(i int) string {
			return fmt.Sprintf(`{"name":"tenant-%d","apiKeys":["xd9dnn2ctnfzs989anu6%d","wsjnbanfqasnmgkcuyj8%d"],"priority":0,"isolated":false}`, i, i, i)
		}))
}

func largeRoute(i, services, timeoutMs int) string {
	return fmt.Sprintf(`{"name":"r-%d","host":"host-%d.example","pathPrefix":"/xapu221/ny%d/","kind":"streaming","timeoutMs":%d,`+
		`"targetLatencyMs":500,"priority":0,"trafficSplit":[{"service":"service-%d","weight":90},{"service":"service-0","weight":10}],`+
		`"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}`, i, i%100, i, timeoutMs, i%services)
}

const (
	manyRoutes   = 1000
	manyServices = 30
	manyTenants  = 3800
)

func largeReplica(b *testing.B, checker config.Checker) *replica {
	b.Helper()
	r := &replica{State: config.NewState(checker), t: b}
	r.mustTake(replaceCommand(0, largeBody(1, manyRoutes, manyServices, manyTenants)))
	r.Compile()
	return r
}

func BenchmarkCheckReplace700(b *testing.B) {
	command := replaceCommand(0, largeBody(1, 700, manyServices, 8))
	b.ReportAllocs()
	for b.Loop() {
		_, entryNeeded := config.NewState(schema.NewChecker()).Check(command)
		assert.Assert(b, entryNeeded)
	}
}

func BenchmarkCheckReplaceUnchangedItems(b *testing.B) {
	r := largeReplica(b, schema.NewChecker())
	version := 1
	b.ReportAllocs()
	for b.Loop() {
		version++
		_, entryNeeded := r.Check(replaceCommand(1, largeBody(version, manyRoutes, manyServices, manyTenants)))
		assert.Assert(b, entryNeeded)
	}
}

func BenchmarkCheckUpdateOfOneRoute(b *testing.B) {
	r := largeReplica(b, schema.NewChecker())
	version := 1
	b.ReportAllocs()
	for b.Loop() {
		version++
		text := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, version, largeRoute(5, manyServices, version))
		_, entryNeeded := r.Check(updateCommand(1, text))
		assert.Assert(b, entryNeeded)
	}
}

func BenchmarkApplyAndCompileUpdateOfOneRoute(b *testing.B) {
	r := largeReplica(b, nil)
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		text := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, version, largeRoute(5, manyServices, int(version)))
		assert.Assert(b, r.apply(updateCommand(version-1, text)).GetCode() == taken)
		r.Compile()
	}
}

func BenchmarkApplyAndCompileUpdateOfOneTenant(b *testing.B) {
	r := largeReplica(b, nil)
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		text := fmt.Sprintf(`{"version":%d,"upsert":{"tenants":[{"name":"tenant-5","apiKeys":["key-%d"]}]}}`, version, version)
		assert.Assert(b, r.apply(updateCommand(version-1, text)).GetCode() == taken)
		r.Compile()
	}
}

func BenchmarkSnapshot(b *testing.B) {
	r := largeReplica(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		runtime.KeepAlive(r.Snapshot())
	}
}

func BenchmarkRestoreAndCompile(b *testing.B) {
	snapshot := largeReplica(b, nil).Snapshot()
	b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	b.ReportAllocs()
	for b.Loop() {
		state := config.NewState(nil)
		assert.NilError(b, state.Restore(snapshot))
		state.Compile()
	}
}

func BenchmarkMatch(b *testing.B) {
	compiled := largeReplica(b, nil).Compile()
	b.ReportAllocs()
	for b.Loop() {
		if compiled.Routes.Match("Host-57.example:8080", "/xapu221/ny457/2f/x") == nil {
			b.Fatal("no route")
		}
	}
}

func BenchmarkTenant(b *testing.B) {
	compiled := largeReplica(b, nil).Compile()
	b.ReportAllocs()
	for b.Loop() {
		if compiled.Tenant("wsjnbanfqasnmgkcuyj82019") == nil {
			b.Fatal("no tenant")
		}
	}
}

// BenchmarkHeap reports the heap that a state with its compiled table occupies.
func BenchmarkHeap(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		r := largeReplica(b, nil)
		b.ReportMetric(float64(heapInUse()-before), "heap-bytes")
		runtime.KeepAlive(r)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
