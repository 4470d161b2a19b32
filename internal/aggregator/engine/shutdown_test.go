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
	w.open()
	half := &end{client: &caller{id: "half"}, open: true}
	c := w.take(half)
	w.turn(func() {
		w.r.Accepted(c)
		w.say(c, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
		w.r.Notified(Terminate)
	})
	w.pass(serveShareAfterStop*(1000+killMargin) + 1)
	if w.ends[c] != half || half.finished || !w.deaf {
		t.Error("it was cut off before its time, or the address is open")
	}
	w.pass(maxRequestAfterClose + lingerTimeout + 1)
	if !w.stopped || w.pool.InUse() != 0 {
		t.Error("it did not stop")
	}
}

func TestShutdownServesConnectedClientsAndEndsInTime(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	w.answer(w.lanes()[0])
	c := transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
	w.turn(func() { w.r.Notified(Terminate) })
	began, grace := w.now, 1000.+killMargin
	again := func(budget float64) *caller {
		next := &caller{id: fmt.Sprint("again", len(w.callers)), shards: []int{0}, late: w.now + budget + slack, asked: true}
		w.byID[next.id], w.ends[c].client, w.callers = next, next, append(w.callers, next)
		body := fmt.Sprintf(`{"segments":[{"segment":0,"boost":1}],"text":"text of %s"}`, next.id)
		w.turn(func() {
			w.say(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\nX-Budget-Ms: %g\r\n"+
				"Content-Length: %d\r\n\r\n%s", next.id, budget, len(body), body)))
		})
		return next
	}
	for w.now < began+serveShareAfterStop*grace-50 {
		k := again(900)
		w.answered(k)
		if k.status != 200 || w.ends[c] == nil || w.ends[c].finished || w.deaf {
			t.Fatalf("%.0f ms after the stop: answered %d, or its connection or the address is closed", w.now-began, k.status)
		}
		w.pass(100)
	}
	held := again(1000) // its servers say nothing
	w.pass(began + grace - answerBeforeKill - w.now)
	if held.answers != 1 || held.status == 200 {
		t.Errorf("%d answers, %d: the last search is to be ended before the kill", held.answers, held.status)
	}
	w.settle()
	if w.now > began+grace {
		t.Errorf("it ended %.0f ms after it may be killed", w.now-began-grace)
	}
}

func TestNewConnectionMayAskThoughListenersClose(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.r.Notified(Terminate) })
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

func TestPendingSearchesAreAnsweredBeforeTheKill(t *testing.T) {
	// A search that may take longer than the time until the kill, before servers that say nothing.
	for _, deadline := range []float64{300, 1000, 8000} {
		w := newWorldOf(t, 2, `"deadline-ms":1000`, fmt.Sprintf(`"deadline-ms":%g`, deadline), `"deadline-ms":1000`, `"deadline-ms":200`,
			`"deadline-ms":1000`, `"deadline-ms":200`)
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("quick", 8000, 0, 1) })
		w.open()
		w.turn(func() { w.r.Notified(Terminate) })
		w.turn(func() { w.r.Notified(Terminate) }) // twice, as two signals have it
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
