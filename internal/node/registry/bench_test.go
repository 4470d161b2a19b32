package registry

import (
	"fmt"
	"testing"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// BenchmarkUnchangedHeartbeat measures what a home does for almost every heartbeat.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	r := single()
	var members []*nodepb.Member
	for number := range 80 {
		members = append(members, &nodepb.Member{NodeId: fmt.Sprint(number), Address: fmt.Sprint(number), Zone: "b"})
	}
	r.SetMembers(0, members)
	heartbeat := instanceAt(1, isReady, func(i *nodepb.Instance) { i.Slots = 8 })
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		heartbeat.Sequence++
		r.Heartbeat(core.Time(number)*time.Millisecond, uint64(number), heartbeat)
	}
}

// BenchmarkTable measures a new table of 600 brokers after a change of one service.
func BenchmarkTable(b *testing.B) {
	r := single()
	for number := range 600 {
		r.Heartbeat(0, 1, instanceAt(1, isReady, func(i *nodepb.Instance) {
			i.Id, i.Address = fmt.Sprint(number), fmt.Sprint(number)
			i.Service = fmt.Sprint(number % 20)
		}))
	}
	b.ReportAllocs()
	for b.Loop() {
		r.invalidateService("7")
		r.Table()
	}
}
