package engine

import (
	"fmt"
	"slices"
	"testing"
)

func TestClientsThatStallAreDropped(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	half := &end{client: &caller{id: "half"}, open: true}
	at := w.take(half)
	w.turn(func() {
		w.r.Accepted(at)
		w.say(at, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
	})
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	reader := slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k })
	w.ends[reader].stuck, k.gone = w.now+1e9, true
	w.answer(w.lanes()[0])
	if len(w.ends[reader].sent) == 0 {
		t.Fatal("no answer waits")
	}
	w.pass(requestTimeout - 100)
	if half.client.answers != 0 || w.ends[reader] == nil {
		t.Error("let go of too soon")
	}
	w.pass(200)
	if half.client.status != 408 {
		t.Error("half a request is waited for, ", half.client.status)
	}
	w.pass(writeTimeout + lingerTimeout)
	if w.ends[reader] != nil || w.r.Count.WriteTimeouts != 1 || w.r.clients != 0 || w.pool.InUse() != 0 {
		t.Error(w.r.Count.WriteTimeouts, w.r.clients, w.pool.InUse())
	}
}

func TestSilentClientsAreEvicted(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	silent := w.come(1000, "")
	if len(silent) >= 200 || !w.paused {
		t.Fatal(len(silent), "taken with 200 descriptors")
	}
	w.pass(minUnusedBeforeEvict + acceptRetryDelay + 1)
	if w.paused || w.r.outOfDescriptors {
		t.Error("who has said nothing makes no room")
	}
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.answered(k)
	if k.status != 200 {
		t.Error("a client among silent ones: ", k.status)
	}
	w.pass(firstRequestTimeout + 1)
	if w.r.clients != 1 {
		t.Error(w.r.clients, "clients, want the one that asked")
	}
	w.pass(clientIdleTimeout + 1)
	if w.r.clients != 0 || w.r.Count.Idle != 1 {
		t.Error("an idle connection is kept for good")
	}
	w.settle()
}

func TestIncompleteRequestsLeaveBuffersForCompleteOnes(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.pool.Max = 20
	w.turn()
	w.open()
	w.come(100, "POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc")
	if w.pool.InUse() != 10 || w.r.Count.NoBuffer != 90 {
		t.Errorf("%d buffers of 20 held by half requests, %d refused", w.pool.InUse(), w.r.Count.NoBuffer)
	}
	var k *caller
	w.turn(func() {
		k = &caller{id: "whole", shards: []int{0}, late: w.now + 900 + slack, asked: true}
		w.byID[k.id] = k
		c := w.take(&end{client: k, open: true})
		w.r.Accepted(c)
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of whole"}`
		w.r.Bytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: whole\r\nX-Call-Class: quick\r\n"+
			"X-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), w.now)
	})
	w.answered(k)
	if k.status != 200 {
		t.Error("a whole request among half ones: ", k.status)
	}
	w.pass(requestTimeout + maxLinger)
	if w.pool.InUse() != 0 || w.r.partialBuffers != 0 {
		t.Error(w.pool.InUse(), w.r.partialBuffers)
	}
}

func TestRejectedClientMayFinishSending(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	c := w.come(1, "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")[0]
	e := w.ends[c]
	if e.client.status != 413 || !e.finished {
		t.Fatal(e.client.status)
	}
	for range 4 {
		w.pass(lingerTimeout - 100)
		if w.ends[c] != e {
			t.Fatal("closed under a client that is sending: its answer is lost to a reset")
		}
		w.turn(func() { w.r.Bytes(c, nil, w.now) })
	}
	w.pass(lingerTimeout + 1)
	if w.ends[c] == e {
		t.Error("a client that does not close is kept")
	}
}

func TestSuspensionsOfAcceptingDoNotAddUp(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	before := len(w.r.timers)
	for range 50 {
		w.turn(w.r.AcceptFailed)
		if !w.paused {
			t.Fatal("accepting goes on without descriptors")
		}
		w.turn(w.r.resumeAccepting)
	}
	if n := len(w.r.timers) - before; n > 1 {
		t.Errorf("%d timers wait", n)
	}
}
