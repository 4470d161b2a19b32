package engine

import (
	"fmt"
	"slices"
	"testing"

	"kestrelspread/internal/transport"
)

func TestIncompleteRequestDoesNotDelayShutdown(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	half := &modelConn{client: &modelClient{id: "half"}, open: true}
	c := w.addConn(half)
	w.turn(func() {
		w.engine.Accepted(c)
		w.receiveBytes(c, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
		w.engine.Notified(Terminate)
	})
	w.advance(serveShareAfterStop*(1000+killMargin) + 1)
	if w.conns[c] != half || half.finished || !w.unlistened {
		t.Error("it was cut off before its time, or the address is open")
	}
	w.advance(maxRequestAfterClose + lingerTimeout + 1)
	if !w.stopped || w.pool.InUse() != 0 {
		t.Error("it did not stop")
	}
}

func TestShutdownServesConnectedClientsAndEndsInTime(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.openConns()
	w.answerAttempts(w.serverConns()[0])
	c := transport.Conn(slices.IndexFunc(w.conns, func(e *modelConn) bool { return e != nil && e.client == client }))
	w.turn(func() { w.engine.Notified(Terminate) })
	began, grace := w.now, 1000.+killMargin
	again := func(budget float64) *modelClient {
		next := &modelClient{id: fmt.Sprint("again", len(w.clients)), shards: []int{0}, answerDeadline: w.now + budget + answerSlackMs, asked: true}
		w.byID[next.id], w.conns[c].client, w.clients = next, next, append(w.clients, next)
		body := fmt.Sprintf(`{"segments":[{"segment":0,"boost":1}],"text":"text of %s"}`, next.id)
		w.turn(func() {
			w.receiveBytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\nX-Budget-Ms: %g\r\n"+
				"Content-Length: %d\r\n\r\n%s", next.id, budget, len(body), body)))
		})
		return next
	}
	for w.now < began+serveShareAfterStop*grace-50 {
		client := again(900)
		w.runUntilAnswered(client)
		if client.status != 200 || w.conns[c] == nil || w.conns[c].finished || w.unlistened {
			t.Fatalf("%.0f ms after the stop: answered %d, or its connection or the address is closed", w.now-began, client.status)
		}
		w.advance(100)
	}
	pendingSearch := again(1000) // its servers say nothing
	w.advance(began + grace - answerBeforeKill - w.now)
	if pendingSearch.answers != 1 || pendingSearch.status == 200 {
		t.Errorf("%d answers, %d: the last search is to be ended before the kill", pendingSearch.answers, pendingSearch.status)
	}
	w.shutDownAndCheck()
	if w.now > began+grace {
		t.Errorf("it ended %.0f ms after it may be killed", w.now-began-grace)
	}
}

func TestNewConnectionMayAskThoughListenersClose(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.engine.Notified(Terminate) })
	// somebody stays, so that it does not leave at once
	stayingConns := w.connectClients(1, "")
	w.advance(serveShareAfterStop*(1000+killMargin) - 1)
	late := w.connectClients(1, "")[0]
	w.advance(2)
	if !w.unlistened {
		t.Fatal("the address is open")
	}
	left := w.engine.killAt - answerBeforeKill - w.now
	w.advance(left / 2)
	if w.conns[late] == nil || w.conns[late].finished {
		t.Fatal("who has just connected was ended without having been asked")
	}
	w.turn(func() { w.receiveBytes(late, []byte("GET /ready HTTP/1.1\r\n\r\n")) })
	if client := w.conns[late].client; client.status != 503 {
		t.Error("no answer: ", client.status)
	}
	_ = stayingConns
	w.shutDownAndCheck()
}

func TestPendingSearchesAreAnsweredBeforeTheKill(t *testing.T) {
	// A search that may take longer than the time until the kill, before servers that say nothing.
	for _, deadline := range []float64{300, 1000, 8000} {
		w := newWorldOf(t, 2, `"deadline-ms":1000`, fmt.Sprintf(`"deadline-ms":%g`, deadline), `"deadline-ms":1000`, `"deadline-ms":200`,
			`"deadline-ms":1000`, `"deadline-ms":200`)
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 8000, 0, 1) })
		w.openConns()
		w.turn(func() { w.engine.Notified(Terminate) })
		w.turn(func() { w.engine.Notified(Terminate) }) // twice, as two signals have it
		grace := min(deadline, maxClientTimeout) + killMargin
		if w.engine.killAt != w.now+grace {
			t.Fatal(w.engine.killAt-w.now, "until the kill")
		}
		w.advance(grace - answerBeforeKill)
		if client.answers != 1 || client.lastWriteAt > w.engine.killAt-answerBeforeKill {
			t.Errorf("client timeout %.0f: %d answers %.0f ms before the kill", deadline, client.answers, w.engine.killAt-client.lastWriteAt)
		}
		w.advance(answerBeforeKill - lingerEndBeforeKill + 1)
		if !w.stopped {
			t.Errorf("client timeout %.0f: it has not ended by its kill", deadline)
		}
	}
}
