package engine

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"kestrelspread/internal/transport"
)

func TestOlderListIsIgnoredUnlessDiscoveryInsists(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	say := func(line string) {
		w.turn(func() {
			for c, e := range w.ends {
				if e != nil && e.watched {
					w.say(transport.Conn(c), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)))
					return
				}
			}
		})
	}
	entry := func(version int, reset bool, state string) string {
		return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80","zone":"a","cell":0,`+
			`"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, reset, state)
	}
	ready := func(want int, why string) {
		t.Helper()
		if w.r.list.ready != want {
			t.Errorf("%s: %d ready, want %d", why, w.r.list.ready, want)
		}
	}
	say(entry(9, false, "draining"))
	ready(1, "a change")
	say(entry(8, false, "ready"))
	ready(1, "an older change")
	again := func() {
		w.turn(func() {
			for c, e := range w.ends {
				if e != nil && e.watched {
					w.lose(transport.Conn(c))
				}
			}
		})
		w.now += maxWatchBackoff
		w.turn()
		w.open()
	}
	again()
	say(entry(3, true, "ready"))
	ready(1, "an older whole list")
	if w.r.list.watch != nil {
		t.Error("its watch is kept")
	}
	w.now += maxWatchBackoff
	w.turn()
	w.open()
	say(entry(3, true, "ready"))
	ready(1, "the same again")
	if w.r.list.version != 9 {
		t.Error("an older list was taken")
	}
	w.now += olderListTimeout
	w.turn()
	w.open()
	say(entry(3, true, "ready"))
	ready(1, "the same for long: s1 is gone, s0 is back")
	if w.r.list.version != 3 {
		t.Error("discovery counts anew, at ", w.r.list.version)
	}
	say("{broken")
	ready(1, "a broken line")
	if w.r.Count.BadLists == 0 || w.r.list.watch != nil {
		t.Error("a broken line keeps its watch")
	}
}

func TestUnresponsiveWatchIsReopened(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	c := w.watching()
	first := w.ends[c]
	for range 4 {
		w.pass(heartbeatInterval)
		w.turn(func() { w.say(c, []byte("1\r\n\n\r\n")) })
	}
	if w.ends[c] != first {
		t.Fatal("a watch that beats was given up")
	}
	w.pass(heartbeatTimeout + maxWatchBackoff + 1)
	if c := w.watching(); c == noConn || w.ends[c] == first || w.r.Count.WatchesLost != 1 {
		t.Error("a silent watch was not opened anew")
	}
	if w.r.list.ready != 2 {
		t.Error("its list was not kept")
	}
}

func TestDiscoveryMoves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	at := func(ip string) transport.Conn {
		for c, e := range w.ends {
			if e != nil && e.to == netip.MustParseAddrPort(ip+":9") {
				return transport.Conn(c)
			}
		}
		return noConn
	}
	move := func(ip string) {
		to := netip.MustParseAddrPort(ip + ":9")
		w.r.Discovery.Store(&to)
		w.turn(func() { w.r.Notified(MoveDiscovery) })
	}
	say := func(ip, state string, version int, whole bool) {
		t.Helper()
		line := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80",`+
			`"zone":"a","cell":0,"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, whole, state)
		w.turn(func() { w.say(at(ip), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
	}
	ready := func(want int, why string) {
		t.Helper()
		if w.r.list.ready != want {
			t.Errorf("%s: %d ready, want %d", why, w.r.list.ready, want)
		}
	}
	say("127.0.0.1", "ready", 50, false)
	move("127.0.0.2")
	if at("127.0.0.1") == noConn || at("127.0.0.2") == noConn {
		t.Fatal("both addresses are to be heard until the new one has told its list")
	}
	say("127.0.0.1", "draining", 51, false)
	ready(1, "a drain told by the old address")
	move("127.0.0.3") // before the second has said anything
	if at("127.0.0.2") != noConn || at("127.0.0.1") == noConn {
		t.Error("the one that has told a list is to be kept, the other not")
	}
	w.turn(func() { w.lose(at("127.0.0.1")) })
	ready(1, "the old address closes")
	w.turn(func() { w.lose(at("127.0.0.3")) })
	ready(1, "the new one refuses")
	w.pass(maxWatchBackoff + 1)
	w.open()
	if got := string(w.ends[at("127.0.0.3")].sent) + string(w.ends[at("127.0.0.3")].got); strings.Contains(got, "after=5") {
		t.Error("a version of another address is asked for: ", got)
	}
	say("127.0.0.3", "ready", 3, true)
	ready(1, "s0 is back and s1 gone, by the new address's versions")
	if w.r.list.version != 3 || w.r.Count.WatchesLost != 1 {
		t.Error(w.r.list.version, w.r.Count.WatchesLost)
	}
	say("127.0.0.3", "draining", 2, false)
	ready(1, "there too an older change is none")
	w.settle()
}

func TestMissedUpdatesAreReadThoughTwoFurtherWatchesHang(t *testing.T) {
	// How each of the two hangs: it never comes up, or it answers its head and then nothing, or bytes that make no line.
	for _, how := range []string{"never up", "head alone", "trickle"} {
		w := newWorld(t, 1, 2)
		c, since := w.silentSince()
		hung := []transport.Conn{c}
		seen := []*end{w.ends[c]}
		for w.now < since+olderListTimeout && len(seen) < 4 {
			w.pass(10)
			c := w.watching()
			if c == noConn || w.ends[c] == seen[len(seen)-1] {
				if how == "trickle" && len(seen) > 1 && w.ends[hung[len(hung)-1]] == seen[len(seen)-1] {
					w.turn(func() { w.say(c, []byte("1\r\n \r\n")) })
				}
				continue
			}
			hung, seen = append(hung, c), append(seen, w.ends[c])
			if how != "never up" && len(seen) < 4 {
				w.heads(c)
			}
		}
		if len(seen) < 4 {
			t.Errorf("%s: %d watches in 6 s", how, len(seen))
			continue
		}
		c = w.watching()
		w.heads(c)
		asked := string(w.ends[c].got) + string(w.ends[c].sent)
		if !strings.Contains(asked, "after=0 ") {
			t.Errorf("%s: what it missed may be any change, and it asked %.60q", how, asked)
		}
		w.list[1].state = "draining"
		w.tells(c, string(w.listLine(true)))
		if w.now > since+olderListTimeout || w.r.list.ready != 1 {
			t.Errorf("%s: %.0f ms after the silence, %d ready", how, w.now-since, w.r.list.ready)
		}
	}
}

func TestWatchWithoutUpdatesKeepsItsVersion(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	first := w.ends[w.watching()]
	w.turn(func() { w.lose(w.watching()) }) // reset, not silent
	w.turn()
	c := w.watching()
	if c == noConn || w.ends[c] == first {
		t.Fatal("a watch that was reset is not opened anew at once: what is told meanwhile counts")
	}
	w.heads(c)
	if asked := string(w.ends[c].got) + string(w.ends[c].sent); !strings.Contains(asked, "after=1 ") {
		t.Errorf("asked %.60q", asked)
	}
	e := w.ends[c]
	w.pass(heartbeatInterval) // nothing is due before the first beat
	w.tells(c, "")
	w.pass(heartbeatInterval)
	if w.ends[c] != e {
		t.Error("a watch with no news was dropped")
	}
}

func TestWatchesThatEndAtOnceAreReopenedWithBackoff(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	before := w.r.Count.Watches
	for end := w.now + 3000; w.now < end; {
		w.turn(func() {
			if c := w.watching(); c != noConn {
				w.lose(c)
			}
		})
		w.pass(5)
	}
	if n := w.r.Count.Watches - before; n < 3000/maxWatchBackoff || n > 3000/maxWatchBackoff+5 {
		t.Errorf("%d watches in 3 s", n)
	}
}

func TestWatchLostInShutdownIsReopened(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.turn(func() { w.r.Notified(Terminate) })
	w.pass(serveShareAfterStop*(1000+killMargin) + 1)
	if !w.deaf || w.stopped {
		t.Fatal("it is not leaving")
	}
	first := w.ends[w.watching()]
	w.turn(func() { w.lose(w.watching()) })
	if c := w.watching(); c == noConn || w.ends[c] == first {
		t.Error("its sub-requests go on, and it hears of no drain")
	}
}

func TestPolledDiscoveryHasALongerTimeout(t *testing.T) {
	// A call may wait for news, and then ends: neither is a fault, and all aggregators' calls add up there.
	w := newWorldOf(t, 2, `"discovery":"push"`, `"discovery":"ask"`)
	w.turn()
	e := w.ends[w.watching()]
	w.turn(func() { e.open = true; w.r.Opened(w.watching()) })
	w.pass(2500)
	if c := w.watching(); c == noConn || w.ends[c] != e {
		t.Fatal("a call that waits was given up")
	}
	w.turn(func() {
		w.say(w.watching(), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n"))
	})
	w.pass(maxWatchBackoff - 1)
	if w.watching() != noConn {
		t.Error("asked again at once")
	}
	w.pass(2)
	if w.watching() == noConn {
		t.Error("not asked again")
	}
}

func TestWatchIsNotDroppedForOwnStall(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	e := w.ends[w.watching()]
	w.now += 5000 // it stood still
	w.turn(func() { e.open = true; w.r.Opened(w.watching()) })
	if c := w.watching(); c == noConn || w.ends[c] != e {
		t.Error("given up before its answer could be read")
	}
	w.pass(watchOpenTimeout)
	if c := w.watching(); c == noConn || w.ends[c] == e {
		t.Error("it says nothing, and is kept")
	}
}

func TestWatchEndsWithItsConnection(t *testing.T) {
	// Its answer has neither length nor chunks: what comes is its body, and a break is no end of it.
	w := newWorld(t, 1, 2)
	w.turn()
	c := w.watching()
	w.turn(func() { w.ends[c].open = true; w.r.Opened(c) })
	w.turn(func() { w.say(c, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")) })
	w.list[1].state = "draining"
	line := append(w.listLine(true), '\n')
	w.turn(func() { w.say(c, line[:40]) })
	w.turn(func() { w.say(c, line[40:]) })
	if w.r.list.ready != 1 || w.r.Count.BadLists != 0 {
		t.Errorf("%d ready, %d bad lists", w.r.list.ready, w.r.Count.BadLists)
	}
	w.list[0].state = "draining"
	line = append(w.listLine(false), '\n')
	e := w.ends[c]
	w.turn(func() { w.say(c, line[:len(line)-9]) })
	w.turn(func() { w.lose(c) }) // in the middle of a line
	if w.r.list.ready != 1 {
		t.Error("half a line was taken")
	}
	if c := w.watching(); c == noConn || w.ends[c] == e {
		t.Error("not asked again")
	}
}
