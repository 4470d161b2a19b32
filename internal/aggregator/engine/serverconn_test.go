package engine

import (
	"encoding/binary"
	"fmt"
	"testing"
)

func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	ask := func() {
		w.turn(func() { w.ask("once", 5000, 0) })
		w.open()
	}
	ask()
	c := w.lanes()[0]
	w.pass(2500) // the settings say 2000
	if len(w.lanes()) != 1 {
		t.Fatal("a connection with a part out was closed for being idle")
	}
	w.answer(c)
	used := w.now
	for len(w.lanes()) > 0 {
		if w.pass(10); w.now >= used+2000 {
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
			w.open()
			var k *caller
			w.turn(func() { k = w.ask("quick", 900, 0) })
			w.open()
			c := w.lanes()[0]
			e := w.ends[c]
			id := e.waiting[0]
			e.waiting = nil
			w.turn(func() { w.frame(c, 'Y', fmt.Sprintf(spoil.reply, id, id)) })
			if got := k.status == 200; got != spoil.taken {
				t.Errorf("answered %d", k.status)
			}
			if got := w.ends[c] == e; got != spoil.stands {
				t.Errorf("its connection stands: %v", got)
			}
			w.answered(k) // by another holder, where it is not taken
			if k.status != 200 || k.answers != 1 {
				t.Errorf("%d answers, %d", k.answers, k.status)
			}
		})
	}
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	c, id := w.lanes()[0], w.callers[0].id+".0"
	w.turn(func() { w.frame(c, 'Y', fmt.Sprintf(good, id, id)+""); w.say(c, []byte("\xff\xff\xff\xffnoise")) })
	if k.status != 200 || w.ends[c] != nil {
		t.Error("a good reply with noise behind it: ", k.status)
	}
}

func TestIncompleteFrameDropsItsConnection(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var first, second *caller
	w.turn(func() { first = w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	e := w.ends[c]
	reply := "Y" + e.waiting[0] + " OK 5 -\n" + e.waiting[0]
	e.waiting = nil
	w.turn(func() { w.say(c, append(binary.LittleEndian.AppendUint32(nil, uint32(len(reply)+40)), reply...)) })
	w.turn(func() { second = w.ask("quick", 900, 0) })
	w.open()
	if len(e.waiting) > 0 {
		t.Error("more is sent where nothing will be answered")
	}
	w.pass(frameTimeout + 1)
	if w.ends[c] == e || w.r.Count.BadFrames != 1 {
		t.Error("its connection is kept")
	}
	w.answered(first)
	w.answered(second)
	if first.status != 200 || second.status != 200 {
		t.Error(first.status, second.status)
	}
	var third *caller // one that comes in two pieces, some time apart, is whole
	w.turn(func() { third = w.ask("quick", 900, 0) })
	w.open()
	for _, c := range w.lanes() {
		if e := w.ends[c]; len(e.waiting) > 0 {
			frame := "Y" + e.waiting[0] + " OK 5 -\n" + e.waiting[0]
			e.waiting = nil
			all := append(binary.LittleEndian.AppendUint32(nil, uint32(len(frame))), frame...)
			w.turn(func() { w.say(c, all[:9]) })
			w.pass(frameTimeout / 2)
			w.turn(func() { w.say(c, all[9:]) })
			w.pass(frameTimeout)
			if w.ends[c] != e {
				t.Error("a connection with a whole frame is dropped")
			}
		}
	}
	if third.status != 200 {
		t.Error(third.status)
	}
}
