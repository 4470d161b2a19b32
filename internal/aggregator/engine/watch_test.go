package engine

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"kestrelspread/internal/transport"
)

// listOfS0 is a line of the list with the server s0 alone.
func listOfS0(version int, reset bool, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80","zone":"a","cell":0,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, reset, state)
}

// establishedWatch is the first watch whose headers have been sent, or none.
func (w *world) establishedWatch() transport.Conn {
	for c, e := range w.conns {
		if e != nil && e.watched {
			return transport.Conn(c)
		}
	}
	return noConn
}

// reopenWatches lets time go by and opens the watches that are due.
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
		for c, e := range w.conns {
			if e != nil && e.watched {
				w.closeByPeer(transport.Conn(c))
			}
		}
	})
	w.reopenWatches(maxWatchBackoff)
	send(listOfS0(3, true, "ready"))
	w.wantReady(1, "an older full list")
	if w.engine.serverList.watch != nil {
		t.Error("its watch is still open")
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
		t.Error("discovery's versions restarted, at ", w.engine.serverList.version)
	}
	send("{broken")
	w.wantReady(1, "a malformed line")
	if w.engine.Count.BadLists == 0 || w.engine.serverList.watch != nil {
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
		t.Fatal("a watch that beats was given up")
	}
	w.advance(heartbeatTimeout + maxWatchBackoff + 1)
	if c := w.watchConn(); c == noConn || w.conns[c] == first || w.engine.Count.WatchesLost != 1 {
		t.Error("a silent watch was not opened anew")
	}
	if w.engine.serverList.readyCount != 2 {
		t.Error("its list was not kept")
	}
}

func TestDiscoveryMoves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	at := func(ip string) transport.Conn {
		for c, e := range w.conns {
			if e != nil && e.destination == netip.MustParseAddrPort(ip+":9") {
				return transport.Conn(c)
			}
		}
		return noConn
	}
	move := func(ip string) {
		to := netip.MustParseAddrPort(ip + ":9")
		w.engine.Discovery.Store(&to)
		w.turn(func() { w.engine.Notified(MoveDiscovery) })
	}
	say := func(ip, state string, version int, full bool) {
		t.Helper()
		line := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80",`+
			`"zone":"a","cell":0,"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, full, state)
		w.turn(func() { w.receiveBytes(at(ip), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
	}
	say("127.0.0.1", "ready", 50, false)
	move("127.0.0.2")
	if at("127.0.0.1") == noConn || at("127.0.0.2") == noConn {
		t.Fatal("both addresses are to be watched until the new one has sent its list")
	}
	say("127.0.0.1", "draining", 51, false)
	w.wantReady(1, "a drain sent by the old address")
	move("127.0.0.3") // before the second has said anything
	if at("127.0.0.2") != noConn || at("127.0.0.1") == noConn {
		t.Error("the one that has sent a list is to be kept, the other not")
	}
	w.turn(func() { w.closeByPeer(at("127.0.0.1")) })
	w.wantReady(1, "the old address closes")
	w.turn(func() { w.closeByPeer(at("127.0.0.3")) })
	w.wantReady(1, "the new one refuses")
	w.advance(maxWatchBackoff + 1)
	w.openConns()
	if got := string(w.conns[at("127.0.0.3")].unsent) + string(w.conns[at("127.0.0.3")].received); strings.Contains(got, "after=5") {
		t.Error("a version of another address is asked for: ", got)
	}
	say("127.0.0.3", "ready", 3, true)
	w.wantReady(1, "s0 is back and s1 gone, by the new address's versions")
	if w.engine.serverList.version != 3 || w.engine.Count.WatchesLost != 1 {
		t.Error(w.engine.serverList.version, w.engine.Count.WatchesLost)
	}
	say("127.0.0.3", "draining", 2, false)
	w.wantReady(1, "there too an older change is none")
	w.shutDownAndCheck()
}

func TestMissedUpdatesAreReadThoughTwoOtherWatchesHang(t *testing.T) {
	// How each of the two hangs: it never comes up, or it answers its head and then nothing, or bytes that make no line.
	for _, how := range []string{"never up", "head alone", "trickle"} {
		w := newWorld(t, 1, 2)
		c, since := w.silenceWatch()
		hung := []transport.Conn{c}
		seen := []*modelConn{w.conns[c]}
		for w.now < since+olderListTimeout && len(seen) < 4 {
			w.advance(10)
			c := w.watchConn()
			if c == noConn || w.conns[c] == seen[len(seen)-1] {
				if how == "trickle" && len(seen) > 1 && w.conns[hung[len(hung)-1]] == seen[len(seen)-1] {
					w.turn(func() { w.receiveBytes(c, []byte("1\r\n \r\n")) })
				}
				continue
			}
			hung, seen = append(hung, c), append(seen, w.conns[c])
			if how != "never up" && len(seen) < 4 {
				w.openWatch(c)
			}
		}
		if len(seen) < 4 {
			t.Errorf("%s: %d watches in 6 s", how, len(seen))
			continue
		}
		c = w.watchConn()
		w.openWatch(c)
		asked := string(w.conns[c].received) + string(w.conns[c].unsent)
		if !strings.Contains(asked, "after=0 ") {
			t.Errorf("%s: what it missed may be any change, and it asked %.60q", how, asked)
		}
		w.servers[1].state = "draining"
		w.sendWatchLine(c, string(w.listLine(true)))
		if w.now > since+olderListTimeout || w.engine.serverList.readyCount != 1 {
			t.Errorf("%s: %.0f ms after the silence, %d ready", how, w.now-since, w.engine.serverList.readyCount)
		}
	}
}

func TestWatchWithoutUpdatesKeepsItsVersion(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	first := w.conns[w.watchConn()]
	w.turn(func() { w.closeByPeer(w.watchConn()) }) // reset, not silent
	w.turn()
	c := w.watchConn()
	if c == noConn || w.conns[c] == first {
		t.Fatal("a watch that was reset is not opened anew at once: what is told meanwhile counts")
	}
	w.openWatch(c)
	if asked := string(w.conns[c].received) + string(w.conns[c].unsent); !strings.Contains(asked, "after=1 ") {
		t.Errorf("asked %.60q", asked)
	}
	e := w.conns[c]
	w.advance(heartbeatInterval) // nothing is due before the first beat
	w.sendWatchLine(c, "")
	w.advance(heartbeatInterval)
	if w.conns[c] != e {
		t.Error("a watch with no news was dropped")
	}
}

func TestWatchesThatEndAtOnceAreReopenedWithBackoff(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.openConns()
	before := w.engine.Count.Watches
	for end := w.now + 3000; w.now < end; {
		w.turn(func() {
			if c := w.watchConn(); c != noConn {
				w.closeByPeer(c)
			}
		})
		w.advance(5)
	}
	if n := w.engine.Count.Watches - before; n < 3000/maxWatchBackoff || n > 3000/maxWatchBackoff+5 {
		t.Errorf("%d watches in 3 s", n)
	}
}

func TestWatchLostInShutdownIsReopened(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.turn(func() { w.engine.Notified(Terminate) })
	w.advance(serveShareAfterStop*(1000+killMargin) + 1)
	if !w.unlistened || w.stopped {
		t.Fatal("it is not leaving")
	}
	first := w.conns[w.watchConn()]
	w.turn(func() { w.closeByPeer(w.watchConn()) })
	if c := w.watchConn(); c == noConn || w.conns[c] == first {
		t.Error("its sub-requests go on, and it hears of no drain")
	}
}

func TestPolledDiscoveryHasALongerTimeout(t *testing.T) {
	// A call may wait for news, and then ends: neither is a fault, and all aggregators' calls add up there.
	w := newWorldOf(t, 2, `"discovery":"push"`, `"discovery":"ask"`)
	w.turn()
	e := w.conns[w.watchConn()]
	w.turn(func() { e.open = true; w.engine.Opened(w.watchConn()) })
	w.advance(2500)
	if c := w.watchConn(); c == noConn || w.conns[c] != e {
		t.Fatal("a call that waits was given up")
	}
	w.turn(func() {
		w.receiveBytes(w.watchConn(), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n"))
	})
	w.advance(maxWatchBackoff - 1)
	if w.watchConn() != noConn {
		t.Error("asked again at once")
	}
	w.advance(2)
	if w.watchConn() == noConn {
		t.Error("not asked again")
	}
}

func TestWatchIsNotDroppedForOwnStall(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	e := w.conns[w.watchConn()]
	w.now += 5000 // it stood still
	w.turn(func() { e.open = true; w.engine.Opened(w.watchConn()) })
	if c := w.watchConn(); c == noConn || w.conns[c] != e {
		t.Error("given up before its answer could be read")
	}
	w.advance(watchOpenTimeout)
	if c := w.watchConn(); c == noConn || w.conns[c] == e {
		t.Error("it says nothing, and is kept")
	}
}

func TestWatchEndsWithItsConnection(t *testing.T) {
	// Its answer has neither length nor chunks: what comes is its body, and a break is no end of it.
	w := newWorld(t, 1, 2)
	w.turn()
	c := w.watchConn()
	w.turn(func() { w.conns[c].open = true; w.engine.Opened(c) })
	w.turn(func() { w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")) })
	w.servers[1].state = "draining"
	line := append(w.listLine(true), '\n')
	w.turn(func() { w.receiveBytes(c, line[:40]) })
	w.turn(func() { w.receiveBytes(c, line[40:]) })
	if w.engine.serverList.readyCount != 1 || w.engine.Count.BadLists != 0 {
		t.Errorf("%d ready, %d bad lists", w.engine.serverList.readyCount, w.engine.Count.BadLists)
	}
	w.servers[0].state = "draining"
	line = append(w.listLine(false), '\n')
	e := w.conns[c]
	w.turn(func() { w.receiveBytes(c, line[:len(line)-9]) })
	w.turn(func() { w.closeByPeer(c) }) // in the middle of a line
	if w.engine.serverList.readyCount != 1 {
		t.Error("half a line was taken")
	}
	if c := w.watchConn(); c == noConn || w.conns[c] == e {
		t.Error("not asked again")
	}
}
