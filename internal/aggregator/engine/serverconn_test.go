package engine

import (
	"encoding/binary"
	"fmt"
	"testing"
)

func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.openConns()
	startSearch := func() {
		w.turn(func() { w.startSearch("once", 5000, 0) })
		w.openConns()
	}
	startSearch()
	c := w.serverConns()[0]
	w.advance(2500) // the idle timeout of the settings is 2000 ms
	if len(w.serverConns()) != 1 {
		t.Fatal("a connection with an attempt in flight was closed as idle")
	}
	w.answerAttempts(c)
	lastUsedAt := w.now
	for len(w.serverConns()) > 0 {
		if w.advance(10); w.now >= lastUsedAt+2000 {
			t.Fatal("an idle connection is open after its idle timeout")
		}
	}
	if w.now < lastUsedAt+1000 {
		t.Errorf("an idle connection was closed after only %.0f ms", w.now-lastUsedAt)
	}
}

func TestMalformedRepliesDropOnlyTheirConnection(t *testing.T) {
	const good = "%s OK 5 -\n%s"
	for name, test := range map[string]struct {
		reply        string
		accepted     bool // the value is used
		keepsItsConn bool // the connection is kept
	}{
		"malformed report":          {"%s OK 5 inflight=x,=\n%s", true, true},
		"random bytes in the value": {"%s OK 5 -\n%s\x00\xff", false, false},
		"unknown status":            {"%s FINE 5 -\n%s", false, false},
		"malformed score":           {"%s OK x -\n%s", false, false},
		"unknown id":                {"z%s OK 5 -\n%s", false, false},
		"no line break":             {"%s OK 5 - %s", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.turn()
			w.openConns()
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 900, 0) })
			w.openConns()
			c := w.serverConns()[0]
			conn := w.conns[c]
			id := conn.pending[0]
			conn.pending = nil
			w.turn(func() { w.sendFrame(c, 'Y', fmt.Sprintf(test.reply, id, id)) })
			if got := client.status == 200; got != test.accepted {
				t.Errorf("the client got status %d; the value is to be used: %v", client.status, test.accepted)
			}
			if got := w.conns[c] == conn; got != test.keepsItsConn {
				t.Errorf("the connection is kept: %v, want %v", got, test.keepsItsConn)
			}
			w.runUntilAnswered(client) // by another server with the shard, if the reply was not accepted
			if client.status != 200 || client.answers != 1 {
				t.Errorf("%d answers, the last with status %d; want one 200", client.answers, client.status)
			}
		})
	}
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	var client *modelClient
	w.turn(func() { client = w.startSearch("quick", 900, 0) })
	w.openConns()
	c, id := w.serverConns()[0], w.clients[0].id+".0"
	w.turn(func() {
		w.sendFrame(c, 'Y', fmt.Sprintf(good, id, id)+"")
		w.receiveBytes(c, []byte("\xff\xff\xff\xffnoise"))
	})
	if client.status != 200 || w.conns[c] != nil {
		t.Errorf("a valid reply followed by random bytes: status %d, want 200; connection kept: %v, want false",
			client.status, w.conns[c] != nil)
	}
}

func TestIncompleteFrameDropsItsConnection(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	var first, second *modelClient
	w.turn(func() { first = w.startSearch("quick", 900, 0) })
	w.openConns()
	c := w.serverConns()[0]
	conn := w.conns[c]
	reply := "Y" + conn.pending[0] + " OK 5 -\n" + conn.pending[0]
	conn.pending = nil
	w.turn(func() {
		w.receiveBytes(c, append(binary.LittleEndian.AppendUint32(nil, uint32(len(reply)+40)), reply...))
	})
	w.turn(func() { second = w.startSearch("quick", 900, 0) })
	w.openConns()
	if len(conn.pending) > 0 {
		t.Error("another attempt was sent on a connection with an incomplete frame")
	}
	w.advance(frameTimeout + 1)
	if w.conns[c] == conn || w.engine.Counters.BadFrames != 1 {
		t.Errorf("the connection with the incomplete frame is kept, or %d bad frames were counted, want 1", w.engine.Counters.BadFrames)
	}
	w.runUntilAnswered(first)
	w.runUntilAnswered(second)
	if first.status != 200 || second.status != 200 {
		t.Errorf("searches got status %d and %d, want 200", first.status, second.status)
	}
	var third *modelClient // a frame that arrives in two pieces, some time apart, is valid
	w.turn(func() { third = w.startSearch("quick", 900, 0) })
	w.openConns()
	for _, c := range w.serverConns() {
		if conn := w.conns[c]; len(conn.pending) > 0 {
			frame := "Y" + conn.pending[0] + " OK 5 -\n" + conn.pending[0]
			conn.pending = nil
			all := append(binary.LittleEndian.AppendUint32(nil, uint32(len(frame))), frame...)
			w.turn(func() { w.receiveBytes(c, all[:9]) })
			w.advance(frameTimeout / 2)
			w.turn(func() { w.receiveBytes(c, all[9:]) })
			w.advance(frameTimeout)
			if w.conns[c] != conn {
				t.Error("a connection was dropped although its frame was completed in time")
			}
		}
	}
	if third.status != 200 {
		t.Errorf("a reply in two pieces: status %d, want 200", third.status)
	}
}
