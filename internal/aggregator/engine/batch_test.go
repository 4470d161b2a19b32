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
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	w.answer(c)
	e := w.ends[c]
	e.stuck = w.now + 1000
	w.turn(func() { w.ask("quick", 900, 0) })
	if len(e.sent) == 0 {
		t.Fatal("no second frame")
	}
	w.now += 10
	w.list[0] = listed{"draining", w.now, 0}
	w.turn(func() {
		for c, e := range w.ends {
			if e != nil && e.watched {
				w.news(transport.Conn(c), false)
			}
		}
	})
	for len(e.sent) > 0 && w.now < w.list[0].since+250 {
		w.now += 10
		w.turn()
	}
	if len(e.sent) > 0 || w.r.Count.Retracted != 1 {
		t.Error("the frame may still begin past the grace")
	}
	if w.ends[c] != e {
		t.Error("the connection was dropped for it, with all that is out there")
	}
}

func TestNoConnectionCarriesOneIDTwice(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.open()
	first := w.callers[0]
	var twin *caller
	w.turn(func() { // another client with the same id, asking for the same
		w.callers, w.byID = nil, map[string]*caller{}
		twin = w.ask("quick", 900, 0)
	})
	if twin.answers != 1 || twin.status != 409 || len(w.lanes()) != 1 {
		t.Errorf("%d answers, %d, to an id that is open", twin.answers, twin.status)
	}
	w.answered(first)
	if first.answers != 1 || first.status != 200 {
		t.Error("the first search has no answer")
	}
	w.turn(func() { // it is over: the id is free
		w.callers, w.byID = nil, map[string]*caller{}
		w.ask("quick", 900, 0)
	})
	w.answered(w.callers[0])
	if w.callers[0].status != 200 || len(w.r.searchByID) != 0 {
		t.Error(w.callers[0].status, len(w.r.searchByID))
	}
}

func TestUnbegunAttemptsMoveToAnotherConnection(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	var first, second *caller
	w.turn(func() { first = w.ask("once", 900, 0) })
	w.open()
	c := w.lanes()[0]
	e := w.ends[c]
	e.stuck = w.now + 1e9
	w.turn(func() { second = w.ask("once", 900, 0) }) // given to the network, which takes none of it
	w.turn(func() { w.say(c, []byte("\xff\xff\xff\xff")) })
	if first.status != 500 {
		t.Errorf("what may have run: %d", first.status)
	}
	w.open()
	if len(w.lanes()) != 1 || second.answers != 0 {
		t.Fatal(len(w.lanes()), second.status)
	}
	w.answered(second)
	if second.status != 200 || w.r.Count.Moved != 1 || w.r.Count.Outcomes[policy.ConnectFailed] != 0 {
		t.Errorf("what never began: %d, %d moved", second.status, w.r.Count.Moved)
	}
}

func TestAttemptDoesNotBeginPastItsDeadline(t *testing.T) {
	// The way to the server takes longer than a tokened part's window leaves: it must not begin there any more.
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	for _, s := range w.r.entries {
		if s.request != nil && len(s.request.attempts) > 0 {
			s.request.attempts[0].beginDeadline = w.now + 5
		}
	}
	w.pass(20)
	w.open()
	w.pass(1)
	if w.r.Count.Sent != 0 || w.r.Count.Outcomes[policy.NeverSent] == 0 {
		t.Errorf("%d sent, outcomes %v", w.r.Count.Sent, w.r.Count.Outcomes)
	}
}

func TestNothingBeginsForClientThatLeft(t *testing.T) {
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

func TestFramesBehindARetractedOneAreStillWritten(t *testing.T) {
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

func TestSecondDrainRestartsTheGrace(t *testing.T) {
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

func TestNoRetryBeginsForClientThatLeft(t *testing.T) {
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

func TestNeverSentAttemptLeavesNothingOnItsConnection(t *testing.T) {
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

func TestNeitherHedgeNorTrialBeginsForClientThatLeft(t *testing.T) {
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

func TestPartlyWrittenFrameDoesNotBeginForClientThatLeft(t *testing.T) {
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
