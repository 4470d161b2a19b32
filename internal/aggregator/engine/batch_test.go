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
	conn := w.conns[c]
	conn.stalledUntil = w.now + 1000
	w.turn(func() { w.startSearch("quick", 900, 0) })
	if len(conn.unsent) == 0 {
		t.Fatal("the frame of the second search was not written")
	}
	w.now += 10
	w.servers[0] = modelServer{"draining", w.now, 0}
	w.turn(func() {
		for c, conn := range w.conns {
			if conn != nil && conn.watched {
				w.sendList(transport.Conn(c), false)
			}
		}
	})
	for len(conn.unsent) > 0 && w.now < w.servers[0].changedAt+250 {
		w.now += 10
		w.turn()
	}
	if len(conn.unsent) > 0 || w.engine.Counters.FramesRetracted != 1 {
		t.Errorf("%d bytes of the frame can still be sent after the drain grace; %d frames retracted, want 1",
			len(conn.unsent), w.engine.Counters.FramesRetracted)
	}
	if w.conns[c] != conn {
		t.Error("the connection was dropped instead of retracting the frame")
	}
}

func TestNoConnectionCarriesOneIDTwice(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	w.openConns()
	first := w.clients[0]
	var duplicate *modelClient
	w.turn(func() { // another client sends the same search under the same id
		w.clients, w.byID = nil, map[string]*modelClient{}
		duplicate = w.startSearch("quick", 900, 0)
	})
	if duplicate.answers != 1 || duplicate.status != 409 || len(w.serverConns()) != 1 {
		t.Errorf("a search with an id that is open got %d answers, the last with status %d; want one 409",
			duplicate.answers, duplicate.status)
	}
	w.runUntilAnswered(first)
	if first.answers != 1 || first.status != 200 {
		t.Errorf("the first search got %d answers, the last with status %d; want one 200", first.answers, first.status)
	}
	w.turn(func() { // the first search has ended, so its id is free
		w.clients, w.byID = nil, map[string]*modelClient{}
		w.startSearch("quick", 900, 0)
	})
	w.runUntilAnswered(w.clients[0])
	if w.clients[0].status != 200 || len(w.engine.searchByID) != 0 {
		t.Errorf("a search with a free id: status %d, want 200; %d ids are open, want 0", w.clients[0].status, len(w.engine.searchByID))
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
	conn := w.conns[c]
	conn.stalledUntil = w.now + 1e9
	w.turn(func() { second = w.startSearch("once", 900, 0) }) // its frame is written, but the network accepts none of it
	w.turn(func() { w.receiveBytes(c, []byte("\xff\xff\xff\xff")) })
	if first.status != 500 {
		t.Errorf("an attempt that may have run is not repeated: status %d, want 500", first.status)
	}
	w.openConns()
	if len(w.serverConns()) != 1 || second.answers != 0 {
		t.Fatalf("%d connections, want 1; the second search has %d answers, want 0", len(w.serverConns()), second.answers)
	}
	w.runUntilAnswered(second)
	if second.status != 200 || w.engine.Counters.AttemptsMoved != 1 || w.engine.Counters.Outcomes[policy.ConnectFailed] != 0 {
		t.Errorf("an attempt that had not begun: status %d, want 200; %d moved, want 1", second.status, w.engine.Counters.AttemptsMoved)
	}
}

func TestAttemptDoesNotBeginPastItsDeadline(t *testing.T) {
	// Connecting takes longer than the rest of the token window of a shard request, so the attempt
	// must not begin any more.
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0) })
	for _, entry := range w.engine.entries {
		if entry.request != nil && len(entry.request.attempts) > 0 {
			entry.request.attempts[0].beginDeadline = w.now + 5
		}
	}
	w.advance(20)
	w.openConns()
	w.advance(1)
	if w.engine.Counters.AttemptsSent != 0 || w.engine.Counters.Outcomes[policy.NeverSent] == 0 {
		t.Errorf("%d attempts sent past their begin deadline, outcomes %v", w.engine.Counters.AttemptsSent, w.engine.Counters.Outcomes)
	}
}

func TestNothingBeginsForClientThatLeft(t *testing.T) {
	// This must hold with and without cancellation of attempts.
	for _, cancel := range []string{"true", "false"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":`+cancel)
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) }) // its attempt waits for the connection
		w.disconnect(client)
		w.openConns()
		w.advance(10)
		if w.engine.Counters.AttemptsSent != 0 || w.engine.Counters.ClientsLeft != 1 {
			t.Errorf("cancel %s: %d attempts sent although the client left while the connection was being opened",
				cancel, w.engine.Counters.AttemptsSent)
		}

		// A frame that the network accepts nothing of holds attempts of two searches; one of the
		// clients leaves.
		var other *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) })
		w.openConns()
		c := w.serverConns()[0]
		w.answerAttempts(c)
		conn := w.conns[c]
		conn.stalledUntil = w.now + 1e9
		w.turn(func() { client = w.startSearch("quick", 900, 0); other = w.startSearch("quick", 900, 0) })
		if len(conn.unsent) == 0 || len(w.serverConns()) != 1 {
			t.Fatalf("no written frame waits on a single connection: %d bytes, %d connections", len(conn.unsent), len(w.serverConns()))
		}
		w.disconnect(client)
		if sent := string(conn.unsent); strings.Contains(sent, client.id+".") || !strings.Contains(sent, other.id+".0") {
			t.Errorf("cancel %s: waiting to be sent: %q; want only the attempt of the client that stayed", cancel, sent)
		}
		if w.conns[c] != conn {
			t.Errorf("cancel %s: the connection was dropped, with the attempts of other searches", cancel)
		}
		conn.stalledUntil = 0
		w.runUntilAnswered(other)
		if other.status != 200 {
			t.Errorf("cancel %s: the client that stayed got status %d, want 200", cancel, other.status)
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
	conn := w.conns[c]
	conn.stalledUntil = w.now + 1e9
	w.turn(func() { second = w.startSearch("quick", 900, 3) })
	if len(w.serverConns()) != 1 || len(conn.unsent) == 0 {
		t.Fatalf("no written frame waits on a single connection: %d bytes, %d connections", len(conn.unsent), len(w.serverConns()))
	}
	w.disconnect(first) // the cancellation of its attempt is written behind the second search's frame
	w.disconnect(second)
	if sent := string(conn.unsent); !strings.Contains(sent, "A"+first.id+".0") || strings.Contains(sent, second.id) {
		t.Errorf("waiting to be sent: %q; want the cancellation of the first search's attempt alone", sent)
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
	setState := func(state string) {
		w.servers[0].state, w.servers[0].changedAt = state, w.now
		w.sendWatchLine(w.watchConn(), string(w.listLine(false)))
	}
	conn := w.conns[c]
	conn.stalledUntil = w.now + 1e9
	w.turn(func() { w.startSearch("quick", 900, 0) })
	setState("draining")
	w.advance(100)
	setState("ready")
	setState("draining")
	w.advance(drainGraceShare*250 - 50)
	if len(conn.unsent) == 0 {
		t.Error("the frame was retracted for the first drain, which had ended")
	}
	w.advance(60)
	if len(conn.unsent) > 0 {
		t.Error("the frame can still be sent although the grace of the second drain is over")
	}
}

func TestNoRetryBeginsForClientThatLeft(t *testing.T) {
	for _, how := range []string{"delayed retry", "pipelined request", "pending limit"} {
		w := newWorldOf(t, 1, `"most-held":60`, map[bool]string{true: `"most-held":2`, false: `"most-held":60`}[how == "pending limit"])
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("once", 900, 0) })
		w.openConns()
		sent := w.engine.Counters.AttemptsSent
		if sent != 1 {
			t.Fatalf("%s: %d attempts sent, want 1", how, sent)
		}
		var late *modelClient
		switch how {
		case "delayed retry": // its only server rejects it, and is asked again only after some time
			c := w.serverConns()[0]
			w.conns[c].pending = nil
			w.turn(func() { w.sendFrame(c, 'Y', client.id+".0 REJECTED 0 -\n") })
		case "pipelined request":
			next := fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: next\r\nX-Call-Class: quick\r\nX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				64, `{"segments":[{"segment":0,"boost":1}],"text":"text of next"}`+strings.Repeat(" ", 4))
			w.turn(func() { w.receiveBytes(w.connOf(client), []byte(next)) })
		case "pending limit":
			w.turn(func() { late = w.startSearch("once", 900, 0) })
			if late.status != 503 {
				t.Errorf("a search over the pending limit got status %d, want 503 at once", late.status)
			}
		}
		w.disconnect(client)
		for range 60 {
			w.advance(10)
			w.openConns()
		}
		if w.engine.Counters.AttemptsSent != sent {
			t.Errorf("%s: %d more attempts were sent for a client that had left", how, w.engine.Counters.AttemptsSent-sent)
		}
		w.shutDownAndCheck()
	}
}

func TestNeverSentAttemptLeavesNothingOnItsConnection(t *testing.T) {
	// Both ways in which an attempt that is queued behind another frame is dropped.
	for _, how := range []string{"the client left", "the server drains"} {
		w := newWorldOf(t, 1, `"cancel":true`, `"cancel":false`, `"streams-per-conn":2`, `"streams-per-conn":50`)
		w.turn()
		w.openConns()
		w.turn(func() { w.startSearch("quick", 900, 0) })
		w.openConns()
		c := w.serverConns()[0]
		w.answerAttempts(c)
		w.conns[c].stalledUntil = w.now + 1e9
		w.turn(func() { w.startSearch("quick", 900, 0) }) // the network accepts nothing of its frame
		serverConn := w.engine.endpoint(c).conn
		registered := len(serverConn.attempts)
		var late []*modelClient
		for range 3 { // each starts in a turn of its own, so that its frame is queued separately
			w.turn(func() { late = append(late, w.startSearch("quick", 900, 0)) })
		}
		if len(serverConn.attempts) != registered+len(late) || len(w.serverConns()) != 1 {
			t.Fatalf("%d of %d attempts are queued on the connection", len(serverConn.attempts)-registered, len(late))
		}
		if how == "the client left" {
			for _, client := range late {
				w.disconnect(client)
			}
		} else {
			w.servers[0].state = "draining"
			w.sendWatchLine(w.watchConn(), string(w.listLine(false)))
			w.advance(250)
			registered = 0 // the frame that was written is retracted too
		}
		w.conns[c].stalledUntil = 0
		w.advance(1)
		w.advance(1) // the engine learns that the network has accepted the first frame
		if len(serverConn.attempts) > registered {
			t.Errorf("%s: %d ids are registered on the connection, at most %d are in flight", how, len(serverConn.attempts), registered)
		}
	}
}

func TestNeitherHedgeNorTrialBeginsForClientThatLeft(t *testing.T) {
	// To show that the test can fail, hedge and trial are seen to begin if the client stays.
	for _, how := range []string{"hedge", "trial"} {
		sentLater := func(stays bool) int64 {
			w := newWorld(t, 1, map[string]int{"hedge": 2, "trial": 1}[how])
			w.turn()
			w.openConns()
			if how == "trial" { // an aggregator with little traffic sends few trials, so there is some traffic first
				for range 20 {
					var client *modelClient
					w.turn(func() { client = w.startSearch("quick", 900, 0) })
					w.runUntilAnswered(client)
				}
				w.turn(func() { w.closeByPeer(w.serverConns()[0]) })
			}
			before := w.engine.Counters.AttemptsSent
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 2500, 0) })
			if how == "hedge" { // its attempt is in flight at a server that does not reply
				w.openConns()
			} else { // its only server is unreachable and gets a trial after some time
				w.turn(func() { w.closeByPeer(w.serverConns()[0]) })
			}
			sent := w.engine.Counters.AttemptsSent
			if (how == "hedge") != (sent == before+1) || client.answers > 0 {
				t.Fatalf("%s: %d attempts sent and %d answers before the client leaves", how, sent-before, client.answers)
			}
			if !stays {
				w.disconnect(client)
			}
			for range 240 {
				w.advance(10)
				w.openConns()
				for _, c := range w.serverConns() { // only health checks are answered
					for _, frameType := range []string{"G", "T"} {
						if i := slices.Index(w.conns[c].pending, frameType); i >= 0 {
							w.conns[c].pending = slices.Delete(w.conns[c].pending, i, i+1)
							w.turn(func() { w.sendFrame(c, frameType[0], "active=0,cpu=0") })
						}
					}
				}
			}
			return w.engine.Counters.AttemptsSent - sent
		}
		if sentLater(true) == 0 {
			t.Errorf("%s: none begins although the client stays, so the test shows nothing", how)
		}
		if n := sentLater(false); n != 0 {
			t.Errorf("%s: %d attempts began for a client that had left", how, n)
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
			conn := w.conns[c]
			conn.stalledUntil = w.now + 1e9
			w.turn(func() { client = w.startSearch("quick", 900, 0) })
			// The network accepts a part of the frame.
			conn.received, conn.unsent, conn.takenBytes = append(conn.received, conn.unsent[:5]...), conn.unsent[5:], conn.takenBytes+5
			w.turn()
			w.turn(func() { other = w.startSearch("quick", 900, 0) }) // queued behind that frame
			if !stays {
				w.disconnect(client)
			}
			w.advance(stalledFrameTimeout + 1)
			if kept := w.conns[c] == conn; kept != stays {
				t.Errorf("cancel %s, client stays %v: the connection with the partly written frame is kept: %v", cancel, stays, kept)
			}
			conn.stalledUntil = 0
			if w.runUntilAnswered(other); other.status != 200 {
				t.Errorf("cancel %s, client stays %v: the search queued behind the frame got status %d, want 200",
					cancel, stays, other.status)
			}
			if begun := slices.ContainsFunc(w.requestLines, func(line string) bool { return strings.HasPrefix(line, client.id+".") }); begun != stays {
				t.Errorf("cancel %s, client stays %v: the attempt began: %v", cancel, stays, begun)
			}
			w.shutDownAndCheck()
		}
	}
}
