package gossip

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// ear keeps what a broker heard.
type ear struct {
	lock  sync.Mutex
	words []Word
}

func (e *ear) hear(w Word) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.words = append(e.words, w)
}

func (e *ear) has(peer string, site int, lost bool) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, w := range e.words {
		if w.Peer == peer && w.Site == site && w.Lost == lost {
			return true
		}
	}
	return false
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 { // far longer than it takes
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("never: ", what)
}

func company(t *testing.T, n int, key []byte) (list []*Talk, ears []*ear) {
	for i := range n {
		e := &ear{}
		o := Options{Name: fmt.Sprint("b", i), Listen: netip.MustParseAddrPort("127.0.0.1:0"), Heard: e.hear, Every: 100 * time.Millisecond, Key: key}
		if i > 0 {
			o.Join = []string{list[0].Addr()}
		}
		k, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { k.Close() })
		list, ears = append(list, k), append(ears, e)
	}
	// That all know all at one moment is more than gossip promises on a busy machine; each knows somebody.
	for i, k := range list {
		until(t, fmt.Sprint(i, " knows somebody"), func() bool { return n == 1 || k.Members() > 1 })
	}
	return list, ears
}

func TestEverybodyHears(t *testing.T) {
	list, ears := company(t, 5, []byte("0123456789abcdef"))
	list[3].Saw(1, true)
	for i, e := range ears {
		if i != 3 {
			until(t, fmt.Sprint(i, " hears of the loss"), func() bool { return e.has("b3", 1, true) })
		}
	}
	if ears[3].has("b3", 1, true) {
		t.Error("it heard itself")
	}
	list[3].Saw(1, false)
	until(t, "the return is heard", func() bool { return ears[0].has("b3", 1, false) })
}

func TestWhatCannotBeReadGoesNowhere(t *testing.T) {
	list, ears := company(t, 1, nil)
	d := (*delegate)(list[0])
	for _, b := range []string{"", "{", `{"p":"","s":1}`, `{"p":"x","s":-1}`, `{"p":"x","s":1,"a":-3}`, `{"p":"x","s":1,"l":"` + string(make([]byte, 600)) + `"}`, `[1]`} {
		d.NotifyMsg([]byte(b))
	}
	if list[0].Bad != 7 || len(ears[0].words) != 0 {
		t.Fatal(list[0].Bad, ears[0].words)
	}
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":false,"a":3,"n":4}`)) // older, by another way
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))  // again
	if len(ears[0].words) != 1 {
		t.Fatal(ears[0].words)
	}
	for i := range 2 * seenMost {
		d.NotifyMsg(fmt.Appendf(nil, `{"p":"x%d","s":1,"l":true,"a":3,"n":5}`, i))
	}
	if len(list[0].seen) > seenMost {
		t.Fatal(len(list[0].seen), "held")
	}
}

func TestNobodyThereIsNoError(t *testing.T) {
	k, err := Start(Options{Name: "alone", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: []string{"127.0.0.1:1"}, Heard: func(Word) {}})
	if err != nil {
		t.Fatal(err)
	}
	k.Saw(0, true)
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
}
