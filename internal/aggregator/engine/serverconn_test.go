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
	ask := func() {
		w.turn(func() { w.startSearch("once", 5000, 0) })
		w.openConns()
	}
	ask()
	c := w.serverConns()[0]
	w.advance(2500) // the settings say 2000
	if len(w.serverConns()) != 1 {
		t.Fatal("a connection with a part out was closed for being idle")
	}
	w.answerAttempts(c)
	used := w.now
	for len(w.serverConns()) > 0 {
		if w.advance(10); w.now >= used+2000 {
			t.Fatal("an idle connection is open past its time")
		}
	}
	if w.now < used+1000 {
		t.Errorf("closed after %.0f ms", w.now-used)
	}
}

func TestUnsoundRepliesCostOnlyTheirConnection(t *testing.T) {
	const good = "%s OK 5 -\n%s"
	for name, spoil := range map[string]struct {
		reply  string
		taken  bool // the value counts
		stands bool // and so does the connection
	}{
		"a report that can't be read": {"%s OK 5 inflight=x,=\n%s", true, true},
		"a value of noise":            {"%s OK 5 -\n%s\x00\xff", false, false},
		"an unknown end":              {"%s FINE 5 -\n%s", false, false},
		"no score":                    {"%s OK x -\n%s", false, false},
		"an unknown id":               {"z%s OK 5 -\n%s", false, false},
		"no line":                     {"%s OK 5 - %s", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.turn()
			w.openConns()
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 900, 0) })
			w.openConns()
			c := w.serverConns()[0]
			e := w.conns[c]
			id := e.pending[0]
			e.pending = nil
			w.turn(func() { w.sendFrame(c, 'Y', fmt.Sprintf(spoil.reply, id, id)) })
			if got := client.status == 200; got != spoil.taken {
				t.Errorf("answered %d", client.status)
			}
			if got := w.conns[c] == e; got != spoil.stands {
				t.Errorf("its connection stands: %v", got)
			}
			w.runUntilAnswered(client) // by another holder, where it is not taken
			if client.status != 200 || client.answers != 1 {
				t.Errorf("%d answers, %d", client.answers, client.status)
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
		t.Error("a good reply with noise behind it: ", client.status)
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
	e := w.conns[c]
	reply := "Y" + e.pending[0] + " OK 5 -\n" + e.pending[0]
	e.pending = nil
	w.turn(func() {
		w.receiveBytes(c, append(binary.LittleEndian.AppendUint32(nil, uint32(len(reply)+40)), reply...))
	})
	w.turn(func() { second = w.startSearch("quick", 900, 0) })
	w.openConns()
	if len(e.pending) > 0 {
		t.Error("more is sent where nothing will be answered")
	}
	w.advance(frameTimeout + 1)
	if w.conns[c] == e || w.engine.Count.BadFrames != 1 {
		t.Error("its connection is kept")
	}
	w.runUntilAnswered(first)
	w.runUntilAnswered(second)
	if first.status != 200 || second.status != 200 {
		t.Error(first.status, second.status)
	}
	var third *modelClient // one that comes in two pieces, some time apart, is whole
	w.turn(func() { third = w.startSearch("quick", 900, 0) })
	w.openConns()
	for _, c := range w.serverConns() {
		if e := w.conns[c]; len(e.pending) > 0 {
			frame := "Y" + e.pending[0] + " OK 5 -\n" + e.pending[0]
			e.pending = nil
			all := append(binary.LittleEndian.AppendUint32(nil, uint32(len(frame))), frame...)
			w.turn(func() { w.receiveBytes(c, all[:9]) })
			w.advance(frameTimeout / 2)
			w.turn(func() { w.receiveBytes(c, all[9:]) })
			w.advance(frameTimeout)
			if w.conns[c] != e {
				t.Error("a connection with a whole frame is dropped")
			}
		}
	}
	if third.status != 200 {
		t.Error(third.status)
	}
}
