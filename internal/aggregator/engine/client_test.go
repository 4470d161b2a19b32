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
	at := w.addConn(half)
	w.turn(func() {
		w.engine.Accepted(at)
		w.receiveBytes(at, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
	})
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.openConns()
	reader := slices.IndexFunc(w.conns, func(e *modelConn) bool { return e != nil && e.client == client })
	w.conns[reader].stalledUntil, client.disconnected = w.now+1e9, true
	w.answerAttempts(w.serverConns()[0])
	if len(w.conns[reader].unsent) == 0 {
		t.Fatal("no answer waits")
	}
	w.advance(requestTimeout - 100)
	if half.client.answers != 0 || w.conns[reader] == nil {
		t.Error("let go of too soon")
	}
	w.advance(200)
	if half.client.status != 408 {
		t.Error("half a request is waited for, ", half.client.status)
	}
	w.advance(writeTimeout + lingerTimeout)
	if w.conns[reader] != nil || w.engine.Count.WriteTimeouts != 1 || w.engine.clientCount != 0 || w.pool.InUse() != 0 {
		t.Error(w.engine.Count.WriteTimeouts, w.engine.clientCount, w.pool.InUse())
	}
}

func TestSilentClientsAreEvicted(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	silent := w.connectClients(1000, "")
	if len(silent) >= 200 || !w.paused {
		t.Fatal(len(silent), "taken with 200 descriptors")
	}
	w.advance(minUnusedBeforeEvict + acceptRetryDelay + 1)
	if w.paused || w.engine.outOfDescriptors {
		t.Error("who has said nothing makes no room")
	}
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.runUntilAnswered(client)
	if client.status != 200 {
		t.Error("a client among silent ones: ", client.status)
	}
	w.advance(firstRequestTimeout + 1)
	if w.engine.clientCount != 1 {
		t.Error(w.engine.clientCount, "clients, want the one that asked")
	}
	w.advance(clientIdleTimeout + 1)
	if w.engine.clientCount != 0 || w.engine.Count.IdleClientsDropped != 1 {
		t.Error("an idle connection is kept for good")
	}
	w.shutDownAndCheck()
}

func TestIncompleteRequestsLeaveBuffersForCompleteOnes(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.pool.Max = 20
	w.turn()
	w.openConns()
	w.connectClients(100, "POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc")
	if w.pool.InUse() != 10 || w.engine.Count.NoBuffer != 90 {
		t.Errorf("%d buffers of 20 held by half requests, %d refused", w.pool.InUse(), w.engine.Count.NoBuffer)
	}
	var client *modelClient
	w.turn(func() {
		client = &modelClient{id: "whole", shards: []int{0}, answerDeadline: w.now + 900 + answerSlackMs, asked: true}
		w.byID[client.id] = client
		c := w.addConn(&modelConn{client: client, open: true})
		w.engine.Accepted(c)
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of whole"}`
		w.engine.Bytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: whole\r\nX-Call-Class: quick\r\n"+
			"X-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), w.now)
	})
	w.runUntilAnswered(client)
	if client.status != 200 {
		t.Error("a whole request among half ones: ", client.status)
	}
	w.advance(requestTimeout + maxLinger)
	if w.pool.InUse() != 0 || w.engine.partialBuffers != 0 {
		t.Error(w.pool.InUse(), w.engine.partialBuffers)
	}
}

func TestRejectedClientMayFinishSending(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	c := w.connectClients(1, "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")[0]
	e := w.conns[c]
	if e.client.status != 413 || !e.finished {
		t.Fatal(e.client.status)
	}
	for range 4 {
		w.advance(lingerTimeout - 100)
		if w.conns[c] != e {
			t.Fatal("closed under a client that is sending: its answer is lost to a reset")
		}
		w.turn(func() { w.engine.Bytes(c, nil, w.now) })
	}
	w.advance(lingerTimeout + 1)
	if w.conns[c] == e {
		t.Error("a client that does not close is kept")
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
			t.Fatal("accepting goes on without descriptors")
		}
		w.turn(w.engine.resumeAccepting)
	}
	if n := len(w.engine.timers) - before; n > 1 {
		t.Errorf("%d timers wait", n)
	}
}
