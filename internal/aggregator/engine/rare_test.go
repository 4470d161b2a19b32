package engine

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/transport"
)

// newWorldOf is a world with other settings: pairs of what stands in the usual ones and what is to stand there.
func newWorldOf(t testing.TB, servers int, instead ...string) *world {
	w := newWorld(t, 1, servers)
	text := facts
	for i := 0; i < len(instead); i += 2 {
		if !strings.Contains(text, instead[i]) {
			t.Fatalf("the settings have no %s", instead[i])
		}
		text = strings.Replace(text, instead[i], instead[i+1], 1)
	}
	set, err := settings.FromJSON([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	w.r = New(w, w.pool, zerolog.New(io.Discard), set, 1, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}

// connOf is a client's connection.
func (w *world) connOf(k *caller) transport.Conn {
	return transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
}

// goes has a client leave.
func (w *world) goes(k *caller) { w.turn(func() { w.lose(w.connOf(k)) }) }

// tells has discovery say a line on a watch.
func (w *world) tells(c transport.Conn, line string) {
	w.turn(func() { w.say(c, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)) })
}

// heads opens a watch and answers its head.
func (w *world) heads(c transport.Conn) {
	w.turn(func() { w.ends[c].open = true; w.r.Opened(c) })
	w.turn(func() { w.say(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) })
}

// silentSince lets a watch that has just beaten fall silent.
func (w *world) silentSince() (c transport.Conn, at float64) {
	w.turn()
	w.open()
	c = w.watching()
	w.tells(c, "")
	return c, w.now
}

func TestASilentWatchIsMadeUpForThoughTheNextTwoHang(t *testing.T) {
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

func TestAWatchWithoutNewsKeepsItsVersionAndIsNotDropped(t *testing.T) {
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

func TestWatchesThatEndAtOnceAreAskedForLessOften(t *testing.T) {
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

func TestAWatchLostWhileItLeavesIsOpenedAnew(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.turn(func() { w.r.Told(Terminate) })
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

func TestNothingBeginsForWhoHasLeft(t *testing.T) {
	// Where attempts are not cancelled, too.
	for _, cancel := range []string{"true", "false"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":`+cancel)
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("quick", 900, 0) }) // it waits for its connect
		w.goes(k)
		w.open()
		w.pass(10)
		if w.r.Count.Sent != 0 || w.r.Count.ClientsLeft != 1 {
			t.Errorf("cancel %s: %d sent though its client left during the connect", cancel, w.r.Count.Sent)
		}

		// A frame that stands before a network which takes nothing, with a part of another search.
		var other *caller
		w.turn(func() { k = w.ask("quick", 900, 0) })
		w.open()
		c := w.lanes()[0]
		w.answer(c)
		e := w.ends[c]
		e.stuck = w.now + 1e9
		w.turn(func() { k = w.ask("quick", 900, 0); other = w.ask("quick", 900, 0) })
		if len(e.sent) == 0 || len(w.lanes()) != 1 {
			t.Fatal("no frame waits: ", len(w.lanes()))
		}
		w.goes(k)
		if sent := string(e.sent); strings.Contains(sent, k.id+".") || !strings.Contains(sent, other.id+".0") {
			t.Errorf("cancel %s: %q still waits to be sent", cancel, sent)
		}
		if w.ends[c] != e {
			t.Errorf("cancel %s: the connection was dropped, with what others have on it", cancel)
		}
		e.stuck = 0
		w.answered(other)
		if other.status != 200 {
			t.Errorf("cancel %s: who stayed has %d", cancel, other.status)
		}
		w.settle()
	}
}

func TestWhatWasToldBehindAFrameOutlivesItsTakingBack(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	var first, second *caller
	w.turn(func() { first = w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	e := w.ends[c]
	e.stuck = w.now + 1e9
	w.turn(func() { second = w.ask("quick", 900, 3) })
	if len(w.lanes()) != 1 || len(e.sent) == 0 {
		t.Fatal("no frame waits: ", len(w.lanes()))
	}
	w.goes(first) // its calling off stands behind the second's frame
	w.goes(second)
	if sent := string(e.sent); !strings.Contains(sent, "A"+first.id+".0") || strings.Contains(sent, second.id) {
		t.Errorf("%q waits to be sent", sent)
	}
}

func TestWhoHasJustConnectedMayAskThoughTheAddressCloses(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.r.Told(Terminate) })
	// somebody stays, so that it does not leave at once
	held := w.come(1, "")
	w.pass(serveShareAfterStop*(1000+killMargin) - 1)
	late := w.come(1, "")[0]
	w.pass(2)
	if !w.deaf {
		t.Fatal("the address is open")
	}
	left := w.r.killAt - answerBeforeKill - w.now
	w.pass(left / 2)
	if w.ends[late] == nil || w.ends[late].finished {
		t.Fatal("who has just connected was ended without having been asked")
	}
	w.turn(func() { w.say(late, []byte("GET /ready HTTP/1.1\r\n\r\n")) })
	if k := w.ends[late].client; k.status != 503 {
		t.Error("no answer: ", k.status)
	}
	_ = held
	w.settle()
}

func TestWhatIsHeldAtAStopIsAnsweredBeforeTheKill(t *testing.T) {
	// A search that may take longer than the time until the kill, before servers that say nothing.
	for _, deadline := range []float64{300, 1000, 8000} {
		w := newWorldOf(t, 2, `"deadline-ms":1000`, fmt.Sprintf(`"deadline-ms":%g`, deadline), `"deadline-ms":1000`, `"deadline-ms":200`,
			`"deadline-ms":1000`, `"deadline-ms":200`)
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("quick", 8000, 0, 1) })
		w.open()
		w.turn(func() { w.r.Told(Terminate) })
		w.turn(func() { w.r.Told(Terminate) }) // twice, as two signals have it
		grace := min(deadline, maxClientTimeout) + killMargin
		if w.r.killAt != w.now+grace {
			t.Fatal(w.r.killAt-w.now, "until the kill")
		}
		w.pass(grace - answerBeforeKill)
		if k.answers != 1 || k.at > w.r.killAt-answerBeforeKill {
			t.Errorf("client timeout %.0f: %d answers %.0f ms before the kill", deadline, k.answers, w.r.killAt-k.at)
		}
		w.pass(answerBeforeKill - lingerEndBeforeKill + 1)
		if !w.stopped {
			t.Errorf("client timeout %.0f: it has not ended by its kill", deadline)
		}
	}
}

func TestDrainedTwiceWithinAGraceCountsFromTheSecond(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	w.answer(c)
	tell := func(state string) {
		w.list[0].state, w.list[0].since = state, w.now
		w.tells(w.watching(), string(w.listLine(false)))
	}
	e := w.ends[c]
	e.stuck = w.now + 1e9
	w.turn(func() { w.ask("quick", 900, 0) })
	tell("draining")
	w.pass(100)
	tell("ready")
	tell("draining")
	w.pass(graceShare*250 - 50)
	if len(e.sent) == 0 {
		t.Error("held back by the first drain, which was taken back")
	}
	w.pass(60)
	if len(e.sent) > 0 {
		t.Error("the second drain's grace is over")
	}
}

func TestOfSeveralEndsOfASubRequestTheFirstCounts(t *testing.T) {
	reply := func(w *world, c transport.Conn) { w.frame(c, 'Y', "q0.0 OK 5 -\nq0.0") }
	lose := func(w *world, c transport.Conn) { w.lose(c) }
	late := func(w *world, _ transport.Conn) { w.now += 100 }
	goes := func(w *world, _ transport.Conn) { w.lose(w.connOf(w.callers[0])) }
	steps := map[string]func(*world, transport.Conn){"reply": reply, "reset": lose, "time": late, "client": goes}
	for _, a := range []string{"reply", "reset", "time", "client"} {
		for _, b := range []string{"reply", "reset", "time", "client"} {
			if a == b || a == "reset" && b == "reply" {
				continue // nothing comes on a connection that is gone
			}
			w := newWorld(t, 1, 1)
			w.turn()
			w.open()
			var k *caller
			w.turn(func() { k = w.ask("quick", 100, 0) })
			w.open()
			c := w.lanes()[0]
			k.late += 100
			w.turn(func() { steps[a](w, c); steps[b](w, c) })
			sum := int64(0)
			for _, n := range w.r.Count.Outcomes {
				sum += n
			}
			w.settle()
			if k.answers > 1 || k.answers == 0 && !k.gone {
				t.Errorf("%s, then %s: %d answers, %d outcomes", a, b, k.answers, sum)
			}
			after := int64(0)
			for _, n := range w.r.Count.Outcomes {
				after += n
			}
			if after != w.r.Count.AttemptsAsked {
				t.Errorf("%s, then %s: %d outcomes of %d sub-requests", a, b, after, w.r.Count.AttemptsAsked)
			}
		}
	}
}

func TestTheClientsTokenGoesWithEachSubRequest(t *testing.T) {
	w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":900`)
	w.turn()
	w.open()
	ask := func(id, token string) *caller {
		k := &caller{id: id, shards: []int{0}, late: w.now + 920, asked: true}
		w.callers, w.byID[id] = append(w.callers, k), k
		c := w.take(&end{client: k, open: true})
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of ` + id + `"}`
		w.turn(func() {
			w.r.Accepted(c)
			w.say(c, fmt.Appendf(nil, "POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: once\r\nX-Budget-Ms: 900\r\n%sContent-Length: %d\r\n\r\n%s",
				id, token, len(body), body))
		})
		return k
	}
	for _, bad := range []string{"a b", "a,b", strings.Repeat("x", 129), "a\r\nIdempotency-Key: b"} {
		if k := ask("bad", "Idempotency-Key: "+bad+"\r\n"); k.status != 400 {
			t.Errorf("%q: %d", bad, k.status)
		}
	}
	ask("q", "idempotency-key: f2b9438a\r\n")
	w.open()
	first := w.lanes()[0]
	if got := string(w.ends[first].sent) + strings.Join(w.lines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the first goes out as %q", got)
	}
	w.lines = nil
	w.turn(func() { w.lose(first) })
	w.pass(400)
	w.open()
	w.pass(1)
	if got := strings.Join(w.lines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the second goes out as %q", got)
	}
}

func TestAWindowThatIsNoneLetsAPartGoOnce(t *testing.T) {
	for _, window := range []string{"0", "40", "-5", "1e300"} {
		w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":`+window)
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("once", 900, 0) })
		w.open()
		if w.r.Count.Sent != 1 {
			t.Errorf("window %s: %d sent", window, w.r.Count.Sent)
			continue
		}
		w.turn(func() { w.lose(w.lanes()[0]) }) // it may have run
		w.pass(500)
		w.open()
		if window != "1e300" && (w.r.Count.Sent != 1 || k.status != 500) {
			t.Errorf("window %s: %d sent, status %d", window, w.r.Count.Sent, k.status)
		}
	}
}

func TestNamesOfOtherDeployments(t *testing.T) {
	w := newWorldOf(t, 1, `"localities":["a","b"]`, `"localities":["north, by the sea","a","a",""],"customers":[{"name":"x, y","quota-per-s":1},
{"name":"z","quota-per-s":1},{"name":"z","quota-per-s":9}]`)
	g := &w.r.config
	if g.zones["north, by the sea"] != 0 || g.zones["a"] != 1 || g.zones[""] != 3 || len(g.zones) != 3 {
		t.Error("zones: ", g.zones)
	}
	if w.r.Customer("x, y") != 0 || w.r.Customer("z") != 1 || w.r.Customer("unknown") != unknownCustomer || w.r.Customer("") != unknownCustomer {
		t.Error("customers: ", g.customers, w.r.Customer("unknown"))
	}
}

func TestWhereDiscoveryIsAskedItIsGivenTime(t *testing.T) {
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

func TestAWatchIsNotBlamedForAStall(t *testing.T) {
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

func TestNothingOfALaterTryBeginsForWhoHasLeft(t *testing.T) {
	for _, how := range []string{"later try", "behind an earlier request", "hold limit"} {
		w := newWorldOf(t, 1, `"most-held":60`, map[bool]string{true: `"most-held":2`, false: `"most-held":60`}[how == "hold limit"])
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("once", 900, 0) })
		w.open()
		sent := w.r.Count.Sent
		if sent != 1 {
			t.Fatal(how, sent)
		}
		var late *caller
		switch how {
		case "later try": // its only server turns it away, and is asked again only after a while
			c := w.lanes()[0]
			w.ends[c].waiting = nil
			w.turn(func() { w.frame(c, 'Y', k.id+".0 REJECTED 0 -\n") })
		case "behind an earlier request":
			next := fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: next\r\nX-Call-Class: quick\r\nX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				64, `{"segments":[{"segment":0,"boost":1}],"text":"text of next"}`+strings.Repeat(" ", 4))
			w.turn(func() { w.say(w.connOf(k), []byte(next)) })
		case "hold limit":
			w.turn(func() { late = w.ask("once", 900, 0) })
			if late.status != 503 {
				t.Errorf("held past the limit, or late: %d", late.status)
			}
		}
		w.goes(k)
		for range 60 {
			w.pass(10)
			w.open()
		}
		if w.r.Count.Sent != sent {
			t.Errorf("%s: %d more were sent for who had left", how, w.r.Count.Sent-sent)
		}
		w.settle()
	}
}

func TestWhatWasNeverSentLeavesNothingOnItsConnection(t *testing.T) {
	// Each way in which an attempt that waits behind another frame is dropped.
	for _, how := range []string{"its client went", "its server drains"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":false`, `"streams-per-conn":2`, `"streams-per-conn":50`)
		w.turn()
		w.open()
		w.turn(func() { w.ask("quick", 900, 0) })
		w.open()
		l := w.lanes()[0]
		w.answer(l)
		w.ends[l].stuck = w.now + 1e9
		w.turn(func() { w.ask("quick", 900, 0) }) // its frame stands before the network
		lane := w.r.endpoint(l).conn
		held := len(lane.attempts)
		var late []*caller
		for range 3 { // each a frame of its own, in a turn of its own, behind that one
			w.turn(func() { late = append(late, w.ask("quick", 900, 0)) })
		}
		if len(lane.attempts) != held+len(late) || len(w.lanes()) != 1 {
			t.Fatalf("%d of %d wait there", len(lane.attempts)-held, len(late))
		}
		if how == "its client went" {
			for _, k := range late {
				w.goes(k)
			}
		} else {
			w.list[0].state = "draining"
			w.tells(w.watching(), string(w.listLine(false)))
			w.pass(250)
			held = 0 // the frame before the network is taken back too
		}
		w.ends[l].stuck = 0
		w.pass(1)
		w.pass(1) // it is told that the network has taken what stood before it
		if len(lane.attempts) > held {
			t.Errorf("%s: %d ids are held, %d of what is still out", how, len(lane.attempts), held)
		}
	}
}

func TestAWatchMayEndWithItsConnection(t *testing.T) {
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

// told is a search that a further front brought, as far as its one final answer.
type told struct{ finals []Result }

func (c *told) Final(how Result, _ float64) { c.finals = append(c.finals, how) }
func (c *told) Send(*Attempt)               {}
func (c *told) Cancel(*Attempt)             {}
func (c *told) Door() int                   { return 1 }
func (c *told) Bytes() (in, out int64)      { return 0, 0 }

func TestAQueryTypeWithASecondStepIsNotAnsweredFromItsFirst(t *testing.T) {
	w := newWorldOf(t, 2, `"follow-up":[0,0,0]`, `"follow-up":[3,0,0]`)
	w.turn()
	w.open()
	var k, other *caller
	w.turn(func() { k, other = w.ask("quick", 900, 0), w.ask("part", 900, 0) })
	w.open()
	if w.answered(k); k.status != 501 {
		t.Errorf("its answer is %d, as if there were no second step", k.status)
	}
	if w.answered(other); other.status != 200 || w.r.Count.Sent != 1 {
		t.Errorf("another type has %d; %d sent", other.status, w.r.Count.Sent)
	}
	call := &told{}
	w.turn(func() {
		w.r.StartSearch(0, unknownCustomer, w.now+900, false, []ShardRequest{{Shard: 0, Share: 1}}, call)
	})
	if w.pass(50); !slices.Equal(call.finals, []Result{Failed}) || w.r.Count.Sent != 1 {
		t.Errorf("a further front has %v; %d sent", call.finals, w.r.Count.Sent)
	}
	w.settle()
}

func TestNeitherCopyNorTrialBeginsForWhoHasLeft(t *testing.T) {
	// Each is seen to begin where the client stays.
	for _, how := range []string{"copy", "trial"} {
		later := func(stays bool) int64 {
			w := newWorld(t, 1, map[string]int{"copy": 2, "trial": 1}[how])
			w.turn()
			w.open()
			if how == "trial" { // who comes by seldom tries seldom, too
				for range 20 {
					var k *caller
					w.turn(func() { k = w.ask("quick", 900, 0) })
					w.answered(k)
				}
				w.turn(func() { w.lose(w.lanes()[0]) })
			}
			before := w.r.Count.Sent
			var k *caller
			w.turn(func() { k = w.ask("quick", 2500, 0) })
			if how == "copy" { // it is out at a server that says nothing
				w.open()
			} else { // its only server can't be reached, and is tried again after a while
				w.turn(func() { w.lose(w.lanes()[0]) })
			}
			sent := w.r.Count.Sent
			if (how == "copy") != (sent == before+1) || k.answers > 0 {
				t.Fatalf("%s: %d sent, %d answers", how, sent-before, k.answers)
			}
			if !stays {
				w.goes(k)
			}
			for range 240 {
				w.pass(10)
				w.open()
				for _, c := range w.lanes() { // probes are answered, nothing else is
					for _, letter := range []string{"G", "T"} {
						if i := slices.Index(w.ends[c].waiting, letter); i >= 0 {
							w.ends[c].waiting = slices.Delete(w.ends[c].waiting, i, i+1)
							w.turn(func() { w.frame(c, letter[0], "active=0,cpu=0") })
						}
					}
				}
			}
			return w.r.Count.Sent - sent
		}
		if later(true) == 0 {
			t.Errorf("%s: none begins though its client stays: the test shows nothing", how)
		}
		if n := later(false); n != 0 {
			t.Errorf("%s: %d began for who had left", how, n)
		}
	}
}

func TestAHalfWrittenFrameDoesNotBeginForWhoHasLeft(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		for _, stays := range []bool{true, false} {
			w := newWorldOf(t, 1, `"cancel":true`, `"cancel":`+cancel)
			w.turn()
			w.open()
			var k, other *caller
			w.turn(func() { k = w.ask("quick", 900, 0) })
			w.open()
			c := w.lanes()[0]
			w.answer(c)
			e := w.ends[c]
			e.stuck = w.now + 1e9
			w.turn(func() { k = w.ask("quick", 900, 0) })
			e.got, e.sent, e.upTo = append(e.got, e.sent[:5]...), e.sent[5:], e.upTo+5 // the network takes a part of it
			w.turn()
			w.turn(func() { other = w.ask("quick", 900, 0) }) // behind it
			if !stays {
				w.goes(k)
			}
			w.pass(stalledFrameTimeout + 1)
			if kept := w.ends[c] == e; kept != stays {
				t.Errorf("cancel %s, stays %v: the connection with half a frame is kept: %v", cancel, stays, kept)
			}
			e.stuck = 0
			if w.answered(other); other.status != 200 {
				t.Errorf("cancel %s, stays %v: who asked behind it has %d", cancel, stays, other.status)
			}
			if begun := slices.ContainsFunc(w.lines, func(l string) bool { return strings.HasPrefix(l, k.id+".") }); begun != stays {
				t.Errorf("cancel %s, stays %v: begun: %v", cancel, stays, begun)
			}
			w.settle()
		}
	}
}
