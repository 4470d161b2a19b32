package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/transport"
)

func TestUnbegunFrameIsRetractedFromDrainedServer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.openConns()
	c := w.serverConns()[0]
	w.answerAttempts(c)
	e := w.conns[c]
	e.stalledUntil = w.now + 1000
	w.turn(func() { w.startSearch("quick", 900, 0) })
	if len(e.unsent) == 0 {
		t.Fatal("no second frame")
	}
	w.now += 10
	w.servers[0] = modelServer{"draining", w.now, 0}
	w.turn(func() {
		for c, e := range w.conns {
			if e != nil && e.watched {
				w.sendList(transport.Conn(c), false)
			}
		}
	})
	for len(e.unsent) > 0 && w.now < w.servers[0].changedAt+250 {
		w.now += 10
		w.turn()
	}
	if len(e.unsent) > 0 || w.engine.Count.FramesRetracted != 1 {
		t.Error("the frame may still begin past the grace")
	}
	if w.conns[c] != e {
		t.Error("the connection was dropped for it, with all that is out there")
	}
}

func TestNoConnectionCarriesOneIDTwice(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.openConns()
	first := w.clients[0]
	var twin *modelClient
	w.turn(func() { // another client with the same id, asking for the same
		w.clients, w.byID = nil, map[string]*modelClient{}
		twin = w.startSearch("quick", 900, 0)
	})
	if twin.answers != 1 || twin.status != 409 || len(w.serverConns()) != 1 {
		t.Errorf("%d answers, %d, to an id that is open", twin.answers, twin.status)
	}
	w.runUntilAnswered(first)
	if first.answers != 1 || first.status != 200 {
		t.Error("the first search has no answer")
	}
	w.turn(func() { // it is over: the id is free
		w.clients, w.byID = nil, map[string]*modelClient{}
		w.startSearch("quick", 900, 0)
	})
	w.runUntilAnswered(w.clients[0])
	if w.clients[0].status != 200 || len(w.engine.searchByID) != 0 {
		t.Error(w.clients[0].status, len(w.engine.searchByID))
	}
}

func TestUnbegunAttemptsMoveToAnotherConnection(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	var first, second *modelClient
	w.turn(func() { first = w.startSearch("once", 900, 0) })
	w.openConns()
	c := w.serverConns()[0]
	e := w.conns[c]
	e.stalledUntil = w.now + 1e9
	w.turn(func() { second = w.startSearch("once", 900, 0) }) // given to the network, which takes none of it
	w.turn(func() { w.receiveBytes(c, []byte("\xff\xff\xff\xff")) })
	if first.status != 500 {
		t.Errorf("what may have run: %d", first.status)
	}
	w.openConns()
	if len(w.serverConns()) != 1 || second.answers != 0 {
		t.Fatal(len(w.serverConns()), second.status)
	}
	w.runUntilAnswered(second)
	if second.status != 200 || w.engine.Count.AttemptsMoved != 1 || w.engine.Count.Outcomes[policy.ConnectFailed] != 0 {
		t.Errorf("what never began: %d, %d moved", second.status, w.engine.Count.AttemptsMoved)
	}
}

func TestAttemptDoesNotBeginPastItsDeadline(t *testing.T) {
	// The way to the server takes longer than a tokened part's window leaves: it must not begin there any more.
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	for _, s := range w.engine.entries {
		if s.request != nil && len(s.request.attempts) > 0 {
			s.request.attempts[0].beginDeadline = w.now + 5
		}
	}
	w.advance(20)
	w.openConns()
	w.advance(1)
	if w.engine.Count.AttemptsSent != 0 || w.engine.Count.Outcomes[policy.NeverSent] == 0 {
		t.Errorf("%d sent, outcomes %v", w.engine.Count.AttemptsSent, w.engine.Count.Outcomes)
	}
}

func TestNothingBeginsForClientThatLeft(t *testing.T) {
	// Where attempts are not cancelled, too.
	for _, cancel := range []string{"true", "false"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":`+cancel)
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) }) // it waits for its connect
		w.disconnect(client)
		w.openConns()
		w.advance(10)
		if w.engine.Count.AttemptsSent != 0 || w.engine.Count.ClientsLeft != 1 {
			t.Errorf("cancel %s: %d sent though its client left during the connect", cancel, w.engine.Count.AttemptsSent)
		}

		// A frame that stands before a network which takes nothing, with a part of another search.
		var other *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) })
		w.openConns()
		c := w.serverConns()[0]
		w.answerAttempts(c)
		e := w.conns[c]
		e.stalledUntil = w.now + 1e9
		w.turn(func() { client = w.startSearch("quick", 900, 0); other = w.startSearch("quick", 900, 0) })
		if len(e.unsent) == 0 || len(w.serverConns()) != 1 {
			t.Fatal("no frame waits: ", len(w.serverConns()))
		}
		w.disconnect(client)
		if sent := string(e.unsent); strings.Contains(sent, client.id+".") || !strings.Contains(sent, other.id+".0") {
			t.Errorf("cancel %s: %q still waits to be sent", cancel, sent)
		}
		if w.conns[c] != e {
			t.Errorf("cancel %s: the connection was dropped, with what others have on it", cancel)
		}
		e.stalledUntil = 0
		w.runUntilAnswered(other)
		if other.status != 200 {
			t.Errorf("cancel %s: who stayed has %d", cancel, other.status)
		}
		w.shutDownAndCheck()
	}
}

func TestFramesBehindARetractedOneAreStillWritten(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	var first, second *modelClient
	w.turn(func() { first = w.startSearch("quick", 900, 0) })
	w.openConns()
	c := w.serverConns()[0]
	e := w.conns[c]
	e.stalledUntil = w.now + 1e9
	w.turn(func() { second = w.startSearch("quick", 900, 3) })
	if len(w.serverConns()) != 1 || len(e.unsent) == 0 {
		t.Fatal("no frame waits: ", len(w.serverConns()))
	}
	w.disconnect(first) // its calling off stands behind the second's frame
	w.disconnect(second)
	if sent := string(e.unsent); !strings.Contains(sent, "A"+first.id+".0") || strings.Contains(sent, second.id) {
		t.Errorf("%q waits to be sent", sent)
	}
}

func TestSecondDrainRestartsTheGrace(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.openConns()
	c := w.serverConns()[0]
	w.answerAttempts(c)
	tell := func(state string) {
		w.servers[0].state, w.servers[0].changedAt = state, w.now
		w.sendWatchLine(w.watchConn(), string(w.listLine(false)))
	}
	e := w.conns[c]
	e.stalledUntil = w.now + 1e9
	w.turn(func() { w.startSearch("quick", 900, 0) })
	tell("draining")
	w.advance(100)
	tell("ready")
	tell("draining")
	w.advance(drainGraceShare*250 - 50)
	if len(e.unsent) == 0 {
		t.Error("held back by the first drain, which was taken back")
	}
	w.advance(60)
	if len(e.unsent) > 0 {
		t.Error("the second drain's grace is over")
	}
}

func TestNoRetryBeginsForClientThatLeft(t *testing.T) {
	for _, how := range []string{"later try", "behind an earlier request", "hold limit"} {
		w := newWorldOf(t, 1, `"most-held":60`, map[bool]string{true: `"most-held":2`, false: `"most-held":60`}[how == "hold limit"])
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("once", 900, 0) })
		w.openConns()
		sent := w.engine.Count.AttemptsSent
		if sent != 1 {
			t.Fatal(how, sent)
		}
		var late *modelClient
		switch how {
		case "later try": // its only server turns it away, and is asked again only after a while
			c := w.serverConns()[0]
			w.conns[c].pending = nil
			w.turn(func() { w.sendFrame(c, 'Y', client.id+".0 REJECTED 0 -\n") })
		case "behind an earlier request":
			next := fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: next\r\nX-Call-Class: quick\r\nX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				64, `{"segments":[{"segment":0,"boost":1}],"text":"text of next"}`+strings.Repeat(" ", 4))
			w.turn(func() { w.receiveBytes(w.connOf(client), []byte(next)) })
		case "hold limit":
			w.turn(func() { late = w.startSearch("once", 900, 0) })
			if late.status != 503 {
				t.Errorf("held past the limit, or late: %d", late.status)
			}
		}
		w.disconnect(client)
		for range 60 {
			w.advance(10)
			w.openConns()
		}
		if w.engine.Count.AttemptsSent != sent {
			t.Errorf("%s: %d more were sent for who had left", how, w.engine.Count.AttemptsSent-sent)
		}
		w.shutDownAndCheck()
	}
}

func TestNeverSentAttemptLeavesNothingOnItsConnection(t *testing.T) {
	// Each way in which an attempt that waits behind another frame is dropped.
	for _, how := range []string{"its client went", "its server drains"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":false`, `"streams-per-conn":2`, `"streams-per-conn":50`)
		w.turn()
		w.openConns()
		w.turn(func() { w.startSearch("quick", 900, 0) })
		w.openConns()
		l := w.serverConns()[0]
		w.answerAttempts(l)
		w.conns[l].stalledUntil = w.now + 1e9
		w.turn(func() { w.startSearch("quick", 900, 0) }) // its frame stands before the network
		serverConn := w.engine.endpoint(l).conn
		registered := len(serverConn.attempts)
		var late []*modelClient
		for range 3 { // each a frame of its own, in a turn of its own, behind that one
			w.turn(func() { late = append(late, w.startSearch("quick", 900, 0)) })
		}
		if len(serverConn.attempts) != registered+len(late) || len(w.serverConns()) != 1 {
			t.Fatalf("%d of %d wait there", len(serverConn.attempts)-registered, len(late))
		}
		if how == "its client went" {
			for _, client := range late {
				w.disconnect(client)
			}
		} else {
			w.servers[0].state = "draining"
			w.sendWatchLine(w.watchConn(), string(w.listLine(false)))
			w.advance(250)
			registered = 0 // the frame before the network is taken back too
		}
		w.conns[l].stalledUntil = 0
		w.advance(1)
		w.advance(1) // it is told that the network has taken what stood before it
		if len(serverConn.attempts) > registered {
			t.Errorf("%s: %d ids are held, %d of what is still out", how, len(serverConn.attempts), registered)
		}
	}
}

func TestNeitherHedgeNorTrialBeginsForClientThatLeft(t *testing.T) {
	// Each is seen to begin where the client stays.
	for _, how := range []string{"copy", "trial"} {
		later := func(stays bool) int64 {
			w := newWorld(t, 1, map[string]int{"copy": 2, "trial": 1}[how])
			w.turn()
			w.openConns()
			if how == "trial" { // who comes by seldom tries seldom, too
				for range 20 {
					var client *modelClient
					w.turn(func() { client = w.startSearch("quick", 900, 0) })
					w.runUntilAnswered(client)
				}
				w.turn(func() { w.closeByPeer(w.serverConns()[0]) })
			}
			before := w.engine.Count.AttemptsSent
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 2500, 0) })
			if how == "copy" { // it is out at a server that says nothing
				w.openConns()
			} else { // its only server can't be reached, and is tried again after a while
				w.turn(func() { w.closeByPeer(w.serverConns()[0]) })
			}
			sent := w.engine.Count.AttemptsSent
			if (how == "copy") != (sent == before+1) || client.answers > 0 {
				t.Fatalf("%s: %d sent, %d answers", how, sent-before, client.answers)
			}
			if !stays {
				w.disconnect(client)
			}
			for range 240 {
				w.advance(10)
				w.openConns()
				for _, c := range w.serverConns() { // probes are answered, nothing else is
					for _, letter := range []string{"G", "T"} {
						if i := slices.Index(w.conns[c].pending, letter); i >= 0 {
							w.conns[c].pending = slices.Delete(w.conns[c].pending, i, i+1)
							w.turn(func() { w.sendFrame(c, letter[0], "active=0,cpu=0") })
						}
					}
				}
			}
			return w.engine.Count.AttemptsSent - sent
		}
		if later(true) == 0 {
			t.Errorf("%s: none begins though its client stays: the test shows nothing", how)
		}
		if n := later(false); n != 0 {
			t.Errorf("%s: %d began for who had left", how, n)
		}
	}
}

func TestPartlyWrittenFrameDoesNotBeginForClientThatLeft(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		for _, stays := range []bool{true, false} {
			w := newWorldOf(t, 1, `"cancel":true`, `"cancel":`+cancel)
			w.turn()
			w.openConns()
			var client, other *modelClient
			w.turn(func() { client = w.startSearch("quick", 900, 0) })
			w.openConns()
			c := w.serverConns()[0]
			w.answerAttempts(c)
			e := w.conns[c]
			e.stalledUntil = w.now + 1e9
			w.turn(func() { client = w.startSearch("quick", 900, 0) })
			e.received, e.unsent, e.takenBytes = append(e.received, e.unsent[:5]...), e.unsent[5:], e.takenBytes+5 // the network takes a part of it
			w.turn()
			w.turn(func() { other = w.startSearch("quick", 900, 0) }) // behind it
			if !stays {
				w.disconnect(client)
			}
			w.advance(stalledFrameTimeout + 1)
			if kept := w.conns[c] == e; kept != stays {
				t.Errorf("cancel %s, stays %v: the connection with half a frame is kept: %v", cancel, stays, kept)
			}
			e.stalledUntil = 0
			if w.runUntilAnswered(other); other.status != 200 {
				t.Errorf("cancel %s, stays %v: who asked behind it has %d", cancel, stays, other.status)
			}
			if begun := slices.ContainsFunc(w.requestLines, func(l string) bool { return strings.HasPrefix(l, client.id+".") }); begun != stays {
				t.Errorf("cancel %s, stays %v: begun: %v", cancel, stays, begun)
			}
			w.shutDownAndCheck()
		}
	}
}
