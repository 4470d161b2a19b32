package engine

import (
	"fmt"
	"testing"
)

func TestReplacedServersLeaveNothingBehind(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	c, version := w.watchConn(), 100
	maxEntries := 0
	for n := range 120 {
		// A server goes, with a part out or without, and another comes under a new id; searches go on.
		version++
		line := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"x%d","hostPort":"127.0.1.%d:80",`+
			`"zone":"a","cell":%d,"lifecycle":"ready","weight":1,"startedAtMs":0},{"instanceId":"x%d","lifecycle":"gone"}]}`,
			version, n, n%4+1, n%4, n-4)
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, n%8, (n+3)%8) })
		w.turn(func() { w.receiveBytes(c, []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
		if n%3 > 0 {
			w.runUntilAnswered(client)
		}
		for range 5 {
			w.advance(heartbeatInterval / 2)
			w.turn(func() { w.receiveBytes(c, []byte("1\r\n\n\r\n")) })
		}
		maxEntries = max(maxEntries, len(w.engine.serverList.servers))
	}
	client := &w.engine.serverList
	if live := len(client.indexOf); live > 8+serverRetention/(2.5*heartbeatInterval)+2 || maxEntries > 30 || len(client.servers) != live+len(client.freeIndices) {
		t.Errorf("%d servers known, %d places for them, %d free, after 120 generations", live, len(client.servers), len(client.freeIndices))
	}
	if n := len(w.engine.timers); n > 60 || len(w.engine.entries) > 60 {
		t.Errorf("%d timers wait, %d searches and parts have places", n, len(w.engine.entries))
	}
	for id, at := range client.indexOf {
		if v := client.servers[at]; v == nil || v.id != id {
			t.Errorf("index %d is not %s's", at, id)
		}
	}
}

func TestReportFieldAliases(t *testing.T) {
	w := newWorldOf(t, 1, `"localities":["a","b"]`, `"localities":["north, by the sea","a","a",""],"customers":[{"name":"x, y","quota-per-s":1},
{"name":"z","quota-per-s":1},{"name":"z","quota-per-s":9}]`)
	g := &w.engine.config
	if g.zones["north, by the sea"] != 0 || g.zones["a"] != 1 || g.zones[""] != 3 || len(g.zones) != 3 {
		t.Error("zones: ", g.zones)
	}
	if w.engine.Customer("x, y") != 0 || w.engine.Customer("z") != 1 || w.engine.Customer("unknown") != unknownCustomer || w.engine.Customer("") != unknownCustomer {
		t.Error("customers: ", g.customers, w.engine.Customer("unknown"))
	}
}
