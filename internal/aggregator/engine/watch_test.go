package engine

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"kestrelspread/internal/transport"
)

// listOfS0 returns a line of the list stream with the server s0 alone.
func listOfS0(version int, reset bool, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80","zone":"a","cell":0,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, reset, state)
}

// establishedWatch returns the first watch whose headers have been sent, or noConn.
func (w *world) establishedWatch() transport.Conn {
	for c, conn := range w.conns {
		if conn != nil && conn.watched {
			return transport.Conn(c)
		}
	}
	return noConn
}

// reopenWatches advances the time and opens the watches that are due then.
func (w *world) reopenWatches(afterMs float64) {
	w.now += afterMs
	w.turn()
	w.openConns()
}

// wantReady checks how many servers are ready in the aggregator's list.
func (w *world) wantReady(want int, why string) {
	w.t.Helper()
	if w.engine.serverList.readyCount != want {
		w.t.Errorf("%s: %d ready, want %d", why, w.engine.serverList.readyCount, want)
	}
}

func TestOlderListIsIgnoredUnlessDiscoveryInsists(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	send := func(line string) {
		w.turn(func() {
			if c := w.establishedWatch(); c != noConn {
				w.receiveBytes(c, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line))
			}
		})
	}
	send(listOfS0(9, false, "draining"))
	w.wantReady(1, "a change")
	send(listOfS0(8, false, "ready"))
	w.wantReady(1, "an older change")
	w.turn(func() {
		for c, conn := range w.conns {
			if conn != nil && conn.watched {
				w.closeByPeer(transport.Conn(c))
			}
		}
	})
	w.reopenWatches(maxWatchBackoff)
	send(listOfS0(3, true, "ready"))
	w.wantReady(1, "an older full list")
	if w.engine.serverList.watch != nil {
		t.Error("the watch that sent an older list is still open")
	}
	w.reopenWatches(maxWatchBackoff)
	send(listOfS0(3, true, "ready"))
	w.wantReady(1, "the same again")
	if w.engine.serverList.version != 9 {
		t.Error("an older list was accepted")
	}
	w.reopenWatches(olderListTimeout)
	send(listOfS0(3, true, "ready"))
	w.wantReady(1, "the same past the timeout: s1 is gone, s0 is back")
	if w.engine.serverList.version != 3 {
		t.Errorf("version %d after discovery kept sending an older list, want 3", w.engine.serverList.version)
	}
	send("{broken")
	w.wantReady(1, "a malformed line")
	if w.engine.Counters.BadLists == 0 || w.engine.serverList.watch != nil {
		t.Error("a malformed line leaves its watch open")
	}
}

func TestUnresponsiveWatchIsReopened(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	c := w.watchConn()
	first := w.conns[c]
	for range 4 {
		w.advance(heartbeatInterval)
		w.turn(func() { w.receiveBytes(c, []byte("1\r\n\n\r\n")) })
	}
	if w.conns[c] != first {
		t.Fatal("a watch with heartbeats was dropped")
	}
	w.advance(heartbeatTimeout + maxWatchBackoff + 1)
	if c := w.watchConn(); c == noConn || w.conns[c] == first || w.engine.Counters.WatchesLost != 1 {
		t.Error("a silent watch was not reopened")
	}
	if w.engine.serverList.readyCount != 2 {
		t.Errorf("%d servers are ready after the watch was lost, want 2", w.engine.serverList.readyCount)
	}
}

func TestDiscoveryMoves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	watchAt := func(ip string) transport.Conn {
		for c, conn := range w.conns {
			if conn != nil && conn.destination == netip.MustParseAddrPort(ip+":9") {
				return transport.Conn(c)
			}
		}
		return noConn
	}
	move := func(ip string) {
		to := netip.MustParseAddrPort(ip + ":9")
		w.engine.DiscoveryAddr.Store(&to)
		w.turn(func() { w.engine.Notified(MoveDiscovery) })
	}
	sendState := func(ip, state string, version int, full bool) {
		t.Helper()
		line := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80",`+
			`"zone":"a","cell":0,"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, full, state)
		w.turn(func() { w.receiveBytes(watchAt(ip), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
	}
	sendState("127.0.0.1", "ready", 50, false)
	move("127.0.0.2")
	if watchAt("127.0.0.1") == noConn || watchAt("127.0.0.2") == noConn {
		t.Fatal("both addresses must be watched until the new one has sent its list")
	}
	sendState("127.0.0.1", "draining", 51, false)
	w.wantReady(1, "a drain sent by the old address")
	move("127.0.0.3") // before the second address has sent anything
	if watchAt("127.0.0.2") != noConn || watchAt("127.0.0.1") == noConn {
		t.Error("the watch that has sent a list must be kept, and the one that has not must be closed")
	}
	w.turn(func() { w.closeByPeer(watchAt("127.0.0.1")) })
	w.wantReady(1, "the old address closes")
	w.turn(func() { w.closeByPeer(watchAt("127.0.0.3")) })
	w.wantReady(1, "the new address closes its connection")
	w.advance(maxWatchBackoff + 1)
	w.openConns()
	if got := string(w.conns[watchAt("127.0.0.3")].unsent) + string(w.conns[watchAt("127.0.0.3")].received); strings.Contains(got, "after=5") {
		t.Error("the watch asks for the changes since a version of another address: ", got)
	}
	sendState("127.0.0.3", "ready", 3, true)
	w.wantReady(1, "a full list of the new address, with a lower version: s0 is ready and s1 gone")
	if w.engine.serverList.version != 3 || w.engine.Counters.WatchesLost != 1 {
		t.Errorf("version %d, want 3; %d watches lost, want 1", w.engine.serverList.version, w.engine.Counters.WatchesLost)
	}
	sendState("127.0.0.3", "draining", 2, false)
	w.wantReady(1, "an older change from the new address")
	w.shutDownAndCheck()
}

func TestMissedUpdatesAreReadThoughTwoOtherWatchesHang(t *testing.T) {
	// Each of the two watches hangs in one of three ways: its connection is never established; it
	// sends its response head and then nothing; or it sends bytes that never complete a line.
	for _, how := range []string{"not established", "only the head", "no complete line"} {
		w := newWorld(t, 1, 2)
		c, since := w.silenceWatch()
		hung := []transport.Conn{c}
		seen := []*modelConn{w.conns[c]}
		for w.now < since+olderListTimeout && len(seen) < 4 {
			w.advance(10)
			c := w.watchConn()
			if c == noConn || w.conns[c] == seen[len(seen)-1] {
				if how == "no complete line" && len(seen) > 1 && w.conns[hung[len(hung)-1]] == seen[len(seen)-1] {
					w.turn(func() { w.receiveBytes(c, []byte("1\r\n \r\n")) })
				}
				continue
			}
			hung, seen = append(hung, c), append(seen, w.conns[c])
			if how != "not established" && len(seen) < 4 {
				w.openWatch(c)
			}
		}
		if len(seen) < 4 {
			t.Errorf("%s: %d watches were opened in 6 s, want 4", how, len(seen))
			continue
		}
		c = w.watchConn()
		w.openWatch(c)
		request := string(w.conns[c].received) + string(w.conns[c].unsent)
		if !strings.Contains(request, "after=0 ") {
			t.Errorf("%s: any change may have been missed, but the watch does not ask for the full list: %.60q", how, request)
		}
		w.servers[1].state = "draining"
		w.sendWatchLine(c, string(w.listLine(true)))
		if w.now > since+olderListTimeout || w.engine.serverList.readyCount != 1 {
			t.Errorf("%s: %.0f ms after the last heartbeat %d servers are ready, want 1 within 6 s",
				how, w.now-since, w.engine.serverList.readyCount)
		}
	}
}

func TestWatchWithoutUpdatesKeepsItsVersion(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	first := w.conns[w.watchConn()]
	w.turn(func() { w.closeByPeer(w.watchConn()) }) // reset, not timed out
	w.turn()
	c := w.watchConn()
	if c == noConn || w.conns[c] == first {
		t.Fatal("a watch that was reset is not reopened at once: updates sent meanwhile would be late")
	}
	w.openWatch(c)
	if request := string(w.conns[c].received) + string(w.conns[c].unsent); !strings.Contains(request, "after=1 ") {
		t.Errorf("the watch does not ask for the changes since version 1: %.60q", request)
	}
	conn := w.conns[c]
	w.advance(heartbeatInterval) // nothing is due before the first heartbeat
	w.sendWatchLine(c, "")
	w.advance(heartbeatInterval)
	if w.conns[c] != conn {
		t.Error("a watch without updates was dropped")
	}
}

func TestWatchesThatEndAtOnceAreReopenedWithBackoff(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	before := w.engine.Counters.Watches
	for end := w.now + 3000; w.now < end; {
		w.turn(func() {
			if c := w.watchConn(); c != noConn {
				w.closeByPeer(c)
			}
		})
		w.advance(5)
	}
	if n := w.engine.Counters.Watches - before; n < 3000/maxWatchBackoff || n > 3000/maxWatchBackoff+5 {
		t.Errorf("%d watches were opened in 3 s, want about %.0f", n, 3000/maxWatchBackoff)
	}
}

func TestWatchLostInShutdownIsReopened(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.turn(func() { w.engine.Notified(Terminate) })
	w.advance(serveShareAfterStop*(1000+killMargin) + 1)
	if !w.listenersClosed || w.stopped {
		t.Fatal("the shutdown has not closed the listeners, or has already ended")
	}
	first := w.conns[w.watchConn()]
	w.turn(func() { w.closeByPeer(w.watchConn()) })
	if c := w.watchConn(); c == noConn || w.conns[c] == first {
		t.Error("attempts go on, but the watch that reports drains is not reopened")
	}
}

func TestPolledDiscoveryHasALongerTimeout(t *testing.T) {
	// A polled request may wait for updates, and ends after its response: neither is a fault. The
	// requests of all aggregators add up at discovery.
	w := newWorldOf(t, 2, `"discovery":"push"`, `"discovery":"ask"`)
	w.turn()
	conn := w.conns[w.watchConn()]
	w.turn(func() { conn.open = true; w.engine.Opened(w.watchConn()) })
	w.advance(2500)
	if c := w.watchConn(); c == noConn || w.conns[c] != conn {
		t.Fatal("a request that waits for updates was dropped")
	}
	w.turn(func() {
		w.receiveBytes(w.watchConn(), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n"))
	})
	w.advance(maxWatchBackoff - 1)
	if w.watchConn() != noConn {
		t.Error("discovery was polled again at once")
	}
	w.advance(2)
	if w.watchConn() == noConn {
		t.Error("discovery was not polled again after the backoff")
	}
}

func TestWatchIsNotDroppedForOwnStall(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	conn := w.conns[w.watchConn()]
	w.now += 5000 // the aggregator was stalled
	w.turn(func() { conn.open = true; w.engine.Opened(w.watchConn()) })
	if c := w.watchConn(); c == noConn || w.conns[c] != conn {
		t.Error("the watch was dropped before its response could be read")
	}
	w.advance(watchOpenTimeout)
	if c := w.watchConn(); c == noConn || w.conns[c] == conn {
		t.Error("a watch that sends nothing is kept")
	}
}

func TestWatchEndsWithItsConnection(t *testing.T) {
	// The response has neither a length nor chunks: its body ends with the connection. A line that
	// is cut off by the end is not a line.
	w := newWorld(t, 1, 2)
	w.turn()
	c := w.watchConn()
	w.turn(func() { w.conns[c].open = true; w.engine.Opened(c) })
	w.turn(func() { w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")) })
	w.servers[1].state = "draining"
	line := append(w.listLine(true), '\n')
	w.turn(func() { w.receiveBytes(c, line[:40]) })
	w.turn(func() { w.receiveBytes(c, line[40:]) })
	if w.engine.serverList.readyCount != 1 || w.engine.Counters.BadLists != 0 {
		t.Errorf("%d servers are ready, want 1; %d bad lists, want 0", w.engine.serverList.readyCount, w.engine.Counters.BadLists)
	}
	w.servers[0].state = "draining"
	line = append(w.listLine(false), '\n')
	conn := w.conns[c]
	w.turn(func() { w.receiveBytes(c, line[:len(line)-9]) })
	w.turn(func() { w.closeByPeer(c) }) // in the middle of a line
	if w.engine.serverList.readyCount != 1 {
		t.Error("an incomplete line was applied")
	}
	if c := w.watchConn(); c == noConn || w.conns[c] == conn {
		t.Error("the watch was not reopened")
	}
}
