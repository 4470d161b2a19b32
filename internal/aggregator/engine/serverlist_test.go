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
		// In each round a server goes, sometimes with an attempt in flight, another one appears
		// under a new id, and searches go on.
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
	list := &w.engine.serverList
	if live := len(list.indexOf); live > 8+serverRetention/(2.5*heartbeatInterval)+2 || maxEntries > 30 ||
		len(list.servers) != live+len(list.freeIndices) {
		t.Errorf("after 120 list versions %d servers are known, with %d indices, %d of them free",
			live, len(list.servers), len(list.freeIndices))
	}
	if n := len(w.engine.timers); n > 60 || len(w.engine.entries) > 60 {
		t.Errorf("%d timers are pending, and there are %d indices for searches and shard requests; want at most 60 each",
			n, len(w.engine.entries))
	}
	for id, index := range list.indexOf {
		if srv := list.servers[index]; srv == nil || srv.id != id {
			t.Errorf("index %d does not refer to server %s", index, id)
		}
	}
}

func TestRepeatedNamesInSettingsKeepTheirFirstNumber(t *testing.T) {
	w := newWorldOf(t, 1, `"localities":["a","b"]`, `"localities":["north, by the sea","a","a",""],"customers":[{"name":"x, y","quota-per-s":1},
{"name":"z","quota-per-s":1},{"name":"z","quota-per-s":9}]`)
	config := &w.engine.config
	if config.zones["north, by the sea"] != 0 || config.zones["a"] != 1 || config.zones[""] != 3 || len(config.zones) != 3 {
		t.Error("wrong numbers of zones: ", config.zones)
	}
	if w.engine.Customer("x, y") != 0 || w.engine.Customer("z") != 1 ||
		w.engine.Customer("unknown") != unknownCustomer || w.engine.Customer("") != unknownCustomer {
		t.Error("wrong numbers of customers: ", config.customers, w.engine.Customer("unknown"))
	}
}
