package engine

import (
	"fmt"
	"slices"
	"testing"
)

func TestClientsThatStallAreDropped(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	half := &modelConn{client: &modelClient{id: "half"}, open: true}
	c := w.addConn(half)
	w.turn(func() {
		w.engine.Accepted(c)
		w.receiveBytes(c, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
	})
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.openConns()
	reader := slices.IndexFunc(w.conns, func(conn *modelConn) bool { return conn != nil && conn.client == client })
	w.conns[reader].stalledUntil, client.disconnected = w.now+1e9, true
	w.answerAttempts(w.serverConns()[0])
	if len(w.conns[reader].unsent) == 0 {
		t.Fatal("no answer waits for the client that does not read")
	}
	w.advance(requestTimeout - 100)
	if half.client.answers != 0 || w.conns[reader] == nil {
		t.Error("a stalled client was dropped or answered before its time limit")
	}
	w.advance(200)
	if half.client.status != 408 {
		t.Errorf("an incomplete request got status %d after its time limit, want 408", half.client.status)
	}
	w.advance(writeTimeout + lingerTimeout)
	if w.conns[reader] != nil || w.engine.Counters.WriteTimeouts != 1 || w.engine.clientCount != 0 || w.pool.InUse() != 0 {
		t.Errorf("the client that does not read: %d write timeouts, want 1; %d clients and %d buffers in use, want 0",
			w.engine.Counters.WriteTimeouts, w.engine.clientCount, w.pool.InUse())
	}
}

func TestSilentClientsAreEvicted(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	silent := w.connectClients(1000, "")
	if len(silent) >= 200 || !w.paused {
		t.Fatalf("%d clients accepted with 200 descriptors; accepting paused: %v", len(silent), w.paused)
	}
	w.advance(minUnusedBeforeEvict + acceptRetryDelay + 1)
	if w.paused || w.engine.outOfDescriptors {
		t.Error("silent clients are not evicted to make room")
	}
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.runUntilAnswered(client)
	if client.status != 200 {
		t.Errorf("a search among silent clients got status %d, want 200", client.status)
	}
	w.advance(firstRequestTimeout + 1)
	if w.engine.clientCount != 1 {
		t.Errorf("%d clients are connected, want only the one that sent a search", w.engine.clientCount)
	}
	w.advance(clientIdleTimeout + 1)
	if w.engine.clientCount != 0 || w.engine.Counters.IdleClientsDropped != 1 {
		t.Errorf("%d clients, %d dropped as idle; want an idle connection to be closed",
			w.engine.clientCount, w.engine.Counters.IdleClientsDropped)
	}
	w.shutDownAndCheck()
}

func TestIncompleteRequestsLeaveBuffersForCompleteOnes(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.pool.Max = 20
	w.turn()
	w.openConns()
	w.connectClients(100, "POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc")
	if w.pool.InUse() != 10 || w.engine.Counters.NoBuffer != 90 {
		t.Errorf("%d of 20 buffers are held by incomplete requests, want 10; %d requests refused, want 90",
			w.pool.InUse(), w.engine.Counters.NoBuffer)
	}
	var client *modelClient
	w.turn(func() {
		client = &modelClient{id: "whole", shards: []int{0}, answerDeadline: w.now + 900 + answerSlackMs, searchSent: true}
		w.byID[client.id] = client
		c := w.addConn(&modelConn{client: client, open: true})
		w.engine.Accepted(c)
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of whole"}`
		w.engine.Received(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: whole\r\nX-Call-Class: quick\r\n"+
			"X-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), w.now)
	})
	w.runUntilAnswered(client)
	if client.status != 200 {
		t.Errorf("a complete request among incomplete ones got status %d, want 200", client.status)
	}
	w.advance(requestTimeout + maxLinger)
	if w.pool.InUse() != 0 || w.engine.partialBuffers != 0 {
		t.Errorf("%d buffers in use, %d of them for incomplete requests; want none", w.pool.InUse(), w.engine.partialBuffers)
	}
}

func TestRejectedClientMayFinishSending(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	c := w.connectClients(1, "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")[0]
	conn := w.conns[c]
	if conn.client.status != 413 || !conn.finished {
		t.Fatalf("a body that is too long got status %d, want 413 and the end of the connection", conn.client.status)
	}
	for range 4 {
		w.advance(lingerTimeout - 100)
		if w.conns[c] != conn {
			t.Fatal("the connection was closed while the client was sending: the reset makes it lose the answer")
		}
		w.turn(func() { w.engine.Received(c, nil, w.now) })
	}
	w.advance(lingerTimeout + 1)
	if w.conns[c] == conn {
		t.Error("the connection of a client that neither sends nor closes is kept")
	}
}

func TestSuspensionsOfAcceptingDoNotAddUp(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	before := len(w.engine.timers)
	for range 50 {
		w.turn(w.engine.AcceptFailed)
		if !w.paused {
			t.Fatal("accepting is not suspended although no descriptor is free")
		}
		w.turn(w.engine.resumeAccepting)
	}
	if n := len(w.engine.timers) - before; n > 1 {
		t.Errorf("%d timers were added by 50 suspensions, want at most 1", n)
	}
}
