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
	if w.conns[c] != half || half.finished || !w.listenersClosed {
		t.Error("the incomplete request was cut off too soon, or the listeners are still open")
	}
	w.advance(maxRequestAfterClose + lingerTimeout + 1)
	if !w.stopped || w.pool.InUse() != 0 {
		t.Errorf("stopped: %v, %d buffers in use; want a stop with none", w.stopped, w.pool.InUse())
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
	c := transport.Conn(slices.IndexFunc(w.conns, func(conn *modelConn) bool { return conn != nil && conn.client == client }))
	w.turn(func() { w.engine.Notified(Terminate) })
	began, grace := w.now, 1000.+killMargin
	sendNext := func(budget float64) *modelClient {
		next := &modelClient{id: fmt.Sprint("again", len(w.clients)), shards: []int{0}, answerDeadline: w.now + budget + answerSlackMs,
			searchSent: true}
		w.byID[next.id], w.conns[c].client, w.clients = next, next, append(w.clients, next)
		body := fmt.Sprintf(`{"segments":[{"segment":0,"boost":1}],"text":"text of %s"}`, next.id)
		w.turn(func() {
			w.receiveBytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\nX-Budget-Ms: %g\r\n"+
				"Content-Length: %d\r\n\r\n%s", next.id, budget, len(body), body)))
		})
		return next
	}
	for w.now < began+serveShareAfterStop*grace-50 {
		client := sendNext(900)
		w.runUntilAnswered(client)
		if client.status != 200 || w.conns[c] == nil || w.conns[c].finished || w.listenersClosed {
			t.Fatalf("%.0f ms after SIGTERM: status %d, want 200, or the connection or the listeners are closed",
				w.now-began, client.status)
		}
		w.advance(100)
	}
	pendingSearch := sendNext(1000) // its server does not reply
	w.advance(began + grace - answerBeforeKill - w.now)
	if pendingSearch.answers != 1 || pendingSearch.status == 200 {
		t.Errorf("the last search got %d answers, the last with status %d; want one error before the kill",
			pendingSearch.answers, pendingSearch.status)
	}
	w.shutDownAndCheck()
	if w.now > began+grace {
		t.Errorf("the shutdown ended %.0f ms after the process may be killed", w.now-began-grace)
	}
}

func TestNewConnectionMaySendARequestAfterListenersClose(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	w.turn(func() { w.engine.Notified(Terminate) })
	// One client stays connected, so that the engine does not stop at once.
	stayingConns := w.connectClients(1, "")
	w.advance(serveShareAfterStop*(1000+killMargin) - 1)
	late := w.connectClients(1, "")[0]
	w.advance(2)
	if !w.listenersClosed {
		t.Fatal("the listeners are still open")
	}
	left := w.engine.killAt - answerBeforeKill - w.now
	w.advance(left / 2)
	if w.conns[late] == nil || w.conns[late].finished {
		t.Fatal("a client that has just connected was disconnected before it could send a request")
	}
	w.turn(func() { w.receiveBytes(late, []byte("GET /ready HTTP/1.1\r\n\r\n")) })
	if client := w.conns[late].client; client.status != 503 {
		t.Errorf("its request got status %d, want 503", client.status)
	}
	_ = stayingConns
	w.shutDownAndCheck()
}

func TestPendingSearchesAreAnsweredBeforeTheKill(t *testing.T) {
	// A search whose own deadline is after the kill, with servers that do not reply.
	for _, deadline := range []float64{300, 1000, 8000} {
		w := newWorldOf(t, 2, `"deadline-ms":1000`, fmt.Sprintf(`"deadline-ms":%g`, deadline), `"deadline-ms":1000`, `"deadline-ms":200`,
			`"deadline-ms":1000`, `"deadline-ms":200`)
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 8000, 0, 1) })
		w.openConns()
		w.turn(func() { w.engine.Notified(Terminate) })
		w.turn(func() { w.engine.Notified(Terminate) }) // a second signal changes nothing
		grace := min(deadline, maxClientTimeout) + killMargin
		if w.engine.killAt != w.now+grace {
			t.Fatalf("%.0f ms until the kill, want %.0f", w.engine.killAt-w.now, grace)
		}
		w.advance(grace - answerBeforeKill)
		if client.answers != 1 || client.lastWriteAt > w.engine.killAt-answerBeforeKill {
			t.Errorf("client timeout %.0f: %d answers, the last %.0f ms before the kill; want one, in time",
				deadline, client.answers, w.engine.killAt-client.lastWriteAt)
		}
		w.advance(answerBeforeKill - lingerEndBeforeKill + 1)
		if !w.stopped {
			t.Errorf("client timeout %.0f: the engine has not stopped before the kill", deadline)
		}
	}
}
